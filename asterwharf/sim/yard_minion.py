"""A stand-in for the platform's minion: it calls in, holds what it runs on its own clock, and tells each end until it is noted.

The words are the product's (docs/design/platform.md); the manner is the users' PROTOCOL.md, line by line.
"""

from asterwharf.base.encoding import encoded
from asterwharf.sim.yard_calls import CLOSED, find
from asterwharf.sim.yard_work import Run, parse

# an answer later than this is dropped; of the ends, how many go in one beat; after an end, the wait until the next beat
ANSWER, MOST, SOON = 1000, 500, 50
# the largest answer it takes, in bytes as sent; one with fewer starts and stops than this can't be larger
MOST_BYTES, FEW = 4 << 20, 80
# the pause before the next node after a failure: it grows up to a second
PAUSE, PAUSES = 60, 4


def _too_large(body):
    if len(body.get('start', ())) + len(body.get('stop', ())) < FEW:
        return False
    return len(encoded(body)) > MOST_BYTES


class Minion:
    """One life of a minion: a crash ends it, and another comes back under a new id."""

    __slots__ = (
        'address',
        'addr',
        'barred',
        'born',
        'call',
        'clock',
        'count',
        'errors',
        'fails',
        'fence',
        'finished',
        'fleet',
        'gen',
        'group',
        'hang',
        'hold',
        'holds',
        'hops',
        'id',
        'last',
        'leaves',
        'leaving',
        'left',
        'machine',
        'n',
        'node',
        'out',
        'port',
        'rack',
        'runs',
        'seen',
        'sent',
        'shape',
        'slow',
        'speed',
        'state',
        'up',
        'w',
        'zone',
    )

    def __init__(self, fleet, machine, shape, mid, addr):
        self.fleet, self.w, self.machine, self.shape, self.id, self.address = fleet, fleet.w, machine, shape, mid, addr
        self.group, self.zone, self.rack, self.speed = shape.group, shape.zone, shape.rack, shape.speed
        # its steady clock may be 2% slow: ms of its own for each true ms
        self.clock, self.born = 1 - self.w.rng.random() * 0.02, self.w.t
        self.runs, self.finished, self.barred, self.n, self.seen = {}, {}, {}, 0, 0
        self.fence, self.hold, self.holds, self.count, self.state, self.leaves = 0, 0.0, 0, 0, 'ready', None
        self.up, self.slow, self.hang, self.errors, self.left = True, 1.0, False, 0.0, False
        # it sends its leave without a word before, and serves on
        self.leaving = False
        # `out`: a call is under way; `last`: the number of ends when its beat was made up
        self.out, self.node, self.addr, self.fails, self.gen, self.sent, self.last, self.hops = (
            False,
            '',
            '',
            0,
            0,
            0,
            0,
            0,
        )
        self.call, self.port = None, addr

    # --- clocks and speed
    def now(self):
        return (self.w.t - self.born) * self.clock

    def rate(self):
        return 0.0 if self.hang else self.speed / self.slow

    @property
    def sound(self):
        """Whether it works as it should, at its own speed, and stays."""
        return self.slow == 1.0 and not self.hang and not self.errors and self.state == 'ready' and not self.leaving

    def set(self, **kws):
        """A trouble begins or ends: slow, hang, errors."""
        for k, v in kws.items():
            setattr(self, k, v)
        self.fleet.works.paced(self)

    # --- beats
    def start(self):
        self.fleet.obs.born(self)
        self._plan(self.w.rng.randint(1, 400))

    def _plan(self, ms):
        """The next beat goes out after `ms`, whatever was planned before."""
        self.gen += 1
        self.w.after(ms + self.fleet.lateness(), self._beat, self.gen)

    def doc(self):
        s = self.shape
        d = {
            'group': self.group,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_ms': 0,
            'cpu': s.cpu,
            'mem': s.mem,
            'gpus': s.gpus,
            'labels': [s.kind, s.rack],
            'clock_ms': int(self.now()),
            'count': self.count,
            'running': [],
            'finished': [],
        }
        if self.leaves is not None and self.state == 'draining':
            d['leaves_at_ms'] = max(0, int(self.leaves - self.w.t))
        works = self.fleet.works
        for r in self.runs.values():
            saved = works.saved(r)
            self.fleet.obs.kept(r, saved)
            d['running'].append([r.task, r.run, saved, works.percent(r)])
        d['finished'] = [list(e) for _, e in zip(range(MOST), self.finished.values())]
        return d

    def _beat(self, gen):
        if not self.up or gen != self.gen or self.out:
            return
        self.count += 1
        self.hops, self.last, self.sent = 0, self.n, self.w.t
        if not self.addr and (not self.node or self.fails):
            self.node = self.fleet.pick(self.node)
        doc = self.doc()
        self.fleet.obs.count['beats'] += 1
        self._call(self.fleet.at(self.addr) if self.addr else self.node, doc, 'beat')

    def _call(self, node, doc, what):
        mid = self.id

        def act(nod, give):
            t = find(nod, 'Tender')
            if what != 'beat':
                return t.leave(mid, give)

            def told(code, body=None):
                if code == 'ok' and body and body.get('start'):
                    self.fleet.obs.given(self, node, body)
                give(code, body)

            return t.beat(mid, doc, told)

        self.out = True
        beg = self.w.t
        wait = max(1, ANSWER - (beg - self.sent))
        self.fleet.net.call(self.machine, node, act, lambda c, b: self._answer(node, beg, doc, what, c, b), wait)

    def _answer(self, node, beg, doc, what, code, body):
        if not self.up:
            return
        self.out = False
        if code == 'elsewhere' and self.hops < 2:
            self.hops += 1
            return self._call(self.fleet.at(body['address']), doc, what)
        if what == 'leave':
            self.left = code == 'ok'
            return self._plan(SOON) if self.leaving else self._gone()
        if code != 'ok' or _too_large(body or {}):
            return self._failed(code)
        self.fails = 0
        if not self.addr:
            self.node = node
        self.fleet.obs.beaten(self, node, doc['state'], beg)
        self._take(node, beg, body or {})
        ms = (body or {}).get('again_ms')
        every = self.fleet.bounds.beat_ms
        # what ended meanwhile is told soon; else as asked, or at the usual pace
        self._plan(
            SOON
            if self.n > self.last
            else ms
            if ms is not None
            else every + self.w.rng.randint(-every // 20, every // 20)
        )

    def _failed(self, code):
        # whichever node it was, the next one is another
        self.node = self.fleet.at(self.addr) if self.addr else self.node
        self.addr, self.fails = '', self.fails + 1
        self._plan(min(1000, PAUSE << min(self.fails - 1, PAUSES)) if code != CLOSED or self.fails > 1 else SOON)

    def held(self):
        """True ms for which the system must take it that its runs go on: until its hold is over.

        One that has said that it drains ends with its leave.
        """
        left = max(0.0, self.hold - self.now()) / self.clock
        return min(left, self.fleet.bounds.stop_ms) if self.left and not self.leaving else left

    # --- what an answer says
    def _take(self, node, beg, a):
        fence = a.get('fence', 0)
        if fence < self.fence:
            return
        self.fence = fence
        if a.get('address'):
            self.addr = a['address']
        obs = self.fleet.obs
        seen = a.get('seen', 0)
        for n in [n for n in self.finished if n <= seen]:
            obs.noted(self, n, node)
            del self.finished[n]
        self.seen = max(self.seen, seen)
        for task, run in a.get('stop', ()):
            self._stop(task, run)
        if a.get('hold_ms') is None:
            return
        self._hold(beg, a['hold_ms'])
        for task, run, payload, saved in a.get('start', ()):
            self._start(task, run, payload, saved, node)

    def _hold(self, beg, ms):
        till = (beg - self.born) * self.clock + min(ms, self.fleet.bounds.hold_ms)
        if till <= self.hold:
            return
        self.hold, self.holds = till, self.holds + 1
        self.w.after(int((till - self.now()) / self.clock) + 1, self._lapse, self.holds)

    def _lapse(self, num):
        if not self.up or num != self.holds:
            return
        self.fleet.obs.lapsed(self)
        for r in list(self.runs.values()):
            self.ends(r, 'lapsed', self.fleet.works.saved(r))

    def room(self):
        """(cpu, mem, gpus) that are free; what is being stopped still counts."""
        s, c, m, g = self.shape, 0, 0, 0
        for r in self.runs.values():
            sp = r.spec
            c, m, g = c + sp.get('cpu', 0), m + sp.get('mem', 0), g + sp.get('gpus', 0)
        return s.cpu - c, s.mem - m, s.gpus - g

    def _start(self, task, run, payload, saved, node):
        if (task, run) in self.runs:
            return
        if self.now() >= self.hold:
            return
        obs, works = self.fleet.obs, self.fleet.works
        r = Run(task, run, self, node)
        p = parse(task)
        j = works.jobs.get(p[0]) if p else None
        if j is not None and p[1] < j.rounds and p[2] < len(j.steps) and p[3] < j.steps[p[2]].get('count', 1):
            r.job, r.k, r.step, r.idx = j, p[1], p[2], p[3]
        r.saved, r.at = saved, self.w.t
        if run <= self.barred.get(task, 0):
            if self.fleet.lists_turned:
                self._list(r, 'refused', '')
            return
        sp, free = r.spec, self.room()
        want = (sp.get('cpu', 0), sp.get('mem', 0), sp.get('gpus', 0))
        if self.shape.guards and any(w > f for w, f in zip(want, free)):
            obs.turned(r)
            return self._list(r, 'refused', '')
        self.runs[task, run] = r
        obs.started(r, payload, saved, free)
        works.start(r)

    def _stop(self, task, run):
        r = self.runs.get((task, run))
        if r is None:
            # one that comes later is turned away
            self.barred[task] = max(run, self.barred.get(task, 0))
            return
        if r.stopping:
            return
        works = self.fleet.works
        saved = works.saved(r, exact=True)
        self.fleet.obs.kept(r, saved)
        r.stopping = True
        works.left(r)
        self.w.after(int(self.fleet.bounds.stop_ms * self.w.rng.uniform(0.02, 0.98)), self._stopped, r, saved)

    def _stopped(self, r, saved):
        if r.end is None and self.up:
            self.ends(r, 'stopped', saved)

    def ends(self, r, how, saved):
        """A run is over; it is listed from now on, until it is noted."""
        if r.end is not None or not self.up:
            return
        r.end, r.how = self.w.t, how
        self.runs.pop((r.task, r.run), None)
        if how == 'done':
            saved = ''
        self.fleet.obs.kept(r, saved)
        self.fleet.works.left(r)
        self.fleet.obs.over(r, how)
        self._list(r, how, saved)

    def _list(self, r, how, saved):
        self.n += 1
        r.n = self.n
        self.barred[r.task] = max(r.run, self.barred.get(r.task, 0))
        self.finished[self.n] = [self.n, r.task, r.run, how, saved]
        self.fleet.obs.listed(self, r)
        if not self.out:
            self._plan(SOON)

    # --- planned and unplanned ends
    def drain(self, leaves_in=None):
        """Reports that it drains; `leaves_in`: ms until it is gone, whatever runs."""
        if not self.up or self.state == 'draining':
            return
        self.state = 'draining'
        if leaves_in is not None:
            self.leaves = self.w.t + leaves_in
            self.w.after(leaves_in, self._gone)
        if not self.out:
            self._plan(0)

    def leave(self):
        """Says that it leaves, and ends: with an answer at once, without one soon."""
        if not self.up:
            return
        self.gen += 1
        self.sent, self.hops = self.w.t, 0
        self._call(self.fleet.at(self.addr) if self.addr else self.node or self.fleet.pick(''), None, 'leave')
        self.w.after(ANSWER + 500, self._gone)

    def leave_first(self, serves_on_ms):
        """Sends its leave without a word of draining before, serves on as long, and ends."""
        if not self.up:
            return
        if self.out:
            # one call at a time
            self.w.after(SOON, self.leave_first, serves_on_ms)
            return
        self.leaving = True
        self.gen += 1
        self.sent, self.hops = self.w.t, 0
        self._call(self.fleet.at(self.addr) if self.addr else self.node or self.fleet.pick(''), None, 'leave')
        self.w.after(serves_on_ms, self._gone)

    def _gone(self):
        self.crash()

    def crash(self):
        """Everything on it dies, unheard."""
        if not self.up:
            return
        runs, self.runs = list(self.runs.values()), {}
        for r in runs:
            r.end, r.how = self.w.t, 'crash'
            self.fleet.works.left(r)
            self.fleet.obs.over(r, 'crash')
        self.up = False
        self.gen += 1
        self.fleet.obs.dead(self)
