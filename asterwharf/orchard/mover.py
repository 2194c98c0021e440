"""Stops runs that would do better elsewhere, or that stand in the way of more urgent work. Pure.

A stop is delivered like any change; the run's end, told by its minion, frees the room and brings its checkpoint.
"""

from asterwharf.base.board import Controller
from asterwharf.base.mechanisms import Mechanism
from asterwharf.orchard.evictions import NOTHING, Evictions

# of the silence bound: how often it looks
LOOK = 0.2
# a run is moved where it would take so many times longer to let it be
GAIN = 1.5
# so many times as long a run may stand still where others on its minion go on, or where it is a gang's
DOUBTFUL = 4


class Mover(Controller):
    """At the leader of the cell."""

    __slots__ = ('cell', 'due', 'evictions', 'health', 'late_jobs', 'placer', 'tender')

    def __init__(self, board, cell, tender, health, placer, late_jobs):
        super().__init__(board)
        self.cell, self.tender, self.health, self.placer, self.late_jobs = cell, tender, health, placer, late_jobs
        self.due, self.evictions = 0, Evictions(self)

    @property
    def mac(self):
        """The state machine of the cell."""
        return self.cell.mac

    def tick(self):
        board = self.b
        if self.tender.term < 0 or not self.cell.takes or board.now < self.due:
            return
        self.due = board.now + int(board.set.view.silence_ms * LOOK)
        stops, staying = {}, []
        for link in self.tender.links.values():
            gone = self._gone_at(link) if link.prog else None
            if gone is not None:
                self._leave(link, stops, gone)
            elif link.prog:
                staying.append(link)
        self._judge(self.health.pace.observe(staying, self.runs_of), stops)
        if not board.without(Mechanism.EVICTION):
            self.evictions.push(stops)
        if stops:
            items = [{'task': key, 'run': run} for key, run in stops.items()]
            self.cell.order('y_stop', {'at': self.cell.wall, 'items': items})

    def stop(self, task, stops, reason, **evidence):
        """Adds a run to `stops`, {task key: run}. A gang goes as one: its other members would only wait."""
        if task.key in stops:
            return
        for member in task.step.tasks if task.step.together else (task,):
            if member.mid and not member.stop:
                stops[member.key] = member.run
                self.late_jobs.stopped(member, reason, evidence)
        self.b.count[f'moved.{reason}'] += 1
        self.b.log('info', 'moved', task=task.key, minion=task.mid, why=reason, **evidence)

    def runs_of(self, link):
        """The runs that a minion has in hand and that are not being stopped: (task, progress)."""
        for key, task in self.mac.on.get(link.mid, {}).items():
            progress = link.prog.get(key)
            if progress is None or task.stop or task.step.job.fate:
                continue
            if task.mid == link.mid and progress.run == task.run:
                yield task, progress

    # --- minions that leave
    def _gone_at(self, link):
        """When nothing of ours may run there any more, by its own word or an operator's; None where that is open."""
        board, (_, _, until) = self.b, self.mac.drains.get(link.mid, ('', 0, 0))
        ends = [link.leaves or link.drain + board.set.call.drain_ms] if link.drain else []
        return min(ends + [board.now + until - self.cell.wall] * (until > 0), default=None)

    def _leave(self, link, stops, gone):
        """What can't end before the minion is gone goes now, with its checkpoint."""
        board = self.b
        if board.without(Mechanism.LEAVING):
            return
        for task, progress in self.runs_of(link):
            left = self.health.left_ms(progress)
            if left is None:
                left = task.step.estimate * (100 - progress.last_percent) / 100
            # one that stands still seems to need less and less
            left, time = max(0, left), gone - board.now
            if task.step.lasts or left > time - board.set.call.stop_grace_ms:
                self.stop(task, stops, 'leaving', left_ms=round(left), gone_in_ms=round(time))

    # --- minions that stall or have turned slow
    def _judge(self, observations, stops):
        """Moves runs from minions that stand still or have turned slow, where they would be done sooner elsewhere."""
        health = self.health
        self._stalled(observations, stops)
        if self.b.without(Mechanism.PACE):
            return
        health.slow = health.pace.slow(observations)
        for minion_id, slowness in health.slow.items():
            health.suspect(minion_id, slowness.why, factor=round(slowness.factor, 1), runs=slowness.runs)
        for seen in observations:
            slowness = health.slow.get(seen.link.mid)
            if slowness is not None and not seen.task.step.together and self._pays(seen, slowness):
                health.shun(seen.task, seen.link.mid)
                health.pace.moved(seen)
                self.stop(seen.task, stops, 'slow_minion', factor=round(slowness.factor, 1), runs=slowness.runs)

    def _stalled(self, observations, stops):
        """Moves runs that stand still; where no fault of their minion is to be seen, much later than others."""
        health, going = self.health, set()
        for seen in observations:
            if seen.has_moved and not health.still(seen.task, seen.progress, seen.link):
                going.add(seen.link.mid)
        for seen in observations:
            task, minion_id = seen.task, seen.link.mid
            # a gang stands still as one: which member holds it up, only other runs tell
            doubtful = task.step.together or minion_id in going
            if not health.still(task, seen.progress, seen.link, DOUBTFUL if doubtful else 1):
                continue
            if not doubtful:
                health.suspect(minion_id, 'its runs stand still')
            if not task.step.together:
                health.shun(task, minion_id)
            health.stopped(task)
            still_ms = seen.link.recv - seen.progress.last_at
            self.stop(task, stops, 'still', still_ms=still_ms, others_go_on=minion_id in going)

    def _pays(self, seen, slowness):
        """Whether a run on a slow minion would be done much sooner elsewhere, with what it has saved."""
        step, left_share = seen.task.step, (100 - seen.progress.last_percent) / 100
        sound = self.health.pace.sound_ms(seen, slowness)
        if sound is None or not self._room_elsewhere(step, seen.link.mid):
            return False
        left = sound * slowness.factor * left_share
        again = sound * (left_share if step.saves else 1)
        call = self.b.set.call
        return left > (again + call.restore_ms * step.saves + call.stop_grace_ms) * GAIN

    def _room_elsewhere(self, step, minion_id):
        """Whether a minion that is not suspected has room for a task of the step."""
        return any(
            self._has_room(step, link)
            for other, link in self.tender.links.items()
            if other != minion_id and other not in self.health.suspected_until
        )

    def _has_room(self, step, link):
        if link.group != step.job.group or not self.tender.open(link) or (step.label and step.label not in link.labels):
            return False
        used = self.mac.used.get(link.mid, NOTHING)
        return all(need <= size - taken for need, size, taken in zip(step.need, link.room, used, strict=True))
