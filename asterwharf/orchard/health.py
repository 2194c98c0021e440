"""What comes of a minion's runs: the holder's judgement of which minions to trust with more. Pure.

A minion says it is well while its work fails, crawls or stands still; only its runs tell. A suspicion fades by
itself, since a wrong one costs room.
"""

from asterwharf.base.board import Controller
from asterwharf.base.mechanisms import Mechanism
from asterwharf.orchard.pace import PaceJudge, whole_ms

# failed runs in a row that make a minion suspect
BAD = 3
# of the time between beats: how long a suspicion lasts
FADE = 4.0
# of the time between beats, and of a step's estimate: no percent of progress for so long is standing still
STILL, STILL_EST = 0.8, 0.25
KEPT = 4000


class Health(Controller):
    """Learns from ends and from progress; a suspect minion is the last to get work."""

    __slots__ = ('again', 'bad', 'cell', 'pace', 'slow', 'tender', 'until', 'where')

    def __init__(self, b, cell, tender):
        super().__init__(b)
        self.cell, self.tender = cell, tender
        # bad: failed runs in a row; until: when a suspicion fades; where: task -> minions where it came to nothing
        self.bad, self.until, self.where = {}, {}, {}
        # how long runs take; minion -> Slowness, as of the last look
        self.pace, self.slow = PaceJudge(b), {}
        # task -> how often a run of it was stopped for standing still
        self.again = {}

    def flush(self):
        mac = self.cell.mac
        steps = {}
        for mid, t, run, how in mac.ended:
            self._learn(mid, t, run, how)
            steps[id(t.step)] = t.step
        for step in steps.values():
            if not step.left:
                self.pace.finished(step)
        mac.ended.clear()

    def _learn(self, mid, t, run, how):
        if how == 'done':
            self.bad.pop(mid, None)
            self.where.pop(t.key, None)
            l = self.tender.links.get(mid)
            p = l.past.get(t.key) or l.prog.get(t.key) if l else None
            if p and p[4] == run:
                self.pace.ended(t.step, mid, self.b.now - p[0])
        elif how in ('failed', 'refused', 'alone'):
            self.where.setdefault(t.key, set()).add(mid)
            if how == 'failed' and not t.step.lasts:
                self.bad[mid] = self.bad.get(mid, 0) + 1
                if self.bad[mid] >= BAD:
                    self.suspect(mid, 'its runs fail')

    def suspect(self, mid, why, **evidence):
        """Others get work before this minion for a while; `evidence` goes into the log line."""
        if self.b.without(Mechanism.SUSPICION):
            return
        if mid not in self.until:
            self.b.count['suspected.minions'] += 1
            self.b.log('info', 'minion suspected', minion=mid, why=why, **evidence)
        self.until[mid] = self.b.now + int(self.b.set.call.beat_ms * FADE)

    def tick(self):
        if self.until:
            for m in [m for m, at in self.until.items() if self.b.now >= at]:
                del self.until[m]
                self.bad.pop(m, None)

    def trusted(self, l):
        """Whether it may have more at all: one that fails everything gets one run at a time."""
        return self.b.without(Mechanism.SUSPICION) or self.bad.get(l.mid, 0) < BAD or not l.running

    def grade(self, l):
        """0, or below that where others should get work first."""
        return -1.0 if l.mid in self.until else 0.0

    def shun(self, task, minion_id):
        """A run of the task came to nothing there: the next is made elsewhere."""
        self.where.setdefault(task.key, set()).add(minion_id)

    def shuns(self, t, mid):
        """Whether a try that failed there should be made elsewhere."""
        return not self.b.without(Mechanism.SHUNNING) and mid in self.where.get(t.key, ())

    # --- progress
    def left(self, p):
        """How long a run still needs, ms, or None."""
        whole = whole_ms(p)
        return None if whole is None else whole * (100 - p[3]) / 100 - (self.b.now - p[2])

    def still(self, t, p, l, patience=1):
        """Whether a run stands still, as far as its minion has told, with so many times the usual patience."""
        if self.b.without(Mechanism.STILLNESS):
            return False
        far = max(self.b.set.call.beat_ms * STILL, t.step.estimate * STILL_EST) * (1 + self.again.get(t.key, 0))
        return l.recv - p[2] > far * patience and not t.step.lasts

    def stopped(self, task):
        """A run was stopped for standing still: if the work itself is so, the next run must not be stopped as soon."""
        self.again[task.key] = self.again.get(task.key, 0) + 1
        if len(self.again) > KEPT:
            del self.again[next(iter(self.again))]
