"""Empties minions and zones to the end: what still runs there at the deadline is pushed out. Pure.

The deadline is part of the delivered drain or configuration and is judged by the median clock, so any holder
carries it out, and a change that takes it back ends it at once.
"""

from asterwharf.base.board import Controller
from asterwharf.scheduler.model import PLACED, RUNNING

# evicted in one change; of the groups' bound: between two looks
MOST, PACE = 200, 0.25


def deadline(m, cfg):
    """When this minion is to be empty: 0 where it need not be."""
    z = cfg.zones.get(m.zone)
    ats = [m.until if m.opdrain else 0, z.evict_at if z and z.emptied else 0]
    return min((a for a in ats if a), default=0)


class Emptier(Controller):
    """Works on the holder. A stop, its confirmed end, then a new round elsewhere: no try is used up."""

    __slots__ = ('busy', 'cell', 'due')

    def __init__(self, b, cell):
        super().__init__(b)
        self.cell, self.busy, self.due = cell, False, 0

    def tick(self):
        b, cfg = self.b, self.b.config
        if not self.cell.takes:
            self.busy = False
            return
        if self.busy or cfg is None or b.now < self.due:
            return
        self.due = b.now + int(b.set.view.silence_ms * PACE)
        mac, at = self.cell.mac, self.cell.wall
        over = [m for m in mac.minions.values() if m.up and 0 < deadline(m, cfg) <= at]
        items = [
            {'task': k, 'round': mac.tasks[k].round}
            for m in over
            for k in m.load
            if mac.tasks[k].state in (PLACED, RUNNING)
        ][:MOST]
        if not items:
            return
        b.count['emptied'] += len(items)
        self.busy = self.cell.order(
            't_evict', {'at': at, 'why': 'its minion is to be empty', 'items': items}, self._done
        )

    def _done(self, r):
        self.busy = False


def zones(mac, cfg, at, grp):
    """How far each zone is: rows for operators."""
    out = []
    for n, z in sorted(cfg.zones.items()):
        ms = [m for m in mac.minions.values() if m.zone == n]
        tks = [mac.tasks[k] for m in ms for k in m.load]
        out.append(
            {
                'zone': n,
                'cell': grp,
                'emptied': z.emptied,
                'evict_at': z.evict_at,
                'now': at,
                'minions': len(ms),
                'up': sum(m.up for m in ms),
                'tasks': len(tks),
                'stopping': sum(t.state == 'stopping' for t in tks),
            }
        )
    return out
