"""The ordered log of one group and the memberships that its entries make."""

import json
from dataclasses import dataclass
from typing import NamedTuple

from asterwharf.wire.schema import kind, pack, unpack

kind(60, 'entry', {'op': 'l', 'view': 'l', 'kind': 's', 'body': 'y'})

# kinds of entries, as they stand on disk and on the wire
CHANGE, OPENING, MEMBERSHIP = 'change', 'open', 'seats'
# room that an entry takes in a message beside its body, bytes
ENTRY_OVERHEAD = 32


class Entry:
    """One change, with its index and the view in which it was proposed."""

    __slots__ = ('body', 'index', 'kind', 'view')

    def __init__(self, index, view, entry_kind, body=b''):
        self.index, self.view, self.kind, self.body = index, view, entry_kind, body

    @property
    def size(self):
        """Bytes that the entry takes in memory, on disk and in a message, about."""
        return len(self.body) + ENTRY_OVERHEAD

    def to_wire(self):
        """The entry as a field of an append message."""
        return {'op': self.index, 'view': self.view, 'kind': self.kind, 'body': self.body}

    def encode(self):
        """The entry as it is kept on disk."""
        return pack('entry', self.to_wire())

    @classmethod
    def from_wire(cls, record):
        """The entry of a field of an append message."""
        return cls(record['op'], record['view'], record['kind'], record['body'])

    @classmethod
    def decode(cls, raw):
        """The entry of what is kept on disk."""
        return cls.from_wire(unpack(raw)[1])


class Voter(NamedTuple):
    """One replica as memberships and quorums know it: one that lost its disk is another voter."""

    name: str
    incarnation: str


@dataclass(slots=True)
class Membership:
    """The members (name -> incarnation) from the entry `index` on; `changed` is the member that entry brought in."""

    index: int
    members: dict
    changed: str = ''


class Log:
    """Entries after `cut_index`; what lies before is only in the snapshot, which stands at `snapshot_index`."""

    __slots__ = ('cut_index', 'cut_view', 'entries', 'memberships', 'size', 'snapshot_index', 'snapshot_view')

    def __init__(self, cut_index=0, cut_view=0, snapshot_index=0, snapshot_view=0, members=None):
        self.cut_index, self.cut_view = cut_index, cut_view
        self.snapshot_index, self.snapshot_view = snapshot_index, snapshot_view
        # `size`: bytes of all entries
        self.size = 0
        self.entries, self.memberships = [], [Membership(snapshot_index, dict(members or {}))]

    @property
    def last(self):
        """The index of the newest entry."""
        return self.entries[-1].index if self.entries else max(self.cut_index, self.snapshot_index)

    @property
    def last_view(self):
        """The view of the newest entry."""
        if self.entries:
            return self.entries[-1].view
        return self.cut_view if self.cut_index >= self.snapshot_index else self.snapshot_view

    @property
    def members(self):
        """The newest membership, committed or not: name -> incarnation."""
        return self.memberships[-1].members

    def memberships_in_force(self, committed):
        """The memberships of which each must give a majority; `committed` is the newest index known to be committed.

        While a membership change is under way these are the one before it and the one after it.
        """
        newest = self.memberships[-1]
        under_way = newest.index > committed and len(self.memberships) > 1
        return [self.memberships[-2].members, newest.members] if under_way else [newest.members]

    def at(self, index):
        """The entry at `index`, or None where the log does not hold it."""
        i = index - self.cut_index - 1
        return self.entries[i] if 0 <= i < len(self.entries) else None

    def view_at(self, index):
        """The view of the entry at `index`, or None where it is not known any more."""
        if index == self.cut_index:
            return self.cut_view
        if index == self.snapshot_index:
            return self.snapshot_view
        entry = self.at(index)
        return entry.view if entry else None

    def append(self, entry, restored=False):
        """Appends; `restored` entries come from the disk, where the log may begin before the snapshot's end."""
        before = self.cut_index + len(self.entries) if restored else self.last
        assert entry.index == before + 1, (entry.index, self.last)
        if not self.entries and not restored:
            # after a snapshot was installed the log begins behind it
            self.cut_index, self.cut_view = entry.index - 1, self.view_at(entry.index - 1) or 0
        self.entries.append(entry)
        self.size += entry.size
        if entry.kind == MEMBERSHIP and entry.index > self.snapshot_index:
            change = json.loads(entry.body)
            members = dict(self.members)
            members.pop(change['out'], None)
            members[change['in']] = change['inc']
            self.memberships.append(Membership(entry.index, members, change['in']))

    def truncate(self, index):
        """Cuts every entry from `index` on; the memberships go back with them."""
        keep = index - self.cut_index - 1
        self.size -= sum(entry.size for entry in self.entries[keep:])
        del self.entries[keep:]
        while len(self.memberships) > 1 and self.memberships[-1].index >= index:
            self.memberships.pop()

    def drop_through(self, index):
        """Forgets the entries up to `index`, which the snapshot holds already."""
        entry = self.at(index)
        if entry is None:
            return
        gone = index - self.cut_index
        self.size -= sum(entry.size for entry in self.entries[:gone])
        del self.entries[:gone]
        self.cut_index, self.cut_view = index, entry.view

    def move_snapshot(self, index):
        """The snapshot now stands at `index`."""
        self.snapshot_index, self.snapshot_view = index, self.view_at(index)
        while len(self.memberships) > 1 and self.memberships[1].index <= index:
            self.memberships.pop(0)

    def tail(self, index, entries, size):
        """The last index to drop so that of the entries up to `index` at most so many, and so many bytes, stay."""
        kept = 0
        while index > self.cut_index and entries > 0:
            kept += self.at(index).size
            if kept > size:
                break
            index, entries = index - 1, entries - 1
        return index

    def slice(self, start, size):
        """Entries from `start` on, up to about `size` bytes, at least one."""
        out, total = [], 0
        for entry in self.entries[start - self.cut_index - 1 :]:
            if out and total + entry.size > size:
                break
            out.append(entry)
            total += entry.size
        return out
