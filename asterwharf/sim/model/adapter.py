"""The only place of the model that knows the product's names: everything else speaks the words of this page.

Product messages stay opaque: a kind, a body, and who sends it to whom.
"""

from dataclasses import dataclass

from asterwharf.base.settings import View
from asterwharf.consensus.replica import Replica as ProductReplica
from asterwharf.consensus.states import State
from asterwharf.sim.hosts import Disk

GROUP = 'g'
# of the silence bound: how long after an answered heartbeat was sent the leader may act without asking (orchard/tender.py)
LEASE_RATIO = 0.8


def settings(silence_ms=1000, keep_log=6, chunk=120, members=0, lost_ratio=8.0):
    """Bounds small enough that logs are cut and snapshots taken within a few operations."""
    return View(silence_ms=silence_ms, keep_log=keep_log, chunk=chunk, seats=members, lost_ratio=lost_ratio)


def new_disk(incarnation):
    return Disk(incarnation)


def write(disk, batch):
    disk.write(GROUP, batch)


def on_disk(disk, index, raw):
    """Whether the entry, or rows that came after it, would be found by a restart."""
    kept = disk.load(GROUP)
    if kept['meta'] is None:
        return False
    return kept['meta']['rows'][0] >= index or (index, raw) in kept['log']


@dataclass(frozen=True)
class Outgoing:
    """One message that a replica sends."""

    to: str
    kind: str
    body: dict


@dataclass(frozen=True)
class Result:
    """How an operation or a read ended: `committed` is False where its fate is not known."""

    token: int
    committed: bool
    index: int = 0
    value: object = None


class Replica:
    """One product replica behind neutral names."""

    __slots__ = ('core', 'machine')

    def __init__(self, name, disk, cfg, rng, machine, now):
        self.machine = machine
        self.core = ProductReplica(GROUP, name, disk.inc, cfg, rng, machine, disk.load(GROUP), now)

    # --- inputs
    def hear(self, sender, kind, body, now):
        self.core.receive(sender, kind, body, now)

    def tick(self, now, wall, peers):
        self.core.peers = set(peers)
        self.core.tick(now, wall)

    def synced(self, number, took, now):
        self.core.synced(number, took, now)

    def found(self, members):
        self.core.found(dict(members))

    def propose(self, body, token):
        return self.ready and self.core.leadership.accepts_proposals and self.core.propose(body, token)

    def confirm(self, token):
        return self.ready and self.core.confirm(token)

    def transfer(self):
        return bool(self.core.transfer_leadership())

    def replace(self, old, new):
        return self.core.leadership.replace(old, new, True) if self.core.leadership else 'no leader'

    def change_member(self, old, new, incarnation):
        """Orders a change of membership at once: for tests only."""
        self.core.propose_membership(old, new, incarnation)

    # --- outputs
    def take(self):
        """(batch for the disk or None, [Outgoing], [Result])."""
        output = self.core.take_output()
        self.core.state_changes = []
        done = [Result(r.token, False) if r.value is None else Result(r.token, True, *r.value) for r in output.results]
        return output.batch, [Outgoing(m.destination, m.kind, m.body) for m in output.messages], done

    # --- what the checks look at
    @property
    def empty(self):
        return self.core.empty

    @property
    def term(self):
        return self.core.view

    @property
    def leads(self):
        return self.core.state == State.LEADER

    @property
    def ready(self):
        """Leads, and has committed an entry of its own term."""
        return self.core.leadership is not None and self.core.leadership.ready

    @property
    def commit(self):
        return self.core.commit_index

    @property
    def last(self):
        return self.core.log.last

    def term_at(self, index):
        return self.core.log.view_at(index)

    def raw(self, index):
        """The entry at `index` as it lies on a disk; None where it is in the rows only."""
        entry = self.core.log.at(index)
        return entry.encode() if entry else None

    @property
    def members(self):
        """The newest membership in the log: name -> incarnation."""
        return self.core.log.members

    @property
    def member(self):
        return self.core.is_member

    @property
    def changing(self):
        return self.core.changing

    def committed_members(self):
        """The newest membership at or before the commit index."""
        tables = self.core.log.memberships
        known = max(self.core.commit_index, self.core.membership_committed, tables[0].index)
        return [t for t in tables if t.index <= known][-1].members

    def previous_members(self):
        """The membership before the newest one: committed, or the newest could not have been ordered."""
        tables = self.core.log.memberships
        return tables[-2].members if len(tables) > 1 else tables[-1].members

    def changes_under_way(self):
        """Membership entries of the log that are not committed yet, as far as this replica knows."""
        known = max(self.core.commit_index, self.core.membership_committed)
        return sum(t.index > known for t in self.core.log.memberships)

    def enough(self, voters):
        """Whether these (name, incarnation) are a quorum by all that this replica knows to be in force."""
        return self.core.is_quorum(set(voters))

    def leased(self, now):
        """Whether this leader would act without asking at `now` by its own clock."""
        if not self.ready:
            return False
        return now - self.core.leadership.lease_start() < self.core.settings.silence_ms * LEASE_RATIO


def remembered(replica):
    """What decides how a replica goes on, as one text: without clocks and counters."""
    core = replica.core
    log = core.log
    entries = [(e.index, e.view, e.kind, e.body) for e in log.entries]
    tables = [(t.index, sorted(t.members.items()), t.changed) for t in log.memberships]
    lead = core.leadership and (
        core.leadership.opening_index,
        core.leadership.successor,
        core.leadership.pending_reads,
        sorted(
            (n, w.acked_index, w.next_index, w.incarnation, w.part, w.snapshot is not None)
            for n, w in core.leadership.progress.items()
        ),
    )
    box = core.outbox
    return repr(
        (
            (
                core.state,
                core.view,
                core.vote,
                core.commit_index,
                core.leader,
                sorted(core.votes),
                core.membership_committed,
            ),
            (log.cut_index, log.cut_view, log.snapshot_index, log.snapshot_view, entries, tables),
            (lead, box.num, box.done, box.safe, box.waiting, sorted(core.rows.items())),
            core.now - core.leader_heard >= core.settings.silence_ms * 0.9,
        )
    )


def batch_key(batch):
    """All that a batch would write, as one text."""
    return repr((batch.num, batch.meta, batch.trim, batch.drop, batch.wipe, batch.log, sorted(batch.rows.items())))
