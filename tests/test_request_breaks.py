"""Breaks the routing of requests on purpose, one mechanism at a time: each test of it must be seen failing."""

import pytest
import test_late_beats as beats
import test_request_routing as routing
from yard_cell import QUEUES, Cell

from asterwharf.orchard.tender import Tender
from asterwharf.scheduler import request_router
from asterwharf.scheduler.handlers.base import Response
from asterwharf.scheduler.operations import Operation, Repeat
from asterwharf.scheduler.peer_clocks import PeerClocks


def fence_gone(mp):
    """The leader carries out whatever comes, however late."""
    mp.setattr(Response, 'late', False)


def clock_taken_for_ours(mp):
    """Deadlines are told by the sender's clock."""
    mp.setattr(PeerClocks, 'translate', lambda self, peer, when: when)


def one_life(mp):
    """Requests are numbered from 1 in each life of the process."""
    old = request_router.RequestRouter.__init__

    def begin(self, b):
        old(self, b)
        self.life = f'{b.me}.{b.inc}'

    mp.setattr(request_router.RequestRouter, '__init__', begin)


def all_repeated(mp):
    """Every operation is sent again after a silence."""
    mp.setattr(request_router, 'operation', lambda name: Operation(name, Repeat.SAME, '', True))


def from_anybody(mp):
    """An answer counts whoever gives it."""
    old = request_router.RequestRouter.on_response

    def returned(self, src, d):
        t = self.attempts.get(d['id'])
        old(self, t.open.get(d['id'], src) if t else src, d)

    mp.setattr(request_router.RequestRouter, 'on_response', returned)


def gone_callers_served(mp):
    """Nobody asks whether the caller still waits."""
    old = request_router.PendingRequest.__init__

    def begin(self, *args):
        old(self, *args)
        self.caller = lambda: True

    mp.setattr(request_router.PendingRequest, '__init__', begin)


def refusals_believed(mp):
    """A refusal is the last word, whatever became of other attempts."""
    mp.setattr(request_router, 'REFUSALS', frozenset())


def left_come_back(mp):
    """A beat behind a leave is taken for a new process."""
    mp.setattr(Tender, '_left', lambda self, l, d: False)


HELD_UP = routing.test_a_begin_held_up_in_a_cut_connection_does_not_undo_an_acknowledged_finish
BREAKS = [
    (fence_gone, lambda: HELD_UP(0)),
    (clock_taken_for_ours, routing.test_a_request_is_stamped_with_the_clock_of_the_node_it_goes_to),
    (one_life, routing.test_an_answer_for_a_process_that_died_is_not_taken_for_its_successors),
    (all_repeated, lambda: routing.test_what_may_not_be_repeated_is_never_sent_twice('zone_set', 'reset')),
    (from_anybody, routing.test_an_answer_counts_only_from_the_node_that_was_asked),
    (gone_callers_served, routing.test_nothing_is_sent_again_for_a_caller_that_has_gone),
    (gone_callers_served, routing.test_an_order_without_identity_waits_a_moment_for_its_callers_end),
    (
        refusals_believed,
        routing.test_a_refusal_is_unsure_while_another_attempt_may_have_been_taken_and_sure_once_it_is_known_not_to,
    ),
    (
        left_come_back,
        lambda: beats.test_a_beat_that_comes_behind_its_minions_leave_does_not_bring_it_back(Cell(QUEUES), {}),
    ),
]


@pytest.mark.parametrize('broken, check', BREAKS, ids=lambda x: x.__name__.strip('<>'))
def test_each_mechanism_is_missed_where_it_is_broken(broken, check, monkeypatch):
    with monkeypatch.context() as mp:
        broken(mp)
        with pytest.raises((AssertionError, ValueError)):
            check()
    check()
