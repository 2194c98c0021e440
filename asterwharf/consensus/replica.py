"""One replica of a group: viewstamped replication with pre-votes and leases. Pure.

A change is committed when a majority of members has it synced; all apply in one
order. A change of view stops, truncates what no majority can have, and goes on.
Times are in ms: `now` of a monotonic clock, `wall` of the wall clock.
"""

import json
from dataclasses import dataclass

from asterwharf.consensus.election import Election
from asterwharf.consensus.founding import Founding
from asterwharf.consensus.log import CHANGE, MEMBERSHIP, Entry, Log, Voter
from asterwharf.consensus.outbox import Message, Outbox, WriteBatch
from asterwharf.consensus.replication import Replication
from asterwharf.consensus.snapshot import SnapshotReceiver
from asterwharf.consensus.states import ALLOWED_CHANGES, State, StateChange
from asterwharf.wire.schema import since

# of the heartbeat interval: how often a learner asks to join
JOIN_INTERVAL = 2


@dataclass(frozen=True, slots=True)
class Result:
    """The end of a proposal or confirmation: `value` is (index, result), or None when its fate is not known."""

    token: int
    value: tuple | None


@dataclass(frozen=True, slots=True)
class Output:
    """All that has come up in a replica since the last output; the messages go out whatever becomes of the batch."""

    batch: WriteBatch | None
    messages: list[Message]
    results: list[Result]


class Replica(Election, Founding, Replication, SnapshotReceiver):
    """Takes messages, ticks and sync notices; leaves messages, write batches and results."""

    __slots__ = (
        'bytes_since_checkpoint',
        'checkpoint_taken',
        'commit_index',
        'counters',
        'election_due',
        'group',
        'incarnation',
        'join_asked_at',
        'leader',
        'leader_heard',
        'leadership',
        'lease_possible_from',
        'leaving',
        'log',
        'machine',
        'membership_committed',
        'name',
        'now',
        'outbox',
        'peers',
        'pending',
        'proved',
        'released',
        'results',
        'rng',
        'rows',
        'settings',
        'snapshot_parts',
        'snapshot_transfer',
        'started_at',
        'state',
        'state_changes',
        'state_since',
        'sync_lag',
        'view',
        'vote',
        'votes',
        'wall',
        'zones',
    )

    def __init__(self, group, name, incarnation, settings, rng, machine, saved, now):
        """`saved` is what the store has of the group: meta, log and rows."""
        self.group, self.name, self.incarnation, self.settings = group, name, incarnation, settings
        self.rng, self.machine, self.now, self.wall, self.started_at = rng, machine, now, now, now
        self.view, self.vote, self.votes, self.commit_index = 0, '', set(), 0
        self.leader, self.leadership, self.bytes_since_checkpoint = '', None, 0
        # `checkpoint_taken(machine, rows)` is told of each checkpoint, where the simulator looks at them
        self.checkpoint_taken = None
        # whether the process was told to end, and whether a leader has said that it is not needed any more
        self.leaving, self.released = False, False
        self.log, self.rows, self.snapshot_parts, self.snapshot_transfer = Log(), {}, [], None
        # proposals by index: (view, token); the last membership change that is known to be committed
        self.pending, self.membership_committed = {}, 0
        self.results, self.state_changes = [], []
        # eligible replicas that are connected, and the zone of each
        self.peers, self.zones, self.join_asked_at = set(), {}, 0
        # what was proposed once in a protocol's words, every member could read
        self.proved = 0
        self.state, self.state_since = State.LEARNER, now
        self.leader_heard, self.election_due, self.sync_lag = now - settings.silence_ms, 0, 0
        # when a leader may have begun a lease with an answer of an earlier life of this replica
        self.lease_possible_from = now - settings.silence_ms
        self.counters = {'views': 0, 'syncs': 0, 'sent': 0, 'handed': 0, 'trimmed': 0}
        if saved['meta']:
            self._restore(saved)
        self.outbox = Outbox(self.log.last)
        self.reset_election_timer()

    def _restore(self, saved):
        meta = saved['meta']
        self.view, self.vote, self.membership_committed = meta['view'], meta['vote'], meta.get('sure', 0)
        self.log = Log(*meta['cut'], *meta['rows'], meta['seats'])
        self.rows = saved['rows']
        self.machine.load(self.rows)
        for _, raw in saved['log']:
            entry = Entry.decode(raw)
            if entry.index > self.log.cut_index:
                self.log.append(entry, restored=True)
                self._prove(entry)
        self._prove_rows()
        # what was committed is known only from the rows; the rest waits for a leader
        self.commit_index = self.log.snapshot_index
        if self.is_member:
            self.state = State.FOLLOWER
        if set(self.log.members) != {self.name}:
            # what was answered just before the end of the earlier life is not known any more
            self.lease_possible_from = self.now

    # --- members and majorities
    @property
    def empty(self):
        """Whether this replica knows no members: it was never founded, or has lost its disk."""
        return not self.log.members

    @property
    def is_member(self):
        """Whether this incarnation is a member of the group."""
        return self.is_voter(self.name, self.incarnation)

    @property
    def changing(self):
        """The member that a change not yet committed brings in, or ''."""
        newest = self.log.memberships[-1]
        return newest.changed if newest.index > max(self.commit_index, self.membership_committed) else ''

    @property
    def memberships_in_force(self):
        """Two while a membership change is not known to be committed, else one: name -> incarnation each."""
        return self.log.memberships_in_force(max(self.commit_index, self.membership_committed))

    @property
    def voter(self):
        """This replica as quorums count it."""
        return Voter(self.name, self.incarnation)

    def is_quorum(self, voters):
        """Whether `voters` are a majority of each membership in force."""
        return all(
            2 * sum(member in voters for member in members.items()) > len(members)
            for members in self.memberships_in_force
        )

    def is_voter(self, name, incarnation):
        """Whether this incarnation is a member by any membership in force."""
        return any(members.get(name) == incarnation for members in self.memberships_in_force)

    def all_members(self):
        """Name -> newest incarnation, over the memberships in force."""
        return {name: inc for members in self.memberships_in_force for name, inc in members.items()}

    def other_members(self):
        """The names of all members but this one."""
        return [name for name in self.all_members() if name != self.name]

    # --- the one function for every change of state
    def change_state(self, new, why):
        """Changes the state. Raises AssertionError for a change that is not allowed."""
        if new not in ALLOWED_CHANGES[self.state] and new != self.state:
            raise AssertionError(f'{self.group}: {self.state} -> {new}')
        old, self.state = self.state, State(new)
        if old == State.LEADER and new != State.LEADER:
            self._lose_leadership()
        if old != new:
            self.state_since = self.now
            self.state_changes.append(StateChange(old, self.state, self.view, why))

    def _lose_leadership(self):
        reads, self.leadership = self.leadership.pending_reads, None
        # the fate of what was not committed yet is for the next leader to say; a read is asked again there
        for _, token in self.pending.values():
            self.finish(token, None)
        for token, _ in reads:
            self.finish(token, None)
        self.pending = {}

    # --- what is kept
    def save_meta(self):
        """Puts view, vote and the bounds of log and snapshot into the next sync."""
        log = self.log
        self.outbox.current().meta = {
            'view': self.view,
            'vote': self.vote,
            'cut': [log.cut_index, log.cut_view],
            'rows': [log.snapshot_index, log.snapshot_view],
            'seats': log.memberships[0].members,
            'sure': self.membership_committed,
        }

    def _prove(self, entry):
        if entry.kind == CHANGE:
            self.proved = max(self.proved, since(entry.body))

    def _prove_rows(self):
        self.proved = max([self.proved, *(since(row) for row in self.rows.values())])

    def append_entry(self, entry):
        """Appends to the log and to the next sync."""
        self.log.append(entry)
        self._prove(entry)
        self.outbox.current().log.append((entry.index, entry.encode()))

    def _truncate(self, index):
        assert index > self.commit_index, 'a committed change is never truncated'
        self.log.truncate(index)
        self.outbox.truncate(index)
        batch = self.outbox.current()
        batch.trim = index if batch.trim is None else min(batch.trim, index)
        batch.log = [row for row in batch.log if row[0] < index]
        self.counters['trimmed'] += 1

    def take_output(self):
        """Takes the output since the last call."""
        if self.leadership:
            self.leadership.replicate()
        batch = self.outbox.take_batch(self.log.last)
        messages, self.outbox.messages = self.outbox.messages, []
        results, self.results = self.results, []
        self.counters['sent'] += len(messages)
        if batch:
            self.counters['syncs'] += 1
        return Output(batch, messages, results)

    def synced(self, num, took, now):
        """The disk has batch `num`; `took` is how long the sync lasted, in ms."""
        self.now = now
        self.sync_lag = (3 * self.sync_lag + took) / 4
        self.outbox.synced(num)
        if self.leadership:
            self.leadership.count()
        elif self.state == State.CANDIDATE:
            self._count_votes()

    @property
    def is_slow(self):
        """Whether the disk is so slow that another should lead."""
        return self.sync_lag > self.settings.silence_ms * self.settings.slow_sync_ratio

    # --- time and messages
    def tick(self, now, wall):
        """Time has passed: a leader sends heartbeats, a learner asks to join, a follower may stand for election."""
        self.now, self.wall = now, wall
        if self.leadership:
            return self.leadership.tick()
        if self.state == State.LEARNER:
            return self._ask_to_join()
        if now >= self.election_due:
            self._start_pre_vote()

    def _ask_to_join(self):
        if self.now - self.join_asked_at < self.settings.silence_ms * self.settings.beat_ratio * JOIN_INTERVAL:
            return
        self.join_asked_at = self.now
        index = -1 if self.empty else self.log.last
        for peer in sorted(self.peers):
            body = {'grp': self.group, 'inc': self.incarnation, 'op': index, 'leaving': self.leaving}
            self.outbox.send(peer, 'join_request', body)

    def receive(self, source, kind, message, now):
        """Takes one message of this group."""
        self.now = now
        getattr(self, f'on_{kind}')(source, message)

    def on_append_reply(self, source, message):
        """A follower's answer, for the leader of this view."""
        if message['view'] > self.view:
            return self.enter_view(message['view'], '')
        if self.leadership and message['view'] == self.view:
            self.leadership.on_append_reply(source, message)

    def on_snapshot_reply(self, source, message):
        """An answer to a part of a snapshot, for the leader of this view."""
        if self.leadership and message['view'] == self.view:
            self.leadership.on_snapshot_reply(source, message)

    def on_join_request(self, source, message):
        """A learner's request, for the leader; before there is one, founders help each other."""
        if self.leadership:
            self.leadership.on_join_request(source, message)
        elif message['op'] < 0:
            self._tell_founding(source, message['inc'])

    # --- what the host asks of it
    def propose(self, raw, token):
        """Proposes a change; False when this replica can't."""
        if self.leadership is None or not self.leadership.accepts_proposals:
            return False
        entry = Entry(self.log.last + 1, self.view, CHANGE, raw)
        self.append_entry(entry)
        self.pending[entry.index] = (self.view, token)
        return True

    def _answer_proposal(self, entry, value):
        proposal = self.pending.pop(entry.index, None)
        if proposal is not None:
            view, token = proposal
            # another view's entry may stand where ours would have stood
            self.finish(token, (entry.index, value) if view == entry.view else None)

    def finish(self, token, value):
        """Leaves the end of a proposal or confirmation for the next output."""
        self.results.append(Result(token, value))

    def confirm(self, token, soon=True):
        """Asks a majority whether this replica still leads; the result comes with the output."""
        if self.leadership is None:
            return False
        self.leadership.confirm(token, soon)
        return True

    def transfer_leadership(self):
        """Hands the leadership to a follower; True when there is one."""
        return self.leadership.transfer_leadership() if self.leadership else False

    def propose_membership(self, old, new, incarnation):
        """Proposes that `new` takes the place of `old`, or a place of its own where `old` is ''."""
        body = json.dumps({'out': old, 'in': new, 'inc': incarnation}).encode()
        self.append_entry(Entry(self.log.last + 1, self.view, MEMBERSHIP, body))
