"""Less urgent runs make room for urgent work that has waited. Pure."""

from asterwharf.orchard.health import KEPT

# of the time that its queue aims at: how long urgent work waits until less urgent work is pushed out
PATIENCE = 0.4
# stops on their way for urgent work, at most; work thrown away for each unit of urgent work, at most
MOST_STOPS, MOST_COST = 6, 0.5
# core milliseconds count so many times for a GPU; what was pushed out before costs so many times as much
GPU_CORES, AGAIN = 8, 4
# estimates below this count as this, ms
LEAST_ESTIMATE = 100
NOTHING = (0, 0, 0)


class Evictions:
    """Chooses which runs are stopped; the mover stops them."""

    def __init__(self, mover):
        self.mover, self.board = mover, mover.b
        # task -> how often it was pushed out: the same one does not make room for everybody
        self._pushed = {}

    @property
    def _machine(self):
        return self.mover.mac

    @property
    def _placer(self):
        return self.mover.placer

    def push(self, stops):
        """Adds the runs that make room for urgent work to `stops`, {task key: run}."""
        self._placer.judge.refill()
        self._placer.guarantees.begin()
        under_way = sum(
            task.stop for runs in self._machine.on.values() for task in runs.values() if not task.step.job.fate
        )
        budget, seen = MOST_STOPS - under_way, set()
        ready = self._machine.ready.values()
        for step in sorted(ready, key=lambda step: (step.job.prio, step.job.at, step.job.id, step.n)):
            shape = step.job.group, step.job.prio, step.need, step.label, self._placer.judge.key(step)
            if shape in seen or budget <= 0 or not self._may_push(step):
                continue
            seen.add(shape)
            budget -= self._push_for(step, stops, budget)

    def _may_push(self, step):
        if step.together or step.lasts:
            return False
        return self._placer.waited(step) >= step.job.aim * PATIENCE

    def _push_for(self, step, stops, budget):
        """Stops runs for one step; returns how many."""
        reservations, spent = self._placer.reservations, 0
        # what is being stopped already makes room for some of its tasks
        want = step.ready - self._coming(step, stops) - reservations.made(step)
        while want > 0 and spent < budget:
            found = self._victims(step, stops)
            if found is None:
                break
            runs, fit, minion_id = found
            reservations.hold_evicted(step, minion_id, min(fit, want), runs)
            for task in runs:
                self.mover.stop(task, stops, 'pushed', for_job=step.job.id)
                self._remember(task)
            spent, want = spent + len(runs), want - fit
        return spent

    def _remember(self, task):
        self._pushed[task.key] = self._pushed.get(task.key, 0) + 1
        if len(self._pushed) > KEPT:
            del self._pushed[next(iter(self._pushed))]

    def _coming(self, step, stops):
        """How many tasks of a step fit where runs are being stopped, once these have ended."""
        out = 0
        for minion_id, runs in self._machine.on.items():
            link = self.mover.tender.links.get(minion_id)
            gone = [task.step.need for key, task in runs.items() if task.stop or key in stops]
            if (
                link is not None
                and gone
                and link.group == step.job.group
                and (not step.label or step.label in link.labels)
            ):
                out += self._fit(step, minion_id, link, gone)
        return out

    def _fit(self, step, minion_id, link, gone):
        """How many tasks of a step fit on a minion without the runs that need `gone`."""
        used = self._machine.used.get(minion_id, NOTHING)
        given = [sum(need[i] for need in gone) for i in range(len(NOTHING))]
        free = [size - taken + more for size, taken, more in zip(link.room, used, given, strict=True)]
        return int(min([have // need for have, need in zip(free, step.need, strict=True) if need] or [1]))

    def _victims(self, step, stops):
        """(runs, tasks of the step that fit then, minion id) of the cheapest runs whose end makes room on one minion, or None."""
        best = None
        most = (step.need[0] / 1000 + step.need[2] * GPU_CORES) * max(step.estimate, LEAST_ESTIMATE) * MOST_COST
        for minion_id, link in self.mover.tender.links.items():
            if not self._may_serve(step, minion_id, link, stops):
                continue
            cost, runs = self._cheapest(step, minion_id, link)
            if runs and cost <= most and (best is None or (cost, minion_id) < best[:2]):
                best = cost, minion_id, runs
        if best is None:
            return None
        _, minion_id, runs = best
        link, gone = self.mover.tender.links[minion_id], [task.step.need for task in runs]
        return runs, max(1, self._fit(step, minion_id, link, gone)), minion_id

    def _may_serve(self, step, minion_id, link, stops):
        """Whether a minion could run a task of the step if it were empty, and nothing is being stopped there."""
        if link.group != step.job.group or not self.mover.tender.open(link):
            return False
        if step.label and step.label not in link.labels:
            return False
        if minion_id in self._machine.drains or not self._placer.judge.may(step, link):
            return False
        if any(need > size for need, size in zip(step.need, link.room, strict=True)):
            return False
        # what is being stopped there will make room by itself
        return not any(key in stops or task.stop for key, task in self._machine.on.get(minion_id, {}).items())

    def _cheapest(self, step, minion_id, link):
        """(cost, the cheapest runs of a minion that make room for a task of the step); no runs where they can't."""
        used = self._machine.used.get(minion_id, NOTHING)
        held = self._placer.reservations.held_against(step, minion_id)
        free = [size - taken - kept for size, taken, kept in zip(link.room, used, held, strict=True)]
        candidates = [
            (self._cost(task, progress), task.key, task)
            for task, progress in self.mover.runs_of(link)
            if self._may_stop(task, step, link)
        ]
        runs, total = [], 0.0
        for cost, _, task in sorted(candidates, key=lambda row: row[:2]):
            if _fits(step.need, free):
                break
            runs.append(task)
            total += cost
            free = [have + given for have, given in zip(free, task.step.need, strict=True)]
        return total, runs if _fits(step.need, free) else []

    def _may_stop(self, task, step, link):
        if task.step.job.prio <= step.job.prio or task.step.together or task.step.lasts:
            return False
        # few minions suit a label: there nothing is kept from urgent work
        if not step.label and self._placer.guarantees.protects(task, step):
            return False
        return self._placer.judge.may_evict(step, link, task)

    def _cost(self, task, progress):
        """Core milliseconds lost, about; what is saved is not lost."""
        lost_ms = self.board.now - progress.first_at
        if task.step.saves:
            lost_ms = min(lost_ms, self.board.set.call.checkpoint_ms / 2)
        cpu, _, gpus = task.step.need
        # what was pushed out before pays for it once more, so that another is found first
        return lost_ms * (cpu / 1000 + gpus * GPU_CORES) * AGAIN ** self._pushed.get(task.key, 0)


def _fits(need, free):
    return all(have >= wanted for have, wanted in zip(free, need, strict=True))
