"""A small site of the platform as real processes: three core nodes and an edge, each at a loopback address of its own."""

import json
import os
import socket
import subprocess
import sys
import time
from http.client import HTTPConnection

from patience import PATIENCE
from platform_rig import (
    CORE,
    EDGE,
    ROOT,
    written,
)

from asterwharf.fleet.live import own_address


# --- whole processes, each at an address of its own
def free(ips):
    """A port that is free at every address."""
    for _ in range(100):
        with socket.create_server((ips[0], 0)) as s:
            port = s.getsockname()[1]
            try:
                for ip in ips[1:]:
                    socket.create_server((ip, port)).close()
                return port
            except OSError:
                continue
    raise AssertionError('no free port')


class Site:
    """Three core nodes and an edge."""

    def __init__(self, tmp_path):
        # addresses of this process alone: a port that is free there isn't taken by another test meanwhile
        net = own_address().rpartition('.')[0]
        self.core, self.edge, self.procs = [f'{net}.{i}' for i in (1, 2, 3)], f'{net}.9', {}
        inner, self.control, self.front, self.ready = (free([*self.core, self.edge]) for _ in range(4))
        same = {
            'internal_ports': f'{inner},{inner}',
            'seed_nodes': ','.join(f'{ip}:{self.control}' for ip in self.core),
        }
        for i, ip in enumerate(self.core):
            self.start(
                tmp_path,
                'trellis',
                dict(
                    CORE,
                    node_name=f'c{i}',
                    ip=ip,
                    data_dir=str(tmp_path / f'd{i}'),
                    **same,
                    **{'listen_on.control': f'{ip}:{self.control}'},
                ),
            )
        self.start(
            tmp_path,
            'furrow',
            dict(
                EDGE,
                node_name='e',
                ip=self.edge,
                **same,
                **{'listen_on.front': f'{self.edge}:{self.front}', 'listen_on.ready': f'{self.edge}:{self.ready}'},
            ),
        )

    def start(self, tmp_path, role, rows):
        nam = rows['node_name']
        env = dict(os.environ, ASTERWHARF_CONFIG=written(tmp_path, rows, f'{nam}.conf'))
        self.procs[nam] = subprocess.Popen(
            [sys.executable, 'platform/start.py', role], cwd=ROOT, env=env, stderr=open(tmp_path / f'{nam}.log', 'a')
        )

    def ask(self, ip, port, method, path, doc=None, **heads):
        c = HTTPConnection(ip, port, timeout=10)
        try:
            c.request(
                method,
                path,
                None if doc is None else json.dumps(doc),
                {k.replace('_', '-'): v for k, v in heads.items()},
            )
            r = c.getresponse()
            return r.status, json.loads(r.read() or b'null'), r.headers
        except OSError:
            # refused, reset or out of time: no answer
            return 0, None, {}
        finally:
            c.close()

    def until(self, fn, most=PATIENCE):
        end = time.monotonic() + most
        while time.monotonic() < end:
            got = fn()
            if got:
                return got
            time.sleep(0.02)
        return None

    def down(self):
        for p in self.procs.values():
            p.terminate()
        return {n: p.wait(PATIENCE) for n, p in self.procs.items()}
