"""Configurations in a Git-like object store, through dulwich: one commit for each sequence.

A convenience for operators; what is in force lives in the core's log. A lost or broken
store is begun anew and never stops the scheduler. What is recorded outlasts a loss of power: an
object is synced with its name before anything names it.
"""

import json
import os
import shutil

from dulwich.errors import NotGitRepository
from dulwich.objects import Blob, Commit, Tree
from dulwich.repo import Repo

from asterwharf.disk import files

REF, WHO = b'refs/heads/main', b'asterwharf <asterwharf@localhost>'


class History:
    """`record` keeps a configuration, `log` lists them, `show` brings one back."""

    __slots__ = ('path', 'repo', 'say')

    def __init__(self, path, say):
        self.path, self.say, self.repo = path, say, None
        self._open()

    def _open(self):
        try:
            files.make_folder(self.path)
            try:
                self.repo = Repo(self.path)
                self.repo.object_store.fsync_object_files = True
            except NotGitRepository:
                self._create()
            # reading the newest commit shows whether the store can be read at all
            next(self._walk(), None)
        except Exception as e:
            self._begin_anew(e)

    def _begin_anew(self, why):
        self.say('error', 'alarm', alarm='history_lost', why=f'{type(why).__name__}: {why}')
        try:
            shutil.rmtree(self.path, ignore_errors=True)
            files.make_folder(self.path)
            self._create()
        except Exception:
            self.repo = None

    def _create(self):
        """Makes an empty store; every file and folder of it lasts when this returns."""
        self.repo = Repo.init_bare(self.path)
        self.repo.object_store.fsync_object_files = True
        for folder, _, names in os.walk(self.path, topdown=False):
            for name in names:
                files.sync_file(os.path.join(folder, name))
            files.sync_folder(folder)

    def _keep(self, obj):
        """Adds an object; its content and its name last when this returns."""
        self.repo.object_store.add_object(obj)
        objects = os.path.join(self.path, 'objects')
        files.sync_folder(os.path.join(objects, obj.id[:2].decode()))
        files.sync_folder(objects)

    def _point(self, commit):
        """Makes a commit the newest one; this lasts when it returns."""
        self.repo.refs[REF] = commit.id
        ref = os.path.join(self.path, *REF.decode().split('/'))
        files.sync_file(ref)
        files.sync_folder(os.path.dirname(ref))

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
            for obj in (blob, tree, c):
                self._keep(obj)
            self._point(c)
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
