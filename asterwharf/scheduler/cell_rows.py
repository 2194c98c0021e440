"""The rows of a cell: what its group keeps of jobs, minions and handed tenants, and the state that is built from them. Pure."""

import hashlib

from asterwharf.scheduler.model import BUSY, READY, STEPS, Job, Minion, Task
from asterwharf.wire.schema import pack as _pack
from asterwharf.wire.schema import speaks, unpack

# shards of the marks that forgotten identifiers leave
SHARDS = 64


def shard(key):
    h = hashlib.sha256(key.encode()).hexdigest()[:16]
    return int(h[:4], 16) % SHARDS, h


def pack_job(j, seq):
    return _pack('r_job', j.dump() | {'tasks': [t.dump() for t in j.tasks.values()]}, seq)


class CellRows:
    """Builds a cell's state from its rows, and gives the rows that have changed since."""

    __slots__ = ()

    def load(self, rows):
        self.jobs, self.minions, self.tasks, self.open = {}, {}, {}, {}
        self.by = {s: {} for s in STEPS}
        self.sequence, self.emptied, self.gone, self.dirty = 0, frozenset(), {}, set()
        self.leaving, self.yielded, self.owned, self.parcels = {}, {}, {}, {}
        # for the holder's placer, not kept: what has turned ready, and each tenant's cores in use
        self.turned, self.use = [], {}
        for k, raw in rows.items():
            self._row(k, unpack(raw, self.reads)[1])
        for t in list(self.tasks.values()):
            if t.state in BUSY and t.minion in self.minions:
                self.minions[t.minion].load[t.key] = t.need

    def _row(self, k, d):
        knd, _, nam = k.partition(':')
        if knd == 'meta':
            self.sequence, self.emptied = d['sequence'], frozenset(d['emptied'])
            self.leaving, self.yielded, self.owned = (d[k] or {} for k in ('leaving', 'yielded', 'owned'))
        elif knd == 'parcel':
            self.parcels[nam] = d
        elif knd == 'gone':
            self.gone[int(nam)] = d['gone']
        elif knd == 'minion':
            sts = d.pop('strays')
            m = self.minions[nam] = Minion(**d)
            m.strays = {f'{r["task"]}#{r["round"]}': (r['cores'], r['gpus'], r['mem']) for r in sts}
        else:
            tks = {x['name']: Task(**x) for x in d.pop('tasks')}
            self._keep(Job(**d, tasks=tks).bind())

    def _keep(self, j):
        self.jobs[j.key] = j
        for t in j.tasks.values():
            self.tasks[t.key] = t
            self.by[t.state][t.key] = t
            if t.state == READY:
                self.turned.append(t.key)
            elif t.state in BUSY:
                self._used(t, t.cores)
        if not j.over:
            self.open[j.tenant] = self.open.get(j.tenant, 0) + 1

    def replicated_state(self):
        """All that decides or is shown, as plain values: the same on every replica that is as far in the log."""
        return {
            'jobs': {k: j.dump() | {'tasks': list(j.tasks)} for k, j in self.jobs.items()},
            'tasks': {k: t.dump() for k, t in self.tasks.items()},
            'states': {k: state for state, tasks in self.by.items() for k in tasks},
            'open': {tenant: count for tenant, count in self.open.items() if count},
            'use': {tenant: cores for tenant, cores in self.use.items() if cores},
            'minions': {k: m.dump() for k, m in self.minions.items()},
            'loads': {k: m.load for k, m in self.minions.items()},
            'gone': {number: marks for number, marks in self.gone.items() if marks},
            'sequence': self.sequence,
            'emptied': self.emptied,
            'leaving': self.leaving,
            'yielded': self.yielded,
            'owned': self.owned,
            'parcels': self.parcels,
        }

    def delta(self):
        """Rows changed since the last call; None where a row is no more."""
        out = {k: self._raw(k) for k in sorted(self.dirty)}
        self.dirty = set()
        return out

    def _raw(self, k):
        knd, _, nam = k.partition(':')

        def pack(rec, doc):
            return _pack(rec, doc, speaks(rec, self.floor))

        if knd == 'meta':
            return pack(
                'r_meta',
                {
                    'sequence': self.sequence,
                    'emptied': sorted(self.emptied),
                    'leaving': self.leaving,
                    'yielded': self.yielded,
                    'owned': self.owned,
                },
            )
        if knd == 'parcel':
            return pack('r_parcel', self.parcels[nam]) if nam in self.parcels else None
        if knd == 'gone':
            return pack('r_meta', {'gone': self.gone[int(nam)]})
        if knd == 'minion':
            m = self.minions.get(nam)
            if m is None:
                return None
            d = m.dump()
            d['strays'] = [
                {
                    'task': k.rpartition('#')[0],
                    'round': int(k.rpartition('#')[2]),
                    'cores': float(c),
                    'gpus': g,
                    'mem': x,
                }
                for k, (c, g, x) in m.strays.items()
            ]
            return pack('r_minion', d)
        j = self.jobs.get(nam)
        return None if j is None else pack_job(j, speaks('r_job', self.floor))
