"""Founding: how a group begins, and how a founding that only some founders have on disk is completed. Pure.

All founders found the group by themselves once each knows that all are there and empty (`ring/meet.py`). If power is
lost just then, some have the founding on disk and others have not, and those that have it may be too few to elect a
leader. A founder that is still empty therefore takes the founding from one that has it: its disk is that of the same
incarnation, so it has never acknowledged anything, and its place is the one it would have taken.
"""

from asterwharf.consensus.log import Log
from asterwharf.consensus.states import State

# the view of a group that no one has led yet; a leader's is above it
UNLED = 0


class Founding:
    """The part of a replica that begins a group."""

    __slots__ = ()

    def found(self, members):
        """Founds the group with `members`: name -> incarnation."""
        assert self.empty
        self.log = Log(members=members)
        self.save_meta()
        self.change_state(State.FOLLOWER, 'founded')
        self.reset_election_timer()

    def _tell_founding(self, source, incarnation):
        """Tells a founder that is still empty who founds, as a snapshot of nothing; there may be no leader to do it."""
        if self.empty or self.log.last or self.log.members.get(source) != incarnation:
            return
        body = {'grp': self.group, 'view': UNLED, 'op': 0, 'stamp': 0, 'seats': dict(self.log.members)}
        self.outbox.send_after_sync(source, 'install_snapshot', dict(body, part=0, last=True, rows=[]))

    def _join_founding(self, members):
        if self.empty and members.get(self.name) == self.incarnation:
            self.found(members)
