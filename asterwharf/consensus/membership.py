"""Membership changes, one member at a time: growth, return after a lost disk, replacement of a lost member. Pure."""

from asterwharf.consensus.progress import FollowerProgress
from asterwharf.consensus.states import State

# of the silence bound: how long a newcomer from another zone waits for a lost member
OTHER_ZONE_WAIT = 30.0
# of the silence bound: within this a member was heard a moment ago; a replaced one is forgotten after that
FRESH, IN_SIGHT, FORGOTTEN = 0.5, 2, 5


class MembershipChanges:
    """The part of a leader that decides who becomes a member, and in whose place."""

    __slots__ = ()

    def on_join_request(self, source, message):
        """A learner asks to be brought up to date; `op` is -1 where it is empty."""
        replica = self.replica
        progress = self.progress.get(source)
        if progress is None or progress.incarnation != message['inc']:
            progress = self.progress[source] = FollowerProgress(replica.now, 0, message['inc'])
        progress.heard_at = replica.now
        self._note_leaving(progress, message)
        if message['op'] < 0 and progress.snapshot is None:
            progress.next_index, progress.acked_index = 0, 0
        elif progress.next_index == 0 and progress.snapshot is None and message['op'] >= 0:
            progress.next_index = min(message['op'], replica.log.last) + 1

    def _change_membership(self):
        """One member at a time: a learner that has caught up takes its own old place, or that of one out of sight."""
        replica = self.replica
        if replica.changing or not self.ready:
            return
        for name, progress in self.progress.items():
            if self._is_current(name, progress) or progress.leaving or not self._is_caught_up(progress):
                continue
            old = name if name in replica.log.members else self._requested_for(name) or self._lost_member(name)
            if old or self._may_grow(name):
                replica.propose_membership(old, name, progress.incarnation)
                self.heartbeat_due = True
                return

    def _members_in(self, zone):
        return sum(self.replica.zones.get(name, '') == zone for name in self.replica.log.members)

    def _may_grow(self, new):
        """Whether a newcomer becomes an additional member: the group was founded smaller than it shall be."""
        replica = self.replica
        if len(replica.log.members) >= replica.settings.seats:
            return False
        # it raises the number of those that must answer: not a moment for it when another is missing
        if any(not self._is_fresh(name) for name in replica.other_members()):
            return False
        # members lie apart: first where there are fewest
        candidates = [
            name
            for name, progress in self.progress.items()
            if name not in replica.log.members
            and progress.acked_index
            and replica.now - progress.heard_at < replica.settings.silence_ms
        ]
        zone = replica.zones.get
        return self._members_in(zone(new, '')) == min(self._members_in(zone(name, '')) for name in candidates)

    def _is_fresh(self, name):
        replica = self.replica
        progress = self.progress.get(name)
        if name not in replica.peers or progress is None:
            return False
        # a leader that has just begun knows only who has answered it
        heard = progress.heartbeat > 0 and replica.now - progress.heard_at < replica.settings.silence_ms * FRESH
        return heard and self._is_current(name, progress)

    def in_sight(self, name):
        """Whether a member was heard a moment ago."""
        progress = self.progress.get(name)
        silence = self.replica.settings.silence_ms
        return progress is not None and self.replica.now - progress.heard_at < silence * IN_SIGHT

    def _requested_for(self, new):
        # one that is back in sight keeps its place, whatever was said of it
        members = self.replica.log.members
        return next(
            (old for old, n in self.replacements.items() if n == new and old in members and not self.in_sight(old)), ''
        )

    def replace(self, old, new, sure=False):
        """An operator's word that `new` takes the place of `old`: the name of a result code."""
        members = self.replica.log.members
        if new in members and old not in members:
            return 'ok' if not self.replica.changing else 'under_way'
        if old not in members or new in members:
            return 'unknown_seat'
        if old == self.replica.name or self.in_sight(old):
            return 'in_sight'
        if new not in self.progress:
            return 'not_there'
        # the core's leader decides between rivals, the commons' follows its word
        if sure:
            self.replacements[old] = new
        if self.replacements.setdefault(old, new) != new:
            return 'promised'
        return 'under_way'

    def _lost_member(self, new):
        """The member out of sight whose place a newcomer may take, or ''."""
        replica = self.replica
        lost_ratio, silence, zone = replica.settings.lost_ratio, replica.settings.silence_ms, replica.zones.get
        lost = {}
        for name in replica.other_members():
            heard_at = self.progress[name].heard_at if name in self.progress else -1
            # in another zone it takes longer: the loss of one zone must leave a majority
            near = zone(name) == zone(new) or zone(name) is None
            if replica.now - heard_at > silence * (lost_ratio if near else max(lost_ratio, OTHER_ZONE_WAIT)):
                lost[name] = heard_at
        # who was not heard for longest: another may only be on its way back
        return min(lost, key=lambda name: (lost[name], name)) if lost else ''

    def _forget_former_members(self):
        replica = self.replica
        for name in list(self.progress):
            silent = replica.now - self.progress[name].heard_at > replica.settings.silence_ms * FORGOTTEN
            if name not in replica.log.members and silent:
                del self.progress[name]
        if not replica.is_member:
            replica.change_state(State.LEARNER, 'unseated')
