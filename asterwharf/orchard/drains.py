"""Minions that operators have drained, as the cell's state machine keeps them. Pure."""

from asterwharf.wire.schema import pack

DRAIN = 'r_drain'
# drained minions that are kept; their identifiers may never come back, so the oldest give way
MOST = 5000


class Drains:
    """What operators have ordered; what a minion says of itself is its link's."""

    __slots__ = ('drains', 'undone')

    def undrained(self):
        """Begins with none. `drains`: minion -> (who, since when, until when its runs may go on or 0), ms since 1970."""
        self.drains, self.undone = {}, set()

    def drained(self, d):
        self.drains[d['minion']] = d['by'], d['at'], d['until']

    def drain_rows(self):
        """Rows changed since the last call; None where a row is no more."""
        out = {}
        for m in sorted(self.undone):
            r = self.drains.get(m)
            out[f'drain:{m}'] = pack(DRAIN, dict(zip(('minion', 'by', 'at', 'until'), (m, *r)))) if r else None
        self.undone = set()
        return out

    def y_drain(self, d):
        """No run may start on the minion any more, or it may again; a repeated order changes the time."""
        m = d['minion']
        if not d['on']:
            if self.drains.pop(m, None) is not None:
                self.undone.add(m)
            return 'ok'
        since = self.drains[m][1] if m in self.drains else d['at']
        self.drains[m] = d['by'], since, d['until']
        self.undone.add(m)
        if len(self.drains) > MOST:
            old = min(self.drains, key=lambda k: (self.drains[k][1], k))
            del self.drains[old]
            self.undone.add(old)
        return 'ok'
