"""Which minions have turned slow, told from the pace of what they run. Pure.

Tasks of one step may differ much in size, so that a run that takes longer than its peers proves nothing by itself. Two things do:
a run whose own pace falls (a large task is slow from its beginning), and a minion on which several runs all take longer than their
peers elsewhere. How much runs of a queue differ on sound minions is learned from those that have ended.
"""

from collections import deque
from dataclasses import dataclass
from math import exp, log, sqrt

from asterwharf.orchard.minion_link import SEEN, Progress

# a minion counts as slow from this factor on; a run's own pace counts as fallen from this factor on
SLOW, BEND = 1.7, 2.5
# standard errors that the evidence must be beyond chance
CERTAIN = 3.0
# of the time between beats: over how long a run's present pace is measured
SPAN = 0.4
# spread (of the natural logarithm) of the length of runs before any has ended, the least that is ever taken, and the most that
# one end is allowed to tell, in spreads
SPREAD, LEAST_SPREAD, CLIP = 0.7, 0.15, 2.5
# the weight of what was thought before any end, and of the latest end at least
PRIOR, LATEST = 3, 0.02
# ended runs kept of a step; steps and queues that are remembered
ENDS, STEPS_KEPT, QUEUES_KEPT = 64, 1000, 1000
# peers that are looked at, at most
PEERS = 32


class Spread:
    """Mean and spread of natural logarithms that are seen one by one; the latest count a little more."""

    __slots__ = ('count', 'mean', 'variance')

    def __init__(self):
        self.count, self.mean, self.variance = PRIOR, 0.0, SPREAD**2

    def add(self, value):
        """Takes one in; what lies far out is taken as less far, so that a few odd ones change little."""
        self.count += 1
        weight = max(1 / self.count, LATEST)
        far = CLIP * self.sigma
        off = max(-far, min(far, value - self.mean))
        self.mean += weight * off
        self.variance += weight * (off * off - self.variance)

    @property
    def sigma(self):
        """The standard deviation."""
        return max(LEAST_SPREAD, sqrt(self.variance))


@dataclass(frozen=True, slots=True)
class Slowness:
    """A minion that is slow: `factor` times as slow as others, by the evidence of `runs` runs of it; `why` tells which kind."""

    factor: float
    runs: int
    why: str


@dataclass(frozen=True, slots=True)
class Observation:
    """One run at the present: the minion's link, the task, its progress, what it would take whole in ms, and by what factor its pace fell."""

    link: object
    task: object
    progress: Progress
    whole: float | None
    bend: float | None

    @property
    def has_moved(self):
        """Whether any progress was seen."""
        return self.progress.last_percent > self.progress.first_percent


class PaceJudge:
    """Learns how long runs take, and judges minions by the pace of theirs."""

    def __init__(self, board):
        self.board = board
        # (job, step) -> (logarithm of what a run of it took, minion), the latest
        self._ends = {}
        # (job, step) -> the same of runs that were moved for being slow, had they gone on
        self._moved = {}
        # queue -> Spread of what runs took: against the others of their step, and against their estimate
        self._against_peers, self._against_estimate = {}, {}
        # (task, run) -> (when, percent) seen, the oldest first
        self._marks = {}

    # --- learning
    def ended(self, step, minion_id, took_ms):
        """A run of a step took so long."""
        key = step.job.id, step.n
        ends = self._ends.get(key)
        if ends is None:
            if len(self._ends) >= STEPS_KEPT:
                del self._ends[next(iter(self._ends))]
            ends = self._ends[key] = deque(maxlen=ENDS)
        if took_ms > 0:
            ends.append((log(took_ms), minion_id))

    def finished(self, step):
        """All runs of a step have ended: learns how much they differ, and how wrong the estimate was. The short ones end first."""
        key = step.job.id, step.n
        values = [value for value, _ in self._ends.pop(key, ())]
        self._moved.pop(key, None)
        if not values or step.together:
            return
        queue, count, middle = step.job.queue, len(values), sum(values) / len(values)
        if count > 1:
            spread = _of_queue(self._against_peers, queue)
            for value in values:
                spread.add((value - middle) * sqrt(count / (count - 1)))
        if step.estimate:
            _of_queue(self._against_estimate, queue).add(middle - log(step.estimate))

    def moved(self, seen):
        """A run was moved from a slow minion: if the work itself is so, the next run is not to be moved for the same."""
        if seen.whole is not None:
            if len(self._moved) >= STEPS_KEPT:
                del self._moved[next(iter(self._moved))]
            key = seen.task.step.job.id, seen.task.step.n
            self._moved.setdefault(key, []).append((log(seen.whole), seen.link.mid))

    def usual(self, step):
        """What a run of this step usually takes, ms, as far as known from those that have ended, or None."""
        ends = self._ends.get((step.job.id, step.n))
        return exp(sum(value for value, _ in ends) / len(ends)) if ends else None

    # --- looking
    def observe(self, links, runs_of):
        """The Observations of all runs; `runs_of(link)` yields the (task, progress) that a minion has in hand."""
        out, span = [], self.board.set.call.beat_ms * SPAN
        alive = {}
        for link in links:
            for task, progress in runs_of(link):
                if task.step.lasts:
                    continue
                key = task.key, progress.run
                marks = alive[key] = self._mark(key, progress, link.recv, span)
                out.append(Observation(link, task, progress, progress.whole_ms, self._bend(marks, progress, link.recv)))
        self._marks = alive
        return out

    def _mark(self, key, progress, now, span):
        """Notes how far a run is; what is older than the span is left out but for the newest of it."""
        marks = self._marks.get(key)
        if marks is None or progress.last_percent < marks[-1][1]:
            # a run whose progress falls begins anew, as far as its pace goes
            marks = deque(
                [(progress.first_at, progress.first_percent) if marks is None else (now, progress.last_percent)]
            )
        if now - marks[-1][0] >= span / 4:
            marks.append((now, progress.last_percent))
        while len(marks) > 2 and now - marks[1][0] >= span:
            marks.popleft()
        return marks

    def _bend(self, marks, progress, now):
        """By what factor a run's pace has fallen at least, or None where too little was seen before."""
        at, percent = marks[0]
        before = percent - progress.first_percent
        if before < SEEN or at <= progress.first_at or now - at < self.board.set.call.beat_ms * SPAN:
            return None
        earlier = (at - progress.first_at) / before
        # the next percent may be all but reached
        present = (now - at) / (progress.last_percent - percent + 1)
        return present / earlier

    def slow(self, observations):
        """{minion id: Slowness} of the minions that are slow."""
        by_minion, peers = {}, {}
        for seen in observations:
            # a gang goes at the pace of its slowest member: its own pace tells nothing of the others' minions
            if seen.task.step.together:
                continue
            by_minion.setdefault(seen.link.mid, []).append(seen)
            if seen.whole is not None:
                peers.setdefault((seen.task.step.job.id, seen.task.step.n), []).append((log(seen.whole), seen.link.mid))
        out = {}
        for minion_id, own in by_minion.items():
            found = self._fallen(own) or self._level(own, peers)
            if found is not None:
                out[minion_id] = found
        return out

    def _fallen(self, own):
        """Slowness of a minion most of whose runs have lost pace."""
        bends = sorted(seen.bend for seen in own if seen.bend is not None)
        if not bends:
            return None
        middle = bends[(len(bends) - 1) // 2]
        return Slowness(middle, len(bends), 'its runs have lost pace') if middle >= BEND else None

    def _level(self, own, peers):
        """Slowness of a minion whose runs take longer than those elsewhere, beyond what chance explains."""
        weights = total = 0.0
        count = 0
        by_step = {}
        for seen in own:
            if seen.whole is not None:
                by_step.setdefault((seen.task.step.job.id, seen.task.step.n), []).append(seen)
        for runs in by_step.values():
            found = self._against(runs, peers)
            if found is None:
                continue
            residual, variance = found
            weights, total, count = weights + 1 / variance, total + residual / variance, count + len(runs)
        if not count:
            return None
        mean = total / weights
        sure = mean - CERTAIN / sqrt(weights)
        return Slowness(exp(mean), count, 'its runs take longer than elsewhere') if sure > log(SLOW) else None

    def _against(self, runs, peers):
        """(logarithm of how much longer runs of one step take than is to be expected, variance of that by chance), or None.

        What they are compared with is the same for all of them, and so is its error: more runs do not make that smaller.
        """
        step, link = runs[0].task.step, runs[0].link
        queue, key = step.job.queue, (step.job.id, step.n)
        # what has ended counts on both sides: those still under way are the longer ones
        ends = self._ends.get(key, ())
        own = [log(seen.whole) for seen in runs] + [value for value, mid in ends if mid == link.mid]
        elsewhere = *ends, *self._moved.get(key, ()), *peers.get(key, ())[:PEERS]
        others = [value for value, mid in elsewhere if mid != link.mid]
        mean = sum(own) / len(own) - log(self.far(runs[0].task, link))
        sigma = self._against_peers.get(queue, _UNKNOWN).sigma
        if others:
            return mean - sum(others) / len(others), sigma**2 * (1 / len(own) + 1 / len(others))
        if not step.estimate:
            return None
        known = self._against_estimate.get(queue, _UNKNOWN)
        return mean - log(step.estimate) - known.mean, known.sigma**2 + sigma**2 / len(own)

    def far(self, task, link):
        """How many times as long a run takes where it is for being away from its data."""
        away = task.step.near and link.rack != task.step.near
        return self.board.set.call.far_factor if away else 1.0

    def sound_ms(self, seen, slowness):
        """What a run would take whole on a sound minion, ms, or None where nothing tells."""
        if seen.bend is not None and seen.bend >= BEND:
            # its pace before it fell
            at, percent = self._marks[seen.task.key, seen.progress.run][0]
            return (at - seen.progress.first_at) / (percent - seen.progress.first_percent) * 100
        if seen.whole is not None:
            return seen.whole / slowness.factor
        return self.usual(seen.task.step) or self._expected(seen.task.step)

    def _expected(self, step):
        if not step.estimate:
            return None
        return step.estimate * exp(self._against_estimate.get(step.job.queue, _UNKNOWN).mean)


_UNKNOWN = Spread()


def _of_queue(spreads, queue):
    """The Spread of a queue; of too many queues the oldest is forgotten."""
    if queue not in spreads and len(spreads) >= QUEUES_KEPT:
        del spreads[next(iter(spreads))]
    return spreads.setdefault(queue, Spread())
