"""A minion that never says `draining`: it sends its leave first, serves on for a time, and ends."""

import pytest
from yard_cell import QUEUES, A, B, Cell

LONG = {'estimate_ms': 60000}


class Left:
    """A minion runs a task; another one has room; the first sends its leave."""

    def __init__(self, rate=70):
        self.cell = Cell(QUEUES)
        self.minion = self.cell.minion('m1')
        self.cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
        assert self.cell.until(lambda: self.minion.runs)
        [self.task] = self.minion.runs
        # percent a second: whether it can end before the minion is gone
        self.minion.rates[self.task] = rate
        self.cell.go(600)
        self.other = self.cell.minion('m2')
        self.leave()

    def leave(self):
        got = []
        self.cell.tender.leave('m1', lambda code, body=None: got.append(code))
        assert got == ['ok']

    def overlap(self, ms):
        """Whether both minions run the task at once within `ms`."""
        end = self.cell.now + ms
        while self.cell.now < end:
            self.cell.go(20)
            if self.task in self.minion.runs and self.task in self.other.runs:
                return True
        return False


@pytest.fixture
def left():
    return Left()


def test_what_it_runs_starts_nowhere_else_while_it_serves_on(left):
    """Guards against review/1: its task ran on a second minion 0.4 s after the leave, beside the first run."""
    assert not left.overlap(800)
    # it goes on calling, and what ends is taken note of
    left.minion.end(left.task)
    left.cell.go(1500)
    assert left.cell.job()['state'] == 'finished' and not left.other.runs and not left.minion.ended


def test_what_cant_end_before_it_is_gone_is_stopped_and_then_starts_elsewhere():
    left = Left(rate=1)
    assert not left.overlap(3000)
    assert list(left.other.runs) == [left.task] and not left.minion.runs


def test_it_gets_no_start_after_its_leave(left):
    left.cell.submit(B, steps=[{'count': 5, 'cpu': 1000, **LONG}])
    left.cell.go(2500)
    assert not any(task.startswith(B) for task in left.minion.runs)
    assert len([task for task in left.cell.on('m2') if task.startswith(B)]) >= 3


def test_what_it_may_hold_is_started_again_once_its_holds_are_over(left):
    left.cell.go(400)
    last = left.cell.tender.links['m1'].recv
    left.cell.mute.add('m1')
    runs, left.minion.runs = left.minion.runs, {}
    hold = left.cell.st.call.hold_ms
    while left.cell.now < last + hold:
        left.cell.go(20)
        assert not left.other.runs, left.cell.now - last
    left.cell.go(1000)
    assert list(left.other.runs) == list(runs)


def test_a_new_leader_knows_no_leave_and_waits_for_the_holds_all_the_same(left):
    left.cell.build()
    assert left.cell.until(lambda: left.cell.tender._acts())
    left.leave()
    assert not left.overlap(3000)


def test_a_leave_behind_a_drain_ends_the_minion_and_what_it_runs():
    cell = Cell(QUEUES)
    minion = cell.minion('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, 'lasts': True}])
    cell.go(600)
    minion.fix['state'] = 'draining'
    cell.go(200)
    cell.mute.add('m1')
    cell.tender.leave('m1', lambda code, body=None: None)
    beg, other = cell.now, cell.minion('m2')
    assert cell.until(lambda: other.runs, 3000)
    assert cell.now - beg < cell.st.call.stop_grace_ms + 1000


@pytest.mark.parametrize('runs', [True, False])
def test_a_process_that_begins_anew_behind_a_leave_is_taken_once_the_old_one_is_silent(left, runs):
    if not runs:
        left.minion.end(left.task)
        left.cell.go(1000)
    left.cell.mute.add('m1')
    left.cell.go(left.cell.st.call.beat_ms * 2 + 3000)
    left.minion.runs, left.minion.ended, left.minion.n, left.minion.count = {}, [], 0, 0
    left.cell.mute.clear()
    left.cell.go(1500)
    link = left.cell.tender.links['m1']
    assert link.state == 'registered' and left.cell.tender.open(link)
