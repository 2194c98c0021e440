"""The only place of the model that knows the product's names: everything else speaks the words of this page.

Product messages stay opaque: a kind, a body, and who sends it to whom.
"""

from dataclasses import dataclass

from asterwharf.base.settings import View
from asterwharf.sim.hosts import Disk
from asterwharf.view.seat import CANVASS, HOLDER, Seat

GROUP = 'g'
# of the silence bound: how long after an answered heartbeat was sent the leader may act without asking (orchard/tender.py)
LEASE_RATIO = 0.8
# message kinds by what they are for
VOTE_REQUEST, SNAPSHOT, TRANSFER, PRE_VOTE = 'canvass', 'snap', 'succeed', 'sound'


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
        self.core = Seat(GROUP, name, disk.inc, cfg, rng, machine, disk.load(GROUP), now)

    # --- inputs
    def hear(self, sender, kind, body, now):
        self.core.hear(sender, kind, body, now)

    def tick(self, now, wall, peers):
        self.core.peers = set(peers)
        self.core.tick(now, wall)

    def synced(self, number, took, now):
        self.core.synced(number, took, now)

    def found(self, members):
        self.core.found(dict(members))

    def propose(self, body, token):
        return self.ready and self.core.ten.taking and self.core.propose(body, token)

    def confirm(self, token):
        return self.ready and self.core.confirm(token)

    def transfer(self):
        return bool(self.core.hand_over())

    def replace(self, old, new):
        return self.core.ten.replace(old, new, True) if self.core.ten else 'no leader'

    def change_member(self, old, new, incarnation):
        """Orders a change of membership at once: for tests only."""
        self.core.change_seat(old, new, incarnation)

    # --- outputs
    def take(self):
        """(batch for the disk or None, [Outgoing], [Result])."""
        batch, messages, results = self.core.take()
        self.core.news = []
        done = [
            Result(t, False) if r is None else Result(t, True, r[0], r[1]) for t, r in results
        ]
        return batch, [Outgoing(*m) for m in messages], done

    # --- what the checks look at
    @property
    def empty(self):
        return self.core.empty

    @property
    def term(self):
        return self.core.view

    @property
    def leads(self):
        return self.core.state == HOLDER

    @property
    def candidate(self):
        return self.core.state == CANVASS

    @property
    def ready(self):
        """Leads, and has committed an entry of its own term."""
        return self.core.ten is not None and self.core.ten.ready

    @property
    def first_own_index(self):
        return self.core.ten.opened

    @property
    def commit(self):
        return self.core.upto

    @property
    def last(self):
        return self.core.log.last

    @property
    def snapshot_index(self):
        return self.core.log.rows_op

    def term_at(self, index):
        return self.core.log.view_at(index)

    def raw(self, index):
        """The entry at `index` as it lies on a disk; None where it is in the rows only."""
        entry = self.core.log.at(index)
        return entry.raw() if entry else None

    @property
    def members(self):
        """The newest membership in the log: name -> incarnation."""
        return self.core.log.seats

    @property
    def member(self):
        return self.core.seated

    @property
    def changing(self):
        return self.core.changing

    def committed_members(self):
        """The newest membership at or before the commit index."""
        tables = self.core.log.tabs
        known = max(self.core.upto, self.core.sure, tables[0].op)
        return [t for t in tables if t.op <= known][-1].seats

    def previous_members(self):
        """The membership before the newest one: committed, or the newest could not have been ordered."""
        tables = self.core.log.tabs
        return tables[-2].seats if len(tables) > 1 else tables[-1].seats

    def changes_under_way(self):
        """Membership entries of the log that are not committed yet, as far as this replica knows."""
        known = max(self.core.upto, self.core.sure)
        return sum(t.op > known for t in self.core.log.tabs)

    def enough(self, names):
        """Whether these members are a quorum by this replica's newest membership."""
        return self.core.enough(set(names))

    def leased(self, now):
        """Whether this leader would act without asking at `now` by its own clock."""
        if not self.ready:
            return False
        return now - self.core.ten.lease() < self.core.cfg.silence_ms * LEASE_RATIO


def remembered(replica):
    """What decides how a replica goes on, as one text: without clocks and counters."""
    core = replica.core
    log = core.log
    entries = [(e.op, e.view, e.kind, e.body) for e in log.lst]
    tables = [(t.op, sorted(t.seats.items()), t.into) for t in log.tabs]
    lead = core.ten and (
        core.ten.opened,
        core.ten.heir,
        core.ten.reads,
        sorted((n, w.ack, w.nxt, w.inc, w.part, w.snap is not None) for n, w in core.ten.ways.items()),
    )
    box = core.desk
    return repr(
        (
            (core.state, core.view, core.vote, core.upto, core.holder, sorted(core.votes), core.sure),
            (log.cut_op, log.cut_view, log.rows_op, log.rows_view, entries, tables),
            (lead, box.num, box.done, box.safe, box.held, sorted(core.rows.items())),
            core.now - core.heard >= core.cfg.silence_ms * 0.9,
        )
    )


def batch_key(batch):
    """All that a batch would write, as one text."""
    return repr((batch.num, batch.meta, batch.trim, batch.drop, batch.wipe, batch.log, sorted(batch.rows.items())))
