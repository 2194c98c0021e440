"""A guaranteed share of a group's room for less urgent work that has waited, so that urgent work can't starve it. Pure.

Strict priority lets a backlog of urgent work shut out all that is less urgent, however little that would need. So each priority
has a share of its group's room that more urgent work neither keeps from it nor pushes it out of. It counts only for work that
has waited for its queue's aim; there is nothing to take from anyone while there is room.
"""

from asterwharf.base.mechanisms import Mechanism

# of a group's room: what each priority may use before more urgent work is placed, and what all of them may together
SHARE, ALL_SHARES = 0.2, 0.4
NOTHING = (0, 0, 0)


class Guarantees:
    """Who uses what of each group, reckoned anew in each decision that asks."""

    def __init__(self, placer):
        self.placer = placer
        # group -> priority -> [cpu, memory, GPUs] in use; group -> its room; both as of one decision
        self._used, self._rooms = None, {}
        # group -> priorities with work that found no room for the share that it is entitled to
        self._unmet = {}
        # group -> the most urgent priority that has work waiting
        self._most_urgent = {}

    def begin(self):
        """A decision begins: runs may have started and ended."""
        self._used, self._rooms, self._unmet = None, {}, {}

    def entitled(self, steps):
        """Those of the steps, in their order, that have waited for their aim behind more urgent work of their group."""
        self._most_urgent = {}
        if self.placer.b.without(Mechanism.GUARANTEES):
            return []
        for step in steps:
            self._most_urgent.setdefault(step.job.group, step.job.prio)
        return [
            step
            for step in steps
            if step.job.prio > self._most_urgent[step.job.group]
            and not (step.lasts or step.together)
            and self.placer.waited(step) > step.job.aim
        ]

    def tasks_left(self, step):
        """How many more tasks of a step its priority's share has room for."""
        group = step.job.group
        left = self._left(group, step.job.prio, self._most_urgent[group])
        return int(max(0, min((have // need for have, need in zip(left, step.need, strict=True) if need), default=0)))

    def owe(self, step):
        """A step found no room for tasks that its priority's share has room for."""
        self._unmet.setdefault(step.job.group, set()).add(step.job.prio)

    def owed_behind(self, step):
        """Whether less urgent work of the group still lacks its share: no more room is reserved ahead of it then."""
        return any(priority > step.job.prio for priority in self._unmet.get(step.job.group, ()))

    def take(self, step, tasks):
        """Tasks of a step have been placed in this decision."""
        used = self._usage(step.job.group).setdefault(step.job.prio, [0, 0, 0])
        for i, need in enumerate(step.need):
            used[i] += need * tasks

    def protects(self, task, urgent):
        """Whether a run stands in its priority's share, where the more urgent step `urgent` may not push it out."""
        if self.placer.b.without(Mechanism.GUARANTEES):
            return False
        job = task.step.job
        return all(have >= 0 for have in self._left(job.group, job.prio, urgent.job.prio))

    def _left(self, group, priority, urgent):
        """(cpu, memory, GPUs) that a priority may still use before priority `urgent`: of its own share and of all shares."""
        if group not in self._rooms:
            self._rooms[group] = self.placer.room_of(group)
        usage, left = self._usage(group), []
        for i, room in enumerate(self._rooms[group]):
            own = usage.get(priority, NOTHING)[i]
            together = sum(min(used[i], room * SHARE) for other, used in usage.items() if other > urgent)
            left.append(min(room * SHARE - own, room * ALL_SHARES - together))
        return left

    def _usage(self, group):
        if self._used is None:
            self._used = self._count()
        return self._used.setdefault(group, {})

    def _count(self):
        out = {}
        for tasks in self.placer.mac.on.values():
            for task in tasks.values():
                used = out.setdefault(task.step.job.group, {}).setdefault(task.step.job.prio, [0, 0, 0])
                for i, need in enumerate(task.step.need):
                    used[i] += need
        return out
