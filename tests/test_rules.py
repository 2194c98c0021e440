"""Each line of "What must never happen": the fault is caused, the rule holds; with the safety
mechanism broken on purpose, the same run from the same seed is seen to break that very rule."""

import pytest

from asterwharf.sim import cells, operators, scenarios  # noqa: F401
from breaks import BREAKS


@pytest.mark.parametrize('name', BREAKS)
def test_rule_holds_and_its_check_can_fail(name, monkeypatch):
    rule, scen, seed, fn = BREAKS[name]
    good = scenarios.run(scen, seed)
    assert good.ok, good.text()
    fn(monkeypatch)
    assert any(w.startswith(rule) for w in scenarios.run(scen, seed).why)
