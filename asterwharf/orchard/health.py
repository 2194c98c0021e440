"""What comes of a minion's runs: the holder's judgement of which minions to trust with more. Pure."""

from asterwharf.base.board import Controller

# ends that are kept of each minion, and how many bad ones of them in a row make it suspect
KEPT, BAD = 12, 3


class Health(Controller):
    """Learns from ends; a suspect minion gets one run at a time until one ends well."""

    __slots__ = ('bad', 'cell', 'tender', 'where')

    def __init__(self, b, cell, tender):
        super().__init__(b)
        self.cell, self.tender = cell, tender
        self.bad, self.where = {}, {}

    def flush(self):
        mac = self.cell.mac
        for mid, t, run, how in mac.ended:
            self._learn(mid, t, how)
        mac.ended.clear()

    def _learn(self, mid, t, how):
        if how == 'done':
            self.bad.pop(mid, None)
            self.where.pop(t.key, None)
        elif how in ('failed', 'refused', 'alone'):
            if how == 'failed':
                self.bad[mid] = self.bad.get(mid, 0) + 1
            self.where.setdefault(t.key, set()).add(mid)

    def trusted(self, l):
        return self.bad.get(l.mid, 0) < BAD or not l.running

    def grade(self, l):
        """Above 0 is better than the rest, below 0 worse."""
        return -1.0 if self.bad.get(l.mid, 0) >= BAD else 0.0

    def shuns(self, t, l):
        """Whether a try that failed there should be made elsewhere."""
        return l.mid in self.where.get(t.key, ())
