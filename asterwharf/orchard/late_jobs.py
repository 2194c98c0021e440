"""Where the time of late jobs went, told in one log line a job by the leader that saw it end. Pure."""

from collections import Counter, deque
from dataclasses import dataclass, field

from asterwharf.base.board import Controller

# phases of a job's time; runs that came to nothing are `lost.REASON`, waits for a start `wait.REASON`
EARLIER_LEADER = 'earlier_leader'  # before this leader began: it can't tell
WAIT, LOST, WORK = 'wait', 'lost', 'work'
UNSEEN = 'short'  # a wait that no sample fell into
# jobs that are followed at once, at most; stops of a job that are told
FOLLOWED, STOPS_TOLD = 20000, 20


@dataclass(slots=True)
class Run:
    """One run of a task: wall-clock ms, and how it ended ('' while it goes on)."""

    start_ms: int
    end_ms: int = 0
    how: str = ''


@dataclass(frozen=True, slots=True)
class Stop:
    """A run that the scheduler stopped for a reason of its own; `evidence` are the figures that it went by."""

    task: str
    minion: str
    reason: str
    evidence: dict


@dataclass(slots=True)
class Trace:
    """What is known of a job under way: task key -> its runs, step -> when it opened, step -> ms waited by reason, latest stops."""

    runs: dict = field(default_factory=dict)
    opened: dict = field(default_factory=dict)
    waits: dict = field(default_factory=dict)
    stops: deque = field(default_factory=lambda: deque(maxlen=STOPS_TOLD))


class LateJobs(Controller):
    """Follows the runs of open jobs; at the leader only."""

    __slots__ = ('_begun', '_stops', '_told', '_traces', 'cell', 'placer', 'tender')

    def __init__(self, board, cell, tender, placer):
        super().__init__(board)
        self.cell, self.tender, self.placer = cell, tender, placer
        # job -> Trace; (task, run) -> why it was stopped; when this leader began, wall-clock ms, or None
        self._traces, self._stops, self._begun = {}, {}, None
        # finished jobs that were judged
        self._told = {}

    def stopped(self, task, reason, evidence):
        """A run is being stopped for a reason of the scheduler's own."""
        self._stops[task.key, task.run] = reason
        trace = self._trace(task.step.job)
        if trace is not None:
            trace.stops.append(Stop(task.key, task.mid, reason, evidence))

    def stops(self, job):
        """The latest Stops of a job, as far as this leader knows."""
        trace = self._traces.get(job.id)
        return list(trace.stops) if trace is not None else []

    def waited(self, step, reason, wait_ms):
        """A step was seen waiting for a start."""
        trace = self._trace(step.job)
        if trace is not None:
            trace.waits.setdefault((step.k, step.n), Counter())[reason] += wait_ms

    def flush(self):
        machine = self.cell.mac
        events, machine.events = machine.events, []
        if self.tender.term < 0:
            self._begun, self._traces, self._stops, self._told = None, {}, {}, {}
            return
        if self._begun is None:
            # what was replayed from the log, or happened under an earlier leader, is no news
            self._begun = self.cell.wall
            return
        over = {}
        for event in events:
            self._take(event)
            job = event.task.step.job
            if job.fate:
                over[job.id] = job
        # the last runs of a job may have ended in one change: it is judged when all of them were taken
        for job in over.values():
            self._over(job)

    def _trace(self, job):
        if job.times or job.id not in self._traces and len(self._traces) >= FOLLOWED:
            return None
        return self._traces.setdefault(job.id, Trace())

    def _take(self, event):
        task, now = event.task, self.cell.wall
        step, job = task.step, task.step.job
        trace = None if step.lasts else self._trace(job)
        if trace is None:
            return
        runs = trace.runs.setdefault(task.key, {})
        if event.how == 'start':
            runs[event.run] = Run(now)
            return
        run = runs.setdefault(event.run, Run(self._begun))
        why = self._stops.pop((task.key, event.run), '')
        run.end_ms, run.how = now, why if event.how == 'stopped' and why else event.how
        if not step.left:
            for later in job.live.get(step.k, ()):
                if step.n in later.after:
                    trace.opened[later.k, later.n] = now

    def _over(self, job):
        trace = self._traces.pop(job.id, None)
        if trace is None or job.fate != 'finished' or job.id in self._told:
            return
        # an end that comes later, of another run of it, tells nothing new
        self._told[job.id] = None
        if len(self._told) > FOLLOWED:
            del self._told[next(iter(self._told))]
        took, phases = self.cell.wall - job.at, self._phases(job, trace)
        # the aim goes by the work that there was, not by what was estimated; what came to nothing is no work
        aim = job.stretch * phases[WORK] + job.aim
        if took <= aim:
            return
        self.b.count[f'late_jobs.{job.queue}'] += 1
        self.b.log(
            'info',
            'job late',
            job=job.id,
            queue=job.queue,
            took_ms=took,
            aim_ms=round(aim),
            steps=len(job.spec),
            tasks=sum(step.get('count') or 1 for step in job.spec),
            phases={name: ms for name, ms in sorted(phases.items()) if ms > 0},
        )

    def _phases(self, job, trace):
        """{phase: ms} along the chain of tasks that the job's end waited for."""
        last = {}
        for key, runs in trace.runs.items():
            number = int(key.split('.')[2])
            end = max(run.end_ms for run in runs.values())
            if end > last.get(number, (0, ''))[0]:
                last[number] = end, key
        phases, number = Counter(), max(last, key=last.get) if last else None
        while number is not None:
            end, key = last[number]
            opened = trace.opened.get((0, number), job.at)
            self._task_phases(phases, trace, number, key, opened)
            before = [other for other in job.spec[number].get('after') or () if other in last]
            number = max(before, key=last.get) if before else None
        return phases

    def _task_phases(self, phases, trace, number, key, opened):
        """Adds up the time of one task, from when its step opened to its end."""
        at = opened
        if at < self._begun:
            phases[EARLIER_LEADER] += self._begun - at
            at = self._begun
        waits = trace.waits.get((0, number), Counter())
        reason = max(waits, key=waits.get) if waits else UNSEEN
        for run in sorted(trace.runs[key].values(), key=lambda run: run.start_ms):
            if run.start_ms > at:
                phases[f'{WAIT}.{reason}'] += run.start_ms - at
            name = WORK if run.how == 'done' else f'{LOST}.{run.how}'
            phases[name] += max(0, run.end_ms - max(at, run.start_ms))
            at = max(at, run.end_ms)
