"""What the cell of called-in minions does beside placing: pushes, moves, kept room, holds, beats. Found on the platform."""

import pytest
from yard_cell import QUEUES, A, B, C, Cell

LONG = {'estimate_ms': 60000}


def fleet(*mids, cpu=4000, **st):
    c = Cell(QUEUES, **st)
    for m in mids:
        c.minion(m, cpu=cpu)
    return c


def where(c, job):
    return {k: m for m in c.minions for k in c.on(m) if k.startswith(job)}


def count(c, what):
    return c.b.count[what]


# --- pushes
def test_one_stopped_run_makes_room_for_several_and_no_more_are_stopped():
    c = fleet('m1', 'm2', 'm3')
    c.submit(A, steps=[{'count': 3, 'cpu': 4000, **LONG}])
    c.go(600)
    c.submit(B, 'quick', steps=[{'count': 4, 'cpu': 1000, **LONG}])
    assert c.until(lambda: count(c, 'moved.pushed'))
    # while its end is not told yet, what it will free is counted on
    c.mute = {'m1', 'm2', 'm3'}
    c.go(900)
    assert count(c, 'moved.pushed') == 1
    c.mute = set()
    c.go(3000)
    assert len(where(c, B)) == 4 and len(set(where(c, B).values())) == 1
    assert len(where(c, A)) == 2 and count(c, 'moved.pushed') == 1


def test_work_that_lasts_is_never_pushed_out():
    c = fleet('m1')
    c.submit(A, steps=[{'count': 1, 'cpu': 4000, 'lasts': True}])
    c.go(600)
    c.submit(B, 'quick', steps=[{'count': 1, 'cpu': 4000, **LONG}])
    c.go(3000)
    assert where(c, A) and not where(c, B) and not count(c, 'moved.pushed')


def test_a_push_must_not_throw_more_away_than_it_wins():
    c = fleet('m1')
    c.submit(A, steps=[{'count': 1, 'cpu': 4000, **LONG}])
    c.go(4000)
    # four seconds of four cores are lost, for a tenth of a second of one
    c.submit(B, 'quick', steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 100}])
    c.go(1000)
    assert where(c, A) and not count(c, 'moved.pushed')


def test_the_same_run_does_not_make_room_for_everybody():
    c = fleet('m1', 'm2')
    c.submit(A, steps=[{'count': 2, 'cpu': 4000, **LONG}])
    c.go(600)
    seen = []
    for jid in (B, C):
        c.submit(jid, 'quick', steps=[{'count': 1, 'cpu': 4000, **LONG}])
        c.go(1500)
        seen.append(next(iter(where(c, jid).values())))
        task = next(iter(where(c, jid)))
        c.minions[seen[-1]].end(task)
        c.go(1500)
    assert count(c, 'moved.pushed') == 2 and seen[0] != seen[1]


# --- pace
def test_a_run_that_stands_still_goes_elsewhere():
    c = fleet('m1')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 1000}])
    c.go(200)
    task = next(iter(where(c, A)))
    c.minions['m1'].rates[task] = 0
    c.minion('m2').rates[task] = 20
    c.go(3500)
    assert where(c, A)[task] == 'm2' and count(c, 'moved.still') == 1 and 'm1' in c.placer.health.until


def test_silence_of_the_minion_is_no_standing_still():
    c = fleet('m1', 'm2')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 1000}])
    c.go(400)
    c.mute = {'m1', 'm2'}
    c.go(2500)
    assert not count(c, 'moved.still')


def test_work_that_is_slow_by_itself_is_moved_once_and_then_let_be():
    c = fleet('m1', 'm2')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 400}])
    # five percent a second: twenty seconds, fifty times the estimate, wherever it runs
    c.go(12000)
    assert count(c, 'moved.crawling') <= 1 and where(c, A)


def test_work_that_crawls_on_one_minion_only_is_moved_from_it():
    c = fleet('m1', 'm2', cpu=3000)
    c.submit(A, steps=[{'count': 4, 'cpu': 1000, 'estimate_ms': 4000}])
    c.go(100)
    slow = [t for t, m in where(c, A).items() if m == 'm2']
    for m in c.minions.values():
        m.rates = {t: 4 if t in slow else 25 for t in where(c, A)}
    assert slow
    c.minion('m3').rates = dict.fromkeys(where(c, A), 25)
    c.go(2500)
    assert count(c, 'moved.crawling') >= 1 and not [t for t, m in where(c, A).items() if m == 'm2']


def test_what_was_placed_on_a_minion_that_died_before_it_was_told_goes_elsewhere_without_its_hold():
    c = fleet('m1')
    c.mute = {'m1'}
    # its last beat is answered, and it never calls again
    c.tender.links['m1'].due = 0
    c.tender.look.add('m1')
    c.go(40)
    assert c.tender.links['m1'].give is None
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(60)
    assert list(where(c, A).values()) == ['m1']
    c.minion('m2')
    c.go(1500)
    assert list(where(c, A).values()) == ['m2'] and count(c, 'untold') == 1
    # back after all, it is not told what went elsewhere
    c.mute = set()
    c.go(600)
    assert not c.minions['m1'].runs


def test_a_task_is_tried_again_where_it_failed_when_there_is_nowhere_else():
    c = fleet('m1')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000}])
    c.go(200)
    c.minions['m1'].end(next(iter(where(c, A))), 'refused')
    c.go(600)
    assert where(c, A)


# --- holds
def test_a_silent_minions_run_is_given_up_only_when_its_hold_has_run_out():
    c = fleet('m1', 'm2')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(300)
    task, mid = next(iter(where(c, A).items()))
    c.mute = {mid}
    last = c.tender.links[mid].lapse
    assert last >= c.tender.links[mid].recv + c.b.set.call.hold_ms / 0.98
    c.go(last - c.now - 60)
    # each run has a timer of its own, and none has run out
    assert c.tender.links[mid].timers == {task: (1, last)} and where(c, A) == {task: mid}
    c.go(1500)
    assert where(c, A)[task] != mid and c.cell.mac.task(task).run == 2


def test_a_beat_in_time_cancels_the_timers():
    c = fleet('m1', 'm2')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(300)
    task, mid = next(iter(where(c, A).items()))
    c.mute = {mid}
    c.go(3300)
    assert c.tender.links[mid].timers
    c.mute = set()
    c.go(3000)
    assert where(c, A) == {task: mid} and not c.tender.links[mid].timers and c.b.count['gaps'] == 1


def test_what_is_being_given_up_is_not_told_again():
    c = fleet('m1')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(300)
    task = next(iter(where(c, A)))
    l = c.tender.links['m1']
    # the start was lost on the way, and a change that gives it up is under way
    l.running, l.held, l.gave = {}, {}, {task: 1}
    assert c.tender._orders(l)[0] == []
    l.gave = {}
    assert [s[:2] for s in c.tender._orders(l)[0]] == [[task, 1]]


def test_a_minion_hears_of_no_start_once_it_drains():
    c = fleet('m1')
    c.mute = {'m1'}
    c.go(200)
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.minions['m1'].fix['state'] = 'draining'
    c.mute = set()
    c.go(600)
    assert not c.minions['m1'].runs and not where(c, A)


def test_what_was_placed_before_a_minion_drains_and_not_told_yet_never_begins():
    c = fleet('m1')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(300)
    task = next(iter(where(c, A)))
    l = c.tender.links['m1']
    l.running, l.held, l.drain = {}, {}, c.now
    start, _, never = c.tender._orders(l)
    assert not start and [(i['task'], i['run'], i['how']) for i in never] == [(task, 1, 'never')]


# --- beats
@pytest.mark.parametrize('pct, want', [(50, 0), (90, 0), (0, 1)])
def test_a_beat_waits_until_just_before_an_end_is_due(pct, want):
    c = fleet('m1')
    l = c.tender.links['m1']
    l.running = {'x': (1, '', pct)}
    # a run of a second, seen from its beginning
    l.prog = {'x': (c.now - 10 * pct, 0, c.now, pct, 1)}
    wait = c.tender._wait(l, c.now)
    if want:
        assert wait == 120
    else:
        assert wait == max(0, 10 * (100 - pct) - 40)


def test_an_overdue_run_is_not_asked_for_any_faster():
    c = fleet('m1')
    l = c.tender.links['m1']
    l.running, l.prog = {'x': (1, '', 90)}, {'x': (c.now - 5000, 0, c.now - 3000, 90, 1)}
    assert c.tender._wait(l, c.now) == 120


def test_however_many_minions_call_no_answer_comes_after_the_second_it_is_worth():
    c = fleet('m1')
    l = c.tender.links['m1']
    l.running, l.prog = {'x': (1, '', 0)}, {'x': (c.now, 0, c.now, 0, 1)}
    c.tender.links = dict.fromkeys(range(5000), l)
    assert c.tender._wait(l, c.now) == 700


def again(c):
    """The process begins anew: another view, and nothing known of what the last one told."""
    c.build()
    assert c.until(lambda: c.cell.takes and c.core.takes and c.tender.term > 0)


def stale(c, mid, **kws):
    """A beat that lay in a cut connection while an earlier holder told the start."""
    m = c.minions[mid]
    c.tender.beat(mid, dict(m.fix, count=m.count - 1, running=[], finished=[]) | kws, lambda *a: None)
    c.turn()


@pytest.mark.parametrize('state', ['ready', 'draining'])
def test_a_beat_that_was_held_up_gives_no_run_of_an_earlier_holder_up(state):
    c = fleet('m1', 'm2')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(300)
    task, mid = next(iter(where(c, A).items()))
    c.mute = {'m1', 'm2'}
    again(c)
    l = c.tender.links[mid]
    stale(c, mid, state=state)
    c.mute = {mid}
    # it runs there, held by the earlier holder, and must start nowhere else
    c.go(l.bound - c.now - 60)
    assert where(c, A) == {task: mid}
    c.go(4000)
    if state == 'draining':
        assert where(c, A)[task] != mid and c.cell.mac.task(task).run == 2


def test_a_fresh_beat_settles_what_an_earlier_holder_told():
    c = fleet('m1')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(300)
    c.mute = {'m1'}
    again(c)
    assert c.tender.links['m1'].old
    c.mute = set()
    c.minions['m1'].wait = 0
    c.go(200)
    assert not c.tender.links['m1'].old and where(c, A) and not c.tender.links['m1'].timers


def test_what_an_earlier_holder_placed_and_nobody_lists_is_given_up_when_its_holds_have_run_out():
    c = fleet('m1', 'm2')
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(300)
    task, mid = next(iter(where(c, A).items()))
    again(c)
    l, m = c.tender.links[mid], c.minions[mid]
    # it never began there, and the minion drains: no start may be told any more
    m.runs, m.wait, m.fix['state'] = {}, 0, 'draining'
    c.go(l.bound - c.now - 60)
    assert where(c, A) == {task: mid}
    c.go(1000)
    assert where(c, A)[task] != mid
