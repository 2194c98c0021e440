"""Gangs on simulated days on which nothing is wrong but that beats come late, as the users' page allows; what excuses GANG."""

import pytest
from yard_desk import A, Story

from asterwharf.orchard.gangs import GangWatch
from asterwharf.sim import yard_days

LATE_BEAT_AT_A_GANG = {'site': 'open', 'seed': 19, 'faults': [], 'closing': '', 'length': 14000}


def test_no_member_of_a_gang_ends_alone_because_the_beat_of_one_minion_came_late():
    """Guards against GANG: one member was given up, and the others waited for it."""
    day = yard_days.play(**LATE_BEAT_AT_A_GANG)
    assert day.ok, day.text()
    assert not day.fleet.obs.count['alone'] and day.fleet.obs.count['late_beats'] >= 10


def test_a_gang_that_is_given_up_member_by_member_breaks_the_same_day(monkeypatch):
    monkeypatch.setattr(GangWatch, '_give_up', lambda self, gang: None)
    day = yard_days.play(**LATE_BEAT_AT_A_GANG)
    assert [rule for _, rule, _ in day.broken] == ['GANG'], day.text()


@pytest.mark.parametrize('before_ms', [100, 1000])
def test_a_trouble_excuses_a_run_that_ends_alone_only_if_it_was_on_shortly_before(before_ms):
    story = Story()
    bounds, now = story.d.f.bounds, story.w.t
    story.d.job(steps=[{'count': 2, 'together': True}])
    # its traces are seen for longer: a minion's holds
    story.d.f.sight.mark('srv_crash', now, now + 10, now + 10 + 2 * bounds.in_touch_ms)
    story.go(before_ms)
    run = story.start(A)
    story.go(bounds.in_touch_ms - 200)
    story.end(run, 'alone')
    assert story.rules() == (['GANG'] if before_ms > 200 else [])


def test_a_gang_of_a_hopeless_job_may_not_end_alone_either():
    """The users' page names hopeless jobs among what excuses nothing."""
    story = Story()
    story.d.job(steps=[{'count': 2, 'together': True}]).poison = True
    story.d.f.sight.mark('poison', story.w.t, story.w.t + 1000)
    run = story.start(A)
    story.go(3000)
    story.end(run, 'alone')
    assert story.rules() == ['GANG']
