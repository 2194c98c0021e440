"""A small platform in one process, for measuring: real nodes, frames, parser, adapter and store on a clock of its own.

The processor time that a node takes passes on that clock, as on one core. Not counted: calls into the kernel
for sockets, and the poller.
"""

import heapq
import importlib.util
import json
import random
import sys
import time
from collections import Counter, defaultdict
from functools import partial
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
_spec = importlib.util.spec_from_file_location('platform_start', ROOT / 'platform/start.py')
start = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(start)
start.adapter()
from adapter import control, front, settings  # noqa: E402

from asterwharf.base import settings as own  # noqa: E402
from asterwharf.consensus.member import group_members  # noqa: E402
from asterwharf.disk.store import Store  # noqa: E402
from asterwharf.door.lean import Lean, Line  # noqa: E402
from asterwharf.orchard import node as orchard  # noqa: E402
from asterwharf.wire.frame import Cutter, frame  # noqa: E402

# ms of the bench's clock: a message's way, a sync, a minion's pause after a refusal
WAY, SYNC, AGAIN = 1, 3, 300
WALL = 1_700_000_000_000
QUEUES, GROUP, HOST = 55, 'work', 'jobs.example'
GONE = 1 << 40


class Server:
    """Stands where the listening socket would: what the listener sends goes to the caller."""

    def send(self, sock, data):
        sock.got.append(data)
        if sock.then:
            sock.then()

    def shut(self, sock):
        """Connections of the bench never close."""

    finish = cut = deaf = shut

    def again(self):
        """Descriptors never run out here."""


class Ear(Lean):
    """The listener without a socket."""

    channel = 'ear'

    def __init__(self, app):
        self.app, self.lines, self.due, app.door, self.server = app, {}, 0, self, Server()


class Sock:
    """A caller's connection: what it was answered, and who wants to know."""

    __slots__ = ('got', 'then')

    def __init__(self, then=None):
        self.got, self.then = [], then


class Box:
    """One machine: its node, its listener, its disk, and what it has cost."""

    def __init__(self, rig, name, core, folder):
        i = len(rig.boxes) + 1
        self.rig, self.name, self.core, self.bind = rig, name, core, f'10.0.0.{i}:7300'
        seeds = ','.join(f'10.0.0.{k}:8144' for k in range(1, 4))
        txt = [
            f'node_name={name}',
            'serves=' + ('control' if core else 'edge'),
            f'ip=10.0.0.{i}',
            f'zone=z{i % 3}',
            f'listen_on.control=10.0.0.{i}:8144',
            'internal_ports=7300,7310',
            'first_boot=true',
            f'seed_nodes={seeds}',
            f'data_dir={folder}/{name}',
            'limits.disk_mb=512',
            'survive.machines=1',
        ]
        rows = settings.Rows('\n'.join(txt))
        st = own.check(settings.made(rows)).ok
        self.store = Store(st.data, st.disk_mb)
        make = orchard.control if core else orchard.edge
        self.node = make(st, self.store.inc, random.Random(i), self.store.load, 0, WALL)
        self.b, self.end, self.until, self.bats, self.took = self.node.b, GONE, 0, None, 0
        self.tick_ms = max(10, int(st.view.silence_ms * 0.02)) * (1 if core else 2)
        self.ear = Ear((control.Control if core else front.Front)(self))
        self.cpu, self.inbox, self.due, self.cutters, self.worst = Counter(), [], 0, defaultdict(Cutter), 0

    def at(self):
        """What the adapter calls before anything from outside is taken in."""
        self.node.at(self.rig.t, WALL + self.rig.t)

    def paid(self, what, fn, *args):
        beg = time.thread_time_ns()
        out = fn(*args)
        took = time.thread_time_ns() - beg
        self.cpu[what] += took
        self.took += took
        return out

    def turn(self):
        """One turn of the daemon's loop."""
        t = self.rig.t
        if t < self.until:
            return
        busy, self.took = False, 0
        if self.bats is not None:
            bats, self.bats, busy = self.bats, None, True
            self.paid('flush', self._synced, bats)
        inbox, self.inbox = self.inbox, []
        for at, what, fn, args in inbox:
            if at > t:
                self.inbox.append((at, what, fn, args))
                continue
            busy = True
            self.paid(what, fn, *args)
        if t >= self.due:
            self.due, busy = t + self.tick_ms, True
            self.paid('tick', self.node.tick, t, WALL + t)
        if busy:
            self._settle()
        # one thread: while it works it hears nothing
        self.until = max(self.until, t + self.took / 1e6)
        self.worst = max(self.worst, self.took)

    def _synced(self, bats):
        self.b.now, self.b.wall = self.rig.t, WALL + self.rig.t
        for c in self.node.ctl:
            for g, b in bats:
                if getattr(c, 'grp', None) == g and hasattr(c, 'synced'):
                    c.synced(b.num, SYNC)

    def _settle(self):
        while True:
            out, _ = self.paid('flush', self.node.flush)
            if not out:
                return
            bats, raws = [], defaultdict(list)
            for e in out:
                if e[0] == 'send':
                    self._send(raws, *e[1:])
                elif e[0] == 'write':
                    bats.append(e[1:])
                elif e[0] == 'dial':
                    self.rig.dial(self, e[1])
            for dst, rows in raws.items():
                self.rig.carry(self, dst, b''.join(rows))
            if bats:
                self.paid('disk', self.store.write, bats)
                self.rig.count['syncs'] += 1
                self.bats, self.until = bats, self.rig.t + self.took / 1e6 + SYNC
                return

    def _send(self, raws, dst, knd, doc):
        if dst == self.name:
            return self.paid('hear', self.node.hear, dst, knd, doc, self.rig.t, WALL + self.rig.t)
        h = self.b.links.get(dst)
        if h is not None:
            raw = self.paid('pack', frame, knd, doc, h['proto'])
            self.rig.count[f'kind.{knd}'] += 1
            raws[dst].append(raw)
        return None

    def read(self, src, raw):
        for knd, doc in self.cutters[src].feed(raw):
            if src in self.b.links:
                self.node.hear(src, knd, doc, self.rig.t, WALL + self.rig.t)

    def heard(self, sock, raw):
        """A whole request of a caller; it costs what reading it costs."""
        if sock not in self.ear.lines:
            self.ear.lines[sock] = Line(sock, 0)
        self.inbox.append((self.rig.t + WAY, 'calls', self.ear.got, (sock, raw)))


class Minion:
    """Calls in, runs what it is told for `ms` or for ever; costs nothing itself."""

    def __init__(self, rig, i, box):
        self.rig, self.id, self.box, self.sock = rig, f'm-{i:04d}', box, Sock(lambda: rig.wake(rig.t + WAY, self))
        self.n, self.count, self.runs, self.ended, self.next, self.out = 0, 0, {}, {}, rig.t + i % 700, False
        self.rack = f'r{i // 12}'
        rig.wake(self.next, self)

    def step(self):
        t = self.rig.t
        for k, (run, at) in list(self.runs.items()):
            if t >= at:
                self.finish(k)
        if self.sock.got:
            raw, self.sock.got = b''.join(self.sock.got), []
            self.rig.count['http bytes'] += len(raw)
            self.out, self.next = False, t + 20
            self.answer(raw)
        if not self.out:
            if t >= self.next:
                return self.beat()
            self.rig.wake(self.next, self)
        return None

    def finish(self, key):
        run, _ = self.runs.pop(key)
        self.n += 1
        self.ended[self.n] = [self.n, key, run, 'done', '']
        self.next = min(self.next, self.rig.t + 50)
        self.rig.wake(self.next, self)

    def beat(self):
        self.out, self.count = True, self.count + 1
        rows = [[k, r, '', 10 + self.rig.t % 80] for k, (r, _) in self.runs.items()]
        doc = {
            'service_name': GROUP,
            'address': '10.9.0.1:80',
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {'cpu': 32000, 'mem_mb': 64000, 'gpus': 0},
            'labels': ['a', self.rack],
            'clock_ms': self.rig.t,
            'call_count': self.count,
            'running': rows,
            'finished': list(self.ended.values()),
        }
        self.rig.count.update(beats=1, listed=len(rows))
        self.rig.call(self.box, self.sock, 'POST', f'/minions/{self.id}/heartbeat', doc)

    def answer(self, raw):
        head, _, body = raw.partition(b'\r\n\r\n')
        code, d = int(head[9:12]), json.loads(body)
        if code == 307:
            adr = head.split(b'Location: http://')[1].split(b'/')[0].decode()
            self.box = next(x for x in self.rig.core if x.b.set.calls == adr)
            self.next = self.rig.t
        elif code != 200:
            self.next = self.rig.t + AGAIN
        if 'last_seen' in d:
            for n in [n for n in self.ended if n <= d['last_seen']]:
                del self.ended[n]
        for k, run, *_ in d.get('started', ()):
            self.rig.started(k)
            self.runs[k] = run, self.rig.t + self.rig.lasts
            if self.rig.lasts < GONE:
                self.rig.wake(self.rig.t + self.rig.lasts, self)
        for k, _ in d.get('stopped', ()):
            if k in self.runs:
                self.finish(k)


class Rig:
    """Machines, minions, and the bench's clock."""

    def __init__(self, folder, core=3, edges=2):
        self.t, self.boxes, self.count, self.minions, self.jobs, self.lasts = 0, [], Counter(), [], 0, GONE
        self.todo, self.number, self.heap, self.wakes, self.sent, self.waits = [], 0, [], 0, {}, []
        self.core = [self._box(f'core-{i}', True, folder) for i in range(core)]
        self.edges = [self._box(f'edge-{i}', False, folder) for i in range(edges)]
        self.run(6000)
        self.config([self.queue(i) for i in range(QUEUES)])
        self.run(1500)

    def _box(self, name, core, folder):
        b = Box(self, name, core, folder)
        self.boxes.append(b)
        return b

    # --- what goes between machines
    def dial(self, box, adr):
        oth = next((x for x in self.boxes if x.bind == adr), None)
        if oth is None or oth is box or oth.name in box.b.links:
            return
        for a, b in ((box, oth), (oth, box)):
            a.inbox.append((self.t + WAY, 'hear', self._up, (a, b)))

    def _up(self, a, b):
        if b.name not in a.b.links:
            a.node.up(b.name, b.b.hello(), self.t, WALL + self.t)

    def carry(self, src, dst, raw):
        to = next(x for x in self.boxes if x.name == dst)
        self.count['core bytes' if src.core and to.core else 'edge bytes'] += len(raw)
        to.inbox.append((self.t + WAY, 'hear', to.read, (src.name, raw)))

    def call(self, box, sock, method, path, doc=None, heads=''):
        body = json.dumps(doc, separators=(',', ':')).encode() if doc is not None else b''
        raw = f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{heads}Content-Length: {len(body)}\r\n\r\n'.encode() + body
        self.count['http bytes'] += len(raw)
        box.heard(sock, raw)

    def run(self, ms):
        end = self.t + ms
        while self.t < end:
            for x in self.boxes:
                x.turn()
            while self.heap and self.heap[0][0] <= self.t:
                heapq.heappop(self.heap)[2].step()
            while self.todo and self.todo[0][0] <= self.t:
                self.todo.pop(0)[1]()
            self.t += 1

    def wake(self, at, minion):
        self.wakes += 1
        heapq.heappush(self.heap, (at, self.wakes, minion))

    def started(self, key):
        self.count['starts'] += 1
        self.waits.append(self.t - self.sent[key[:16]])

    # --- what callers do
    def queue(self, i):
        return {
            'name': f'r-{i}',
            'host_name': HOST,
            'path_prefix': f'/q{i}/',
            'route_kind': 'writing',
            'timeout_ms': 3000,
            'target_ms': 2000,
            'priority': i % 3,
            'service_name': GROUP,
            'tries': 2,
            'stretch': 2.0,
        }

    def config(self, routes):
        self.number += 1
        doc = {'version': self.number, 'routes': routes, 'services': [{'name': GROUP, 'guards': False}], 'limits': {}}
        self.call(self.core[0], Sock(), 'POST', '/config/replace', doc, f'X-Asterwharf-Based-On: {self.number - 1}\r\n')

    def change(self):
        self.number += 1
        row = dict(self.queue(0), timeout_ms=2000 + self.number)
        doc = {'version': self.number, 'add_or_replace': {'routes': [row]}}
        self.call(self.core[0], Sock(), 'POST', '/config/change', doc, f'X-Asterwharf-Based-On: {self.number - 1}\r\n')

    def submit(self, tasks=1, **more):
        self.jobs += 1
        self.sent[f'{self.jobs:016x}'] = self.t
        doc = {
            'job_spec': 'x' * 200,
            'steps': [{'count': tasks, 'cpu': 1000, 'mem_mb': 1000, 'estimate_ms': 5000}],
        } | more
        self.call(
            self.edges[self.jobs % len(self.edges)], Sock(), 'POST', f'/q{self.jobs % QUEUES}/{self.jobs:016x}', doc
        )

    def state(self, i):
        k = i % self.jobs + 1
        self.call(self.edges[i % len(self.edges)], Sock(), 'GET', f'/q{k % QUEUES}/{k:016x}')

    def spread(self, n, ms, fn):
        """Does something n times in ms, evenly."""
        self.todo = sorted(self.todo + [(self.t + ms * i // n, partial(fn, i)) for i in range(n)], key=lambda r: r[0])

    def enlist(self, n):
        self.minions += [Minion(self, len(self.minions) + i, self.core[0]) for i in range(n)]

    # --- measuring
    @property
    def holder(self):
        return next((x for x in self.core if group_members(x.node)['commons'].leads), None)

    def window(self, ms):
        """What a stretch of time has cost, by machine and what it was for."""
        was, cpu, hld = Counter(self.count), {x.name: Counter(x.cpu) for x in self.boxes}, self.holder
        self.run(ms)
        got = Counter({k: v - was[k] for k, v in self.count.items()})
        for x in self.boxes:
            role = 'edges' if not x.core else 'holder' if x is hld else 'siblings'
            for k, v in x.cpu.items():
                us = (v - cpu[x.name][k]) / 1000
                got[f'{role} us'] += us
                got[f'{role}.{k}'] += us
                got['core us'] += us if x.core else 0
        return got
