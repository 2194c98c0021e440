"""What comes of a minion's runs: the leader's judgement of which minions to trust with more. Pure.

A minion says it is well while its work fails, crawls or stands still; only its runs tell. A suspicion fades by
itself, since a wrong one costs room.
"""

from asterwharf.base.board import Controller
from asterwharf.base.mechanisms import Mechanism
from asterwharf.orchard.pace import PaceJudge

# failed runs in a row that make a minion suspect
BAD = 3
# of the time between beats: how long a suspicion lasts
FADE = 4.0
# of the time between beats, and of a step's estimate: no percent of progress for so long is standing still
STILL, STILL_OF_ESTIMATE = 0.8, 0.25
# tasks whose stops are remembered
KEPT = 4000


class Health(Controller):
    """Learns from ends and from progress; a suspect minion is the last to get work."""

    __slots__ = ('_failures', '_shunned', '_stops', 'cell', 'pace', 'slow', 'suspected_until', 'tender')

    def __init__(self, board, cell, tender):
        super().__init__(board)
        self.cell, self.tender = cell, tender
        # minion -> when a suspicion of it fades, ms of the node's clock
        self.suspected_until = {}
        # how long runs take; minion -> Slowness, as of the last look
        self.pace, self.slow = PaceJudge(board), {}
        # minion -> runs that failed in a row; task -> minions where it came to nothing; task -> how often a run of it was
        # stopped for standing still
        self._failures, self._shunned, self._stops = {}, {}, {}

    def flush(self):
        steps, machine = {}, self.cell.mac
        for minion_id, task, run, how in machine.ended:
            self._learn(minion_id, task, run, how)
            steps[id(task.step)] = task.step
        for step in steps.values():
            if not step.left:
                self.pace.finished(step)
        machine.ended.clear()

    def _learn(self, minion_id, task, run, how):
        if how == 'done':
            self._failures.pop(minion_id, None)
            self._shunned.pop(task.key, None)
            self._learn_pace(minion_id, task, run)
        elif how in ('failed', 'refused', 'alone'):
            self.shun(task, minion_id)
            if how == 'failed' and not task.step.lasts:
                self.failed(minion_id)

    def _learn_pace(self, minion_id, task, run):
        link = self.tender.links.get(minion_id)
        progress = link.past.get(task.key) or link.prog.get(task.key) if link else None
        if progress and progress.run == run:
            self.pace.ended(task.step, minion_id, self.b.now - progress.first_at)

    def failed(self, minion_id):
        """A run has failed there; so many in a row make the minion suspect."""
        self._failures[minion_id] = self._failures.get(minion_id, 0) + 1
        if self._failures[minion_id] >= BAD:
            self.suspect(minion_id, 'its runs fail')

    def suspect(self, minion_id, why, **evidence):
        """Others get work before this minion for a while; `evidence` goes into the log line."""
        if self.b.without(Mechanism.SUSPICION):
            return
        if minion_id not in self.suspected_until:
            self.b.count['suspected.minions'] += 1
            self.b.log('info', 'minion suspected', minion=minion_id, why=why, **evidence)
        self.suspected_until[minion_id] = self.b.now + int(self.b.set.call.beat_ms * FADE)

    def tick(self):
        over = [minion_id for minion_id, until in self.suspected_until.items() if self.b.now >= until]
        for minion_id in over:
            del self.suspected_until[minion_id]
            self._failures.pop(minion_id, None)

    def trusted(self, link):
        """Whether it may have more at all: one that fails everything gets one run at a time."""
        if self.b.without(Mechanism.SUSPICION):
            return True
        return self._failures.get(link.mid, 0) < BAD or not link.running

    def grade(self, link):
        """0, or below that where others should get work first."""
        return -1.0 if link.mid in self.suspected_until else 0.0

    def shun(self, task, minion_id):
        """A run of the task came to nothing there: the next is made elsewhere."""
        self._shunned.setdefault(task.key, set()).add(minion_id)

    def shuns(self, task, minion_id):
        """Whether a try that failed there should be made elsewhere."""
        return not self.b.without(Mechanism.SHUNNING) and minion_id in self._shunned.get(task.key, ())

    # --- progress
    def left_ms(self, progress):
        """How long a run still needs, ms, or None where nothing tells."""
        whole = progress.whole_ms
        if whole is None:
            return None
        return whole * (100 - progress.last_percent) / 100 - (self.b.now - progress.last_at)

    def still(self, task, progress, link, patience=1):
        """Whether a run stands still, as far as its minion has told, with so many times the usual patience."""
        if self.b.without(Mechanism.STILLNESS) or task.step.lasts:
            return False
        usual = max(self.b.set.call.beat_ms * STILL, task.step.estimate * STILL_OF_ESTIMATE)
        return link.recv - progress.last_at > usual * (1 + self._stops.get(task.key, 0)) * patience

    def stopped(self, task):
        """A run was stopped for standing still: if the work itself is so, the next run must not be stopped as soon."""
        self._stops[task.key] = self._stops.get(task.key, 0) + 1
        if len(self._stops) > KEPT:
            del self._stops[next(iter(self._stops))]
