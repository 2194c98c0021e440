"""Each line of "What must never happen": the fault is caused, the rule holds; with the safety
mechanism broken on purpose, the same run from the same seed is seen to break that very rule."""

import pytest
from breaks import BREAKS

from asterwharf.sim import days, scenario_run, scenarios  # noqa: F401

# not every seed brings the fault to where it would do harm
MOST = 16


@pytest.mark.parametrize('name', BREAKS)
def test_rule_holds_and_its_check_can_fail(name, monkeypatch):
    rule, scen, first, fn = BREAKS[name]
    with monkeypatch.context() as mp:
        fn(mp)
        seed = next(
            (s for s in range(first, first + MOST) if any(w.startswith(rule) for w in scenario_run.run(scen, s).why)),
            None,
        )
    assert seed is not None, f'no seed of {MOST} from {first} on breaks "{rule}": the check can not fail'
    good = scenario_run.run(scen, seed)
    assert good.ok, good.text()
