"""What the cell of called-in minions does beside placing: pushes, moves, kept room, holds, beats. Found on the platform."""

import pytest
from yard_cell import QUEUES, A, B, C, Cell

from asterwharf.orchard.minion_link import Progress

LONG = {'estimate_ms': 60000}


def fleet(*mids, cpu=4000, **st):
    cell = Cell(QUEUES, **st)
    for m in mids:
        cell.minion(m, cpu=cpu)
    return cell


def where(cell, job):
    return {k: m for m in cell.minions for k in cell.on(m) if k.startswith(job)}


def count(cell, what):
    return cell.b.count[what]


# --- pushes
def test_one_stopped_run_makes_room_for_several_and_no_more_are_stopped():
    cell = fleet('m1', 'm2', 'm3')
    cell.submit(A, steps=[{'count': 3, 'cpu': 4000, **LONG}])
    cell.go(600)
    cell.submit(B, 'quick', steps=[{'count': 4, 'cpu': 1000, **LONG}])
    assert cell.until(lambda: count(cell, 'moved.pushed'))
    # while its end is not told yet, what it will free is counted on
    cell.mute = {'m1', 'm2', 'm3'}
    cell.go(900)
    assert count(cell, 'moved.pushed') == 1
    cell.mute = set()
    cell.go(3000)
    assert len(where(cell, B)) == 4 and len(set(where(cell, B).values())) == 1
    assert len(where(cell, A)) == 2 and count(cell, 'moved.pushed') == 1


def test_work_that_lasts_is_never_pushed_out():
    cell = fleet('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, 'lasts': True}])
    cell.go(600)
    cell.submit(B, 'quick', steps=[{'count': 1, 'cpu': 4000, **LONG}])
    cell.go(3000)
    assert where(cell, A) and not where(cell, B) and not count(cell, 'moved.pushed')


def test_a_push_must_not_throw_more_away_than_it_wins():
    cell = fleet('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, **LONG}])
    cell.go(4000)
    # four seconds of four cores are lost, for a tenth of a second of one
    cell.submit(B, 'quick', steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 100}])
    cell.go(1000)
    assert where(cell, A) and not count(cell, 'moved.pushed')


def test_the_same_run_does_not_make_room_for_everybody():
    cell = fleet('m1', 'm2')
    cell.submit(A, steps=[{'count': 2, 'cpu': 4000, **LONG}])
    cell.go(600)
    seen = []
    for jid in (B, C):
        cell.submit(jid, 'quick', steps=[{'count': 1, 'cpu': 4000, **LONG}])
        cell.go(1500)
        seen.append(next(iter(where(cell, jid).values())))
        task = next(iter(where(cell, jid)))
        cell.minions[seen[-1]].end(task)
        cell.go(1500)
    assert count(cell, 'moved.pushed') == 2 and seen[0] != seen[1]


# --- pace
def test_a_run_that_stands_still_goes_elsewhere():
    cell = fleet('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 1000}])
    cell.go(200)
    task = next(iter(where(cell, A)))
    cell.minions['m1'].rates[task] = 0
    cell.minion('m2').rates[task] = 20
    cell.go(3500)
    assert (
        where(cell, A)[task] == 'm2' and count(cell, 'moved.still') == 1 and 'm1' in cell.placer.health.suspected_until
    )


def test_silence_of_the_minion_is_no_standing_still():
    cell = fleet('m1', 'm2')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 1000}])
    cell.go(400)
    cell.mute = {'m1', 'm2'}
    cell.go(2500)
    assert not count(cell, 'moved.still')


def test_work_that_is_slow_by_itself_is_moved_once_and_then_let_be():
    cell = fleet('m1', 'm2')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 400}])
    # five percent a second: twenty seconds, fifty times the estimate, wherever it runs
    cell.go(12000)
    assert count(cell, 'moved.slow_minion') <= 1 and not count(cell, 'moved.still') and where(cell, A)


def test_what_was_placed_on_a_minion_that_died_before_it_was_told_goes_elsewhere_without_its_hold():
    cell = fleet('m1')
    cell.mute = {'m1'}
    # its last beat is answered, and it never calls again
    cell.tender.links['m1'].due = 0
    cell.tender.look.add('m1')
    cell.go(40)
    assert cell.tender.links['m1'].give is None
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(60)
    assert list(where(cell, A).values()) == ['m1']
    cell.minion('m2')
    cell.go(1500)
    assert list(where(cell, A).values()) == ['m2'] and count(cell, 'untold') == 1
    # back after all, it is not told what went elsewhere
    cell.mute = set()
    cell.go(600)
    assert not cell.minions['m1'].runs


def test_a_task_is_tried_again_where_it_failed_when_there_is_nowhere_else():
    cell = fleet('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000}])
    cell.go(200)
    cell.minions['m1'].end(next(iter(where(cell, A))), 'refused')
    cell.go(600)
    assert where(cell, A)


# --- holds
def test_a_silent_minions_run_is_given_up_only_when_its_hold_has_run_out():
    cell = fleet('m1', 'm2')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(300)
    task, mid = next(iter(where(cell, A).items()))
    cell.mute = {mid}
    last = cell.tender.links[mid].lapse
    assert last >= cell.tender.links[mid].recv + cell.b.set.call.hold_ms / 0.98
    cell.go(last - cell.now - 60)
    # each run has a timer of its own, and none has run out
    assert cell.tender.links[mid].timers == {task: (1, last)} and where(cell, A) == {task: mid}
    cell.go(1500)
    assert where(cell, A)[task] != mid and cell.cell.mac.task(task).run == 2


def test_a_beat_in_time_cancels_the_timers():
    cell = fleet('m1', 'm2')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(300)
    task, mid = next(iter(where(cell, A).items()))
    cell.mute = {mid}
    cell.go(3300)
    assert cell.tender.links[mid].timers
    cell.mute = set()
    cell.go(3000)
    assert where(cell, A) == {task: mid} and not cell.tender.links[mid].timers and cell.b.count['gaps'] == 1


def test_what_is_being_given_up_is_not_told_again():
    cell = fleet('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(300)
    task = next(iter(where(cell, A)))
    l = cell.tender.links['m1']
    # the start was lost on the way, and a change that gives it up is under way
    l.running, l.held, l.gave = {}, {}, {task: 1}
    assert cell.tender._orders(l)[0] == []
    l.gave = {}
    assert [s[:2] for s in cell.tender._orders(l)[0]] == [[task, 1]]


def test_a_minion_hears_of_no_start_once_it_drains():
    cell = fleet('m1')
    cell.mute = {'m1'}
    cell.go(200)
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.minions['m1'].fix['state'] = 'draining'
    cell.mute = set()
    cell.go(600)
    assert not cell.minions['m1'].runs and not where(cell, A)


def test_what_was_placed_before_a_minion_drains_and_not_told_yet_never_begins():
    cell = fleet('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(300)
    task = next(iter(where(cell, A)))
    l = cell.tender.links['m1']
    l.running, l.held, l.drain = {}, {}, cell.now
    start, _, never = cell.tender._orders(l)
    assert not start and [(i['task'], i['run'], i['how']) for i in never] == [(task, 1, 'never')]


# --- beats
@pytest.mark.parametrize('pct, want', [(50, 0), (90, 0), (0, 1)])
def test_a_beat_waits_until_just_before_an_end_is_due(pct, want):
    cell = fleet('m1')
    l = cell.tender.links['m1']
    l.running = {'x': (1, '', pct)}
    # a run of a second, seen from its beginning
    l.prog = {'x': Progress(cell.now - 10 * pct, 0, cell.now, pct, 1)}
    wait = cell.tender._wait(l, cell.now)
    if want:
        assert wait == 120
    else:
        assert wait == max(0, 10 * (100 - pct) - 40)


def test_an_overdue_run_is_not_asked_for_any_faster():
    cell = fleet('m1')
    l = cell.tender.links['m1']
    l.running, l.prog = {'x': (1, '', 90)}, {'x': Progress(cell.now - 5000, 0, cell.now - 3000, 90, 1)}
    assert cell.tender._wait(l, cell.now) == 120


def test_however_many_minions_call_no_answer_comes_after_the_second_it_is_worth():
    cell = fleet('m1')
    l = cell.tender.links['m1']
    l.running, l.prog = {'x': (1, '', 0)}, {'x': Progress(cell.now, 0, cell.now, 0, 1)}
    cell.tender.links = dict.fromkeys(range(5000), l)
    assert cell.tender._wait(l, cell.now) == 700


def again(cell):
    """The process begins anew: another view, and nothing known of what the last one told."""
    cell.build()
    assert cell.until(lambda: cell.cell.takes and cell.core.takes and cell.tender.term > 0)


def stale(cell, mid, **kws):
    """A beat that lay in a cut connection while an earlier holder told the start."""
    m = cell.minions[mid]
    cell.tender.beat(mid, dict(m.fix, count=m.count - 1, running=[], finished=[]) | kws, lambda *a: None)
    cell.turn()


@pytest.mark.parametrize('state', ['ready', 'draining'])
def test_a_beat_that_was_held_up_gives_no_run_of_an_earlier_holder_up(state):
    cell = fleet('m1', 'm2')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(300)
    task, mid = next(iter(where(cell, A).items()))
    cell.mute = {'m1', 'm2'}
    again(cell)
    l = cell.tender.links[mid]
    stale(cell, mid, state=state)
    cell.mute = {mid}
    # it runs there, held by the earlier holder, and must start nowhere else
    cell.go(l.bound - cell.now - 60)
    assert where(cell, A) == {task: mid}
    cell.go(4000)
    if state == 'draining':
        assert where(cell, A)[task] != mid and cell.cell.mac.task(task).run == 2


def test_a_fresh_beat_settles_what_an_earlier_holder_told():
    cell = fleet('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(300)
    cell.mute = {'m1'}
    again(cell)
    assert cell.tender.links['m1'].old
    cell.mute = set()
    cell.minions['m1'].wait = 0
    cell.go(200)
    assert not cell.tender.links['m1'].old and where(cell, A) and not cell.tender.links['m1'].timers


def test_what_an_earlier_holder_placed_and_nobody_lists_is_given_up_when_its_holds_have_run_out():
    cell = fleet('m1', 'm2')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(300)
    task, mid = next(iter(where(cell, A).items()))
    again(cell)
    l, m = cell.tender.links[mid], cell.minions[mid]
    # it never began there, and the minion drains: no start may be told any more
    m.runs, m.wait, m.fix['state'] = {}, 0, 'draining'
    cell.go(l.bound - cell.now - 60)
    assert where(cell, A) == {task: mid}
    cell.go(1000)
    assert where(cell, A)[task] != mid


def test_a_lost_run_waits_for_its_hold_alone_after_a_change_of_leader():
    """Guards against LOST: a job stood still for the silence bound longer than any hold lasts."""
    cell = fleet('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(300)
    cell.mute = {'m1'}
    again(cell)
    cell.minion('m2')
    begun = cell.now
    assert cell.until(lambda: set(where(cell, A).values()) == {'m2'}, 8000)
    assert cell.now - begun < cell.st.call.hold_ms / 0.98 + 300
