"""The order in which steps are placed: urgent queues first, and within a priority what can still be in time. Pure.

First come, first served is right while there is room. Where there is not, it makes everybody late: each job starts when its
aim has just passed, behind others whose aim has passed long ago. So work that is late yields to equally urgent work that is not.
"""

from enum import IntEnum
from functools import partial

# of its aim: a job that ends later than this earns nothing any more
LATE = 3.0
# a step that needs more than this share of its group's room runs in waves
WIDE = 0.25
# ms: for how long the room of a group is taken as known; (job, step) pairs whose times are remembered
ROOM_KNOWN_MS, MOST_KNOWN = 1000, 8000


class Lateness(IntEnum):
    """What may become of a job that starts its next tasks now."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


def chains_ms(spec, waves):
    """For each step the longest chain of estimates that begins with it, ms; `waves(step)` is by how much a wide step takes longer.

    A step waits for earlier ones only, so that one pass from the last to the first is enough, however they hang together.
    """
    behind = [0.0] * len(spec)
    chains = [0.0] * len(spec)
    for n in range(len(spec) - 1, -1, -1):
        step = spec[n]
        chains[n] = (step.get('estimate_ms') or 0) * waves(step) + behind[n]
        for earlier in step.get('after') or ():
            behind[earlier] = max(behind[earlier], chains[n])
    return chains


class Urgency:
    """Sorts the steps of each decision."""

    def __init__(self, room_of, judges=True):
        """`room_of(group)` gives (cpu, memory, GPUs) of a group's minions together; unless it `judges`, nothing is late."""
        self._judges = judges
        self._room_of, self._wall_ms, self._now = room_of, 0, 0
        # group -> its room and until when that is taken as known; (job, step) -> (aim, chain from that step on), ms
        self._rooms, self._known = {}, {}

    def begin(self, now, wall_ms):
        """A decision begins; `now` is the node's clock, `wall_ms` the group's time of day, both in ms."""
        self._now, self._wall_ms = now, wall_ms
        if len(self._known) > MOST_KNOWN:
            self._known.clear()

    def key(self, step):
        """What steps are sorted by: priority, whether it can be in time, then age."""
        job = step.job
        return job.prio, self.lateness(step), job.due(step.k) or job.at, job.id, step.n

    def lateness(self, step):
        """Whether a job can still be in time, if the step starts now and all goes by its estimates."""
        job = step.job
        if step.lasts or not self._judges:
            return Lateness.IN_TIME
        aim_ms, chain = self._times(job, step.n)
        ends_after = self._wall_ms - (job.due(step.k) or job.at) + chain
        if ends_after <= aim_ms:
            return Lateness.IN_TIME
        return Lateness.LATE if ends_after <= aim_ms * LATE else Lateness.TOO_LATE

    def _times(self, job, step_number):
        """(aim, longest chain of work from a step on), ms."""
        room = self._room(job.group)
        known = self._known.get((job.id, step_number))
        if known is None:
            chains = chains_ms(job.spec, partial(self._waves, room))
            aim_ms = job.stretch * max(chains) + job.aim
            for number, chain in enumerate(chains):
                self._known[job.id, number] = aim_ms, chain
            known = self._known[job.id, step_number]
        return known

    def _room(self, group):
        room, until = self._rooms.get(group, (None, 0))
        if self._now >= until:
            new = self._room_of(group)
            if new != room:
                self._known.clear()
            room = new
            self._rooms[group] = room, self._now + ROOM_KNOWN_MS
        return room

    @staticmethod
    def _waves(room, step):
        """By how much a step takes longer, since not all of its tasks find room at once."""
        if step.get('together'):
            return 1.0
        needs = step.get('cpu', 0), step.get('mem', 0), step.get('gpus', 0)
        count = step.get('count') or 1
        shares = [need * count / (size * WIDE) for need, size in zip(needs, room, strict=True) if size]
        return max([1.0, *shares])
