"""A second run of work that may be repeated, where the minion of the first has fallen silent. Pure.

A run on a silent minion may go on until its hold has run out, and nothing else may start before that. Work that may be repeated
need not wait: a second run begins elsewhere, and whichever ends first counts.
"""

from asterwharf.base.mechanisms import Mechanism
from asterwharf.orchard.minion_link import CLOSED, RECOVERING
from asterwharf.orchard.model import RUN

# of the time between beats: silence of a busy minion, after it was answered, from where its work is copied; between two looks
SILENT, LOOK = 0.5, 0.1
# of a group's minions: where more are silent the fault is likely this side's, and nothing is copied
MOST_SILENT = 0.34
# copies in one decision, at most
MOST = 100


class Copies:
    """At the leader: finds the runs to copy, and places the copies in room that nothing else wants."""

    def __init__(self, placer):
        self.placer, self.board = placer, placer.b
        self._due, self._wanted = 0, []

    def look(self):
        """Looks for runs to copy, now and then; returns whether there are any."""
        board = self.board
        if board.without(Mechanism.COPIES):
            return False
        if board.now >= self._due:
            self._due = board.now + int(board.set.call.beat_ms * LOOK)
            self._wanted = self._find()
        return bool(self._wanted)

    def _find(self):
        groups, silent = {}, {}
        for link in self.placer.tender.links.values():
            if link.state == CLOSED or link.doc is None:
                continue
            groups[link.group] = groups.get(link.group, 0) + 1
            if self._is_silent(link):
                silent.setdefault(link.group, []).append(link)
        return [
            task
            for group, links in silent.items()
            if len(links) <= groups[group] * MOST_SILENT
            for link in links
            for task in self.placer.mac.on.get(link.mid, {}).values()
            if self._may_copy(task, link)
        ]

    def _is_silent(self, link):
        if link.give is not None:
            return False
        heard = max(link.recv, link.answered)
        return link.state == RECOVERING or self.board.now - heard > self.board.set.call.beat_ms * SILENT

    def _may_copy(self, task, link):
        step = task.step
        return (
            step.copies
            and not (step.together or step.lasts)
            and task.state == RUN
            and task.mid == link.mid
            and not (task.spare or task.stop or step.job.fate)
        )

    def bundles(self, rooms):
        """Starts of copies, once everything else has been placed."""
        out = []
        for task in self._wanted[:MOST]:
            link = self.placer.tender.links.get(task.mid)
            # a beat may have come meanwhile, or an end
            if link is None or not self._is_silent(link) or not self._may_copy(task, link):
                continue
            room = self._room(task, rooms)
            if room is None:
                continue
            room.take(task.step.need)
            self.placer.placed[task.key] = room.mid
            out.append({'items': [{'task': task.key, 'run': task.top + 1, 'mid': room.mid}]})
        self._wanted = []
        self.board.count['copies'] += len(out)
        return out

    def _room(self, task, rooms):
        step, on = task.step, {}
        if step.apart:
            on = self.placer.spread(step)
        for room in rooms.fit(step, rooms.patience):
            if room.mid != task.mid and room.grade == 0 and not (step.apart and on.get(room.mid, 0) >= step.apart):
                return room
        return None
