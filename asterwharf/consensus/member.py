"""The controller round a replica: its messages, its write batches, and who waits for a commit. Pure."""

from asterwharf.base.board import Controller
from asterwharf.consensus.replica import Replica
from asterwharf.consensus.states import State
from asterwharf.wire.schema import pack, speaks

# the first protocol in which a follower says that it leaves and is told that it may
RELEASES = 5


class GroupMember(Controller):
    """This process's part in one group; other controllers propose and read through it."""

    __slots__ = ('eligible', 'had_place', 'grp', 'mac', 'nxt', 'protos', 'replica', 'then')
    hears = (
        'pre_vote',
        'pre_vote_reply',
        'request_vote',
        'vote_reply',
        'append',
        'append_reply',
        'install_snapshot',
        'snapshot_reply',
        'transfer_leadership',
        'join_request',
    )

    def __init__(self, b, grp, mac, saved, eligible=()):
        """`eligible` are the nodes that may be members; without a list, the core nodes."""
        super().__init__(b)
        self.eligible, self.protos = frozenset(eligible), {b.me: b.proto}
        self.grp, self.mac, self.then, self.nxt = grp, mac, {}, 0
        mac.reads = mac.floor = b.proto
        # whether it was a member when its process was told to end; None before that
        self.had_place = None
        self.replica = Replica(grp, b.me, b.inc, b.set.view, b.rng, mac, saved, b.now)

    def __getattr__(self, nam):
        # every message of the group goes to the replica
        if not nam.startswith('on_'):
            raise AttributeError(nam)
        kind = nam[3:]

        def on(source, message):
            if message['grp'] == self.grp:
                self.replica.receive(source, kind, message, self.b.now)

        return on

    @property
    def leads(self):
        """Whether this replica leads, and knows all that was committed before."""
        leadership = self.replica.leadership
        return leadership is not None and leadership.ready

    @property
    def takes(self):
        """Whether this replica leads and takes proposals."""
        return self.leads and self.replica.leadership.accepts_proposals

    @property
    def wall(self):
        """The wall clock in ms: the members' median where this replica leads, else its own."""
        return self.replica.leadership.median_wall() if self.replica.leadership else self.b.wall

    @property
    def floor(self):
        """The oldest protocol among the members, as far as each was ever heard.

        A member that was lost for good is never heard again after a restart; what the log shows it could read, it
        could.
        """
        members = self.replica.all_members() or [self.b.me]
        return max(self.replica.proved, min(self.protos.get(name, 1) for name in members))

    def order(self, kind, doc, then=None):
        """Proposes a change; `then` gets (index, result), or None when its fate is not known."""
        self.nxt += 1
        # a change must be readable by every member, also in the middle of a roll-out
        seq = speaks(kind, self.floor)
        if not seq or not self.replica.propose(pack(kind, doc, seq), self.nxt):
            return False
        self.then[self.nxt] = then
        return True

    def confirm(self, then, soon=True):
        """Calls `then(True)` once a majority has confirmed this leader, `then(None)` if it lost the view.

        What can wait for the next heartbeat asks for none of its own.
        """
        self.nxt += 1
        if not self.replica.confirm(self.nxt, soon):
            return False
        self.then[self.nxt] = then
        return True

    def leave(self):
        """Hands over what is held here; whether the process may end as far as this group is concerned."""
        replica = self.replica
        if self.had_place is None:
            self.had_place = replica.is_member
        replica.leaving = True
        if not self.had_place or len(replica.log.members) == 1 or replica.released:
            return True
        leadership = replica.leadership
        if leadership is not None:
            if not leadership.successor and not leadership.all_stop:
                replica.transfer_leadership()
            return leadership.may_end()
        # an older leader does not know of leaving
        return bool(replica.leader) and self.protos.get(replica.leader, self.b.proto) < RELEASES

    def found(self, members):
        """Founds the group with `members`: name -> incarnation."""
        self.replica.found(members)

    def synced(self, num, took):
        """The disk has batch `num`, after `took` ms."""
        self.replica.synced(num, took, self.b.now)

    def tick(self):
        """Tells the replica the time and who is connected."""
        links, replica = self.b.links, self.replica
        replica.peers = {
            p for p, h in links.items() if (p in self.eligible if self.eligible else h['role'] == 'trellis')
        }
        self.protos.update((p, h['proto']) for p, h in links.items())
        replica.zones.update((p, h['zone']) for p, h in links.items())
        replica.zones[self.b.me] = self.b.zone
        # rows go to followers as they are: they, too, must be readable by all
        self.mac.floor = self.floor
        replica.tick(self.b.now, self.b.wall)

    def flush(self):
        """Sends, writes and answers whatever has come up."""
        replica = self.replica
        while True:
            output = replica.take_output()
            for message in output.messages:
                self.b.send(message.destination, message.kind, **message.body)
            if output.batch is not None:
                self.b.do('write', self.grp, output.batch)
            for result in output.results:
                then = self.then.pop(result.token, None)
                if then:
                    then(result.value)
            if not output.results:
                break
        for change in replica.state_changes:
            self.b.log('info', 'view', group=self.grp, was=change.old, now=change.new, view=change.view, why=change.why)
            if State.LEADER in (change.old, change.new):
                self.b.holders.pop(self.grp, None)
        replica.state_changes = []
        if replica.state == State.LEADER:
            self.b.holders[self.grp] = (self.b.me, replica.view)
        elif replica.leader:
            self.b.holders[self.grp] = (replica.leader, replica.view)


def group_members(node):
    """The group members among the controllers of a node, by group."""
    return {c.grp: c for c in node.ctl if isinstance(c, GroupMember)}


def leave(node):
    """Hands over every leadership and every place; True when nothing is held or needed here any more."""
    # every group is asked, also after one that is not ready
    return all([member.leave() for member in group_members(node).values()])  # noqa: C419


def cut_short(node):
    """The time for leaving is over: says which groups still needed this process."""
    for member in group_members(node).values():
        if not member.leave():
            replica = member.replica
            node.b.log('warning', 'left too early', group=member.grp, state=replica.state, leader=replica.leader)
