"""Faults that only the fleet tool can cause in a running process, read from the file of `--test-cuts`.

Words in it: NAME, no word passes between this process and that one; >NAME, none from here to there;
disk:MS, each sync takes so much longer; clock:MS, the wall clock is so far off.
"""

import os
import time

from asterwharf.clock.boot import wall_ms


class Trials:
    """Without a file there are none."""

    __slots__ = ('at', 'clock', 'cut', 'disk', 'mute', 'path')

    def __init__(self, path=''):
        self.path, self.at = path, 0
        self._take(())

    def _take(self, words):
        num = {k: int(v) for k, _, v in (w.partition(':') for w in words) if k in ('disk', 'clock')}
        self.disk, self.clock = num.get('disk', 0), num.get('clock', 0)
        self.mute = frozenset(w[1:] for w in words if w.startswith('>'))
        self.cut = frozenset(w for w in words if not w.startswith('>') and ':' not in w)

    def look(self):
        """Whether the file has changed since the last look."""
        if not self.path:
            return False
        try:
            at = os.stat(self.path).st_mtime_ns
            if at == self.at:
                return False
            with open(self.path, encoding='utf-8') as f:
                self._take(f.read().split())
            self.at = at
        except (OSError, ValueError):
            self.at = 0
            self._take(())
        return True

    def wall(self):
        return wall_ms() + self.clock

    def drag(self):
        """A disk that is slow holds up the one thread, as a real one would."""
        if self.disk:
            time.sleep(self.disk / 1000)
