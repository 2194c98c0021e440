"""Forgets jobs that ended long ago, so that memory and rows stay bounded. Pure."""

from asterwharf.base.board import Controller

MOST = 500


class Janitor(Controller):
    """Works on the holder; what it forgets is forgotten by a delivered change."""

    __slots__ = ('busy', 'cell', 'due')

    def __init__(self, b, cell):
        super().__init__(b)
        self.cell, self.busy, self.due = cell, False, 0

    def tick(self):
        b = self.b
        if not self.cell.takes:
            self.busy = False
            return
        if self.busy or b.now < self.due:
            return
        self.due = b.now + b.set.view.silence_ms * 5
        over = sorted((j.end, j.key) for j in self.cell.mac.jobs.values() if j.over)
        old = self.cell.wall - b.set.kept_ms
        many = len(over) - b.set.kept_jobs
        keys = [k for i, (end, k) in enumerate(over[:MOST]) if end < old or i < many]
        if not keys:
            return

        def done(r):
            # the rest goes in the next turn, not in five seconds
            self.busy, self.due = False, b.now if r and len(keys) == MOST else self.due

        self.busy = self.cell.order('t_forget', {'keys': keys}, done)
