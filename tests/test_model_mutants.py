"""A model that catches no fault proves nothing: each mechanism is broken once, and the model must say so."""

import pytest
from model_mutants import MUTANTS, hunt, one_voter_forgets, two_wiped


@pytest.mark.parametrize('name', sorted(MUTANTS))
def test_the_model_catches(name, monkeypatch):
    one = MUTANTS[name]
    one.apply(monkeypatch)
    assert hunt(one) is not None


@pytest.mark.parametrize('script', [one_voter_forgets, two_wiped])
def test_the_scripts_of_mutants_break_nothing_in_the_code_as_it_is(script):
    assert script() is None
