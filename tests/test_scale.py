"""The scale run: a tiny one whole, the manners of its hollow minions, the figures of its report."""

import json
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest
from patience import PATIENCE

from bench.scale import hollow
from bench.scale.scale import Scale
from bench.scale.scale_procs import Procs, Size
from bench.scale.scale_report import Rows, pct, use
from bench.scale.scale_result import reached

ROOT = Path(__file__).parent.parent
TINY = Size(workers=10, starts=10, running=8, teams=5, edges=2)
JOB = '00000000000000a1'


def running(procs):
    return [n for n, p in procs.items() if p.poll() is None]


@pytest.fixture
def whole(tmp_path, monkeypatch):
    """A run whose every process is known, also after it has ended."""
    # the processes find the repository wherever the run was started
    monkeypatch.chdir(tmp_path)
    s = Scale(tmp_path, TINY, seconds=10, levels=(1,), faults=False, configs=1, grace=0.2, patience=PATIENCE)
    every, spawn = {}, s.procs._spawn

    def spawns(n, *args):
        every[n] = spawn(n, *args)

    s.procs._spawn = spawns
    play = s.play

    def play_until_all_is_answered():
        play()
        # on a starved machine clients may still be sending their jobs again
        s.until(lambda: all_answered(s.procs.dir), PATIENCE)

    s.play = play_until_all_is_answered
    return s, every


def all_answered(folder):
    try:
        rows = Rows(folder)
    except ValueError:
        # a row is being written
        return False
    return set(rows.jobs) <= rows.kept.keys() | rows.lost.keys()


# --- whole
def test_a_tiny_run_is_played_whole_and_leaves_no_process(whole):
    s, every = whole
    rep = s.run()
    assert not running(every) and len(every) == 3 + 2 + 2
    assert rep['minions_heard'] == 10 and not rep['ended_by_themselves']
    tot = rep['totals']
    assert tot['jobs'] == tot['kept'] > 0 and tot['starts'] > 0
    assert (tot['two_runs_at_once'], tot['started_after_done']) == (0, 0)
    assert [c['edges'] for c in rep['configurations']] == [2] and rep['configurations'][0]['everywhere_ms'] < 16000
    assert (
        set(rep['nodes']) == {'core-0', 'core-1', 'core-2', 'edge-0', 'edge-1'}
        and rep['cores']['core-0']['peak_mb'] > 0
    )
    assert json.loads(json.dumps(rep))


@pytest.mark.parametrize('mod, knows', [('bench.scale', True), ('asterwharf.fleet', False)])
def test_the_bench_is_a_command_of_its_own_and_none_of_the_fleet_tool(mod, knows):
    got = subprocess.run([sys.executable, '-m', mod, '--help'], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert got.returncode == 0 and ('planned size' in got.stdout) is knows, got.stdout + got.stderr


def test_an_interrupted_run_ends_its_processes(whole):
    s, every = whole

    def interrupted():
        assert len(running(every)) == 7
        raise KeyboardInterrupt

    s.play = interrupted
    with pytest.raises(KeyboardInterrupt):
        s.run()
    assert not running(every) and len(every) == 7


def test_the_plan_has_its_zones_regions_and_services_and_whole_racks():
    ms = Procs('/tmp', Size()).minions
    assert len(ms) == 1400 and len({m['zone'] for m in ms}) == 11 and len({m['region'] for m in ms}) == 3
    assert len({m['group'] for m in ms}) == 3 and len({m['id'] for m in ms}) == 1400
    racks = {}
    for m in ms:
        racks.setdefault(m['rack'], set()).add((m['zone'], m['group']))
    assert set(Counter(m['rack'] for m in ms).values()) == {8} and all(len(v) == 1 for v in racks.values())


# --- hollow minions
class Wire:
    """Notes what is asked, and lets time pass by hand."""

    def __init__(self):
        self.todo, self.asked = [], []

    def after(self, ms, fn, *args):
        self.todo.append((ms, fn, args))

    def request(self, addr, method, path, body, then, ttl, heads=''):
        self.asked.append((addr, path, json.loads(body), then))


@pytest.fixture
def minion(monkeypatch):
    now = [1000]
    monkeypatch.setattr(hollow, 'boot_ms', lambda: now[0])
    cfg = {
        'beat_ms': 1500,
        'max_hold_ms': 6000,
        'stop_grace_ms': 400,
        'gang_wait_ms': 3000,
        'task_cpu': 2000,
        'control': ['10.0.0.1:80', '10.0.0.2:80'],
        'regions': {'10.0.0.1:80': 'x', '10.0.0.2:80': 'y', '10.0.0.3:80': 'y'},
    }
    h = SimpleNamespace(cfg=cfg, wire=Wire(), rng=random.Random(1), seen=Counter(), delay=[], rows=[], cut='')
    h.log = lambda *a: h.rows.append(a)
    h.pick, h.reaches = hollow.Hollow.pick.__get__(h), hollow.Hollow.reaches.__get__(h)
    row = {'id': 'i-1', 'zone': 'z', 'region': 'x', 'rack': 'r', 'group': 'g', 'address': 'a', 'cpu': 4000, 'mem': 1}
    m = hollow.Minion(h, row)
    m.now = now
    m.beat(0)
    return m


class M(hollow.Minion):
    __slots__ = ('now',)


@pytest.fixture(autouse=True)
def roomy(monkeypatch):
    # so that a test can keep its clock beside the minion
    monkeypatch.setattr(hollow, 'Minion', M)


def told(m, status=200, heads=(), **doc):
    m.h.wire.asked[-1][3](status, dict(heads), json.dumps(doc).encode())


def start(i, run=1):
    return [f'{JOB}.0.0.{i}', run, '500', '']


def test_a_minion_starts_what_it_is_told_under_a_hold_and_turns_away_what_does_not_fit(minion):
    told(minion, hold_ms=4000, fence_number=3, started=[start(0), start(1), start(2)])
    assert sorted(minion.runs) == [(f'{JOB}.0.0.0', 1), (f'{JOB}.0.0.1', 1)]
    assert [e[1:4] for e in minion.finished.values()] == [[f'{JOB}.0.0.2', 1, 'refused']]


def test_a_minion_starts_nothing_without_a_hold_or_for_a_lower_fence(minion):
    told(minion, fence_number=3, started=[start(0)])
    assert not minion.runs
    minion.beat(minion.due)
    told(minion, hold_ms=4000, fence_number=2, started=[start(0)])
    assert not minion.runs and minion.fence == 3


def test_a_hold_that_lapses_ends_all_and_no_run_up_to_it_starts_again(minion):
    told(minion, hold_ms=4000, started=[start(0)])
    minion.now[0] += 4001
    minion._lapse(minion.hold)
    assert not minion.runs and [e[3] for e in minion.finished.values()] == ['lapsed']
    minion.beat(minion.due)
    told(minion, hold_ms=4000, started=[start(0)])
    assert not minion.runs
    minion.beat(minion.due)
    told(minion, hold_ms=4000, last_seen=1, started=[start(0, 2)])
    assert list(minion.runs) == [(f'{JOB}.0.0.0', 2)] and not minion.finished


def test_a_minion_follows_where_it_is_sent_and_goes_elsewhere_after_a_failure(minion):
    first = minion.h.wire.asked[-1][0]
    told(minion, 307, {b'location': b'http://10.0.0.3:80/minions/i-1/heartbeat'})
    assert minion.h.wire.asked[-1][0] == '10.0.0.3:80'
    told(minion, 0)
    minion.beat(minion.due)
    assert minion.h.wire.asked[-1][0] in {'10.0.0.1:80', '10.0.0.2:80'} - {first}


def test_a_cut_region_reaches_only_its_own_nodes(minion):
    minion.h.cut = 'x'
    assert minion.h.reaches('x', '10.0.0.1:80') and not minion.h.reaches('x', '10.0.0.2:80')
    assert not minion.h.reaches('y', '10.0.0.1:80') and minion.h.reaches('y', '10.0.0.2:80')


# --- figures
def rows(tmp_path, *rs):
    (tmp_path / 'minions-0.rows').write_text('\n'.join(json.dumps(r) for r in rs) + '\n')
    return Rows(tmp_path)


def test_two_runs_at_once_and_starts_after_a_noted_end_are_seen(tmp_path):
    a, b, c = (f'{JOB}.0.0.{i}' for i in range(3))
    r = rows(
        tmp_path,
        ['s', 100, a, 1, 'm1', 'z'],
        ['s', 200, a, 2, 'm2', 'z'],
        ['e', 300, a, 1, 'done'],
        ['s', 100, b, 1, 'm1', 'z'],
        ['e', 150, b, 1, 'done'],
        ['n', 160, b, 1, 'done'],
        ['s', 170, b, 2, 'm2', 'z'],
        # its minion's hold lapsed before the end was noted: it may be started again
        ['s', 100, c, 1, 'm3', 'z'],
        ['e', 150, c, 1, 'done'],
        ['h', 155, 'm3'],
        ['n', 300, c, 1, 'done'],
        ['s', 200, c, 2, 'm2', 'z'],
    )
    assert r.twice() == {'two_runs_at_once': 1, 'started_after_done': 1}


def test_pauses_and_starts_again_are_measured(tmp_path):
    a, b, c = (f'{JOB}.0.0.{i}' for i in range(3))
    r = rows(
        tmp_path,
        ['s', 100, a, 1, 'm', 'z'],
        ['s', 200, b, 1, 'm', 'z'],
        ['e', 250, a, 1, 'crash'],
        ['s', 1200, a, 2, 'm', 'z'],
        ['s', 1300, c, 1, 'm', 'z'],
    )
    assert r.pause(50, 500) == 1000 and r.pause(50, 100) == 100 and r.pause(1300, 500) is None
    assert r.again(240, 'crash', 1400) == {'tasks': 1, 'half_ms': 960, '99 of 100_ms': 960, 'not_again': 0}


def test_a_level_is_carried_with_its_starts_and_its_urgent_work_in_time():
    lv = {'starts_s': 90, 'offered_starts_s': 100, 'urgent_start_ms': {'99 of 100': 1400, 'of': 3}}
    assert (
        reached(lv)
        and not reached(lv | {'starts_s': 80})
        and not reached(lv | {'urgent_start_ms': {'99 of 100': 1401, 'of': 3}})
    )
    # urgent work that never started is late, too; where there was none, nothing was
    assert not reached(lv | {'urgent_start_ms': {'99 of 100': None, 'of': 3}})
    assert reached(lv | {'urgent_start_ms': {'99 of 100': None, 'of': 0}})


def test_use_is_cores_and_waiting_by_span():
    got = use([(0, 'n', 1.0, 5, 9, 0.0), (500, 'n', 1.25, 5, 10, 0.1), (1000, 'n', 1.5, 5, 9, 0.2)], [('s', 0, 1000)])
    assert got == {'n': {'peak_mb': 10, 's': [0.5, 0.2]}} and pct([3, 1, 2], 0.5) == 2 and pct([], 0.5) is None
