"""A node's copy of the cell directory: which cells there are, who has their seats, who owns what. Pure.

Each row carries the sequence at which the core delivered it; of two copies the newer wins.
"""

import json

COMMONS = 'commons'


class Atlas:
    """Rows by key: `cell:NAME` -> {gid, seats}; `own:tenant:T` and `own:minion:M` -> gid."""

    __slots__ = ('cells', 'own', 'rows', 'top')

    def __init__(self):
        self.rows, self.cells, self.own, self.top = {}, {}, {}, 0

    def merge(self, rows):
        """Takes every row that is newer than ours; whether anything was."""
        got = False
        for k, op, v in rows:
            if op <= self.rows.get(k, (0, b''))[0]:
                continue
            got = True
            self.rows[k], self.top = (op, v), max(self.top, op)
            knd, _, nam = k.partition(':')
            box = self.cells if knd == 'cell' else self.own
            if not v:
                box.pop(nam, None)
            else:
                box[nam] = json.loads(v) if knd == 'cell' else v.decode()
        return got

    def gid(self, cell):
        """The group of a cell by the cell's name; '' where the core has not made it yet."""
        if cell == COMMONS:
            return COMMONS
        return self.cells.get(cell, {}).get('gid', '')

    def seats(self, gid):
        for c in self.cells.values():
            if c['gid'] == gid:
                return c['seats']
        return {}

    def tenant(self, ten):
        """The group that owns a tenant now; what nobody else owns is the commons'."""
        return self.own.get(f'tenant:{ten}', COMMONS)

    def minion(self, nam, zone, cfg):
        """The group that owns a minion now, or that the configuration gives a new one to."""
        got = self.own.get(f'minion:{nam}')
        if got:
            return got
        return (self.gid(cfg.cell_of_minion(nam, zone)) if cfg else '') or COMMONS

    def groups(self):
        return [COMMONS] + sorted(c['gid'] for c in self.cells.values())
