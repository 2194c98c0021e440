"""For tests of the platform's stand-ins: a fleet without nodes, and histories told to the observer by hand."""

from asterwharf.sim.site_model import Shape
from asterwharf.sim.yard_calls import Net
from asterwharf.sim.yard_fleet import YardFleet
from asterwharf.sim.yard_minion import Minion
from asterwharf.sim.yard_sight import Sight
from asterwharf.sim.yard_sites import OPEN
from asterwharf.sim.yard_work import Job, Run

QUEUE = {'name': 'r-q', 'prefix': '/q/', 'group': 'watch', 'priority': 0, 'tries': 2, 'stretch': 2.0, 'aim_ms': 1000}
A, B = '00000000000000aa.0.0.0', '00000000000000aa.0.0.1'


class Still(Net):
    """Hands every call to the test."""

    __slots__ = ('take',)

    def __init__(self, w, take):
        super().__init__(w)
        self.take = take

    def call(self, src, dst, act, then, wait):
        self.take(src, dst, act, then, wait)


class Calm(Sight):
    """Every machine is in touch, all the time."""

    __slots__ = ()

    def level(self, n):
        return 'in'

    def settled(self):
        return True


class Desk:
    """A fleet without nodes: what minions and clients send lies here until the test answers."""

    def __init__(self, site=OPEN, guards=False):
        self.f = YardFleet(1, site, lists_turned=True, late_beats=0)
        self.w, self.obs, self.calls = self.f.w, self.f.obs, []
        # no node is asked: calls lie here; every machine is in touch
        self.f.net = self.f.reach.net = self.obs.room.net = Still(self.w, self._call)
        self.f.sight = self.obs.sight = self.obs.versions.sight = Calm(self.w, self.f.bounds)
        self.f.sight.core = ['t0', 't1', 't2']
        self.obs.versions.send(1, 0, {'queues': [dict(QUEUE)]}, True, 'op')
        self.shape = Shape('watch', 'z1', 'w1-1', 'a', 1.0, 4000, 4000, 0, guards)
        self.f.shapes = {}

    def _call(self, src, dst, act, then, wait):
        box = {'src': src, 'dst': dst, 'then': then, 'at': self.w.t, 'wait': wait}

        class Node:
            """Takes the words of a call apart."""

            ctl = ()

        class Tender:
            def beat(self, mid, doc, give):
                box.update(mid=mid, doc=doc)

            def leave(self, mid, give):
                box.update(mid=mid, doc=None)

        Node.ctl = (Tender(),)
        act(Node, None)
        self.calls.append(box)

    def minion(self, name='m0', **over):
        s = Shape(**dict({k: getattr(self.shape, k) for k in Shape.__dataclass_fields__}, **over))
        self.f.shapes[name] = s
        m = self.f.minions[name] = Minion(self.f, name, s, f'i-{name}', '10.9.0.1:80')
        m.clock = 1.0
        m.start()
        return m

    def run(self, ms):
        self.w.run(self.w.t + ms)

    def beat(self, m, most=3000):
        """The minion's next beat."""
        end = self.w.t + most
        while self.w.t < end:
            got = [c for c in self.calls if c['src'] == m.machine]
            if got:
                self.calls.remove(got[0])
                return got[0]
            self.run(1)
        raise AssertionError('no beat')

    def answer(self, call, code='ok', **body):
        call['then'](code, dict({'hold_ms': 4000, 'seen': 0, 'fence': 1, 'again_ms': 20}, **body))

    def tell(self, m, **body):
        """Answers the next beat of the minion; gives what the beat said."""
        c = self.beat(m)
        self.answer(c, **body)
        return c['doc']

    def job(self, jid='00000000000000aa', works=None, taken=True, **more):
        steps = more.pop('steps', [{'count': 2, 'cpu': 1000, 'mem': 100}])
        q = dict(QUEUE, **{k: more.pop(k) for k in list(more) if k in QUEUE})
        spec = dict({'payload': 'text', 'steps': steps}, **more)
        j = Job(jid, q, spec, works or [[500] * s.get('count', 1) for s in steps])
        self.f.works.jobs[jid] = j
        self.obs.handed(j)
        if taken:
            self.obs.answered(j, 'taken')
        return j

    def start(self, m, task, run=1, payload='text', saved='', **body):
        self.tell(m, start=[[task, run, payload, saved]], **body)

    def rules(self):
        return [r for _, r, _ in self.obs.broken]


class Story:
    """Feeds the observer a history by hand."""

    def __init__(self):
        self.d = Desk()
        self.o, self.w = self.d.obs, self.d.w
        self.ms = {}

    def minion(self, name='m0', **over):
        if name not in self.ms:
            s = Shape(**dict({k: getattr(self.d.shape, k) for k in Shape.__dataclass_fields__}, **over))
            self.ms[name] = Minion(self.d.f, name, s, f'i-{name}', '')
            self.o.born(self.ms[name])
        return self.ms[name]

    def start(self, task=A, run=1, on='m0', payload='text', saved='', **over):
        m = self.minion(on, **over)
        r = Run(task, run, m, 't0')
        p = task.split('.')
        r.job = self.d.f.works.jobs.get(p[0])
        r.k, r.step, r.idx, r.at, r.saved = int(p[1]), int(p[2]), int(p[3]), self.w.t, saved
        if r.job is not None:
            r.key = (r.job.id, r.k, r.step, 'g' if r.spec.get('together') else r.idx)
        free = m.room()
        m.runs[task, run] = r
        self.o.started(r, payload, saved, free)
        return r

    def end(self, r, how='done', seen=True):
        r.end, r.how = self.w.t, how
        r.minion.runs.pop((r.task, r.run))
        r.minion.n += 1
        r.n = r.minion.n
        self.o.over(r, how)
        self.o.listed(r.minion, r)
        if seen:
            self.o.noted(r.minion, r.n)
        return r

    def go(self, ms):
        self.w.t += ms

    def rules(self):
        return [r for _, r, _ in self.o.broken]
