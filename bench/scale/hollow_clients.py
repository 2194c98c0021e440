"""Hollow clients: jobs of all teams at a rate that the scale run sets, whoever waits; sent again until they are kept.

`python -m bench.scale.hollow_clients FILE`, FILE a JSON object made by `scale_procs`.
"""

import json
import os
import random
import signal
import sys
from collections import Counter

from asterwharf.clock.boot import boot_ms
from bench.scale.hollow_wire import Datagrams, Wire

# kind: (share of all starts, tasks of each step, whether they work together)
MIX = {
    'urgent': (0.05, (3,), False),
    'plain': (0.65, (8,), False),
    'chain': (0.2, (4, 8), False),
    'gang': (0.1, (), True),
}
# members of a gang, and how often each size comes
GANGS, OFTEN = (8, 16, 32, 64, 128), (40, 20, 10, 5, 3)
# ms: an urgent task's work; what a client still waits; between the sends of one job; between questions about its state
URGENT, LEFT, AGAIN, ASK = 800, 3000, 300, 2000
TRIES, ASKS = 8, 30


class Clients:
    def __init__(self, cfg):
        self.cfg, self.wire, self.rng = cfg, Wire(), random.Random(cfg['seed'])
        self.rate, self.gen, self.seen, self.rows = 0.0, 0, Counter(), []
        self.out = open(cfg['log'], 'a', encoding='utf-8')
        Datagrams(self.wire, cfg['peer'], self.heard)
        signal.signal(signal.SIGTERM, self.end)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        self.wire.after(200, self.flush)

    def log(self, what, *args):
        self.rows.append(json.dumps([what, boot_ms(), *args]))

    def heard(self, raw):
        d = json.loads(raw)
        if d['op'] == 'rate':
            # `rate`: task starts a second that this process asks for
            self.rate, self.gen = d['rate'], self.gen + 1
            for k in MIX:
                self.wire.after(self.gap(k), self.arrive, k, self.gen)

    def size(self, kind):
        tasks = MIX[kind][1]
        return sum(tasks) if tasks else sum(a * b for a, b in zip(GANGS, OFTEN)) / sum(OFTEN)

    def gap(self, kind):
        per = self.rate * MIX[kind][0] / self.size(kind)
        return self.rng.expovariate(per) * 1000 if per > 0 else 1 << 40

    def arrive(self, kind, gen):
        if gen != self.gen:
            return
        self.wire.after(self.gap(kind), self.arrive, kind, gen)
        c, rng = self.cfg, self.rng
        jid = f'{rng.getrandbits(64):016x}'
        _, tasks, gang = MIX[kind]
        tasks = tasks or (rng.choices(GANGS, OFTEN)[0],)
        ms = URGENT if kind == 'urgent' else max(100, int(c['work_ms'] * rng.uniform(0.5, 1.5)))
        steps = [{'count': n, 'cpu': c['task_cpu'], 'mem_mb': 512, 'estimate_ms': ms} for n in tasks]
        for i, s in enumerate(steps):
            if i:
                s['depends_on'] = [i - 1]
            if gang:
                s.update(all_together=True, same_rack=True)
        doc = {'job_spec': f'{ms} {tasks[0]}' if gang else str(ms), 'steps': steps}
        q = rng.choice([q for q in c['queues'] if q['urgent'] == (kind == 'urgent')])
        self.log('job', jid, kind, sum(tasks), ms * len(tasks))
        self.send(jid, q, json.dumps(doc).encode(), ms * len(tasks), 0)

    def call(self, method, q, path, body, then):
        """A request at an edge of any zone; uneven shares are left to the platform."""
        heads = f'{q["host"]}\r\nX-Asterwharf-Time-Left-Ms: {LEFT}'
        self.wire.request(self.rng.choice(self.cfg['edges']), method, q['prefix'] + path, body, then, LEFT, heads)

    def send(self, jid, q, body, ms, n):
        def then(status, heads, raw):
            self.seen[f'post {status}'] += 1
            if 200 <= status < 300:
                self.log('kept', jid, n)
                return self.wire.after(ms + ASK / 4, self.ask, jid, q, 0)
            if n >= TRIES or 400 <= status < 500 and status not in (408, 429):
                return self.log('lost', jid, status)
            self.wire.after(AGAIN << min(n, 3), self.send, jid, q, body, ms, n + 1)

        self.call('POST', q, jid, body, then)

    def ask(self, jid, q, n):
        def then(status, heads, raw):
            self.seen[f'get {status}'] += 1
            got = json.loads(raw).get('state') if status == 200 else ''
            if got in ('finished', 'failed', 'cancelled') or status == 410:
                return self.log('end', jid, got or 'unknown')
            if n < ASKS:
                self.wire.after(ASK, self.ask, jid, q, n + 1)

        self.call('GET', q, jid, b'', then)

    def flush(self):
        self.log('c', dict(self.seen), self.wire.put, self.wire.got)
        self.seen = Counter()
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
    Clients(cfg).wire.run()


if __name__ == '__main__':
    main(sys.argv[1])
