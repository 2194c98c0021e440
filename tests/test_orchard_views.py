"""What operators see and order at the holder of the cell whose minions call in."""

import pytest
from yard_cell import QUEUES, A, B, C, Cell

from asterwharf.base.codes import TABLE
from asterwharf.orchard import views
from asterwharf.orchard.drains import MOST
from asterwharf.orchard.yard import Yard
from asterwharf.wire.schema import pack


@pytest.fixture
def c():
    return Cell(QUEUES)


def rows(c, op, key, **args):
    code, body = c.ask(op, **args)
    assert code == 'ok', (code, body)
    return body[key]


# --- jobs
def test_jobs_are_listed_newest_first_by_queue_and_state_and_never_more_than_asked(c):
    c.minion('m1')
    c.submit(A)
    c.go(200)
    c.submit(B, 'quick', steps=[{'count': 3, 'cpu': 1000}])
    c.go(200)
    c.submit(C, steps=[{'count': 1, 'label': 'none'}])
    assert [r['id'] for r in rows(c, 'jobs', 'jobs')] == [C, B, A]
    assert [r['id'] for r in rows(c, 'jobs', 'jobs', queue='quick')] == [B]
    assert [r['id'] for r in rows(c, 'jobs', 'jobs', state='queued')] == [C]
    code, body = c.ask('jobs', most=1)
    assert body['total'] == 3 and [r['id'] for r in body['jobs']] == [C]
    c.minions['m1'].end(f'{B}.0.0.0')
    c.go(400)
    b = rows(c, 'jobs', 'jobs', queue='quick')[0]
    assert (b['tasks'], b['done'], b['busy'], b['state']) == (3, 1, 2, 'running')
    assert c.ask('jobs', tenant='t')[0] == 'bad_field'


def test_a_listing_is_gathered_in_slices(c, monkeypatch):
    monkeypatch.setattr(views, 'SLICE', 10)
    for i in range(60):
        c.submit(f'{i:016x}')
    got = []
    c.gate.do_jobs({'most': 60}, lambda *r: got.append(r), c.cell)
    c.turn()
    assert not got
    n = 0
    while not got:
        c.go(20)
        n += 1
    # six slices over the jobs, as many over the rows
    assert n >= 10 and len(got[0][1]['jobs']) == 60


def test_one_job_says_what_runs_and_how_far(c):
    c.minion('m1')
    c.submit(A, steps=[{'count': 2, 'cpu': 1000}, {'count': 1, 'after': [0]}])
    c.go(600)
    j = c.job()
    assert j['state'] == 'running' and [s['count'] for s in j['steps']] == [2, 1] and j['steps'][0]['running'] == 2
    assert [(r['task'], r['minion'], r['run'], r['state']) for r in j['runs']] == [
        (f'{A}.0.0.{i}', 'm1', 1, 'running') for i in (0, 1)
    ]
    assert j['runs'][0]['percent'] > 0 and j['steps'][1]['why'] == 'waits for steps 0'
    assert c.ask('y_job', id=A, queue='quick')[0] == c.ask('y_job', id=B, queue='q')[0] == 'unknown_job'


@pytest.mark.parametrize(
    'steps, why',
    [
        ([{'count': 1, 'label': 'x9'}], 'no minion has the label x9'),
        ([{'count': 1, 'cpu': 99000}], 'too large for every minion'),
        ([{'count': 5, 'cpu': 4000, 'together': True}], 'no room for all 5 members at once'),
        ([{'count': 1, 'cpu': 4000}], 'no room on 2 minions'),
    ],
)
def test_a_job_says_why_it_waits(c, steps, why):
    c.minion('m1')
    c.minion('m2', rack='r2')
    c.submit(B, steps=[{'count': 2, 'cpu': 3000}])
    c.go(400)
    c.submit(A, steps=steps)
    c.go(200)
    j = c.job()
    assert j['why'] == j['steps'][0]['why'] == why


def test_what_waits_for_minions_says_which(c):
    c.submit(A)
    assert c.job()['why'] == 'no minion of group g has called'
    c.minion('m1')
    c.minion('m2', zone='z2')
    c.minion('m3', rack='r3')
    c.go(400)
    # each is taken out by another reason
    c.ask('zone_set', grp='core', zone='z2', emptied=True)
    c.ask('drain', minion='m1', on=True)
    c.mute.add('m3')
    c.go(3000)
    c.submit(B)
    c.go(200)
    assert c.job(B)['why'] == 'minions drained: 1, in an emptied zone: 1, out of touch: 1'


def test_work_that_is_due_later_and_work_that_waits_for_its_rack_say_so(c):
    c.minion('m1', rack='r2')
    c.minion('m2', rack='r1', cpu=1000)
    c.submit(B, steps=[{'count': 1, 'cpu': 1000, 'near': 'r1'}])
    c.go(400)
    assert c.on('m2')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, 'near': 'r1', 'estimate_ms': 5000}])
    c.go(100)
    assert c.job()['why'] == 'waits for room in rack r1'
    at = c.wall + 60000
    c.submit(C, times=2, first_ms=at, every_ms=1000)
    j = c.job(C)
    assert j['due'] == at and j['why'] == 'due at a later time' and not j['steps']


# --- minions, claims, queues, zones
def test_minions_show_their_link_room_load_and_suspicion(c):
    c.minion('m1', gpus=2)
    c.submit(A)
    c.go(400)
    (m,) = rows(c, 'minions', 'minions')
    assert (m['name'], m['link'], m['up'], m['group'], m['zone'], m['rack'], m['kind']) == (
        'm1',
        'registered',
        True,
        'g',
        'z1',
        'r1',
        'a',
    )
    assert (
        m['free'] == {'cpu': 3000, 'mem': 8000, 'gpus': 2}
        and m['cpu'] == 4000
        and m['tasks'] == 1
        and not m['draining']
        and not m['suspect']
    )
    assert 0 <= m['beat_ms_ago'] < 1500
    c.plot.placer.health.suspect('m1', 'test')
    c.mute.add('m1')
    c.go(4000)
    (m,) = rows(c, 'minions', 'minions')
    assert m['suspect'] and m['link'] == 'recovering' and not m['up'] and m['beat_ms_ago'] > 3000
    c.minion('m2')
    code, body = c.ask('minions', most=1)
    assert body['total'] == 2 and len(body['minions']) == 1


def test_claims_show_each_run_and_where(c):
    c.minion('m1')
    c.submit(A, steps=[{'count': 3, 'cpu': 1000}])
    c.go(600)
    got = rows(c, 'claims', 'claims')
    assert [(r['task'], r['minion'], r['run'], r['state']) for r in got] == [
        (f'{A}.0.0.{i}', 'm1', 1, 'running') for i in range(3)
    ]
    assert all(c.wall - 1000 < r['since'] < c.wall and r['percent'] > 0 and r['queue'] == 'q' for r in got)
    code, body = c.ask('claims', most=2)
    assert body['total'] == 3 and len(body['claims']) == 2
    c.mute.add('m1')
    c.ask('y_cancel', id=A, queue='q')
    assert {r['state'] for r in rows(c, 'claims', 'claims')} == {'stopping'}


def test_queues_show_what_waits_and_runs(c):
    c.minion('m1', cpu=1000)
    c.submit(A, steps=[{'count': 3, 'cpu': 1000}])
    c.submit(B, 'quick', steps=[{'count': 1, 'label': 'none'}])
    c.go(400)
    assert rows(c, 'counts', 'queues') == [
        {'queue': 'q', 'waiting': 0, 'running': 1, 'ended': 0, 'tasks_ready': 2, 'tasks_running': 1},
        {'queue': 'quick', 'waiting': 1, 'running': 0, 'ended': 0, 'tasks_ready': 1, 'tasks_running': 0},
    ]
    c.ask('y_cancel', id=B, queue='quick')
    assert rows(c, 'counts', 'queues', queue='quick')[0]['ended'] == 1


def test_zones_show_what_still_runs_in_an_emptied_one(c):
    c.minion('m1', zone='z2')
    c.submit(A)
    c.go(400)
    c.ask('zone_set', grp='core', zone='z2', emptied=True)
    c.ask('zone_set', grp='core', zone='z9', emptied=True)
    c.go(200)
    z2, z9 = rows(c, 'zones', 'zones')
    assert (
        (z2['zone'], z2['emptied'], z2['minions'], z2['tasks']) == ('z2', True, 1, 1)
        and z2['since']
        and z9['minions'] == 0
    )
    (cell,) = rows(c, 'cells', 'cells', grp='core')
    assert cell['holder'] == 't0' and cell['seats'] == ['t0']


def test_nothing_is_shown_by_a_node_that_cant_confirm_that_it_holds(c, monkeypatch):
    monkeypatch.setattr(type(c.cell), 'confirm', lambda *a, **k: False)
    for op in ('jobs', 'minions', 'claims', 'counts', 'zones', 'y_job', 'drain', 'cells'):
        got = []
        getattr(c.gate, 'do_' + op)(
            {'id': A, 'queue': 'q', 'minion': 'm', 'on': True}, lambda *r: got.append(r[0]), c.cell
        )
        assert got == ['no_holder'], op


@pytest.mark.parametrize(
    'op', ['submit', 'job', 'cancel', 'why', 'config_put', 'judge', 'gone', 'own', 'import', 'nonsense']
)
def test_what_makes_no_sense_here_has_its_number(c, op):
    got = []
    c.router.start(
        op,
        'commons',
        {'tenant': 't', 'id': 'j', 'spec': {}, 'minion': 'm', 'config': {}, 'base': 0},
        lambda *r: got.append(r),
    )
    c.turn()
    assert got and got[0][0] == 'no_path' and got[0][1]['details'] and TABLE['no_path'].http == 404


# --- drains
def test_nothing_starts_on_a_drained_minion_and_what_runs_ends_by_itself(c):
    c.minion('m1')
    c.submit(A)
    c.go(400)
    assert c.ask('drain', minion='m1', on=True, by='op') == ('ok', {'minion': 'm1', 'draining': True, 'evict_at': 0})
    c.submit(B)
    c.go(3000)
    assert c.on('m1') == [f'{A}.0.0.0'] and list(c.minions['m1'].runs) == [f'{A}.0.0.0']
    (m,) = rows(c, 'minions', 'minions')
    assert m['draining'] and m['drained_by'] == 'op' and m['tasks'] == 1
    assert c.ask('drain', minion='m1', on=False)[0] == 'ok'
    c.go(1500)
    assert c.on('m1') == [f'{A}.0.0.0', f'{B}.0.0.0']


def test_what_cant_end_in_time_is_stopped_with_its_checkpoint_and_what_can_is_left(c):
    m, a, b = c.minion('m1', cpu=8000), f'{A}.0.0.0', f'{B}.0.0.0'
    m.rates = {a: 2, b: 20}
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, 'saves': True, 'estimate_ms': 50000}])
    c.submit(B, steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 5000}])
    c.go(3000)
    assert set(m.runs) == {a, b}
    code, body = c.ask('drain', minion='m1', on=True, within=5000)
    assert code == 'ok' and 4500 < body['evict_at'] - c.wall <= 5000
    # one would take 47 s more, the other 2
    c.go(1500)
    assert list(m.runs) == [b]
    t = c.cell.mac.task(a)
    assert t.save == 'save-1' and t.fails == 0 and not t.mid
    c.minion('m2')
    c.go(1000)
    assert c.on('m2') == [a] and list(m.runs) == [b]
    # it has told 99 percent since; past the time it goes all the same
    c.go(3500)
    assert not m.runs and c.cell.mac.task(b).fails == 0


def test_a_drain_is_kept_by_the_cell_and_outlives_its_holder(c):
    c.minion('m1')
    c.ask('drain', minion='m1', on=True, by='op', within=60000)
    kept = dict(c.cell.mac.drains)
    c.build()
    assert c.until(lambda: c.cell.takes) and c.cell.mac.drains == kept and kept['m1'][0] == 'op'
    c.submit(A)
    c.go(3000)
    assert not c.on('m1') and rows(c, 'minions', 'minions')[0]['evict_at'] == kept['m1'][2]
    c.ask('drain', minion='m1', on=False)
    c.go(2500)
    assert c.on('m1')


def test_a_start_that_is_ordered_before_a_drain_and_delivered_after_it_comes_to_nothing():
    y = Yard()

    def do(knd, **doc):
        return y.apply(1, pack(knd, {'at': 5} | doc))

    do('y_submit', id=A, queue=[{'name': 'q', 'group': 'g'}], spec={'steps': [{'count': 1}]}, sum='s')
    start = {'bundles': [{'items': [{'task': f'{A}.0.0.0', 'run': 1, 'mid': 'm1'}]}]}
    do('y_drain', minion='m1', on=True, by='op', until=9)
    assert do('y_start', **start) == []
    again = Yard()
    again.load({k: v for k, v in y.delta().items() if v})
    assert again.drains == {'m1': ('op', 5, 9)}
    do('y_drain', minion='m1', on=False)
    assert y.delta() == {'drain:m1': None} and do('y_start', **start) == [f'{A}.0.0.0']


def test_drains_are_bounded_and_the_oldest_give_way():
    y = Yard()
    for i in range(MOST + 2):
        y.apply(i, pack('y_drain', {'minion': f'm{i}', 'on': True, 'by': 'op', 'at': i + 1, 'until': 0}))
    got = y.delta()
    assert len(y.drains) == MOST and 'm0' not in y.drains and got['drain:m1'] is None and got['drain:m2']


def test_an_unknown_minion_is_not_drained_and_may_be_taken_back(c):
    assert c.ask('drain', minion='nobody', on=True)[0] == 'unknown_minion'
    assert c.ask('drain', minion='nobody', on=False)[0] == 'ok' and not c.cell.mac.drains
