"""Configurations in a Git-like object store, through dulwich: one commit for each sequence.

A convenience for operators; what is in force lives in the core's log. A lost or broken
store is begun anew and never stops the scheduler.
"""

import json
import os
import shutil

from dulwich.errors import NotGitRepository
from dulwich.objects import Blob, Commit, Tree
from dulwich.repo import Repo

REF, WHO = b'refs/heads/main', b'asterwharf <asterwharf@localhost>'


class History:
    """`record` keeps a configuration, `log` lists them, `show` brings one back."""

    __slots__ = ('path', 'repo', 'say')

    def __init__(self, path, say):
        self.path, self.say, self.repo = path, say, None
        self._open()

    def _open(self):
        try:
            os.makedirs(self.path, exist_ok=True)
            try:
                self.repo = Repo(self.path)
            except NotGitRepository:
                self.repo = Repo.init_bare(self.path)
            # reading the newest commit shows whether the store can be read at all
            next(self._walk(), None)
        except Exception as e:
            self._begin_anew(e)

    def _begin_anew(self, why):
        self.say('error', 'alarm', alarm='history_lost', why=f'{type(why).__name__}: {why}')
        try:
            shutil.rmtree(self.path, ignore_errors=True)
            os.makedirs(self.path, exist_ok=True)
            self.repo = Repo.init_bare(self.path)
        except Exception:
            self.repo = None

    def _walk(self):
        cid = self.repo.refs.read_ref(REF)
        while cid:
            c = self.repo[cid]
            yield c
            cid = c.parents[0] if c.parents else None

    @staticmethod
    def _seq(c):
        return int(c.message.split()[1])

    def record(self, seq, by, at, raw):
        """Keeps one delivered configuration; the same on every core node, commit ids included."""
        if self.repo is None:
            return
        try:
            old = next(self._walk(), None)
            if old is not None and self._seq(old) >= seq:
                return
            blob = Blob.from_string(json.dumps(raw, indent=1, sort_keys=True).encode() + b'\n')
            tree = Tree()
            tree.add(b'config.json', 0o100644, blob.id)
            c = Commit()
            c.tree, c.parents = tree.id, [old.id] if old is not None else []
            c.author = c.committer = WHO
            c.author_time = c.commit_time = at // 1000
            c.author_timezone = c.commit_timezone = 0
            c.encoding, c.message = b'UTF-8', f'sequence {seq} by {by or "-"}\n'.encode()
            for o in (blob, tree, c):
                self.repo.object_store.add_object(o)
            self.repo.refs[REF] = c.id
        except Exception as e:
            self._begin_anew(e)

    def log(self, most):
        """[{sequence, by, at, id}], newest first."""
        out = []
        if self.repo is None:
            return out
        try:
            for c in self._walk():
                out.append(
                    {
                        'sequence': self._seq(c),
                        'by': c.message.split()[3].decode(),
                        'at': c.commit_time * 1000,
                        'id': c.id.decode()[:12],
                    }
                )
                if len(out) >= most:
                    break
        except Exception as e:
            self._begin_anew(e)
        return out

    def show(self, seq):
        """The configuration of a sequence, or None."""
        if self.repo is None:
            return None
        try:
            for c in self._walk():
                if self._seq(c) == seq:
                    return json.loads(self.repo[self.repo[c.tree][b'config.json'][1]].data)
                if self._seq(c) < seq:
                    return None
        except Exception as e:
            self._begin_anew(e)
        return None
