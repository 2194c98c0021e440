"""How a cell lets tenants and minions go, and takes them in: two steps, each delivered. Pure."""

from asterwharf.scheduler.cell_rows import pack_job
from asterwharf.scheduler.model import BUSY, Job, Task
from asterwharf.wire.schema import pack, unpack

# forgotten identifiers that one shard remembers
MARKS = 800


class Handover:
    """The old cell delivers "released"; only then does the new one own, once it has every row."""

    __slots__ = ()

    def t_leave(self, d):
        """No task of the tenant starts here from now on; empty `to` takes that back."""
        if d['to']:
            self.leaving[d['tenant']] = d['to']
        else:
            self.leaving.pop(d['tenant'], None)
        self.dirty.add('meta:')
        return True

    def running(self, ten):
        return [t for s in BUSY for t in self.by[s].values() if t.job.tenant == ten]

    def t_release(self, d):
        """Everything of the tenant goes into a parcel; this cell answers for it no more."""
        ten = d['tenant']
        if self.leaving.get(ten) != d['to'] or self.running(ten) or ten in self.parcels:
            return False
        rows = []
        for j in [j for j in self.jobs.values() if j.tenant == ten]:
            # the same bytes on every seat, and readable by the oldest release that knows of cells: nothing runs,
            # so nothing is lost with the fields that came later
            rows.append({'v': pack_job(j, 1)})
            self.dirty.add(f'job:{j.key}')
            self._drop(j)
        if d.get('marks'):
            # a mark is a hash of tenant and identifier: those of others mean nothing where it goes
            rows += [{'v': pack('r_meta', {'sequence': n, 'gone': hs}, 1)} for n, hs in sorted(self.gone.items())]
        self.open.pop(ten, None)
        # from now on a request that comes here all the same is sent on
        self.owned[ten] = {'was': '', 'part': 0, 'done': False, 'away': True}
        self.parcels[ten] = {'tenant': ten, 'to': d['to'], 'rows': rows}
        self.dirty.update((f'parcel:{ten}', 'meta:'))
        return True

    def t_import(self, d):
        """Rows of a tenant from its old cell; with the last it is owned here."""
        ten = d['tenant']
        if self.owned.get(ten, {}).get('done'):
            return d['part']
        got = self.owned.setdefault(ten, {'was': d['was'], 'part': 0, 'done': False})
        if got['was'] != d['was']:
            got.update(was=d['was'], part=0)
        # told again: it stands here already
        if d['part'] == got['part']:
            for r in d['rows']:
                knd, x = unpack(r['v'])
                if knd == 'r_meta':
                    self._marks(x['sequence'], x['gone'])
                    continue
                tks = {t['name']: Task(**t) for t in x.pop('tasks')}
                j = Job(**x, tasks=tks).bind()
                if j.key not in self.jobs:
                    self._keep(j)
                    self.dirty.add(f'job:{j.key}')
            got['part'] += 1
            got['done'] = d['last']
            if d['last']:
                got['away'] = False
        self.dirty.add('meta:')
        return got['part'] - 1

    def _marks(self, n, hs):
        own = self.gone.get(n, [])
        # ours are the newer in what we answer for: of too many the others go first
        self.gone[n] = ([h for h in hs if h not in own] + own)[-MARKS:]
        self.dirty.add(f'gone:{n}')

    def t_handed(self, d):
        """The core says that the new owner is known: parcel and mark may go."""
        knd, _, nam = d['what'].partition(':')
        if knd == 'tenant':
            self.parcels.pop(nam, None)
            self.leaving.pop(nam, None)
            self.dirty.update((f'parcel:{nam}', 'meta:'))
        else:
            self.yielded.pop(nam, None)
            self.dirty.add('meta:')
        return True

    def t_yield(self, d):
        """A minion that is empty of our work may go to another cell."""
        m = self.minions.get(d['minion'])
        if m is None or m.load or m.strays:
            return False
        del self.minions[m.name]
        self.yielded[m.name] = d['to']
        self.dirty.update((f'minion:{m.name}', 'meta:'))
        return True

    def away(self, ten):
        """Released by this cell, and not back with every row."""
        got = self.owned.get(ten, {})
        return bool(got.get('away') or (got.get('part') and not got['done']))

    def ours(self, ten, gid):
        """Whether this cell answers for the tenant now."""
        return not self.away(ten) and (gid == 'commons' or bool(self.owned.get(ten, {}).get('done')))
