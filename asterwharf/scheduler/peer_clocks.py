"""What this node knows of its peers' steady clocks, so that a request can carry a time by its receiver's clock. Pure.

A reading is on its way for a while: what is derived from it is never ahead of the peer's clock, so that a deadline
can only pass early. It holds as far as both clocks run equally fast between two readings.
"""


class PeerClocks:
    """The newest reading of each peer that is connected, kept as the difference from this node's clock (ms)."""

    __slots__ = ('_ahead',)

    def __init__(self):
        self._ahead = {}

    def note(self, peer, reading, now):
        """`peer` said that its clock showed `reading` (ms); it arrived here at `now` (ms, this node's clock)."""
        self._ahead[peer] = reading - now

    def forget(self, peer):
        """The connection is over: the next one may lead to a machine that was started anew."""
        self._ahead.pop(peer, None)

    def knows(self, peer):
        return peer in self._ahead

    def translate(self, peer, when):
        """The time `when` (ms, this node's clock) by the clock of `peer`, or somewhat earlier."""
        return when + self._ahead[peer]
