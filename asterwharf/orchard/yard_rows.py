"""The rows of the cell whose minions call in: what its group keeps of jobs, runs and drains. Pure."""

from asterwharf.orchard import kinds  # noqa: F401
from asterwharf.orchard.drains import DRAIN, Drains
from asterwharf.orchard.model import FINAL, READY, RUN, Job, Step
from asterwharf.wire.schema import pack, unpack

JOB_ROW = 'r_yard'


class YardRows(Drains):
    """Builds the state of the cell from its rows, and gives the rows that have changed since."""

    __slots__ = ()

    def load(self, rows):
        self.jobs, self.dirty, self.timed, self.open, self.waiting = {}, set(), {}, 0, {}
        # on: minion -> the runs it may hold, used: the room they take; ready: steps with something to place
        self.on, self.used, self.ready = {}, {}, {}
        # for the holder, not kept: minions whose runs have changed, how runs have ended, what became of runs, and gangs
        # of which a run began or is over: (job, time, step) -> step
        self.changed, self.ended, self.events, self.gangs = set(), [], [], {}
        self.undrained()
        for raw in rows.values():
            knd, d = unpack(raw, self.reads)
            self.drained(d) if knd == DRAIN else self._row(d['v'])

    def _row(self, d):
        live = d.pop('live')
        j = self.jobs[d['id']] = Job(**d)
        self._opened(j)
        for k, sts in live:
            steps = j.live[k] = [Step(j, k, n) for n in range(len(j.spec))]
            for s, (fails, failrun, tasks) in zip(steps, sts):
                s.fails, s.failrun = fails, failrun
                for t, r in zip(s.tasks, tasks):
                    t.load(r)
                    s.ready += t.state == READY
                    s.left -= t.state in FINAL
                    if t.state == RUN:
                        self._hold(t, t.mid)
                    if t.spare:
                        self._hold(t, t.spare[1])
                self._look(s)

    def delta(self):
        """Rows changed since the last call; None where a row is no more."""
        out = {
            f'job:{i}': pack(JOB_ROW, {'v': self.jobs[i].dump()}) if i in self.jobs else None
            for i in sorted(self.dirty)
        }
        self.dirty = set()
        return out | self.drain_rows()

    def replicated_state(self):
        """All that decides or is shown, as plain values: the same on every replica that is as far in the log."""
        return {
            'jobs': {i: j.dump() for i, j in self.jobs.items()},
            'busy': {i: j.busy for i, j in self.jobs.items()},
            'open': self.open,
            'waiting': {place: count for place, count in self.waiting.items() if count},
            'timed': set(self.timed),
            'ready': {key: step.ready for key, step in self.ready.items()},
            'left': {(j.id, s.k, s.n): s.left for j in self.jobs.values() for steps in j.live.values() for s in steps},
            'on': {minion: {k: self.run_of(t, minion) for k, t in runs.items()} for minion, runs in self.on.items()},
            'used': self.used,
            'drains': self.drains,
        }
