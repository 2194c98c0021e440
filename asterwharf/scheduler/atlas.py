"""A node's copy of the cell directory: which cells there are, who has their seats, who owns what. Pure.

Each row carries the sequence at which the core delivered it; of two copies the newer wins.
"""

import json

from asterwharf.scheduler.queues import compiled, head

COMMONS = 'commons'


class Atlas:
    """Rows by key: `cell:NAME` -> {gid, seats}; `own:tenant:T` and `own:minion:M` -> gid;
    `queues` -> the queues document; `empty:ZONE` -> since when the zone is emptied.
    """

    __slots__ = ('_queues', 'cells', 'emptied', 'own', 'rows', 'top')

    def __init__(self):
        self.rows, self.cells, self.own, self.top = {}, {}, {}, 0
        self._queues, self.emptied = None, frozenset()

    def merge(self, rows):
        """Takes every row that is newer than ours; whether anything was."""
        got = False
        for k, op, v in rows:
            if op <= self.rows.get(k, (0, b''))[0]:
                continue
            got = True
            self.rows[k], self.top = (op, v), max(self.top, op)
            knd, _, nam = k.partition(':')
            if knd == 'queues':
                self._queues = None
                continue
            if knd == 'empty':
                self.emptied = self.emptied | {nam} if v else self.emptied - {nam}
                continue
            box = self.cells if knd == 'cell' else self.own
            if not v:
                box.pop(nam, None)
            else:
                box[nam] = json.loads(v) if knd == 'cell' else v.decode()
        return got

    def _raw(self):
        return self.rows.get('queues', (0, b''))[1]

    @property
    def queues(self):
        """The queues document in force here, compiled when it is first asked for; None before there is one."""
        if self._queues is None and 'queues' in self.rows:
            self._queues = compiled(self._raw())
        return self._queues

    @property
    def number(self):
        """The number of the queues document in force here; 0 before there is one."""
        return head(self._raw())['number']

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
