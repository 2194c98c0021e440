"""The measuring script runs, and counts what it says; no time is asserted."""

import importlib.util
import json
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


@pytest.fixture(scope='module')
def slopes():
    spec = importlib.util.spec_from_file_location('slopes', ROOT / 'bench/slopes.py')
    mod = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(mod)
    return mod


@pytest.fixture(scope='module')
def got(slopes):
    return slopes.measure(scale=0.03, share=0.03)


def test_every_slope_is_there_and_its_units_happened(got):
    assert set(got['slopes']) == {
        'nothing, a second',
        'idle beat',
        'run listed in a beat',
        'submit',
        'start',
        'end',
        'state question',
        'configuration change',
        'view change, planned',
    }
    assert all(r['units'] >= 1 for r in got['slopes'].values())
    # beats and jobs travel as bytes, what must be kept is synced
    assert got['slopes']['idle beat']['http bytes'] > 100 and got['slopes']['submit']['syncs'] > 0
    json.dumps(got)


def test_the_plan_starts_what_was_asked_for(got):
    p = got['plan']
    assert p['starts, a second'] >= 0.5 * p['wanted starts a second'] > 0 and p['start delay median, ms'] > 0
    assert (
        p['jobs kept'] > 0 and p['memory of jobs, bytes'] > p['jobs kept'] * 1000 and p['memory of links, bytes'] > 1000
    )


def test_looks_for_runs_to_move_are_timed_and_nothing_is_left_behind(got, slopes):
    plan = got['plan']
    assert 0 < plan['look for runs to move, mean ms'] <= plan['look for runs to move, worst ms']
    assert slopes.Mover.tick.__name__ == 'tick'


def test_after_a_change_of_holder_every_minion_registers_again(got):
    assert 0 < got['plan']['registered again after, ms'] < 6000


def test_state_is_counted_in_memory_and_in_rows(got):
    for k in ('job', 'task', 'run'):
        assert got['state'][k]['memory'] > 0 and got['state'][k]['rows'] > 0
    assert got['state']['job']['rows'] > got['state']['task']['rows'] and got['state']['minion']['memory'] > 0
