"""The data folder: one lmdb environment, one transaction and one sync a batch."""

import json
import os
import secrets

import lmdb

from asterwharf.disk import files
from asterwharf.disk.founding import Founding

META, NODE, INCARNATION, FOUNDERS = b'meta', 'node', b'inc', b'founders'
# the file of the store; the one that becomes it when it is whole
DATA, MAKING = 'data.mdb', 'data.mdb.new'


class Corrupt(Exception):
    """The data folder can't be read or written; the runbook says what to do."""


class Unreadable(Corrupt):
    """The store's content is damaged: another try would find the same."""


# what lmdb raises where the content is at fault and not the disk
_DAMAGE = (lmdb.InvalidError, lmdb.CorruptedError, lmdb.PageNotFoundError, ValueError)


def _fault(error, where):
    """Corrupt or Unreadable for what lmdb raised."""
    return (Unreadable if isinstance(error, _DAMAGE) else Corrupt)(f'{where}: {error}')


def _op(num):
    return num.to_bytes(8, 'big')


class Store:
    """Keeps every group's meta, log and rows; without a folder it keeps nothing."""

    __slots__ = ('dbs', 'env', 'founding', 'inc', 'path', 'room')

    def __init__(self, path, disk_mb=4096, founding=None):
        """`disk_mb`: the most that may lie in the folder, in MiB. Raises Corrupt.

        `founding` is kept if the store is made by this call; `self.founding` is what was kept when it was made.
        """
        self.path, self.dbs, self.env, self.room = path, {}, None, disk_mb << 20
        self.founding = founding
        # no folder: wiped at each restart, by the same path as a lost disk
        if not path:
            self.inc = secrets.token_hex(8)
            return
        try:
            files.make_folder(path)
            if not os.path.exists(self._file(DATA)):
                self._create(founding)
            # an earlier process may have ended before it had synced the name of its file
            files.sync_folder(path)
            self._pad()
            self.env = self._open(DATA)
            self.inc, self.founding = self._birth()
        except (lmdb.Error, OSError, ValueError) as e:
            self.close()
            raise _fault(e, path) from None

    def _file(self, name):
        return os.path.join(self.path, name)

    def _open(self, name):
        # One process, one thread: the library's locks would only leave another file to lose.
        # lmdb syncs a commit's pages by fdatasync, then writes the page that makes them valid. By itself it trusts
        # O_DSYNC for that page; we sync the file once more, because a disk may promise no more than fdatasync.
        return lmdb.open(
            self._file(name), subdir=False, max_dbs=512, map_size=self.room, lock=False, metasync=False, sync=True
        )

    def _pad(self):
        """A file that was cut short is as long as its pages again: reading behind its end would end the process."""
        env = self._open(DATA)
        length = (env.info()['last_pgno'] + 1) * env.stat()['psize']
        env.close()
        if os.path.getsize(self._file(DATA)) < length:
            os.truncate(self._file(DATA), length)

    def _create(self, founding):
        """Makes a store with its incarnation under another name first: one that bears `DATA` is whole and synced."""
        files.remove(self._file(MAKING))
        self.env = self._open(MAKING)
        with self.env.begin(db=self._db(NODE), write=True) as t:
            t.put(INCARNATION, secrets.token_hex(8).encode())
            if founding is not None:
                t.put(FOUNDERS, json.dumps(founding.founders).encode())
        self.env.sync(True)
        self.env.close()
        self.env, self.dbs = None, {}
        files.rename(self._file(MAKING), self._file(DATA))

    def _birth(self):
        """The incarnation, and the founding that was kept when the store was made (or None)."""
        with self.env.begin(db=self._db(NODE)) as t:
            inc, founders = t.get(INCARNATION), t.get(FOUNDERS)
        if inc is None:
            raise ValueError('without an incarnation')
        return inc.decode(), Founding(tuple(json.loads(founders))) if founders else None

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
            raise _fault(e, f'{self.path}: group {grp}') from None
        return out

    def check(self):
        """Reads every record. Raises Unreadable where one can't be read, and closes the store."""
        if self.env is None:
            return
        try:
            with self.env.begin() as t:
                names = [bytes(k) for k in t.cursor().iternext(values=False)]
            for name in names:
                db = self._db(name.decode())
                with self.env.begin() as t:
                    for _, value in t.cursor(db=db):
                        if name.endswith(b'/meta'):
                            json.loads(value)
        except (lmdb.Error, ValueError) as e:
            self.close()
            raise _fault(e, self.path) from None

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
        # from here on the commit lasts, and may be told
        self.env.sync(True)

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
