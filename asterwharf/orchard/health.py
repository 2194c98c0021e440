"""What comes of a minion's runs: the holder's judgement of which minions to trust with more. Pure.

A minion says it is well while its work fails, crawls or stands still; only its runs tell. A suspicion fades by
itself, since a wrong one costs room.
"""

from collections import deque
from statistics import median

from asterwharf.base.board import Controller

# failed runs in a row that make a minion suspect
BAD = 3
# of the time between beats: how long a suspicion lasts
FADE = 4.0
# of a step's usual time: from where a run counts as crawling; of its estimate, for want of others to compare with
SLOW, SLOWER = 3.0, 8.0
# of the time between beats, and of a step's estimate: no percent of progress for so long is standing still
STILL, STILL_EST = 0.8, 0.25
# percent of progress from where a run's pace tells something
SEEN = 4
KEPT = 400


class Health(Controller):
    """Learns from ends and from progress; a suspect minion is the last to get work."""

    __slots__ = ('again', 'bad', 'cell', 'tender', 'times', 'until', 'where')

    def __init__(self, b, cell, tender):
        super().__init__(b)
        self.cell, self.tender = cell, tender
        # bad: failed runs in a row; until: when a suspicion fades; where: task -> minions where it came to nothing;
        # times: step -> how long its runs took
        self.bad, self.until, self.where, self.times = {}, {}, {}, {}
        # task -> how often a run of it was stopped for its pace
        self.again = {}

    def flush(self):
        mac = self.cell.mac
        for mid, t, run, how in mac.ended:
            self._learn(mid, t, run, how)
        mac.ended.clear()

    def _learn(self, mid, t, run, how):
        if how == 'done':
            self.bad.pop(mid, None)
            self.where.pop(t.key, None)
            l = self.tender.links.get(mid)
            p = l.past.get(t.key) or l.prog.get(t.key) if l else None
            if p and p[4] == run:
                self._time(t.step, self.b.now - p[0])
        elif how in ('failed', 'refused', 'alone'):
            self.where.setdefault(t.key, set()).add(mid)
            if how == 'failed' and not t.step.lasts:
                self.bad[mid] = self.bad.get(mid, 0) + 1
                if self.bad[mid] >= BAD:
                    self.suspect(mid, 'its runs fail')

    def _time(self, s, ms):
        key = (s.job.id, s.n)
        if key not in self.times and len(self.times) >= KEPT:
            del self.times[next(iter(self.times))]
        self.times.setdefault(key, deque(maxlen=16)).append(ms)

    def suspect(self, mid, why):
        if mid not in self.until:
            self.b.count['suspected.minions'] += 1
            self.b.log('info', 'minion suspected', minion=mid, why=why)
        self.until[mid] = self.b.now + int(self.b.set.call.beat_ms * FADE)

    def tick(self):
        if self.until:
            for m in [m for m, at in self.until.items() if self.b.now >= at]:
                del self.until[m]
                self.bad.pop(m, None)

    def trusted(self, l):
        """Whether it may have more at all: one that fails everything gets one run at a time."""
        return self.bad.get(l.mid, 0) < BAD or not l.running

    def grade(self, l):
        """0, or below that where others should get work first."""
        return -1.0 if l.mid in self.until else 0.0

    def shuns(self, t, mid):
        """Whether a try that failed there should be made elsewhere."""
        return mid in self.where.get(t.key, ())

    # --- progress
    def usual(self, s):
        """What a run of this step usually takes, ms, or None where none is known."""
        got = self.times.get((s.job.id, s.n))
        return median(got) if got else None

    def pace(self, p):
        """What a whole run would take at the pace seen, ms, or None where too little was seen."""
        return (p[2] - p[0]) / (p[3] - p[1]) * 100 if p[3] - p[1] >= SEEN else None

    def left(self, p):
        """How long a run still needs, ms, or None."""
        whole = self.pace(p)
        return None if whole is None else whole * (100 - p[3]) / 100 - (self.b.now - p[2])

    def still(self, t, p, l):
        """Whether a run stands still, as far as its minion has told."""
        far = max(self.b.set.call.beat_ms * STILL, t.step.estimate * STILL_EST) * (1 + self.again.get(t.key, 0))
        return l.recv - p[2] > far and not t.step.lasts

    def peers(self, t):
        """What runs of the same step take elsewhere, ms: those that ended, and those under way."""
        s, out = t.step, []
        for o in s.tasks:
            l = self.tender.links.get(o.mid) if o is not t and o.mid != t.mid else None
            p = l.prog.get(o.key) if l else None
            whole = self.pace(p) if p else None
            if whole is not None:
                out.append(whole)
        got = self.usual(s)
        if got is not None:
            out.append(got)
        return median(out) if out else None

    def moved(self, t, p):
        """A run was stopped for its pace: if the work itself is so, the next run must not be stopped for the same."""
        whole = self.pace(p)
        if whole is not None:
            self._time(t.step, whole)
        self.again[t.key] = self.again.get(t.key, 0) + 1
        if len(self.again) > KEPT * 10:
            del self.again[next(iter(self.again))]

    def crawls(self, t, p, l):
        """What the run would take elsewhere, ms, where that is far less than here; else None."""
        s, whole = t.step, self.pace(p)
        if whole is None or s.lasts:
            return None
        # away from its data or its rack it takes longer wherever that is
        far = self.b.set.call.far_factor if s.one_rack or (s.near and l.rack != s.near) else 1
        fair = self.peers(t) or s.estimate * SLOWER / SLOW
        return fair if fair and whole > fair * SLOW * far else None
