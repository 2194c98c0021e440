"""What each kind of job earns on a day on which its service is short of room: no kind may fall below its floor."""

from asterwharf.sim import yard_days
from asterwharf.sim.yard_figures import class_worth

# the users' floors for a class lie between 0.37 and 0.5
FLOOR = 0.5


def crowded_day(seed, load=1.2, more=2.8):
    """Two bursts of the urgent gangs that share a service with less urgent work; minions are lost in between."""
    day = yard_days.Day('guarded', seed, load=load)
    gangs = next(kind for kind in day.site.kinds if kind.name == 'sweep')
    for at in (6000, 16000):
        day.fleet.w.after(yard_days.LEAD + at, day.burst, gangs, more, 4500)
    return day.play([(9000, 'spot'), (12000, 'srv_crash')], '')


def test_the_least_urgent_kind_earns_its_floor_beside_bursts_of_gangs():
    day = crowded_day(2)
    assert day.ok, day.text()
    assert class_worth(day)['replay'] >= FLOOR, day.text()
