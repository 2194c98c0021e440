"""Why steps wait for a start, sampled at the leader: counted by queue and reason, and logged while work is late. Pure."""

from asterwharf.base.board import Controller
from asterwharf.orchard.minion_link import REGISTERED, REGISTERING

# of the silence bound: the time between two samples, and between two log lines
SAMPLE, REPORT = 0.3, 3.0
# of the longest wait for a rack: after which a step that waits beside free room is a fault of ours
GRACE = 1.5

# reasons, from the one that is ours to change to the one that is not
RESERVED = 'reserved'  # an open minion has room, but it is reserved for another step
SUSPECT = 'suspect'  # a minion has room, but is suspected and has a run already
RACK = 'rack'  # another rack has room; the step waits for its own
MEMBERS = 'members'  # there is room for a member of a gang, not for all of them
UNREACHABLE = 'unreachable'  # a minion has room, but is overdue with its beat, draining or in an evacuated zone
NO_ROOM = 'no_room'  # no minion has room


class WaitReasons(Controller):
    """Samples what a placement decision has left over."""

    __slots__ = ('_last_report', '_last_sample', '_late', 'late_jobs', 'placer')

    def __init__(self, board, placer):
        super().__init__(board)
        # late_jobs: told of each wait that is seen, where there is one
        self.placer, self.late_jobs = placer, None
        self._last_sample = self._last_report = board.now
        # queue -> [steps that wait longer than their aim, longest wait in ms, {reason: steps}, its group]
        self._late = {}

    def sample(self, rooms):
        """Looks at the steps that a decision with these rooms has left waiting, unless it looked a moment ago.

        Adds to the counters `waited_ms.QUEUE.REASON`: milliseconds, summed over steps.
        """
        silence_ms, now = self.b.set.view.silence_ms, self.b.now
        elapsed = now - self._last_sample
        if elapsed < silence_ms * SAMPLE:
            return
        self._last_sample = now
        self._late, known = {}, {}
        for name, step in self.placer.mac.ready.items():
            if name in self.placer.satisfied:
                continue
            key = (step.job.group, step.need, step.label, step.near, step.together and len(step.tasks))
            if key not in known:
                known[key] = self.reason(step, rooms)
                if known[key] == RACK:
                    self._check(step, rooms)
            self._note(step, known[key], min(elapsed, self.placer.waited(step)))
        if now - self._last_report >= silence_ms * REPORT:
            self._last_report = now
            self._report(rooms)

    def _note(self, step, reason, wait_ms):
        queue = step.job.queue
        self.b.count[f'waited_ms.{queue}.{reason}'] += wait_ms
        if self.late_jobs is not None:
            self.late_jobs.waited(step, reason, wait_ms)
        waited = self.placer.waited(step)
        if waited <= step.job.aim:
            return
        late = self._late.setdefault(queue, [0, 0, {}, step.job.group])
        late[0] += 1
        late[1] = max(late[1], waited)
        late[2][reason] = late[2].get(reason, 0) + 1

    def _check(self, step, rooms):
        """Invariant: no step waits beside room that nobody needs, but for a rack that suits it, and that not for long."""
        judge, waited_ms = self.placer.judge, self.placer.waited(step)
        if step.apart or judge.key(step) or rooms.truncated or waited_ms <= rooms.patience * GRACE:
            return
        self.b.violated('idle_room', step=list(step.key), waited_ms=waited_ms)

    def _report(self, rooms):
        for queue, (steps, longest_ms, reasons, group) in sorted(self._late.items()):
            self.b.log(
                'info',
                'steps wait',
                queue=queue,
                steps=steps,
                longest_ms=longest_ms,
                reasons=reasons,
                group_in_use=round(rooms.in_use(group), 2),
            )

    def reason(self, step, rooms):
        """The reason for which tasks of a step are not started, given what a decision has left of the rooms."""
        fitting = [
            room
            for room in rooms.by.get(step.job.group, ())
            if room.free_for(step.need) and (not step.label or step.label in room.labels)
        ]
        usable = [room for room in fitting if room.fits(step.need)]
        if usable and step.together:
            return MEMBERS
        if usable:
            return RACK
        if fitting:
            return RESERVED
        return self._elsewhere(step, rooms)

    def _elsewhere(self, step, rooms):
        """The reason where no minion that takes part in the decision has room."""
        tender = self.placer.tender
        decided = {room.mid for room in rooms.by.get(step.job.group, ())}
        reason = NO_ROOM
        for minion_id, link in tender.links.items():
            if minion_id in decided or link.group != step.job.group or link.state not in (REGISTERED, REGISTERING):
                continue
            if step.label and step.label not in link.labels:
                continue
            used = self.placer.mac.used.get(minion_id, (0, 0, 0))
            if any(need > size - taken for need, size, taken in zip(step.need, link.room, used, strict=True)):
                continue
            if tender.open(link) and not self.placer.health.trusted(link):
                return SUSPECT
            reason = UNREACHABLE
        return reason
