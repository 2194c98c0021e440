"""A model that catches no fault proves nothing: each mechanism is broken once, and the model must say so."""

import pytest
from model_mutants import MUTANTS, SCRIPTS, hunt


@pytest.mark.parametrize('name', sorted(MUTANTS))
def test_the_model_catches(name, monkeypatch):
    one = MUTANTS[name]
    one.apply(monkeypatch)
    assert hunt(one) is not None


@pytest.mark.parametrize('script', sorted(SCRIPTS))
def test_the_scripts_of_mutants_break_nothing_in_the_code_as_it_is(script):
    assert SCRIPTS[script]() is None
