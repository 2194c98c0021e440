"""Hollow minions: some hundreds in one process, which beat, hold, run and end as real ones, with tasks that only pass time.

`python -m bench.scale.hollow FILE`, FILE a JSON object made by `scale_procs`. Every start and end is logged.
"""

import json
import os
import random
import signal
import sys
from collections import Counter

from asterwharf.clock.boot import boot_ms
from bench.scale.hollow_wire import Datagrams, Wire

# ms: after which an answer is dropped; between an end and the next beat; the shortest and the longest pause after a failure
ANSWER, SOON, PAUSE, PAUSES = 1000, 50, 60, 1000
ENDS = 500


def work(payload):
    """(ms, members) of a hollow task: its payload says how long it takes, and how many work together."""
    ms, _, n = payload.partition(' ')
    return int(ms), int(n or 1)


class Run:
    __slots__ = ('cpu', 'end', 'gang', 'key', 'ms', 'saved', 'start', 'stopping')

    def __init__(self, key, ms, cpu, gang):
        # `start`: when it began to work; 0 while a gang waits for its members
        self.key, self.ms, self.cpu, self.gang, self.start, self.end, self.stopping, self.saved = (
            key,
            ms,
            cpu,
            gang,
            0,
            False,
            False,
            '',
        )


class Minion:
    """One life of a minion."""

    __slots__ = (
        'addr',
        'barred',
        'count',
        'doc',
        'due',
        'fails',
        'fence',
        'finished',
        'h',
        'hold',
        'last',
        'n',
        'node',
        'out',
        'region',
        'runs',
        'sent',
        'up',
        'zone',
        'mid',
        'free',
    )

    def __init__(self, h, row):
        self.h, self.mid, self.zone, self.region = h, row['id'], row['zone'], row['region']
        self.doc = {
            'service_name': row['group'],
            'address': row['address'],
            'zone': row['zone'],
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {'cpu': row['cpu'], 'mem_mb': row['mem'], 'gpus': 0},
            'labels': ['a', row['rack']],
        }
        self.free, self.runs, self.finished, self.barred, self.n, self.last = row['cpu'], {}, {}, {}, 0, 0
        self.addr, self.node, self.fails, self.fence, self.count, self.hold = '', '', 0, 0, 0, 0
        self.up, self.out, self.due, self.sent = True, False, 0, 0
        h.wire.after(h.rng.randrange(1 + h.cfg['beat_ms']), self.beat, 0)

    # --- beats
    def plan(self, ms):
        self.due += 1
        self.h.wire.after(ms, self.beat, self.due)

    def beat(self, due):
        if not self.up or self.out or due != self.due:
            return
        h = self.h
        if not self.addr and (not self.node or self.fails):
            self.node = h.pick(self)
        self.count, self.out, self.last, self.sent = self.count + 1, True, self.n, boot_ms()
        now = self.sent
        run = [
            [t, n, r.saved, min(99, (now - r.start) * 100 // max(1, r.ms)) if r.start else 0]
            for (t, n), r in self.runs.items()
        ]
        fin = [e for _, e in zip(range(ENDS), self.finished.values())]
        raw = json.dumps(dict(self.doc, clock_ms=now, call_count=self.count, running=run, finished=fin)).encode()
        self._call(self.addr or self.node, raw, 2)

    def _call(self, addr, raw, hops):
        if not self.h.reaches(self.region, addr):
            # into a cut: nothing comes back
            return self.h.wire.after(ANSWER, self._answer, addr, raw, 0, 0, {}, b'')
        left = max(1, ANSWER - (boot_ms() - self.sent))
        self.h.wire.request(
            addr, 'POST', f'/minions/{self.mid}/heartbeat', raw, lambda *a: self._answer(addr, raw, hops, *a), left
        )

    def _answer(self, addr, raw, hops, status, heads, body):
        if not self.up:
            return
        h = self.h
        h.seen['silent' if not status else status] += 1
        to = heads.get(b'location', b'').decode()
        if status == 307 and hops and to:
            return self._call(to[len('http://') :].partition('/')[0], raw, hops - 1)
        self.out = False
        # the heartbeat that failed is made up anew for the next node
        if not 200 <= status < 300 or not h.reaches(self.region, addr):
            self.addr, self.fails = '', self.fails + 1
            return self.plan(min(PAUSES, PAUSE << min(self.fails, 5)))
        self.fails = 0
        h.delay.append(boot_ms() - self.sent)
        a = json.loads(body) if body else {}
        self._take(a)
        self.plan(SOON if self.n > self.last else a.get('retry_after_ms', h.cfg['beat_ms']))

    def _take(self, a):
        if a.get('fence_number', 0) < self.fence:
            return
        self.fence = a.get('fence_number', 0)
        self.addr = a.get('beat_address') or self.addr
        for n in [n for n in self.finished if n <= a.get('last_seen', 0)]:
            e = self.finished.pop(n)
            self.h.log('n', e[1], e[2], e[3])
        for task, run in a.get('stopped', ()):
            self._stop(task, run)
        if a.get('hold_ms') is None:
            return
        till = self.sent + min(a['hold_ms'], self.h.cfg['max_hold_ms'])
        if till > self.hold:
            self.hold = till
            self.h.wire.after(till - boot_ms() + 1, self._lapse, till)
        if boot_ms() < self.hold:
            for task, run, spec, saved in a.get('started', ()):
                self._start(task, run, spec, saved)

    def _lapse(self, till):
        if self.up and till == self.hold:
            self.h.log('h', self.mid)
            for r in list(self.runs.values()):
                self.over(r, 'lapsed')

    # --- runs
    def _start(self, task, run, spec, saved):
        if (task, run) in self.runs or run <= self.barred.get(task, 0):
            return
        ms, n = work(spec)
        cpu = self.h.cfg['task_cpu']
        r = Run((task, run), ms, cpu, n > 1)
        r.saved = saved
        if cpu > self.free:
            return self._list(r, 'refused')
        self.free -= cpu
        self.runs[task, run] = r
        self.h.log('s', task, run, self.mid, self.zone)
        if n > 1:
            return self.h.gangs.join(self, r, n)
        self.begin(r)

    def begin(self, r):
        r.start = boot_ms()
        self.h.wire.after(r.ms, self.over, r, 'done')

    def _stop(self, task, run):
        r = self.runs.get((task, run))
        if r is None:
            self.barred[task] = max(run, self.barred.get(task, 0))
        elif not r.stopping:
            r.stopping = True
            self.h.wire.after(self.h.rng.randrange(1, self.h.cfg['stop_grace_ms']), self.over, r, 'stopped')

    def over(self, r, how):
        """A run is over here, and is listed until that is noted."""
        if r.end or not self.up:
            return
        r.end = True
        del self.runs[r.key]
        self.free += r.cpu
        self.h.log('e', *r.key, how)
        if r.gang and how not in ('done', 'broken', 'alone'):
            self.h.gangs.broke(r)
        self._list(r, how)

    def _list(self, r, how):
        task, run = r.key
        self.n += 1
        self.barred[task] = max(run, self.barred.get(task, 0))
        self.finished[self.n] = [self.n, task, run, how, '']
        if not self.out:
            self.plan(SOON)

    def crash(self):
        self.up = False
        for r in self.runs.values():
            r.end = True
            self.h.log('e', *r.key, 'crash')
            if r.gang:
                self.h.gangs.broke(r)


class Gangs:
    """Members of a gang work from when all are there, in whichever process: its home process counts them."""

    __slots__ = ('h', 'home', 'mine')

    def __init__(self, h):
        self.h, self.home, self.mine = h, {}, {}

    def name(self, key):
        return f'{key[0].rpartition(".")[0]}#{key[1]}'

    def _say(self, g, op, to=None, **kws):
        raw = json.dumps(dict(kws, op=op, gang=g)).encode()
        for a in self.h.cfg['peers'] if to is None else [to]:
            self.h.udp.send(a, raw)

    def _home(self, g):
        ps = self.h.cfg['peers']
        return ps[int(g[:8], 16) % len(ps)]

    def join(self, m, r, n):
        g = self.name(r.key)
        self.mine.setdefault(g, []).append((m, r))
        self._say(g, 'join', self._home(g), n=n)
        self.h.wire.after(self.h.cfg['gang_wait_ms'], self._alone, m, r)

    def _alone(self, m, r):
        if not r.start and not r.end:
            self.broke(r)
            m.over(r, 'alone')

    def broke(self, r):
        self._say(self.name(r.key), 'broke')

    def heard(self, d):
        g, op = d['gang'], d['op']
        if op == 'join':
            self.home[g] = self.home.get(g, 0) + 1
            if self.home[g] == d['n']:
                self._say(g, 'go')
            return
        for m, r in self.mine.get(g, ()) if op == 'go' else self.mine.pop(g, ()):
            if op == 'broke':
                m.over(r, 'broken' if r.start else 'alone')
            elif not r.end and not r.stopping:
                m.begin(r)


class Hollow:
    """All minions of one process."""

    def __init__(self, cfg):
        self.cfg, self.wire, self.rng = cfg, Wire(), random.Random(cfg['seed'])
        self.seen, self.delay, self.cut, self.rows, self.all = Counter(), [], '', [], []
        self.out = open(cfg['log'], 'a', encoding='utf-8')
        self.gangs = Gangs(self)
        self.udp = Datagrams(self.wire, cfg['peer'], self.heard)
        self.all = [Minion(self, r) for r in cfg['minions']]
        signal.signal(signal.SIGTERM, self.end)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        self.wire.after(200, self.flush)

    def pick(self, m):
        """A node to call: another than the last one."""
        can = [a for a in self.cfg['control'] if a != m.node] or self.cfg['control']
        return self.rng.choice(can)

    def reaches(self, region, addr):
        """Whether no cut lies between; a cut region reaches only its own nodes, and nobody else reaches them."""
        return not self.cut or (region == self.cut) == (self.cfg['regions'][addr] == self.cut)

    def log(self, what, *args):
        self.rows.append(json.dumps([what, boot_ms(), *args]))

    def heard(self, raw):
        d = json.loads(raw)
        if 'gang' in d:
            return self.gangs.heard(d)
        if d['op'] == 'cut':
            self.cut = d['region']
        if d['op'] == 'crash':
            gone = [m for m in self.all if m.up and m.zone == d['zone']]
            for m in gone:
                m.crash()
            self.log('crash', d['zone'], len(gone))
        if d['op'] == 'rejoin':
            # what has crashed comes back under a new id, running nothing
            rows = {r['id']: r for r in self.cfg['minions']}
            for i, m in enumerate(self.all):
                if not m.up:
                    self.all[i] = Minion(self, dict(rows[m.mid.partition('~')[0]], id=f'{m.mid}~'))

    def flush(self):
        ds = sorted(self.delay)
        self.log(
            'b',
            dict(self.seen),
            sum(len(m.runs) for m in self.all if m.up),
            ds[len(ds) // 2] if ds else 0,
            ds[len(ds) * 99 // 100] if ds else 0,
            self.wire.put,
            self.wire.got,
            sum(m.fence > 0 for m in self.all),
        )
        self.seen, self.delay = Counter(), []
        rows, self.rows = self.rows, []
        self.out.write('\n'.join(rows) + '\n')
        self.out.flush()
        self.wire.after(500, self.flush)

    def end(self, *args):
        self.flush()
        os._exit(0)


def main(path):
    with open(path, encoding='utf-8') as f:
        cfg = json.load(f)
    Hollow(cfg).wire.run()


if __name__ == '__main__':
    main(sys.argv[1])
