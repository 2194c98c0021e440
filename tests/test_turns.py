"""No turn holds the loop: bounds on its work by counts, whatever waits."""

import json

import pytest

from asterwharf.scheduler import buffers, placer
from asterwharf.scheduler.model import build
from asterwharf.scheduler.placer import Placer
from asterwharf.sim.fleet import Fleet


def ready():
    f = Fleet(1, edges=2, minions=6).start()
    assert f.ready()
    n = f.holder('commons')
    p = next(c for c in f.node(n).ctl if isinstance(c, Placer))
    return f, n, p


def crowd(mac, n, shapes):
    """Work that no minion has room for, straight into the holder's state."""
    for i in range(n):
        spec = {'class': 'sweep', 'tasks': [{'name': 'a', 'cores': 40 + i % shapes * 0.01, 'run': {'ms': 1}}]}
        mac._keep(build(spec, 'sweeps', f'x{i}', 's', i))


def looks(f, n, p, k):
    out = []
    for _ in range(k):
        p.b.now, p.due, p.busy = p.b.now + 20, 0, False
        p.tick()
        out.append(p.steps)
        p.b.out.clear()
    return out


@pytest.mark.parametrize('shapes', [1, 50, 6000])
def test_a_look_costs_what_can_be_placed_and_not_what_waits(shapes):
    f, n, p = ready()
    crowd(p.mac, 6000, shapes)
    looks(f, n, p, 1 + 6000 // buffers.SLICE)
    assert len(p.buf) == 6000 and not p.buf.todo
    # lines tried, and verdicts asked: none of these fits any minion, so no verdict is asked at all
    assert max(looks(f, n, p, 3)) <= min(shapes, placer.LINES) + len(p.mac.minions)
    # urgent work is placed by the next look
    f.call.submit('basin', 'now', {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 2, 'run': {'ms': 50}}]})
    assert f.w.until(lambda: f.obs.starts.get('basin/now/a'), 1000, 20)


def test_what_turns_ready_all_at_once_is_read_slice_by_slice():
    f, n, p = ready()
    crowd(p.mac, 5 * buffers.SLICE, 3)
    seen = []
    for _ in range(5):
        looks(f, n, p, 1)
        seen.append(len(p.buf.there))
    assert seen == [buffers.SLICE * (i + 1) for i in range(5)]


def test_one_look_judges_a_bounded_number_of_new_cases_and_the_next_goes_on():
    f, n, p = ready()
    for i in range(300):
        # as many cases as tasks: each is another shape
        spec = {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 0.01 + i / 1000, 'run': {'ms': 10**6}}]}
        p.mac._keep(build(spec, 'basin', f'c{i}', 's', i))
    pol = p.b.config.policy('basin')
    was, seen = len(pol.cache), []
    for _ in range(4):
        looks(f, n, p, 1)
        seen.append(len(pol.cache) - was)
    per = [b - a for a, b in zip([0] + seen, seen)]
    # each case is judged by both programs at the most
    assert 0 < max(per) <= 2 * placer.JUDGED and min(per) > 0


def test_placed_work_that_was_not_delivered_is_looked_at_again():
    f, n, p = ready()
    crowd(p.mac, 1, 1)
    t = p.mac.tasks['sweeps/x0/a']
    t.cores = 1
    looks(f, n, p, 1)
    assert 'sweeps/x0/a' not in p.buf.there
    p.mac.turned.append('sweeps/x0/a')
    p.buf.take(p._when(p.b.config), p.b.now, p.cell.wall)
    assert 'sweeps/x0/a' in p.buf.there


def test_checking_a_large_configuration_is_cut_into_slices():
    from asterwharf.scheduler import config

    doc = {'zones': {'z1': {}}, 'tenants': {f't{i}': {'weight': 1 + i / 7} for i in range(19000)}}
    config.forget()
    steps = list(config.checking(json.loads(json.dumps(doc)), 3))
    assert len(steps) >= 19000 // config.SLICE and max(steps) <= config.SLICE
    got = config.check(doc, 3)
    assert got.is_ok() and len(got.ok.tenants) == 19000
    # a mistake in the middle of it is found all the same
    doc['tenants']['t9000'] = {'weight': 'heavy', 'colour': 1}
    assert config.check(doc).error.more == [
        'tenants.t9000.colour: unknown; known are max_cores, max_jobs, policy, weight',
        'tenants.t9000.weight: wanted float, got str',
    ]
