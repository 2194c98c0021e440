"""For tests of the cell whose minions call in: one core node with a disk, turned by hand, and minions that the test speaks for."""

import json
import random

from asterwharf.base.settings import Settings, View
from asterwharf.orchard import node as orchard
from asterwharf.scheduler import queues
from asterwharf.sim.hosts import Disk
from asterwharf.wire import kinds  # noqa: F401

QUEUES = {
    'number': 1,
    'queues': [
        {'name': 'q', 'host': 'a', 'prefix': '/q/', 'group': 'g', 'priority': 1},
        {'name': 'quick', 'host': 'a', 'prefix': '/quick/', 'group': 'g'},
    ],
    'groups': [{'name': 'g'}],
}
# the users' pages: so many ends go in one beat, the rest come again
LISTED_ENDS = 500
A, B, C = (c * 16 for c in 'abc')


class Cell:
    """Time goes on by `go`; a minion beats every time it does, unless it is `mute`."""

    def __init__(self, doc=None, **st):
        self.st = Settings(
            name='t0',
            bind='10.0.0.1:1',
            seeds=['10.0.0.1:1'],
            core_size=1,
            founders=['10.0.0.1:1'],
            data='x',
            calls='10.0.0.1:2',
            view=View(silence_ms=700),
            **st,
        )
        self.now, self.disk, self.minions, self.mute, self.n = 1000, Disk(1), {}, set(), 0
        # all that the node has logged: (level, event, fields)
        self.logged = []
        self.build()
        assert self.until(lambda: self.cell.takes and self.core.takes)
        if doc:
            self.put(doc)

    def build(self):
        """The process begins, with what is on its disk."""
        self.node = orchard.control(self.st, self.disk.inc, random.Random(1), self.disk.load, self.now, self.wall)
        self.b = self.node.b
        self.plot = self.b.cells['commons']
        self.cell, self.core, self.tender, self.placer = (
            self.plot.member,
            self.node.ctl[0],
            self.plot.tender,
            self.plot.placer,
        )
        self.gate, self.router = (
            next(c for c in self.node.ctl if type(c).__name__ == k) for k in ('Gate', 'RequestRouter')
        )

    @property
    def wall(self):
        return 1_700_000_000_000 + self.now

    # --- the world
    def turn(self):
        while True:
            out, said = self.node.flush()
            self.logged += said
            if not out:
                return
            for e in out:
                if e[0] == 'send' and e[1] == 't0':
                    self.node.hear('t0', e[2], e[3], self.now, self.wall)
                elif e[0] == 'write':
                    self.disk.write(*e[1:])
                    for c in self.node.ctl:
                        if getattr(c, 'grp', None) == e[1] and hasattr(c, 'synced'):
                            c.synced(e[2].num, 0)

    def go(self, ms=700):
        for _ in range(0, ms, 20):
            self.now += 20
            self.node.tick(self.now, self.wall)
            self.turn()
            for m in self.minions.values():
                m.beat(self)
            self.turn()

    def until(self, cond, most=8000):
        end = self.now + most
        while self.now < end and not cond():
            self.go(20)
        return bool(cond())

    def ask(self, op, **args):
        """(code, body) of a request."""
        got, grp = [], args.pop('grp', 'commons')
        self.router.start(op, grp, args, lambda *r: got.append(r))
        self.turn()
        assert self.until(lambda: got)
        # what was said must pass the wire
        return got[0][0], json.loads(json.dumps(got[0][1]))

    def put(self, doc):
        code, body = self.ask('queues_put', grp='core', doc=doc, base=self.b.atlas.number, by='op')
        if code == 'ok':
            self.go(60)
        return code, body

    def queue(self, name):
        return self.b.atlas.queues.queue(name).terms()

    def submit(self, jid=A, queue='q', **spec):
        spec.setdefault('steps', [{'count': 1, 'cpu': 1000}])
        code, _ = self.ask('y_submit', id=jid, queue=self.queue(queue), spec=dict({'payload': ''}, **spec))
        assert code == 'taken', code

    def job(self, jid=A, queue='q'):
        code, body = self.ask('y_job', id=jid, queue=queue)
        assert code == 'ok', code
        return body

    def minion(self, mid, rack='r1', kind='a', cpu=4000, gpus=0, zone='z1', group='g'):
        m = self.minions[mid] = Minion(mid, rack, kind, cpu, gpus, zone, group)
        self.go(100)
        return m

    def on(self, mid):
        return sorted(self.cell.mac.on.get(mid, ()))


class Minion:
    """Runs what it is told until the test ends it; `rates`: percent of progress a second, by task, else 5."""

    def __init__(self, mid, rack, kind, cpu, gpus, zone, group):
        self.mid, self.count, self.runs, self.ended, self.n, self.wait, self.rates, self.begun = (
            mid,
            0,
            {},
            [],
            0,
            0,
            {},
            {},
        )
        self.fix = {
            'group': group,
            'zone': zone,
            'labels': [kind, rack],
            'cpu': cpu,
            'mem': 8000,
            'gpus': gpus,
            'state': 'ready',
        }

    def beat(self, c):
        if self.mid in c.mute or c.now < self.wait:
            return
        self.count += 1
        # it waits for the answer, and calls again if it was dropped
        self.wait = c.now + 1000
        for k, r in self.runs.items():
            self.runs[k] = r[0], r[1], min(99, int((c.now - self.begun[k]) * self.rates.get(k, 5) / 1000))

        def give(code, body=None):
            if code == 'ok' and body:
                self.wait = c.now + 100
                self.told(body, c.now)

        c.tender.beat(
            self.mid,
            dict(
                self.fix,
                count=self.count,
                running=[[k, *r] for k, r in self.runs.items()],
                finished=self.ended[:LISTED_ENDS],
            ),
            give,
        )

    def told(self, body, now):
        self.ended = [e for e in self.ended if e[0] > body['seen']]
        for k, r, _, save in body['start']:
            self.runs[k], self.begun[k] = (r, save, 0), now
        for k, r in body['stop']:
            if self.runs.get(k, (0,))[0] == r:
                self.end(k, 'stopped', 'save-1')

    def end(self, task, how='done', save=''):
        self.n += 1
        self.ended.append([self.n, task, self.runs.pop(task)[0], how, save])


def compiled(doc):
    return queues.Queues(
        queues.row({'number': doc['number'], 'by': '', 'at': 0, 'doc': queues.squeeze(json.dumps(doc))})
    )
