"""A whole fleet as real processes on loopback, with the faults of the brief at hand. A tool, not a daemon."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time

from asterwharf.clock.boot import wall_ms
from asterwharf.fleet.callers import Callers
from asterwharf.sickle.ask import one
from asterwharf.sim.deploy import ALL as SITES

# shorter bounds than the defaults, so that recovery is seen within a run; the ratios are the defaults'
LINK = {
    'beat_ms': 1000,
    'unhealthy_ms': 3000,
    'close_ms': 6000,
    'grace_ms': 12000,
    'base_ms': 300,
    'max_ms': 3000,
    'auth_ms': 3000,
    'register_ms': 5000,
}
VIEW = {'silence_ms': 1500}
# s: how long a condition is waited for unless more is asked
PATIENCE = 60


def toml(doc):
    """Just enough TOML for our own settings: tables one deep."""
    top = [f'{k} = {json.dumps(v)}' for k, v in doc.items() if not isinstance(v, dict)]
    for k, v in doc.items():
        if isinstance(v, dict):
            top += ['', f'[{k}]'] + [f'{x} = {json.dumps(y)}' for x, y in v.items()]
    return '\n'.join(top) + '\n'


def own_address():
    """A loopback address of this process alone: a port that is free there isn't taken by another fleet meanwhile."""
    return f'127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 200 + 20}.254'


def ports(n):
    """`n` free ports at this process's own address."""
    scks = []
    for _ in range(n):
        s = socket.socket()
        s.bind((own_address(), 0))
        scks.append(s)
    got = [s.getsockname()[1] for s in scks]
    for s in scks:
        s.close()
    return got


class Live:
    """Starts, stops, freezes, wipes and cuts processes, each by its own id."""

    def __init__(self, folder, size='small', link=None, view=None, token='', patience=PATIENCE, **more):
        s = SITES[size]
        self.sz = dict({'core': 3, 'edges': s.edges, 'minions': s.minions, 'cores': s.cores, 'gpus': s.gpus}, **more)
        # `done`: what was done to which process and when, for the judge
        self.dir, self.token, self.site, self.done, self.words = os.path.abspath(folder), token, s, [], {}
        self.confs, self.patience = [], patience
        self.link, self.view = dict(LINK, **(link or {})), dict(VIEW, **(view or {}))
        os.makedirs(self.dir, exist_ok=True)
        self.core = [f't{i}' for i in range(self.sz['core'])]
        self.edges = [f'e{i}' for i in range(self.sz['edges'])]
        self.tends = [f'm{i:02}' for i in range(self.sz['minions'])]
        names = self.core + self.edges + self.tends
        got = ports(2 * len(names))
        self.bind = {n: f'{own_address()}:{got[2 * i]}' for i, n in enumerate(names)}
        # of a core node or an edge its door, of an agent its minion's
        self.http = {n: f'{own_address()}:{got[2 * i + 1]}' for i, n in enumerate(names)}
        self.procs, self.mins = {}, {}

    def zone(self, n):
        return f'z{int(n[1:]) % 3 + 1}'

    def path(self, *p):
        return os.path.join(self.dir, *p)

    def settings(self, n, **over):
        s = {
            'name': n,
            'bind': self.bind[n],
            'zone': self.zone(n),
            'core_size': self.sz['core'],
            'seeds': [self.bind[c] for c in self.core],
            'token': self.token,
            'link': self.link,
            'view': self.view,
        }
        if n in self.core:
            s.update(http=self.http[n], data=self.path('data', n))
        elif n in self.edges:
            s.update(http=self.http[n])
        else:
            s.update(minion=self.http[n], cores=self.sz['cores'], gpus=self.sz['gpus'], mem=1 << 36)
        s.update(over)
        p = self.path(f'{n}.toml')
        with open(p, 'w', encoding='utf-8') as f:
            f.write(toml(s))
        return p

    def _spawn(self, n, args):
        log = open(self.path(f'{n}.log'), 'ab')
        return subprocess.Popen(args, stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=self.dir)

    def _did(self, what, *args):
        self.done.append((wall_ms(), what, args))

    def start(self, n, **over):
        if n in self.procs:
            return
        p = self.settings(n, **over)
        self._did('start', n)
        if n in self.tends and n not in self.mins:
            self.start_minion(n)
        program = 'controller' if n in self.core else 'edge' if n in self.edges else 'agent'
        args = [sys.executable, '-m', 'asterwharf.main', program, p, '--test-cuts', self.path(f'{n}.cuts')]
        self.procs[n] = self._spawn(n, args)

    def start_minion(self, n):
        self.mins[n] = self._spawn(
            f'{n}.minion',
            [
                sys.executable,
                '-m',
                'asterwharf.fleet.minion',
                '--bind',
                self.http[n],
                '--journal',
                self.path(f'{n}.journal'),
                '--cores',
                str(self.sz['cores']),
                '--gpus',
                str(self.sz['gpus']),
            ],
        )

    def up(self):
        for n in self.core + self.edges + self.tends:
            self.start(n)
        return self

    # --- faults
    def signal(self, n, sig):
        self.procs[n].send_signal(sig)

    def kill(self, n):
        if n in self.procs:
            self._did('kill', n)
            self.signal(n, signal.SIGKILL)
            self.procs.pop(n).wait()

    def leave(self, n):
        """A planned stop begins; the process, to be waited for."""
        self._did('leave', n)
        self.signal(n, signal.SIGTERM)
        return self.procs.pop(n)

    def crash_minion(self, n):
        """The whole machine: the agent, the minion and its work."""
        self.note(n, 'crash')
        self._did('crash', n)
        self.mins[n].kill()
        self.mins.pop(n).wait()
        self.kill(n)

    def note(self, n, what):
        with open(self.path(f'{n}.journal'), 'a', encoding='utf-8') as f:
            f.write(json.dumps({'at': time.time_ns() // 1000000, 'what': what, 'task': '', 'round': 0}) + '\n')

    def stop(self, n, most=30):
        """A planned stop; the exit status."""
        return self.leave(n).wait(most)

    def freeze(self, n, alone=False):
        """A process, with a minion's machine the minion, too, unless the agent is to freeze alone."""
        if n not in self.procs:
            return
        self._did('freeze', n, alone)
        if n in self.mins and not alone:
            self.mins[n].send_signal(signal.SIGSTOP)
        self.signal(n, signal.SIGSTOP)

    def thaw(self, n):
        if n not in self.procs:
            return
        self._did('thaw', n)
        self.signal(n, signal.SIGCONT)
        if n in self.mins:
            self.mins[n].send_signal(signal.SIGCONT)

    def wipe(self, n):
        self._did('wipe', n)
        shutil.rmtree(self.path('data', n), ignore_errors=True)

    def readdress(self, n):
        """Its machine is replaced by one at another address."""
        self.bind[n] = f'{own_address()}:{ports(1)[0]}'

    def reread(self, n, **over):
        """Another settings file, and SIGHUP."""
        if n in self.procs:
            self.settings(n, **over)
            self.signal(n, signal.SIGHUP)

    # --- faults inside a process, by the file of --test-cuts
    def _trials(self, n):
        tmp = self.path(f'{n}.cuts.new')
        with open(tmp, 'w', encoding='utf-8') as f:
            f.write('\n'.join(sorted(self.words.get(n, ()))))
        # whole or not at all: the process may read it at any moment
        os.replace(tmp, self.path(f'{n}.cuts'))

    def trial(self, n, **kinds):
        """`disk` and `clock` in ms; without them these faults are over."""
        for k in kinds:
            self._did(k, n)
        own = {w for w in self.words.get(n, ()) if ':' not in w}
        self.words[n] = own | {f'{k}:{v}' for k, v in kinds.items()}
        self._trials(n)

    def cut(self, xs, ys, both=True):
        """No word passes between the groups until `heal`; one way: from the first to the second."""
        for a in xs:
            for b in ys:
                self._did('cut', a, b)
                self.words.setdefault(a, set()).add(b if both else f'>{b}')
                if both:
                    self._did('cut', b, a)
                    self.words.setdefault(b, set()).add(a)
        for n in {*xs, *ys}:
            self._trials(n)

    def heal(self):
        self._did('heal')
        for n in list(self.words):
            self.words[n] = {w for w in self.words[n] if ':' in w}
            self._trials(n)

    # --- asking
    def ask(self, n, method, path, doc=None, heads=(), ttl=10):
        hds = dict(heads)
        if self.token:
            hds['Authorization'] = f'Bearer {self.token}'
        return one(self.http[n], method, path, doc, hds, ttl)

    def status(self, n):
        try:
            return self.ask(n, 'GET', '/status', ttl=3)[1]
        except OSError:
            return {}

    def until(self, cond, most=None, step=0.1):
        """Waits on a condition; a trouble in it counts as not yet."""
        end = time.monotonic() + (most or self.patience)
        while time.monotonic() < end:
            try:
                if cond():
                    return True
            except (OSError, KeyError):
                pass
            time.sleep(step)
        return False

    def minions_up(self):
        return sum(m['up'] for m in self.ask(self.edges[0], 'GET', '/v1/minions')[1]['minions'])

    def configure(self, change, most=60):
        """Gets, changes and puts until it is acknowledged; (base, sequence)."""
        box = []

        def go():
            e = self.edges[len(box) % len(self.edges)]
            cur = self.ask(e, 'GET', '/v1/config')[1]
            doc = change(cur['config'])
            self.confs.append((wall_ms(), 'config_asked', (doc, cur['sequence'], 'fleet')))
            sts, got = self.ask(e, 'PUT', '/v1/config', doc, {'If-Match': str(cur['sequence'])})
            if sts == 200:
                box.append((cur['sequence'], got['sequence']))
                self.confs.append((wall_ms(), 'config_told', (cur['sequence'], got['sequence'], doc, 'fleet')))
            return sts == 200

        return box[0] if self.until(go, most) else None

    def callers(self, secs, seed=1, scale=1.0, site=None):
        """The deployment's callers and operators, at the edges' doors."""
        nodes = {n: self.http[n] for n in self.core + self.edges}
        calls = Callers([self.http[e] for e in self.edges], site or self.site, secs, seed, scale, self.token, nodes)
        calls.ops.minions = {n: self.http[n] for n in self.tends}
        return calls

    def down(self):
        """Ends every process that was started here, by its id."""
        for p in list(self.procs.values()) + list(self.mins.values()):
            p.send_signal(signal.SIGCONT)
            p.kill()
        for p in list(self.procs.values()) + list(self.mins.values()):
            p.wait()
        self.procs, self.mins = {}, {}
