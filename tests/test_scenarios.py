"""Every fault of the brief, from a fixed seed: no rule broken, every kept job ends."""

import pytest

from asterwharf.sim import days, scenario_run, scenarios  # noqa: F401

SEED = 11


@pytest.mark.parametrize('name', scenario_run.ALL)
def test_scenario(name):
    r = scenario_run.run(name, SEED)
    assert r.ok, r.text()
    # a run in which nothing happened proves nothing
    assert r.fleet.obs.count['kept'] >= 10 and r.fleet.obs.count['done'] >= 10


def test_a_failing_seed_says_how_to_replay_it(monkeypatch):
    monkeypatch.setattr(scenario_run.Fleet, 'settle', lambda f, most=0: False)
    txt = scenario_run.run('calm', 1).text()
    assert 'replay: python -m asterwharf.sim run calm --seed 1' in txt and 'founded' in txt
