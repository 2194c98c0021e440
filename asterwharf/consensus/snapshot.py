"""Snapshots: how the rows on disk move up to what is committed, and how a replica far behind gets them. Pure."""

from asterwharf.consensus.founding import UNLED
from asterwharf.consensus.log import Log
from asterwharf.consensus.progress import SnapshotTransfer

# of the bounds on the log: how much stays at most for a follower that is being brought up
HELD = 2
# of the bound on silence: the log is kept for a follower that was heard in this time
HEARD = 5
# the number of the last part in the reply that says the snapshot is installed
INSTALLED = -1
# the number in the reply of a replica that lacks the parts before, because it has restarted: all over again
RESTART = -2


class SnapshotReceiver:
    """The part of a replica that takes checkpoints and installs snapshots."""

    __slots__ = ()

    def _checkpoint(self):
        """The rows move up to what is committed; a tail of the log stays for followers."""
        changed = self.machine.delta()
        batch = self.outbox.current()
        batch.rows.update(changed)
        for key, value in changed.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value
        if self.checkpoint_taken:
            self.checkpoint_taken(self.machine, self.rows)
        self.log.move_snapshot(self.commit_index)
        self.bytes_since_checkpoint = 0
        batch.drop = self._cut()
        self.log.drop_through(batch.drop)
        self.save_meta()

    def _checkpoint_due(self):
        entries = self.commit_index - self.log.snapshot_index
        return entries > self.settings.keep_log or self.bytes_since_checkpoint > self.settings.keep_bytes

    def _cut(self):
        """The last index to drop: half of the bounds stays, and more while a follower in hearing needs it."""
        settings, log = self.settings, self.log
        usual = log.tail(self.commit_index, settings.keep_log // 2, settings.keep_bytes // 2)
        if self.leadership is None:
            return usual
        most = log.tail(self.commit_index, settings.keep_log * HELD, settings.keep_bytes * HELD)
        return max(most, min(usual, self.leadership.needed_after()))

    def on_install_snapshot(self, source, message):
        """Collects the parts of a snapshot and installs it with the last."""
        if message['view'] == UNLED:
            return self._join_founding(message['seats'])
        if message['view'] < self.view:
            return
        self.enter_view(message['view'], source)
        self.leader_heard = self.now
        if message['op'] <= self.commit_index and not self.empty:
            return self._reply_snapshot(source, message, INSTALLED)
        if not self.empty and self.log.view_at(message['op']) == message['stamp']:
            # the log holds all that the snapshot says; what follows may have been acknowledged and must stay
            self.commit_to(message['op'])
            return self._reply_snapshot(source, message, INSTALLED)
        transfer = source, message['view'], message['op']
        if transfer != self.snapshot_transfer:
            self.snapshot_transfer, self.snapshot_parts = transfer, []
        if message['part'] < len(self.snapshot_parts):
            # received already; only our reply was lost
            return self._reply_snapshot(source, message, message['part'])
        if message['part'] > len(self.snapshot_parts):
            # the parts before went to an earlier life of this process
            return self._reply_snapshot(source, message, RESTART)
        self.snapshot_parts.append(message['rows'])
        if message['last']:
            self._install(message)
        self._reply_snapshot(source, message, INSTALLED if message['last'] else message['part'])

    def _reply_snapshot(self, source, message, part):
        body = {'grp': self.group, 'view': message['view'], 'op': message['op'], 'part': part}
        self.outbox.send_after_sync(source, 'snapshot_reply', body)

    def _install(self, message):
        self.rows = {r['k']: r['v'] for part in self.snapshot_parts for r in part}
        self.snapshot_transfer, self.snapshot_parts = None, []
        self._prove_rows()
        self.machine.load(self.rows)
        index, view = message['op'], message['stamp']
        self.log = Log(index, view, index, view, message['seats'])
        self.commit_index = index
        self.outbox.truncate(index + 1)
        batch = self.outbox.current()
        batch.wipe, batch.trim, batch.drop, batch.log, batch.rows = True, None, None, [], dict(self.rows)
        self.save_meta()
        self._follow_membership()


class SnapshotSender:
    """The part of a leader that sends snapshots, one part at a time."""

    __slots__ = ()

    def _start_snapshot(self, name, progress):
        replica = self.replica
        log = replica.log
        # the rows of the last checkpoint, frozen for this transfer
        rows = list(replica.rows.items())
        progress.snapshot = SnapshotTransfer(
            log.snapshot_index, log.snapshot_view, dict(log.memberships[0].members), rows
        )
        progress.part = 0
        self._send_part(name, progress)

    def _send_part(self, name, progress):
        replica, transfer = self.replica, progress.snapshot
        row, size, out = transfer.cuts[progress.part], 0, []
        while row < len(transfer.rows) and (not out or size < replica.settings.chunk):
            key, value = transfer.rows[row]
            out.append({'k': key, 'v': value})
            size += len(value)
            row += 1
        if progress.part + 1 == len(transfer.cuts):
            transfer.cuts.append(row)
        progress.part_sent_at = replica.now
        replica.outbox.send(
            name,
            'install_snapshot',
            {
                'grp': replica.group,
                'view': replica.view,
                'op': transfer.index,
                'stamp': transfer.view,
                'seats': transfer.members,
                'part': progress.part,
                'last': row >= len(transfer.rows),
                'rows': out,
            },
        )

    def needed_after(self):
        """The last index that every replica in hearing has, or will have by the snapshot that goes to it."""
        replica = self.replica
        far = replica.settings.silence_ms * HEARD
        return min(
            (
                progress.snapshot.index if progress.snapshot else progress.acked_index
                for progress in self.progress.values()
                if replica.now - progress.heard_at < far and (progress.snapshot or progress.acked_index)
            ),
            default=replica.commit_index,
        )

    def on_snapshot_reply(self, source, message):
        """The replica has a part: the next one goes out, or it is followed by entries."""
        progress = self.progress.get(source)
        if progress is None or progress.snapshot is None or message['op'] != progress.snapshot.index:
            return
        progress.heard_at = self.replica.now
        if message['part'] == INSTALLED:
            progress.next_index, progress.snapshot = message['op'] + 1, None
        elif message['part'] == RESTART and progress.part:
            progress.part = 0
            self._send_part(source, progress)
        elif message['part'] == progress.part:
            progress.part += 1
            self._send_part(source, progress)
