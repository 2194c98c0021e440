"""Faults of the review put back on purpose: a day of the simulator sees each, on a stated seed, and none without it."""

import pytest

from asterwharf.orchard.model import Job
from asterwharf.orchard.tender import Tender
from asterwharf.sim import yard_days


def every_leave_closes_the_link(patch):
    """review/1: a leave was taken for the end of what its minion runs."""
    patch.setattr(Tender, '_serves_on', Tender._close)


def jobs_belong_to_the_name_of_a_route(patch):
    """review/5: a route of another name at the same place lost its jobs."""
    patch.setattr(Job, 'is_at', lambda self, queue, place: self.queue == queue)


BREAKS = [
    (every_leave_closes_the_link, 'TWICE', 3, ['scale_in'] * 3),
    (jobs_belong_to_the_name_of_a_route, 'LOST', 3, None),
]


@pytest.mark.parametrize(('break_it', 'rule', 'seed', 'faults'), BREAKS, ids=[b[0].__name__ for b in BREAKS])
def test_a_fault_of_the_review_breaks_a_day(break_it, rule, seed, faults, monkeypatch):
    with monkeypatch.context() as patch:
        break_it(patch)
        broken = yard_days.play('open', seed, faults=faults)
    assert rule in {name for _, name, _ in broken.broken}, broken.text()
    good = yard_days.play('open', seed, faults=faults)
    assert good.ok, good.text()
