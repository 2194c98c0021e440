"""Beats that come to a seat while there is no leader wait there for the next one. Pure.

A seat that has not heard its leader for a while would send a minion to one that is likely lost, where nobody answers for the whole
second that a beat is worth.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from asterwharf.base.mechanisms import Mechanism

# ms: an answer that comes later than this after its beat was sent is dropped
WORTH = 1000
# of the silence bound: from when on a leader that is not heard is likely lost
QUIET = 0.4
# of what a beat is worth: how long one waits for the next leader, and within what it is answered then
WAIT, ANSWERED = 0.45, 0.7


@dataclass(frozen=True, slots=True)
class KeptBeat:
    """A beat that came at `came_at`, ms of the node's clock; `give` answers it once."""

    minion_id: str
    document: dict
    give: Callable
    came_at: int


class KeptBeats:
    """At each seat, beside its Tender."""

    __slots__ = ('_beats', 'board', 'tender')

    def __init__(self, tender):
        self.tender, self.board, self._beats = tender, tender.b, []

    def __len__(self):
        return len(self._beats)

    def leaderless(self):
        """Whether this seat has reason to think that there is no leader, or is about to be it."""
        cell = self.tender.cell
        replica = cell.replica
        if not replica.is_member or self.board.without(Mechanism.KEPT_BEATS):
            return False
        return cell.leads or self.board.now - replica.leader_heard > replica.settings.silence_ms * QUIET

    def keep(self, minion_id, document, give):
        """Keeps a beat until there is a leader, or for as long as it may wait."""
        self._beats.append(KeptBeat(minion_id, document, give, self.board.now))

    def tick(self):
        """Beats that have waited go to the leader that there is now, or back."""
        if not self._beats:
            return
        found = self.tender.acts() or not self.leaderless()
        oldest = self.board.now - int(WORTH * WAIT)
        over = [beat for beat in self._beats if found or beat.came_at <= oldest]
        if not over:
            return
        self._beats = [beat for beat in self._beats if not found and beat.came_at > oldest]
        self.board.count['beats.kept'] += len(over)
        for beat in over:
            if found:
                self.tender.beat(beat.minion_id, beat.document, beat.give)
                self._hasten(beat)
            else:
                beat.give('no_holder', {'retry_ms': self.board.set.view.silence_ms})

    def _hasten(self, beat):
        """A beat that was kept is answered within the second that began when it came."""
        tender = self.tender
        link = tender.links.get(beat.minion_id)
        if link is not None and link.give is beat.give:
            link.due = min(link.due, beat.came_at + int(WORTH * ANSWERED))
            tender.n += 1
            heapq.heappush(tender.heap, (link.due, tender.n, beat.minion_id))
