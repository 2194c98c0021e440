"""How members leave: a leader gives their places to machines that stand by, or lets them go. Pure.

A follower whose process was told to end says so in its replies, and stays until its leader releases it: once
a caught-up learner has its place by a committed change, or a majority in touch has all that is committed without it.
"""

# how many entries a learner may lack when it becomes a member
CAUGHT_UP = 50
# of the silence bound: how long after a first word of leaving further ones are waited for (all may be told at once),
# and how long a leader that ends last stays for those that it has released
GATHER, STAY = 0.35, 0.3
# of the silence bound: within this a replica was heard a moment ago
IN_TOUCH = 0.5


class Departures:
    """The part of a leader that deals with replicas whose processes were told to end."""

    __slots__ = ()

    def _note_leaving(self, progress, message):
        """Takes in whether a follower or learner leaves; one that stays after all is not released."""
        leaving = bool(message.get('leaving'))
        if leaving and not progress.leaving:
            progress.leaving_since = self.replica.now
        progress.leaving = leaving
        progress.released = progress.released and leaving

    def _is_caught_up(self, progress):
        """Whether a learner may become a member: it is in hearing and has nearly all that is committed."""
        replica = self.replica
        if progress.snapshot is not None or not progress.acked_index:
            return False
        heard = replica.now - progress.heard_at <= replica.settings.silence_ms
        return heard and replica.commit_index - progress.acked_index <= CAUGHT_UP

    def _is_in_touch(self, progress):
        """Whether a replica was heard a moment ago and its connection stands."""
        replica = self.replica
        connected = any(self.progress.get(name) is progress for name in replica.peers)
        return connected and replica.now - progress.heard_at < replica.settings.silence_ms * IN_TOUCH

    def _standby(self):
        """Connected machines that are no members and stay, as far as is known: some may not have asked to join yet."""
        leaving = {name for name, progress in self.progress.items() if progress.leaving}
        return self.replica.peers - set(self.replica.all_members()) - leaving

    def _zones_allow(self, old, new):
        """Whether with `new` in the place of `old` the loss of a zone leaves a majority, or no less than before."""
        replica = self.replica

        def largest(names):
            zones = [replica.zones.get(name, name) for name in names]
            return max(zones.count(zone) for zone in zones)

        before = set(replica.log.members)
        spare = (len(before) - 1) // 2
        return largest(before - {old} | {new}) <= max(largest(before), spare)

    def _candidates_for(self, old):
        """Machines that may take the place of `old`, caught up or not, so that a zone may still be lost."""
        return [name for name in self._standby() if self._zones_allow(old, name)]

    def _best_of(self, old, candidates):
        """The caught-up candidate for the place of `old`, one of its zone first, or ''."""
        zone = self.replica.zones.get
        ready = [name for name in candidates if name in self.progress and self._is_caught_up(self.progress[name])]
        return min(
            ready, key=lambda name: (zone(name) != zone(old), -self.progress[name].acked_index, name), default=''
        )

    @property
    def all_stop(self):
        """Whether too few machines stay for a majority, those that stand by included."""
        replica = self.replica
        leaving = {name for name, progress in self.progress.items() if progress.leaving}
        leaving |= {replica.name} if replica.leaving else set()
        staying = set(replica.log.members) - leaving
        return 2 * (len(staying) + len(self._standby())) <= len(replica.log.members)

    def _handle_departures(self):
        """Gives places over, one at a time, and releases those that are not needed."""
        replica = self.replica
        if not self.ready:
            return
        stopping = self.all_stop
        if not stopping:
            self.stopping_since = None
        elif self.stopping_since is None:
            self.stopping_since = replica.now
        for name, progress in self.progress.items():
            waited = replica.now - progress.leaving_since >= replica.settings.silence_ms * GATHER
            if progress.leaving and not progress.released and waited:
                self._handle_departure(name, progress, stopping)

    def _handle_departure(self, name, progress, stopping):
        replica = self.replica
        if stopping or self._is_spared(name, progress):
            progress.released = self.heartbeat_due = True
        elif not replica.changing and self._is_current(name, progress):
            new = self._best_of(name, self._candidates_for(name))
            if new:
                replica.propose_membership(name, new, self.progress[new].incarnation)
                self.heartbeat_due = True

    def _is_spared(self, name, progress):
        """Whether the group goes on without this replica if it ends now."""
        replica = self.replica
        if not replica.is_voter(name, progress.incarnation):
            # its place is given over; a majority must know that this is committed
            return self._confirms(self.membership_heartbeat)
        if replica.changing or self._candidates_for(name):
            return False
        return replica.is_quorum(
            self.voters_where(
                lambda other: (
                    other is not progress
                    and not other.released
                    and other.acked_index >= replica.commit_index
                    and self._is_in_touch(other)
                )
            )
        )

    def may_end(self):
        """Whether this leader, which leaves, may end: all the others leave too, and were told that they may."""
        if self.stopping_since is None:
            return False
        return self.replica.now - self.stopping_since >= self.replica.settings.silence_ms * (GATHER + STAY)
