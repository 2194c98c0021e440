"""Follows gangs from their placement until all members run side by side, and gives up as one those that can't. Pure.

A minion ends a member `alone` that has waited `gang_wait_ms` for the others, and nothing but the scheduler knows
early that one of them won't come: its minion may be silent, drain, turn the start away or be gone with the answer in hand.
"""

from dataclasses import dataclass, field

from asterwharf.base.board import Controller
from asterwharf.orchard.minion_link import CLOSED, RECOVERING
from asterwharf.orchard.model import RUN

# of the time that a member waits for the others: how long a gang may take to come together, how often that is looked
# at, and after how long stops are ordered again; what is left is for the stops to reach the members that wait
PATIENCE, LOOK, AGAIN = 0.5, 0.02, 0.1
# the first of these for a gang that an earlier leader has placed, from when the new one begins
PATIENCE_INHERITED = 0.25


@dataclass(slots=True)
class Forming:
    """A gang that is on its way: its step, its run, and ms of the node's clock.

    `minions` and `listed` have each member's minion and when it was first listed as running, by the member's index;
    `until` is when it must have come together, `stopped` when the members were ordered to stop, or None.
    """

    step: object
    run: int
    since: int
    until: int
    minions: dict
    listed: dict = field(default_factory=dict)
    stopped: int | None = None

    @property
    def members(self):
        """Members that may run and are not being stopped."""
        return [task for task in self.step.tasks if task.state == RUN and task.run == self.run and not task.stop]


class GangWatch(Controller):
    """At the leader of the cell: sees gangs come together, and stops all members where one does not come."""

    __slots__ = ('cell', 'due', 'forming', 'mover', 'tender', 'term', 'together')

    def __init__(self, board, cell, tender, mover):
        super().__init__(board)
        self.cell, self.tender, self.mover = cell, tender, mover
        # (job, time, step) -> Forming, or the run that has come together
        self.forming, self.together, self.due, self.term = {}, {}, 0, -1

    @property
    def machine(self):
        """The state machine of the cell."""
        return self.cell.mac

    def flush(self):
        if self.tender.term != self.term:
            self._begin_term()
        changed, self.machine.gangs = self.machine.gangs, {}
        if self.term < 0:
            return
        for key, step in changed.items():
            self._changed(key, step, PATIENCE)

    def _begin_term(self):
        """A new leader does not know which gangs have come together: it follows all that run."""
        self.term, self.forming, self.together = self.tender.term, {}, {}
        if self.term < 0:
            return
        running = [task for runs in self.machine.on.values() for task in runs.values()]
        for step in {task.step.key: task.step for task in running if task.step.together}.values():
            self._changed(step.key, step, PATIENCE_INHERITED)

    def _changed(self, key, step, patience):
        """Members of a gang were placed, or are over."""
        if len(step.tasks) < 2:
            return
        running = [task for task in step.tasks if task.state == RUN]
        if not running or step.job.fate:
            self.forming.pop(key, None)
            self.together.pop(key, None)
            return
        run, gang = running[0].run, self.forming.get(key)
        # once they work together a minion that loses sight of one breaks the others by itself
        if self.together.get(key) == run:
            return
        if gang is None or gang.run != run:
            until = self.b.now + int(self.b.set.call.gang_wait_ms * patience)
            minions = {task.idx: task.mid for task in running}
            gang = self.forming[key] = Forming(step, run, self.b.now, until, minions)
        if len(running) < len(step.tasks):
            self._give_up(gang)

    def tick(self):
        if self.term < 0 or self.b.now < self.due:
            return
        self.due = self.b.now + int(self.b.set.call.gang_wait_ms * LOOK)
        for key, gang in list(self.forming.items()):
            if gang.stopped is not None:
                self._give_up(gang)
            elif self._runs_whole(gang):
                self.b.count['gangs.together'] += 1
                self.together[key] = gang.run
                del self.forming[key]
            elif self.b.now > gang.until and self._somebody_waits(gang) and self._missing(gang):
                self._give_up(gang)

    def _runs_whole(self, gang):
        """Whether the gang is at work, or a beat of each member's minion that came after the last one began lists it."""
        links, at_work = [], False
        for task in gang.step.tasks:
            link = self.tender.links.get(task.mid)
            if not _lists(link, task, gang.run):
                continue
            gang.listed.setdefault(task.idx, link.recv)
            at_work = at_work or link.running[task.key][2] > 0
            links.append(link)
        if at_work:
            return True
        if len(links) < len(gang.step.tasks):
            return False
        last = max(gang.listed.values())
        return all(link.recv >= last for link in links)

    def _somebody_waits(self, gang):
        """Whether a member was told by this leader, or is listed: of what an earlier leader told nothing may be known yet."""
        links = [(task, self.tender.links.get(task.mid)) for task in gang.members]
        return any(link is not None and link.held.get(task.key) == gang.run for task, link in links)

    def _give_up(self, gang):
        """Stops the members that are there or on their way; ordered again where that came to nothing."""
        now, again_ms = self.b.now, self.b.set.call.gang_wait_ms * AGAIN
        if gang.stopped is not None and now - gang.stopped < again_ms:
            return
        stops = {}
        if gang.stopped is None:
            self._tell(gang)
        for task in gang.members:
            self.mover.stop(task, stops, 'gang_apart')
        items = [{'task': key, 'run': run} for key, run in stops.items()]
        if items and self.cell.order('y_stop', {'at': self.cell.wall, 'items': items}):
            gang.stopped = now

    # --- what is told of it
    def _tell(self, gang):
        """One log line for a gang that does not come together."""
        self.b.count['gangs.apart'] += 1
        first, last = min(gang.listed.values(), default=0), max(gang.listed.values(), default=0)
        self.b.log(
            'info',
            'gang apart',
            job=gang.step.job.id,
            step=gang.step.n,
            run=gang.run,
            members=len(gang.step.tasks),
            listed=len(gang.listed),
            span_ms=last - first,
            waited_ms=self.b.now - gang.since,
            missing=self._missing(gang),
        )

    def _missing(self, gang):
        """One line for each member that is over, that its minion does not list, or whose minion is silent."""
        return [
            self._seen(task, gang.minions.get(task.idx, ''))
            for task in gang.step.tasks
            if self._is_missing(task, gang.run)
        ]

    def _is_missing(self, task, run):
        link = self.tender.links.get(task.mid)
        if not _lists(link, task, run) or link.state in (RECOVERING, CLOSED):
            return True
        return link.silent_ms(self.b.now) > self.b.set.call.beat_ms

    def _seen(self, task, minion_id):
        link = self.tender.links.get(minion_id)
        if link is None:
            return f'{task.key} on {minion_id or "no minion"}: not known'
        told = link.held.get(task.key) == task.run
        over = '' if task.state == RUN else ', given up'
        return f'{task.key} on {minion_id}: {link.state}, told {told}, silent {link.silent_ms(self.b.now)} ms{over}'


def _lists(link, task, run):
    """Whether a member runs, as its minion's last beat has it."""
    return link is not None and task.state == RUN and task.run == run and link.running.get(task.key, (0,))[0] == run
