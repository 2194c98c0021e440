"""The follower's side of log replication: appends, commits, and its answers to the leader. Pure."""

from asterwharf.consensus.log import CHANGE, MEMBERSHIP, Entry
from asterwharf.consensus.states import State

# of the heartbeat interval: with syncs slower than this, liveness is told before the sync
SYNC_HOLDS_UP = 0.25


class Replication:
    """The part of a replica that follows a leader."""

    __slots__ = ()

    def on_append(self, source, message):
        """Takes entries and the commit index from the leader of this view or a newer one."""
        if message['view'] < self.view or self.empty:
            # an empty replica asks to join; an old leader learns of the new view
            return self._reply_append(source, message, False, -1 if self.empty else self.commit_index)
        following = self.leader == source and self.state in (State.LEARNER, State.FOLLOWER)
        if message['view'] > self.view or not following:
            self.enter_view(message['view'], source)
        self.leader_heard = self.now
        self.released = self.released or message.get('released', False)
        self.reset_election_timer()
        if message['prev'] > self.log.last:
            return self._reply_append(source, message, False, self.log.last)
        if message['prev'] > self.commit_index and self.log.view_at(message['prev']) != message['stamp']:
            return self._reply_append(source, message, False, self.commit_index)
        for record in message['entries']:
            self._take_entry(Entry.from_wire(record))
        top = message['prev'] + len(message['entries'])
        self.commit_to(min(message['upto'], top))
        self._follow_membership()
        self._reply_append(source, message, True, top)

    def _take_entry(self, entry):
        if entry.index <= self.commit_index:
            return
        old = self.log.at(entry.index)
        if old and old.view == entry.view:
            return
        if old:
            self._truncate(entry.index)
        self.append_entry(entry)

    def _follow_membership(self):
        if self.state == State.LEARNER and self.is_member:
            self.change_state(State.FOLLOWER, 'seated')
        elif self.state == State.FOLLOWER and not self.is_member:
            self.change_state(State.LEARNER, 'unseated')

    def _reply_append(self, source, message, ok, index):
        body = {
            'grp': self.group,
            'view': self.view,
            # the view named here is our own: an append of an older view is no heartbeat of it
            'beat': message['beat'] if message['view'] == self.view else 0,
            'ok': ok,
            'op': index,
            'inc': self.incarnation,
            'wall': self.wall,
            'slow': self.is_slow,
            'leaving': self.leaving,
        }
        # liveness is told at once where the disk would hold it up; what is synced is told when it is
        heartbeat_ms = self.settings.silence_ms * self.settings.beat_ratio
        if ok and index > self.outbox.safe and self.sync_lag > heartbeat_ms * SYNC_HOLDS_UP:
            self.outbox.send(source, 'append_reply', dict(body, op=min(self.outbox.safe, index)))
            body['beat'] = 0
        self.outbox.send_after_sync(source, 'append_reply', body)

    def commit_to(self, index):
        """Applies every entry up to `index`, as far as the log goes, and answers who waits for them."""
        index = min(index, self.log.last)
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log.at(self.commit_index)
            self.bytes_since_checkpoint += entry.size
            value = self.machine.apply(entry.index, entry.body) if entry.kind == CHANGE else None
            if entry.kind == MEMBERSHIP:
                # kept, or a restart would doubt a membership change that is long committed
                self.membership_committed = entry.index
                self.save_meta()
            self._answer_proposal(entry, value)
        if self._checkpoint_due():
            self._checkpoint()
