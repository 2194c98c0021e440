"""The stand-in minion, line by line of the users' page."""

import pytest
from yard_desk import A, B, Desk

from asterwharf.sim.yard_fleet import YardFleet
from asterwharf.sim.yard_sites import OPEN


@pytest.fixture
def d():
    return Desk()


# --- the stand-in minion: beats
def test_a_beat_counts_up_and_carries_the_minions_account(d):
    m = d.minion()
    one, two = d.tell(m), d.tell(m)
    assert (one['count'], two['count']) == (1, 2) and one['labels'] == ['a', 'w1-1'] and one['state'] == 'ready'
    assert (one['cpu'], one['group'], one['running'], one['finished']) == (4000, 'watch', [], [])


def test_the_next_beat_comes_as_asked_or_at_the_usual_pace(d):
    m = d.minion()
    d.tell(m, again_ms=300)
    t = d.w.t
    c = d.beat(m)
    assert d.w.t - t == 300
    d.answer(c, again_ms=None)
    t = d.w.t
    d.beat(m)
    assert abs(d.w.t - t - d.f.bounds.beat_ms) <= d.f.bounds.beat_ms / 20


def test_an_end_is_told_50_ms_later_or_50_ms_after_the_outstanding_answer(d):
    d.job()
    m = d.minion()
    d.start(m, A, again_ms=5000)
    t = d.w.t
    c = d.beat(m)
    assert 550 <= d.w.t - t <= 560 and [f[1:4] for f in c['doc']['finished']] == [[A, 1, 'done']]
    # while a beat is out, nothing more is sent
    d.answer(c, start=[[B, 1, 'text', '']], seen=1)
    c = d.beat(m)
    d.run(900)
    assert not d.calls
    d.answer(c, again_ms=5000)
    t = d.w.t
    assert d.beat(m)['doc']['finished'][0][1] == B and d.w.t - t == 50


def test_after_silence_and_failures_the_next_node_is_called_after_a_growing_pause(d):
    m = d.minion()
    c, gaps, nodes = d.beat(m), [], []
    for _ in range(4):
        nodes.append(c['dst'])
        d.answer(c, code='no_holder')
        t = d.w.t
        c = d.beat(m)
        gaps.append(d.w.t - t)
    assert gaps == [60, 120, 240, 480] and all(a != b for a, b in zip(nodes, nodes[1:]))


def test_a_307_is_followed_twice_and_an_address_is_kept_until_a_beat_fails_there(d):
    m = d.minion()
    adr = {n: d.f.address(n) for n in d.f.core}
    c = d.beat(m)
    for n in ('t1', 't2'):
        d.answer(c, code='elsewhere', address=adr[n])
        c = d.beat(m, 1)
        assert c['dst'] == n
    d.answer(c, code='elsewhere', address=adr['t0'])
    c = d.beat(m)
    assert d.w.t > c['at'] - 1 and c['doc']['count'] == 2
    d.answer(c, address=adr['t1'])
    for _ in range(3):
        c = d.beat(m)
        assert c['dst'] == 't1'
        d.answer(c)
    d.answer(d.beat(m), code='silent')
    c = d.beat(m)
    assert m.addr == '' and c['dst'] != 't1'


def test_an_answer_later_than_a_second_is_dropped():
    f = YardFleet(1, OPEN)
    h, got = f.w.hosts['t0'], []
    h.alive, h.node = True, type('N', (), {'at': lambda *a: None, 'flush': lambda s: ([], [])})()
    box = []
    f.net.call('m0', 't0', lambda n, give: box.append(give), lambda c, b: got.append((f.w.t, c)), 1000)
    f.w.run(50)
    f.w.at(1001, lambda: box[0]('ok', {}))
    f.w.run(3000)
    assert got == [(1000, 'silent')]


# --- holds, fence, lists
def test_nothing_is_started_or_held_on_without_a_hold(d):
    d.job()
    m = d.minion()
    d.start(m, A, hold_ms=None)
    assert not m.runs
    d.start(m, A, hold_ms=4000)
    assert (A, 1) in m.runs


def test_what_runs_is_killed_when_its_hold_is_over_and_no_hold_gets_shorter(d):
    d.job(works=[[60000, 60000]])
    m = d.minion()
    c = d.beat(m)
    d.answer(c, start=[[A, 1, 'text', '']], again_ms=100)
    c2 = d.beat(m)
    d.answer(c2, hold_ms=100, again_ms=60000)
    d.run(c['at'] + 3990 - d.w.t)
    assert m.runs
    d.run(20)
    assert not m.runs and [e[1:4] for e in m.finished.values()] == [[A, 1, 'lapsed']]


def test_a_hold_is_cut_to_the_longest_and_counts_on_the_minions_own_slow_clock(d):
    d.job(works=[[60000, 60000]])
    m = d.minion()
    m.clock = 0.98
    c = d.beat(m)
    d.answer(c, start=[[A, 1, 'text', '']], hold_ms=99999, again_ms=60000)
    d.run(c['at'] + int(10000 / 0.98) - 10 - d.w.t)
    assert m.runs
    d.run(30)
    assert not m.runs


def test_a_lower_fence_does_nothing(d):
    d.job()
    m = d.minion()
    d.tell(m, fence=5)
    d.start(m, A, fence=4)
    assert not m.runs and m.fence == 5


def test_ends_come_again_until_they_are_covered_500_at_once(d):
    m = d.minion()
    d.tell(m, again_ms=10)
    for n in range(1, 701):
        m.n = n
        m.finished[n] = [n, A, n, 'done', '']
    assert [e[0] for e in d.tell(m, seen=0)['finished']] == list(range(1, 501))
    d.tell(m, seen=300)
    assert [e[0] for e in d.tell(m)['finished']][:2] == [301, 302]


# --- stops, room
def test_a_stop_takes_up_to_the_grace_and_keeps_its_room_until_the_end_is_listed(d):
    d.job(works=[[60000, 60000]])
    m = d.minion()
    d.start(m, A)
    d.tell(m, stop=[[A, 1]], again_ms=60000)
    assert m.room()[0] == 3000 and m.runs[A, 1].stopping
    d.run(d.f.bounds.stop_ms)
    assert m.room()[0] == 4000 and [e[3] for e in m.finished.values()] == ['stopped']


def test_a_run_stopped_before_it_came_and_one_not_above_an_ended_one_are_turned_away(d):
    d.job()
    m = d.minion()
    d.tell(m, stop=[[A, 3]])
    d.start(m, A, run=3)
    assert not m.runs and m.finished[1][3] == 'refused'
    d.start(m, A, run=4)
    assert (A, 4) in m.runs


def test_a_guarding_minion_turns_away_what_does_not_fit_and_another_starts_it(d):
    d.job(steps=[{'count': 2, 'cpu': 3000, 'mem': 100}], works=[[9000, 9000]])
    g, o = d.minion('m0', guards=True), d.minion('m1')
    for m in (g, o):
        d.start(m, A, run=1 if m is g else 2)
        d.start(m, B, run=1 if m is g else 2)
    assert [e[3] for e in g.finished.values()] == ['refused'] and len(o.runs) == 2
    assert 'LIMIT' in d.rules()


# --- work
def test_work_goes_by_speed_slowness_and_distance_from_the_data(d):
    d.job(steps=[{'count': 4, 'near': 'w1-1'}], works=[[600] * 4])
    took = {}
    for i, (rack, slow, speed) in enumerate((('w1-1', 1, 1.0), ('w1-1', 3, 1.0), ('w2-1', 1, 1.0), ('w1-1', 1, 2.0))):
        m = d.minion(f'm{i}', rack=rack, speed=speed)
        d.start(m, f'00000000000000aa.0.0.{i}', again_ms=60000)
        m.set(slow=slow)
        beg = d.w.t
        while m.runs:
            d.run(5)
        took[i] = d.w.t - beg
    assert [round(took[i] / 600, 1) for i in range(4)] == [1.0, 3.0, 2.0, 0.5]


def test_what_hangs_stands_still_and_goes_on(d):
    d.job()
    m = d.minion()
    d.start(m, A, again_ms=60000)
    d.run(200)
    m.set(hang=True)
    d.run(3000)
    assert m.runs
    m.set(hang=False)
    d.run(320)
    assert not m.runs


def test_a_checkpoint_is_kept_each_so_often_and_a_start_resumes_from_it(d):
    d.job(steps=[{'count': 1, 'saves': True}], works=[[9000]])
    m = d.minion('m0')
    d.start(m, A, again_ms=5000, hold_ms=10000)
    d.run(4950)
    doc = d.beat(m)['doc']
    task, run, saved, pct = doc['running'][0]
    assert saved[:8] == f'{4000:08x}' and 50 <= pct <= 57
    m.crash()
    o = d.minion('m1')
    d.start(o, A, run=2, saved=saved, again_ms=60000, hold_ms=10000)
    beg = d.w.t
    while o.runs:
        d.run(10)
    assert abs(d.w.t - beg - 5000 - d.f.bounds.restore_ms) < 30 and not d.obs.broken


# --- gangs
def gang(d, n=2, **more):
    d.job(steps=[dict({'count': n, 'together': True}, **more)], works=[[1000] * n])
    return [d.minion(f'm{i}', rack=f'w{i}-1') for i in range(n)]


def test_a_gang_works_from_the_moment_that_all_are_there_and_ends_done_together(d):
    m, o = gang(d)
    d.start(m, A, again_ms=60000)
    d.run(2000)
    d.start(o, B, again_ms=60000)
    d.run(950)
    assert m.runs and o.runs
    d.run(100)
    assert [e[3] for x in (m, o) for e in x.finished.values()] == ['done', 'done']


def test_a_gang_on_two_racks_that_wants_one_takes_longer(d):
    m, o = gang(d, one_rack=True)
    d.start(m, A, again_ms=60000)
    d.start(o, B, again_ms=60000)
    d.run(1900)
    assert m.runs
    d.run(200)
    assert not m.runs


def test_a_member_left_alone_ends_so_and_the_rule_cries(d):
    m, _ = gang(d)
    d.start(m, A, again_ms=60000, hold_ms=9000)
    d.run(d.f.bounds.gang_wait_ms + 10)
    assert [e[3] for e in m.finished.values()] == ['alone'] and d.rules() == ['GANG']


@pytest.mark.parametrize('how', ['stop', 'crash', 'cut', 'cut and crash'])
def test_when_one_member_ends_the_others_are_broken(d, how):
    m, o = gang(d)
    d.start(m, A, again_ms=10 if how == 'stop' else 60000)
    d.start(o, B, again_ms=60000)
    if how == 'stop':
        d.tell(m, stop=[[A, 1]], again_ms=60000)
    elif how == 'crash':
        m.crash()
    else:
        d.f.island('m0', True)
    if how == 'cut and crash':
        m.crash()
    if 'cut' in how:
        # nobody hears of it before it is missed
        d.run(900)
        assert o.runs
    d.run(600)
    assert [e[3] for e in o.finished.values()] == ['broken']


def test_a_lasting_task_runs_until_it_is_stopped(d):
    d.job(steps=[{'count': 1, 'lasts': True}], works=[[300]])
    m = d.minion()
    d.start(m, A)
    r = m.runs[A, 1]
    assert not d.f.works.working(r)
    for _ in range(100):
        d.tell(m, again_ms=500)
    assert d.f.works.working(r)
    d.tell(m, stop=[[A, 1]], again_ms=60000)
    d.run(d.f.bounds.stop_ms)
    assert m.finished[1][3] == 'stopped'


# --- ends of minions
def test_a_crash_comes_back_under_a_new_id_with_nothing(d):
    d.job()
    m = d.minion()
    d.start(m, A, fence=9)
    m.crash()
    d.f.enlist('m0')
    n = d.f.minions['m0']
    doc = d.beat(n)['doc']
    assert n.id != m.id and n.fence == 0 and doc['count'] == 1 and not doc['running'] and not doc['finished']


def test_a_draining_minion_says_when_it_leaves_and_dies_then(d):
    d.job(works=[[9000, 9000]])
    m = d.minion()
    d.start(m, A, again_ms=60000)
    m.drain(2000)
    doc = d.beat(m)['doc']
    assert doc['state'] == 'draining' and doc['leaves_at_ms'] == 2000 and doc['running']
    d.run(2000)
    assert not m.up and d.obs.count['crash'] == 1


def test_leaving_is_told_and_with_or_without_an_answer_it_ends(d):
    m, o = d.minion('m0'), d.minion('m1')
    d.tell(m)
    m.leave()
    c = next(c for c in d.calls if c['src'] == 'm0' and c['doc'] is None)
    c['then']('ok', {})
    assert not m.up
    o.leave()
    d.run(2000)
    assert not o.up


def test_a_minion_that_leaves_first_serves_on_tells_its_ends_and_ends(d):
    d.job(works=[[500, 9000]])
    m = d.minion()
    d.start(m, A)
    m.leave_first(3000)
    c = next(c for c in d.calls if c['src'] == 'm0' and c['doc'] is None)
    d.calls.remove(c)
    c['then']('ok', {})
    # its holds stand, and so does the word that it gives of itself
    assert m.up and m.held() > 2000 and not m.sound
    d.run(600)
    doc = d.tell(m)
    assert doc['state'] == 'ready' and (doc['finished'] or d.tell(m)['finished'])
    d.run(3000)
    assert not m.up


def test_a_minion_drops_an_answer_that_is_too_large(d):
    d.job(works=[[9000, 9000]])
    m = d.minion()
    text = '\x01' * 4000
    d.tell(m, start=[[f'{n:016x}.0.0.0', 1, text, text] for n in range(100)])
    assert not m.runs and not d.rules()


def test_a_minion_that_is_cut_off_runs_on_until_its_hold_is_over(d):
    d.job(works=[[60000, 60000]])
    m = d.minion()
    d.start(m, A)
    c = d.beat(m)
    d.run(1000)
    c['then']('silent', None)
    d.run(2500)
    assert m.runs
    d.run(600)
    assert not m.runs


def test_a_beat_may_come_seconds_late_with_nothing_wrong(d):
    m = d.minion()
    d.tell(m, again_ms=300)
    d.f.late_beats, told = 1.0, d.w.t
    d.tell(m, again_ms=300)
    sent = d.beat(m)['at']
    assert sent - told > 300 + 500 and d.obs.count['late_beats'] == 1 and not d.f.sight.marks


def test_a_machine_may_come_back_as_another_kind():
    fleet = YardFleet(1, OPEN)
    machine, shape = next(iter(fleet.shapes.items()))
    fleet.enlist(machine)
    kinds = set()
    for _ in range(60):
        fleet.minions[machine].up = False
        fleet.enlist(machine)
        kinds.add(fleet.minions[machine].doc()['labels'][0])
    assert kinds == {other.kind for other in fleet.shapes.values()} and fleet.shapes[machine].group == shape.group
