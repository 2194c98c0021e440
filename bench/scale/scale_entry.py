"""Starts one of the platform's programs as `platform/start.py` does, watched: bytes sent, turns, a profile, cuts by a file.

`python -m bench.scale.scale_entry START ROLE FOLDER [profile]`; in FOLDER: NAME.stats, NAME.cuts, NAME.prof.
"""

import cProfile
import importlib.util
import json
import os
import sys

from asterwharf.clock.boot import boot_ms
from asterwharf.wire import tcp
from asterwharf.wire.daemon import Daemon
from asterwharf.wire.trials import Trials


class Watched:
    """Counts what goes out, and writes it down each time the daemon looks at its settings file."""

    __slots__ = ('folder', 'prof', 'sent', 'turns')

    def __init__(self, folder, prof):
        self.folder, self.prof, self.sent, self.turns = folder, prof, 0, []

    def path(self, dmn, kind):
        return os.path.join(self.folder, f'{dmn.b.me}.{kind}')

    def wrap(self):
        send, look, stop, settle = tcp.send, Daemon._look, Daemon.stop_now, Daemon._settle

        def sends(sock, data):
            n = send(sock, data)
            self.sent += n
            return n

        def looks(dmn, now):
            self.write(dmn)
            look(dmn, now)

        def settles(dmn):
            beg = boot_ms()
            settle(dmn)
            self.turns.append(boot_ms() - beg)

        def stops(dmn, code):
            if self.prof:
                self.prof.disable()
                self.prof.dump_stats(self.path(dmn, 'prof'))
            self.write(dmn)
            stop(dmn, code)

        tcp.send, Daemon._look, Daemon.stop_now, Daemon._settle = sends, looks, stops, settles

    def write(self, dmn):
        turns, self.turns = sorted(self.turns), []
        row = {
            'at': boot_ms(),
            'sent': self.sent,
            'holds': [g for g, h in dmn.b.holders.items() if h[0] == dmn.b.me],
            'turns': len(turns),
            'turn_max': turns[-1] if turns else 0,
            'counts': dict(dmn.b.count),
        }
        with open(self.path(dmn, 'stats'), 'a', encoding='utf-8') as f:
            f.write(json.dumps(row) + '\n')


def load(path):
    """The platform's entry, as a module."""
    spec = importlib.util.spec_from_file_location('start', path)
    mod = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(mod)
    return mod


def main(path, role, folder, profile=False):
    start = load(path)
    w = Watched(folder, cProfile.Profile() if profile else None)
    w.wrap()
    build = start.build

    def built(*args):
        dmn = build(*args)
        dmn.trials = Trials(w.path(dmn, 'cuts'))
        if w.prof:
            w.prof.enable()
        return dmn

    start.build = built
    return start.main(role, os.environ.get(start.ENV, ''))


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:4], 'profile' in sys.argv[4:]))
