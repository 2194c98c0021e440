"""Watches the checkpoints of every simulated replica: one that begins anew from a checkpoint may not differ."""

from dataclasses import dataclass

from asterwharf.consensus.member import group_members
from asterwharf.consensus.restoring import restored_differences


@dataclass(frozen=True, slots=True)
class Difference:
    """The parts of a replica's state that its own checkpoint did not say."""

    host: str
    group: str
    parts: tuple[str, ...]


class ReplicaWatch:
    """Keeps the differences that were found, for those who judge a run."""

    __slots__ = ('differences',)

    def __init__(self):
        self.differences = []

    def watch(self, host, node):
        """Compares the state machines of a node's replicas at each of their checkpoints."""
        for group, member in group_members(node).items():
            member.replica.checkpoint_taken = self._comparing(host, group)

    def _comparing(self, host, group):
        def compare(machine, rows):
            parts = restored_differences(machine, rows)
            if parts:
                self.differences.append(Difference(host, group, tuple(parts)))

        return compare

    def verdict(self):
        """What is wrong, in one line; '' where nothing is."""
        if not self.differences:
            return ''
        return f'{len(self.differences)} checkpoints say less than their replicas know: {self.differences[0]}'
