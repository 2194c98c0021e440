"""The observer of days must cry at each broken rule, and at its neighbour that is in order it must not."""

import pytest
from yard_desk import QUEUE, A, B, Story

from asterwharf.sim.history_checker import content_digest


def twice_at_once(s, bad):
    s.d.job()
    r = s.start(on='m0')
    if not bad:
        s.end(r, 'lapsed', seen=False)
    s.start(run=2, on='m1')


def twice_after_done(s, bad):
    s.d.job()
    r = s.end(s.start(), 'done', seen=False)
    if not bad:
        # its hold was over before anybody noted it: it may be taken for lost
        s.o.lapsed(r.minion)
    s.go(100)
    s.start(run=2, on='m1')
    s.o.noted(r.minion, r.n)


def twice_of_a_gang(s, bad):
    s.d.job(steps=[{'count': 2, 'together': True}])
    one, two = s.start(A), s.start(B, on='m1')
    s.end(one)
    s.end(two, seen=False)
    s.go(100)
    if bad:
        s.start(B, 2, on='m1')


def twice_copies(s, bad):
    s.d.job(steps=[{'count': 2, 'copies': True}])
    s.start(on='m0')
    r = s.start(run=2, on='m1')
    s.end(r)
    s.go(1100 if bad else 900)
    s.start(run=3, on='m2')


def twice_finished(s, bad):
    j = s.d.job(steps=[{'count': 1, 'copies': True}])
    r = s.start()
    s.end(r, seen=False)
    s.o.state(j, 'e0', 'finished')
    s.go(1100 if bad else 900)
    s.start(run=2, on='m1')


def order_before_step(s, bad):
    s.d.job(steps=[{'count': 1}, {'count': 1, 'after': [0]}])
    r = s.start()
    if not bad:
        s.end(r, seen=False)
    s.start('00000000000000aa.0.1.0', on='m1')


def order_before_time(s, bad):
    s.d.job(times=2, first_ms=s.o.wall() + 1000, every_ms=1000)
    s.go(1000 - (300 if bad else 200))
    s.start()


def limit(s, bad):
    s.d.job(steps=[{'count': 2, 'cpu': 2500 if bad else 2000}])
    r = s.start(A)
    r.stopping = True
    s.start(B)


def route_service(s, bad):
    s.d.job()
    s.start(group='other' if bad else 'watch')


def route_label(s, bad):
    s.d.job(steps=[{'count': 1, 'label': 'b'}])
    s.start(kind='a' if bad else 'b')


def route_apart(s, bad):
    s.d.job(steps=[{'count': 2, 'apart': 1}])
    s.start(A)
    s.start(B, on='m0' if bad else 'm1')


def budget(s, bad):
    s.d.job()
    rows = [s.end(s.start(run=i + 1), 'failed', seen=False) for i in range(2)]
    s.go(10)
    if not bad:
        s.o.lapsed(rows[0].minion)
    s.start(run=3)
    for r in rows:
        s.o.noted(r.minion, r.n)


def budget_of_a_gang(s, bad):
    s.d.job(steps=[{'count': 2, 'together': True}])
    for run in (1, 2):
        one, two = s.start(A, run), s.start(B, run, on='m1')
        s.go(10)
        s.end(one if run == 1 else two, 'failed' if bad or run == 1 else 'stopped')
        s.end(two if run == 1 else one, 'broken')
        s.go(10)
    s.start(A, 3)


def gang_alone(s, bad):
    s.d.job(steps=[{'count': 2, 'together': True}])
    r = s.start(A)
    if not bad:
        s.d.f.sight.mark('srv_crash', s.w.t, s.w.t + 100)
    s.go(3000)
    s.end(r, 'alone')


def unasked_job(s, bad):
    if not bad:
        s.d.job()
    s.start()


def unasked_payload(s, bad):
    s.d.job()
    s.start(payload='other' if bad else 'text')


def unasked_checkpoint(s, bad):
    s.d.job(steps=[{'count': 2, 'saves': True}])
    r = s.start()
    s.o.kept(r, '000003e8aaaaaaaa')
    s.end(r, 'stopped')
    s.start(A, 2, saved='000003e9aaaaaaaa' if bad else '000003e8aaaaaaaa')


def unasked_cancelled(s, bad):
    j = s.d.job()
    s.o.cancel_asked(j)
    s.o.cancel_told(j, 'e0', 'ok')
    s.go(3100 if bad else 2900)
    s.end(s.start(), 'stopped')


def unasked_runs_on(s, bad):
    j = s.d.job()
    r = s.start()
    s.o.cancel_asked(j)
    s.o.cancel_told(j, 'e0', 'ok')
    if not bad:
        s.end(r, 'stopped')
    s.go(3000 + s.d.f.bounds.stop_ms + 300)
    s.o.look()


def refused(s, bad):
    j = s.d.job(taken=False)
    s.start()
    s.o.answered(j, 'refused' if bad else 'unclear')


def drain(s, bad):
    s.d.job()
    m = s.minion()
    s.o.beaten(m, 't0', 'draining', s.w.t)
    s.go(2100 if bad else 1900)
    s.start()


def evac(s, bad):
    s.d.job()
    s.o.evacuated('z1', s.w.t)
    s.go(5100 if bad else 4900)
    s.start()


def mixed(s, bad):
    j = s.d.job()
    s.end(s.start(A))
    r = s.start(B)
    if not bad:
        s.end(r, seen=False)
    s.o.state(j, 'e0', 'finished')


def lost_unknown(s, bad):
    j = s.d.job()
    s.go(3100 if bad else 2900)
    s.o.state(j, 'e0', 'unknown')


def lost_failed(s, bad):
    j = s.d.job()
    for i in range(1 if bad else 2):
        s.end(s.start(run=i + 1), 'failed', seen=False)
    s.o.state(j, 'e0', 'failed')


def lost_cancelled(s, bad):
    j = s.d.job()
    if not bad:
        s.o.cancel_asked(j)
    s.o.state(j, 'e0', 'cancelled')


def lost_idle(s, bad):
    s.d.job()
    ms = [s.minion(f'm{i}') for i in range(3)]
    for m in ms:
        s.o.beaten(m, 't0', 'ready', s.w.t)
    s.go(3500)
    for i in range(9):
        if i == 5 and not bad:
            s.start()
        s.o.look()
        s.go(500)


def lost_idle_after_an_end(s, heard, away):
    """A run fails on a minion that is out of reach, or crashes, just after; until its hold is over nobody can know of an unheard end."""
    s.d.job()
    others = [s.minion(f'm{i}') for i in range(1, 4)]
    r = s.start(on='m0')
    for m in others:
        s.o.beaten(m, 't0', 'ready', s.w.t)
    s.go(3500)
    m = r.minion
    m.hold = m.now() + 8000
    s.end(r, 'failed', seen=heard)
    s.end(s.start(task=B, on='m1'), 'done')
    if away == 'cut':
        s.d.f.net.no_out.add(m.machine)
    else:
        m.crash()
    for _ in range(9):
        s.o.look()
        s.go(500)


@pytest.mark.parametrize('away', ['cut', 'crash'])
def test_nothing_running_is_excused_only_while_an_end_cannot_be_known(away):
    heard, unheard = Story(), Story()
    lost_idle_after_an_end(heard, True, away)
    lost_idle_after_an_end(unheard, False, away)
    assert heard.rules() == ['LOST'] and not unheard.rules()
    # once the hold is over it is no excuse any more
    for _ in range(20):
        unheard.go(500)
        unheard.o.look()
    assert unheard.rules() == ['LOST']


def config_old(s, bad):
    v = s.o.versions
    v.ack(v.sent[0])
    v.ack(v.send(5, 1, {'queues': [dict(QUEUE, prefix='/new/')]}, True, 'op'))
    s.go(2100 if bad else 1900)
    v.handled('e0', 1, 'in', s.w.t, '/new/', False)


def config_back(s, bad):
    v = s.o.versions
    v.ack(v.sent[0])
    v.ack(v.send(5, 1, {'queues': [dict(QUEUE, prefix='/new/')]}, True, 'op'))
    s.go(100)
    v.handled('e0', 1, '', s.w.t, '/new/', True)
    s.go(300)
    # within one life of its processes
    v.handled('e0', 1 if bad else 2, '', s.w.t, '/new/', False)


def config_invalid_in_force(s, bad):
    v = s.o.versions
    v.ack(v.sent[0])
    v.send(5, 1, {'queues': [dict(QUEUE, prefix='/new/')]}, not bad, 'op')
    v.handled('e0', 1, 'in', s.w.t, '/new/', True)


def config_refused_in_force(s, bad):
    v = s.o.versions
    v.ack(v.sent[0])
    x = v.send(5, 1, {'queues': [dict(QUEUE, prefix='/new/')]}, True, 'op')
    if bad:
        v.refuse(x, 'stale')
    v.handled('e0', 1, 'in', s.w.t, '/new/', True)


def config_bad_acked(s, bad):
    v = s.o.versions
    v.ack(v.send(5, 1, {}, not bad, 'op'))


def config_both(s, bad):
    v = s.o.versions
    rows = [v.send(n, 1, {'queues': []}, True, 'op') for n in (5, 6)]
    v.ack(rows[0])
    if bad:
        v.ack(rows[1])
    else:
        v.refuse(rows[1], 'stale')


def config_read_old(s, bad):
    v = s.o.versions
    one, two = v.sent[0], v.send(5, 1, {'number': 5, 'queues': []}, True, 'op')
    v.ack(one)
    if bad:
        v.ack(two)
    v.read(dict(one.doc, number=1) if bad else two.doc, s.w.t)


def config_read_other(s, bad):
    v = s.o.versions
    x = v.send(5, 1, {'number': 5, 'queues': []}, True, 'op')
    v.ack(x)
    v.read({'number': 5, 'queues': [], 'limits': 1} if bad else dict(x.doc), s.w.t)


CASES = [
    ('TWICE', twice_at_once),
    ('TWICE', twice_after_done),
    ('TWICE', twice_of_a_gang),
    ('TWICE', twice_copies),
    ('TWICE', twice_finished),
    ('ORDER', order_before_step),
    ('ORDER', order_before_time),
    ('LIMIT', limit),
    ('ROUTE', route_service),
    ('ROUTE', route_label),
    ('ROUTE', route_apart),
    ('BUDGET', budget),
    ('BUDGET', budget_of_a_gang),
    ('GANG', gang_alone),
    ('UNASKED', unasked_job),
    ('UNASKED', unasked_payload),
    ('UNASKED', unasked_checkpoint),
    ('UNASKED', unasked_cancelled),
    ('UNASKED', unasked_runs_on),
    ('REFUSED', refused),
    ('DRAIN', drain),
    ('EVAC', evac),
    ('MIXED', mixed),
    ('LOST', lost_unknown),
    ('LOST', lost_failed),
    ('LOST', lost_cancelled),
    ('LOST', lost_idle),
    ('CONFIG', config_old),
    ('CONFIG', config_back),
    ('CONFIG', config_invalid_in_force),
    ('CONFIG', config_refused_in_force),
    ('CONFIG', config_bad_acked),
    ('CONFIG', config_both),
    ('CONFIG', config_read_old),
    ('CONFIG', config_read_other),
]


@pytest.mark.parametrize(('rule', 'case'), CASES, ids=lambda c: getattr(c, '__name__', c))
def test_the_observer_cries_at_a_broken_rule_and_only_then(rule, case):
    bad, good = Story(), Story()
    case(bad, True)
    assert bad.rules() == [rule], bad.o.broken
    case(good, False)
    assert not good.rules(), good.o.broken


def register_story(s, stale_read):
    v = s.o.versions
    v.ack(v.sent[0])
    s.go(100)
    x = v.send(5, 1, {'number': 5, 'queues': []}, True, 'op')
    s.go(100)
    v.read(x.doc, s.w.t)
    s.go(100)
    # what was read once may not vanish again, though nobody was told of it yet
    v.read(v.sent[0].doc if stale_read else x.doc, s.w.t)
    s.go(100)
    v.ack(x)


@pytest.mark.parametrize('stale_read', [False, True])
def test_the_operators_history_is_judged_as_one_register(stale_read):
    s = Story()
    s.o.versions.sent[0].doc['number'] = 1
    s.o.versions.history.operations[0].document = content_digest(s.o.versions.sent[0].doc)
    register_story(s, stale_read)
    assert not s.o.broken
    s.o.versions.judge()
    assert bool(s.o.broken) == stale_read
