"""What a replica does while it leads: replicates, counts, confirms reads, holds its lease, hands over. Pure."""

from asterwharf.consensus.departure import Departures
from asterwharf.consensus.log import OPENING, Entry, Voter
from asterwharf.consensus.membership import MembershipChanges
from asterwharf.consensus.progress import FollowerProgress
from asterwharf.consensus.snapshot import SnapshotSender
from asterwharf.consensus.states import State

# heartbeats whose time of sending is kept
KEPT_HEARTBEATS = 64
# before any time on the monotonic clock
NEVER = -1 << 40
# of the silence bound: after this without an answer, entries are sent again
RESEND = 0.5
# ticks in a row with a slow disk after which the leadership is handed over
SLOW_TICKS = 5


class Leader(MembershipChanges, Departures, SnapshotSender):
    """The state of a leader, from the majority that elected it to the silence or the view that ends it."""

    __slots__ = (
        'accepts_proposals',
        'heartbeat',
        'heartbeat_at',
        'heartbeat_due',
        'heartbeat_sent',
        'membership_heartbeat',
        'opening_index',
        'pending_reads',
        'progress',
        'replacements',
        'replica',
        'slow_ticks',
        'stopping_since',
        'successor',
        'successor_since',
    )

    def __init__(self, replica):
        self.replica, self.heartbeat, self.heartbeat_at, self.heartbeat_due = replica, 0, NEVER, False
        self.pending_reads, self.opening_index, self.accepts_proposals = [], 0, True
        self.successor, self.successor_since, self.slow_ticks = '', 0, 0
        # heartbeat -> when it was sent, for what a majority has answered
        self.heartbeat_sent = {}
        # an operator's word: the member out of sight -> the newcomer that takes its place
        self.replacements = {}
        # the heartbeat that tells the newest membership change as committed; since when too few stay to go on
        self.membership_heartbeat, self.stopping_since = 0, None
        self.progress = {
            name: FollowerProgress(replica.now, replica.log.last + 1, incarnation)
            for name, incarnation in replica.all_members().items()
            if name != replica.name
        }

    def open(self):
        """Appends the opening entry: only an entry of its own view tells a leader what is committed of the older."""
        replica = self.replica
        self.opening_index = replica.log.last + 1
        replica.append_entry(Entry(self.opening_index, replica.view, OPENING))
        self.heartbeat_due = True

    @property
    def ready(self):
        """Whether the opening entry is committed, so that all that was committed before is known here."""
        return self.replica.commit_index >= self.opening_index

    def _is_current(self, name, progress):
        # a replica that lost its disk is another incarnation, and no member
        return progress.incarnation == self.replica.log.members.get(name)

    # --- time
    def tick(self):
        """Steps down without a majority in hearing; else heartbeats, membership changes, hand-over."""
        replica = self.replica
        silence = replica.settings.silence_ms
        near = self.voters_where(lambda progress: replica.now - progress.heard_at < silence)
        # without a majority in hearing this replica must neither order nor confirm
        if not replica.is_quorum(near) and replica.now - replica.state_since >= silence:
            replica.leader = ''
            replica.reset_election_timer()
            return replica.change_state(State.FOLLOWER, 'no majority in hearing')
        if replica.now - self.heartbeat_at >= silence * replica.settings.beat_ratio:
            self.heartbeat_due = True
        if self.successor and replica.now - self.successor_since > silence:
            return replica.retake_leadership()
        self._handle_departures()
        self._change_membership()
        self._relieve_slow_disk()

    def _relieve_slow_disk(self):
        """A leader whose disk is slow hands over to a follower whose disk is not."""
        self.slow_ticks = self.slow_ticks + 1 if self.replica.is_slow else 0
        if self.slow_ticks >= SLOW_TICKS and not self.successor and self._successors(False):
            self.transfer_leadership()

    # --- replicating
    def replicate(self):
        """Sends each follower what it lacks; called once a turn, so a turn's changes go together."""
        replica = self.replica
        if self.heartbeat_due:
            self.heartbeat += 1
            self.heartbeat_at = self.heartbeat_sent[self.heartbeat] = replica.now
            self.heartbeat_sent.pop(self.heartbeat - KEPT_HEARTBEATS, None)
        for name, progress in self.progress.items():
            self._replicate_to(name, progress)
        self.heartbeat_due = False

    def _replicate_to(self, name, progress):
        replica, log = self.replica, self.replica.log
        silence = replica.settings.silence_ms
        if progress.snapshot is not None:
            if self.heartbeat_due and replica.now - progress.part_sent_at > silence:
                self._send_part(name, progress)
            if self.heartbeat_due:
                self._append(name, progress, [])
            return
        lost_match = progress.next_index <= log.snapshot_index and log.view_at(progress.next_index - 1) is None
        if progress.next_index <= log.cut_index or lost_match:
            return self._start_snapshot(name, progress)
        # what is under way for long without an answer is sent again
        under_way = progress.next_index > progress.acked_index + 1 and progress.acked_index >= log.cut_index
        if under_way and progress.acked_index and replica.now - progress.appended_at > silence * RESEND:
            progress.next_index = progress.acked_index + 1
        entries = log.slice(progress.next_index, replica.settings.chunk) if progress.next_index <= log.last else []
        if entries or self.heartbeat_due:
            self._append(name, progress, entries)

    def _append(self, name, progress, entries):
        replica = self.replica
        previous = entries[0].index - 1 if entries else min(progress.next_index - 1, replica.log.last)
        view = replica.log.view_at(previous)
        if view is None:
            # nothing to match on: a bare heartbeat that claims nothing
            previous, view = 0, 0
        if entries:
            progress.next_index, progress.appended_at = entries[-1].index + 1, replica.now
        replica.outbox.send(
            name,
            'append',
            {
                'grp': replica.group,
                'view': replica.view,
                'beat': self.heartbeat,
                'prev': previous,
                'stamp': view,
                'upto': replica.commit_index,
                'entries': [entry.to_wire() for entry in entries],
                'released': progress.released,
            },
        )

    # --- counting
    def on_append_reply(self, source, message):
        """Counts what a follower has on disk, and that it answered a heartbeat."""
        replica = self.replica
        progress = self.progress.get(source)
        if progress is None or message['inc'] != progress.incarnation:
            return
        progress.heard_at, progress.slow = replica.now, message['slow']
        self._note_leaving(progress, message)
        progress.clock_offset = message['wall'] - replica.now
        if message['ok']:
            # a refusal may be of an append of an earlier view, whose heartbeats had the same numbers
            progress.heartbeat = max(progress.heartbeat, message['beat'])
        if not message['ok']:
            # an empty replica is brought up by a snapshot, which its join request asks for
            if message['op'] >= 0 and progress.snapshot is None:
                progress.next_index = min(progress.next_index, message['op'] + 1)
                progress.acked_index = min(progress.acked_index, message['op'])
        elif message['op'] > progress.acked_index:
            progress.acked_index = message['op']
            progress.next_index = max(progress.next_index, progress.acked_index + 1)
        self.count()
        self._name_successor()

    def count(self):
        """Commits what a majority has synced, and answers the reads a majority confirmed."""
        replica = self.replica
        while True:
            old = replica.commit_index
            self._commit_newest()
            if replica.commit_index == old:
                break
            # a membership change that was just committed changes who counts for the rest; of anything else the
            # followers learn that it is committed with the next entries or the next heartbeat
            self._forget_former_members()
            if any(old < membership.index <= replica.commit_index for membership in replica.log.memberships):
                self.membership_heartbeat, self.heartbeat_due = self.heartbeat + 1, True
            self.heartbeat_due = self.heartbeat_due or replica.log.memberships[-1].index > old
        self._answer_reads()

    def _commit_newest(self):
        replica = self.replica
        acked = {progress.acked_index for progress in self.progress.values()} | {replica.outbox.safe}
        for index in sorted(acked, reverse=True):
            if index <= replica.commit_index:
                return
            # only entries of this view are counted; the older go with them
            if replica.log.view_at(index) == replica.view and replica.is_quorum(self._holders_of(index)):
                return replica.commit_to(index)

    def _holders_of(self, index):
        replica = self.replica
        return self.voters_where(lambda progress: progress.acked_index >= index, replica.outbox.safe >= index)

    def voters_where(self, holds, itself=True):
        """The replicas of whose progress `holds` is true, and this one where `itself` is."""
        voters = {Voter(name, p.incarnation) for name, p in self.progress.items() if holds(p)}
        return voters | {self.replica.voter} if itself else voters

    def _confirms(self, heartbeat):
        """Whether a majority has answered this heartbeat or a later one."""
        return self.replica.is_quorum(self.voters_where(lambda progress: progress.heartbeat >= heartbeat))

    def _answer_reads(self):
        replica = self.replica
        if not self.pending_reads or not self.ready:
            return
        waiting = []
        for token, heartbeat in self.pending_reads:
            if self._confirms(heartbeat):
                replica.finish(token, (replica.commit_index, None))
            else:
                waiting.append((token, heartbeat))
        self.pending_reads = waiting

    def lease_start(self):
        """When the newest heartbeat that a majority has answered was sent: nobody else was voted for before that."""
        if self.successor:
            # the one that was named may lead at any moment
            return NEVER
        if len(self.replica.log.members) == 1:
            return self.replica.now
        for heartbeat in sorted({progress.heartbeat for progress in self.progress.values()}, reverse=True):
            if self._confirms(heartbeat):
                return self.heartbeat_sent.get(heartbeat, NEVER)
        return NEVER

    def confirm(self, token, soon=True):
        """Waits for a majority to answer a heartbeat that was not sent yet; `soon` sends one at once."""
        self.pending_reads.append((token, self.heartbeat + 1))
        self.heartbeat_due = self.heartbeat_due or soon
        if len(self.replica.log.members) == 1:
            self._answer_reads()

    # --- handing over
    def _successors(self, slow):
        """Who may follow in the leadership, best first; those with a slow disk only where `slow` is set."""
        replica = self.replica
        names = [
            name
            for name, progress in self.progress.items()
            if self._is_current(name, progress)
            and replica.now - progress.heard_at < replica.settings.silence_ms
            and (slow or not progress.slow)
            and not progress.leaving
        ]
        return sorted(names, key=lambda name: (self.progress[name].slow, -self.progress[name].acked_index, name))

    def transfer_leadership(self):
        """Names the follower that is furthest; True when there is one."""
        successors = self._successors(True)
        if not successors or not self.ready:
            return False
        self.successor, self.successor_since = successors[0], self.replica.now
        self.accepts_proposals, self.heartbeat_due = False, True
        self._name_successor()
        return True

    def _name_successor(self):
        replica = self.replica
        progress = self.progress.get(self.successor) if self.successor else None
        # it must have all there is, or the others would not vote for it
        if progress is not None and progress.acked_index >= replica.log.last:
            body = {'grp': replica.group, 'view': replica.view}
            replica.outbox.send(self.successor, 'transfer_leadership', body)

    def median_wall(self):
        """The wall clock by the median of the members, so that one jumped clock is outvoted."""
        replica = self.replica
        offsets = sorted(
            [replica.wall - replica.now]
            + [
                progress.clock_offset
                for name, progress in self.progress.items()
                if progress.clock_offset is not None and name in replica.log.members
            ]
        )
        return replica.now + offsets[(len(offsets) - 1) // 2]
