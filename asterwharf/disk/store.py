"""The data folder: one lmdb environment, one transaction and one sync a batch."""

import json
import os
import secrets

import lmdb

META = b'meta'


class Corrupt(Exception):
    """The data folder can't be read; the runbook says what to do."""


def _op(num):
    return num.to_bytes(8, 'big')


class Store:
    """Keeps every group's meta, log and rows; without a folder it keeps nothing."""

    __slots__ = ('dbs', 'env', 'inc', 'path')

    def __init__(self, path, disk_mb=4096):
        """`disk_mb`: the most that may lie in the folder, in MiB. Raises Corrupt."""
        self.path, self.dbs, self.env = path, {}, None
        # no folder: wiped at each restart, by the same path as a lost disk
        if not path:
            self.inc = secrets.token_hex(8)
            return
        os.makedirs(path, exist_ok=True)
        try:
            # one process, one thread: the library's locks would only leave another file to lose
            self.env = lmdb.open(path, max_dbs=512, map_size=disk_mb << 20, lock=False, metasync=True, sync=True)
            self.inc = self._born()
        except lmdb.Error as e:
            raise Corrupt(f'{path}: {e}') from None

    def _born(self):
        db = self._db('node')
        with self.env.begin(db=db, write=True) as t:
            v = t.get(b'inc')
            # the incarnation is synced before it is ever told to anyone
            if v is None:
                v = secrets.token_hex(8).encode()
                t.put(b'inc', v)
        return v.decode()

    def _db(self, nam):
        if nam not in self.dbs:
            self.dbs[nam] = self.env.open_db(nam.encode())
        return self.dbs[nam]

    def load(self, grp):
        """What the group had synced: {'meta', 'log', 'rows'}; empty when there is nothing."""
        out = {'meta': None, 'log': [], 'rows': {}}
        if self.env is None:
            return out
        try:
            m, l, r = (self._db(f'{grp}/{k}') for k in ('meta', 'log', 'rows'))
            with self.env.begin() as t:
                v = t.get(META, db=m)
                out['meta'] = json.loads(v) if v else None
                out['log'] = [(int.from_bytes(k, 'big'), bytes(b)) for k, b in t.cursor(db=l)]
                out['rows'] = {k.decode(): bytes(b) for k, b in t.cursor(db=r)}
        except (lmdb.Error, ValueError) as e:
            raise Corrupt(f'{self.path}: group {grp}: {e}') from None
        return out

    def write(self, bts):
        """One transaction, one sync, for the batches of all groups: [(grp, batch)]."""
        if self.env is None:
            return
        try:
            self._write(bts)
        except (lmdb.Error, OSError) as e:
            raise Corrupt(f'{self.path}: {e}') from None

    def _write(self, bts):
        dbs = {(g, k): self._db(f'{g}/{k}') for g, _ in bts for k in ('meta', 'log', 'rows')}
        with self.env.begin(write=True) as t:
            for g, b in bts:
                self._one(t, b, *(dbs[g, k] for k in ('meta', 'log', 'rows')))

    def _one(self, t, b, m, l, r):
        if b.wipe:
            t.drop(l, delete=False)
            t.drop(r, delete=False)
        # trim first: the entries that follow stand in the place of those cut
        if b.trim is not None:
            with t.cursor(db=l) as c:
                ok = c.set_range(_op(b.trim))
                while ok:
                    ok = c.delete()
        if b.drop is not None:
            with t.cursor(db=l) as c:
                ok = c.first()
                while ok and int.from_bytes(c.key(), 'big') <= b.drop:
                    ok = c.delete()
        for o, raw in b.log:
            t.put(_op(o), raw, db=l)
        for k, v in b.rows.items():
            if v is None:
                t.delete(k.encode(), db=r)
            else:
                t.put(k.encode(), v, db=r)
        if b.meta is not None:
            t.put(META, json.dumps(b.meta).encode(), db=m)

    def close(self):
        if self.env is not None:
            self.env.close()
