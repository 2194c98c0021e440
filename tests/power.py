"""A stand-in for a disk that loses names: folders keep only what their last sync covered.

The stand-in watches `os.fsync`. At the loss of power, names made since the last sync of their folder are gone, and
names that were removed or replaced since are back.
"""

import itertools
import os
import shutil
import stat


class Folders:
    """Watches the folders below `root`, from now on; what lies there now is taken as synced."""

    def __init__(self, monkeypatch, root, shadow):
        self.root, self.shadow, self.count = os.path.realpath(root), str(shadow), itertools.count()
        self.names = {}
        os.makedirs(self.shadow, exist_ok=True)
        for folder, _, _ in os.walk(self.root):
            self._note(folder)
        real = os.fsync

        def fsync(fd):
            real(fd)
            if stat.S_ISDIR(os.fstat(fd).st_mode):
                self._note(os.path.realpath(f'/proc/self/fd/{fd}'))

        monkeypatch.setattr(os, 'fsync', fsync)

    def _note(self, folder):
        kept = {}
        for name in os.listdir(folder):
            path = os.path.join(folder, name)
            kept[name] = None
            if os.path.isfile(path):
                # another name for the same file: its content goes on with it
                kept[name] = os.path.join(self.shadow, str(next(self.count)))
                os.link(path, kept[name])
        self.names[folder] = kept

    def lose(self, keeps=lambda path: False):
        """Power is lost; of the changed names those stay changed for which `keeps(path)` is true."""
        self._lose(self.root, keeps)

    def _lose(self, folder, keeps):
        kept = self.names.get(folder, {})
        for name in os.listdir(folder):
            path = os.path.join(folder, name)
            if name not in kept and not keeps(path):
                shutil.rmtree(path) if os.path.isdir(path) else os.unlink(path)
        for name, file in kept.items():
            path = os.path.join(folder, name)
            if file and not (os.path.exists(path) and os.path.samefile(path, file)) and not keeps(path):
                if os.path.exists(path):
                    os.unlink(path)
                os.link(file, path)
        for name in os.listdir(folder):
            path = os.path.join(folder, name)
            if os.path.isdir(path):
                self._lose(path, keeps)
