"""The processes of a scale run: their settings files, their starts and ends, and what each has used, from /proc."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from asterwharf.clock.boot import boot_ms
from asterwharf.sickle.ask import one

ROOT = Path(__file__).parent.parent.parent
START = ROOT / 'platform/start.py'
REGIONS, ZONES, GROUPS = 3, 11, 3
CONTROL, FRONT, READY, INNER, PEER = 18166, 18161, 18167, 17720, 19000
HZ = os.sysconf('SC_CLK_TCK')
# the bounds of a deployment, as the platform tells them; times as the field's name says
BOUNDS = {
    'in_touch_ms': 3000,
    'ack_within_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 6,
    'max_hold_ms': 6000,
    'stop_grace_ms': 400,
    'gang_wait_ms': 3000,
    'cancel_ms': 3000,
    'early_ms': 250,
    'status_s': 120,
    'far_factor': 3,
    'checkpoint_every_s': 1,
    'restore_ms': 100,
    'evacuate_ms': 5000,
}
BEAT = 1500


@dataclass
class Size:
    """What is played. `starts` is a second at the peak, `running` the tasks that run then."""

    workers: int = 1400
    starts: float = 640.0
    running: int = 4500
    teams: int = 55
    core: int = 3
    edges: int = 11
    # minions of one hollow process, processes of clients
    share: int = 350
    clients: int = 1
    cpu: int = 32000
    task_cpu: int = 2000


class Procs:
    """Starts, ends, freezes nothing but its own children, each by its id."""

    def __init__(self, folder, size, profile=False, seed=1):
        self.dir, self.size, self.profile = Path(folder).absolute(), size, profile
        self.rng, self.live, self.used, self.roles, self.all = random.Random(seed), {}, {}, {}, {}
        self.dir.mkdir(parents=True, exist_ok=True)
        # every run has loopback addresses of its own, so that each node can have the same ports
        self.net = f'127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 200 + 20}'
        self.core = [f'core-{i}' for i in range(size.core)]
        self.edges = [f'edge-{i}' for i in range(size.edges)]
        self.ip = {n: f'{self.net}.{i + 1}' for i, n in enumerate(self.core + self.edges)}
        self.zone = {n: i % ZONES for k in (self.core, self.edges) for i, n in enumerate(k)}
        self.minions = [self._minion(i) for i in range(size.workers)]

    def region(self, n):
        return f'region-{self.zone[n] % REGIONS}'

    def control(self, n):
        return f'{self.ip[n]}:{CONTROL}'

    def front(self, n):
        return f'{self.ip[n]}:{FRONT}'

    def _minion(self, i):
        # a rack stands in one zone, its minions belong to one service, and play in one process where that can be
        rack = i // max(1, min(8, self.size.workers // GROUPS))
        z = rack % ZONES
        return {
            'id': f'i-{i:05}',
            'zone': f'zone-{z}',
            'region': f'region-{z % REGIONS}',
            'rack': f'r{z}-{rack}',
            'group': f'service-{rack % GROUPS}',
            'address': f'10.128.{i // 250}.{i % 250}:8080',
            'cpu': self.size.cpu,
            'mem': 262144,
        }

    # --- settings
    def settings(self, n, first):
        core = n in self.core
        rows = {
            'node_name': n,
            'role': 'trellis' if core else 'furrow',
            'machine_class': 'core' if core else 'edge',
            'serves': 'control' if core else 'edge',
            'ip': self.ip[n],
            'zone': f'zone-{self.zone[n]}',
            'region': self.region(n),
            'internal_ports': f'{INNER},{INNER + 9}',
            'first_boot': str(first).lower(),
            'beat_every_ms': BEAT,
            'seed_nodes': ','.join(self.control(c) for c in self.core[:3]),
            'commands': 'heartbeat',
            'limits.disk_mb': 512 if core else 0,
        }
        if core:
            rows.update({'listen_on.control': self.control(n), 'data_dir': self.dir / 'data' / n})
        else:
            rows.update({'listen_on.front': self.front(n), 'listen_on.ready': f'{self.ip[n]}:{READY}'})
        rows.update({f'time_bounds.{k}': v for k, v in BOUNDS.items()})
        p = self.dir / f'{n}.conf'
        p.write_text(''.join(f'{k}={v}\n' for k, v in rows.items()))
        return str(p)

    # --- starts and ends
    def _spawn(self, n, role, args, env=None):
        with open(self.dir / f'{n}.log', 'ab') as log:
            p = subprocess.Popen(
                [sys.executable, '-m', *args],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=dict(os.environ, PYTHONPATH=str(ROOT), **(env or {})),
            )
        self.live[n], self.roles[n] = p, role
        return p

    def node(self, n, first=False):
        role = 'trellis' if n in self.core else 'furrow'
        more = ['profile'] if self.profile and role == 'trellis' else []
        self._spawn(
            n,
            role,
            ['bench.scale.scale_entry', str(START), role, str(self.dir), *more],
            {'ASTERWHARF_CONFIG': self.settings(n, first)},
        )

    def hollow(self, work_ms, queues):
        """The processes that play minions and clients."""
        sz = self.size
        num = max(1, -(-sz.workers // sz.share))
        peers = [f'127.0.0.1:{p}' for p in udp_ports(num + sz.clients)]
        self.peers, self.callers = peers[:num], peers[num:]
        per = -(-len(self.minions) // num // 8) * 8
        base = {
            'beat_ms': BEAT,
            'max_hold_ms': BOUNDS['max_hold_ms'],
            'stop_grace_ms': BOUNDS['stop_grace_ms'],
            'gang_wait_ms': BOUNDS['gang_wait_ms'],
            'task_cpu': sz.task_cpu,
            'peers': self.peers,
            'work_ms': work_ms,
            'control': [self.control(c) for c in self.core],
            'edges': [self.front(e) for e in self.edges],
            'queues': queues,
            'regions': {self.control(c): self.region(c) for c in self.core},
        }
        for i, a in enumerate(self.peers):
            self._hollow(f'minions-{i}', 'hollow', dict(base, peer=a, minions=self.minions[i * per : (i + 1) * per]))
        for i, a in enumerate(self.callers):
            self._hollow(f'clients-{i}', 'hollow_clients', dict(base, peer=a))

    def _hollow(self, n, mod, cfg):
        p = self.dir / f'{n}.json'
        p.write_text(json.dumps(dict(cfg, log=str(self.dir / f'{n}.rows'), seed=self.rng.getrandbits(32))))
        self._spawn(n, n.partition('-')[0], [f'bench.scale.{mod}', str(p)])

    def tell(self, addrs, **doc):
        s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for a in addrs:
            host, _, port = a.rpartition(':')
            s.sendto(json.dumps(doc).encode(), (host, int(port)))
        s.close()

    def kill(self, n):
        """Ends a process as a crash would; its use stays on record."""
        self.sample()
        p = self.live.pop(n)
        p.kill()
        p.wait()

    def cut(self, region):
        """No word passes between the nodes of the region and the others; '' heals."""
        inside = [n for n in self.ip if region and self.region(n) == region]
        for n in self.ip:
            words = [m for m in self.ip if region and (m in inside) != (n in inside)]
            tmp = self.dir / f'{n}.cuts.new'
            tmp.write_text('\n'.join(words))
            tmp.replace(self.dir / f'{n}.cuts')
        self.tell(self.peers, op='cut', region=region)

    def down(self, most=10):
        """Ends all that was started here: asked first, then killed, each by its id."""
        for p in self.live.values():
            p.send_signal(signal.SIGTERM)
        end = boot_ms() + most * 1000
        for p in self.live.values():
            try:
                p.wait(max(0.1, (end - boot_ms()) / 1000))
            except subprocess.TimeoutExpired:
                p.kill()
                p.wait()
        self.live = {}

    def gone(self):
        """Names of processes that ended by themselves."""
        return [n for n, p in self.live.items() if p.poll() is not None]

    # --- use
    def sample(self):
        """Rows (ms, name, processor seconds so far, memory MB, peak MB, seconds waited for a processor) of all that live."""
        now, out = boot_ms(), []
        for n, p in self.live.items():
            try:
                v = Path(f'/proc/{p.pid}/stat').read_text().rpartition(') ')[2].split()
                s = dict(ln.split(':', 1) for ln in Path(f'/proc/{p.pid}/status').read_text().splitlines() if ':' in ln)
                mem = [int(s[k].split()[0]) / 1024 for k in ('VmRSS', 'VmHWM')]
                wait = int(Path(f'/proc/{p.pid}/schedstat').read_text().split()[1]) / 1e9
            except (OSError, KeyError):
                continue
            self.used[n] = row = (now, n, (int(v[11]) + int(v[12])) / HZ, *mem, wait)
            out.append(row)
        return out

    # --- asking
    def holder(self):
        """The core node that holds the cell, or None."""
        for c in self.core:
            if c in self.live:
                try:
                    if one(self.control(c), 'POST', '/minions/nobody/leave', {}, ttl=1)[0] == 200:
                        return c
                except OSError:
                    pass
        return None

    def wipe(self):
        shutil.rmtree(self.dir, ignore_errors=True)


def udp_ports(n):
    """`n` free ports on loopback."""
    got = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(n)]
    for s in got:
        s.bind(('127.0.0.1', 0))
    out = [s.getsockname()[1] for s in got]
    for s in got:
        s.close()
    return out
