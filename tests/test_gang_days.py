"""Gangs on simulated days on which nothing is wrong but that beats come late, as the users' page allows."""

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
