"""Follows gangs from their placement until all members run side by side. Pure.

A minion ends a member `alone` that has waited `gang_wait_ms` for the others, and nothing but the scheduler knows
early that one of them won't come: its minion may be silent, drain, turn the start away or be gone with the answer in hand.
"""

from dataclasses import dataclass, field

from asterwharf.base.board import Controller
from asterwharf.orchard.minion_link import CLOSED, RECOVERING
from asterwharf.orchard.model import RUN

# of the time that a member waits for the others: how long a gang may take to come together, and how often that is
# looked at; the rest is for stops to reach the members that wait
PATIENCE, LOOK = 0.5, 0.02


@dataclass(slots=True)
class Forming:
    """A gang that is on its way: its step, its run, and ms of the node's clock.

    `listed` has when each member was first listed as running, by the member's index.
    """

    step: object
    run: int
    since: int
    listed: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Missing:
    """A member that does not run with the others, and what is known of its minion."""

    task: str
    minion: str
    link: str
    told: bool
    silent_ms: int


class GangWatch(Controller):
    """At the leader of the cell: sees gangs come together, or not."""

    __slots__ = ('cell', 'due', 'forming', 'tender', 'term', 'together')

    def __init__(self, board, cell, tender):
        super().__init__(board)
        self.cell, self.tender = cell, tender
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
            self._changed(key, step)

    def _begin_term(self):
        """A new leader does not know which gangs have come together: it follows all that run."""
        self.term, self.forming, self.together = self.tender.term, {}, {}
        if self.term < 0:
            return
        for runs in self.machine.on.values():
            for task in runs.values():
                if task.step.together:
                    self.machine.gangs[task.step.key] = task.step

    def _changed(self, key, step):
        """Members of a gang were placed, or are over."""
        running = [task for task in step.tasks if task.state == RUN]
        if not running or step.job.fate:
            self.forming.pop(key, None)
            self.together.pop(key, None)
            return
        run, gang = running[0].run, self.forming.get(key)
        if self.together.get(key) != run and (gang is None or gang.run != run):
            self.forming[key] = Forming(step, run, self.b.now)

    def tick(self):
        if self.term < 0 or self.b.now < self.due:
            return
        wait_ms = self.b.set.call.gang_wait_ms
        self.due = self.b.now + int(wait_ms * LOOK)
        for key, gang in list(self.forming.items()):
            if self._runs_whole(gang):
                self.b.count['gangs.together'] += 1
                self.together[key] = gang.run
                del self.forming[key]
            elif self.b.now - gang.since > wait_ms:
                self._tell(gang)
                del self.forming[key]

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

    def _tell(self, gang):
        """One log line for a gang that does not come together."""
        missing = self._missing(gang)
        self.b.count['gangs.apart'] += 1
        self.b.log(
            'warning',
            'gang apart',
            job=gang.step.job.id,
            step=gang.step.n,
            run=gang.run,
            members=len(gang.step.tasks),
            listed=len(gang.listed),
            span_ms=max(gang.listed.values(), default=0) - min(gang.listed.values(), default=0),
            waited_ms=self.b.now - gang.since,
            missing=[
                f'{m.task} on {m.minion or "-"}: {m.link}, told {m.told}, silent {m.silent_ms} ms' for m in missing
            ],
        )

    def _missing(self, gang):
        return [self._seen(task) for task in gang.step.tasks if self._is_missing(task, gang.run)]

    def _is_missing(self, task, run):
        """Whether a member is over, or its minion does not list it, or is silent."""
        link = self.tender.links.get(task.mid)
        if not _lists(link, task, run) or link.state in (RECOVERING, CLOSED):
            return True
        return link.silent_ms(self.b.now) > self.b.set.call.beat_ms

    def _seen(self, task):
        link = self.tender.links.get(task.mid)
        if link is None:
            return Missing(task.key, task.mid, '', False, 0)
        return Missing(task.key, task.mid, link.state, link.held.get(task.key) == task.run, link.silent_ms(self.b.now))


def _lists(link, task, run):
    """Whether a member runs, as its minion's last beat has it."""
    return link is not None and task.state == RUN and task.run == run and link.running.get(task.key, (0,))[0] == run
