"""Stand-in callers over HTTP: the deployment's mix at its rate, resends, queries, cancels; all told is noted."""

import random

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from asterwharf.clock.boot import boot_ms, wall_ms
from asterwharf.sim.actors import job
from asterwharf.wire.ask import Asks

# jobs a second by kind, and the tenant that sends them
MIXES = {
    'small': {'surge': (3.0, 'basin'), 'leak': (0.3, 'basin'), 'sweep': (0.5, 'sweeps')},
    'fraser': {'surge': (5.0, 'basin'), 'leak': (0.7, 'basin'), 'sweep': (0.5, 'sweeps')},
    'oergadwyn': {'surge': (8.5, 'spoilage'), 'leak': (1.2, 'reviews'), 'sweep': (1.2, 'probes')},
}
AGAIN = (0, 503, 504)


class Callers(BaseComponent):
    """One loop; every answer goes to `told` with its time, for the observer."""

    channel = 'callers'

    def init(self, doors, mix, secs, seed=1, scale=1.0, token=''):
        self.doors, self.rng, self.scale, self.seed = list(doors), random.Random(seed), scale, seed
        self.asks, self.told, self.heads = Asks().register(self), [], [('Authorization', f'Bearer {token}')] if token else []
        self.beg, self.n, self.todo, self.final, self.kept, self.specs = boot_ms(), 0, [], {}, {}, {}
        self.first, self.span, self.count, self.rest = {}, secs * 1000, {}, boot_ms() + secs * 1000
        self.fit, self.limit = set(doors), boot_ms() + secs * 4000 + 120000
        EPoll().register(self)
        for k, (rate, ten) in mix.items():
            t = 0.0
            while t < secs:
                t += self.rng.expovariate(rate * scale)
                self.later(t * 1000, self._new, k, ten)
        self.later(0, self._look)

    def later(self, ms, fn, *args):
        self.n += 1
        self.todo.append((boot_ms() + ms, self.n, fn, args))
        self.sorted = False

    @handler('generate_events', channel='*', priority=5)
    def _due(self, event):
        now = boot_ms()
        if not self.sorted:
            self.todo.sort(reverse=True)
            self.sorted = True
        while self.todo and self.todo[-1][0] <= now:
            _, _, fn, args = self.todo.pop()
            fn(*args)
            if not self.sorted:
                self.todo.sort(reverse=True)
                self.sorted = True
        if self.finished or now > self.limit:
            return self.stop()
        event.reduce_time_left(max(0.0, min(0.2, (self.todo[-1][0] - now) / 1000)) if self.todo else 0.05)
        return None

    # --- as the platform does: who is ready is asked every second
    def _look(self):
        for d in self.doors:
            def got(sts, doc, hds, d=d):
                (self.fit.add if sts == 200 else self.fit.discard)(d)
            self.asks.request(d, 'GET', '/fitness', None, got, 1500)
        self.later(1000, self._look)

    def _door(self):
        return self.rng.choice(sorted(self.fit) or self.doors)

    def _note(self, key, op, sts, doc, beg):
        self.count[op, sts] = self.count.get((op, sts), 0) + 1
        code = doc.get('name') if isinstance(doc, dict) else None
        if isinstance(doc, dict) and code is None:
            code = {201: 'taken', 200: 'same' if op == 'submit' else 'ok'}.get(sts)
        self.told.append((wall_ms(), key, op, code, doc if isinstance(doc, dict) else {}, beg))

    def _call(self, op, method, key, doc, then):
        ten, jid = key
        beg = wall_ms()

        def got(sts, doc2, hds):
            self._note(key, op, sts, doc2, beg)
            wait = int(hds.get('Retry-After', hds.get('RETRY-AFTER', 1))) * 1000 if sts in AGAIN else 0
            then(sts, doc2, wait)
        self.asks.request(self._door(), method, f'/v1/tenants/{ten}/jobs/{jid}', doc, got, 8000, self.heads)

    # --- one job's life
    def _new(self, kind, ten):
        self.n += 1
        key, r = (ten, f'{kind}-{self.seed}-{self.n}'), self.rng
        spec = job(r, kind, r.choice((100, 300, 800)))
        if r.random() < 0.08:
            spec['tasks'][0]['due'] = wall_ms() + r.randint(500, 4000)
        self.specs[key] = spec
        self.first[key] = boot_ms()
        self._submit(key)
        if r.random() < 0.1:
            # sent again after silence, under the same identifier
            self.later(r.randint(10, 2000), self._submit, key)
        if r.random() < 0.04:
            self.later(r.randint(200, 1500), self._cancel, key)

    def _submit(self, key):
        def then(sts, doc, wait):
            if sts in (200, 201):
                if key not in self.kept:
                    self.kept[key] = boot_ms() - self.first[key]
                    self.later(700, self._ask, key)
                return
            if sts in AGAIN:
                self.later(max(300, wait) * self.rng.uniform(0.8, 1.2), self._submit, key)
        self._call('submit', 'PUT', key, self.specs[key], then)

    def _ask(self, key):
        def then(sts, doc, wait):
            if sts == 200 and doc.get('state') in ('done', 'failed', 'cancelled'):
                self.final.setdefault(key, doc)
                return
            self.later(max(1000, wait) * self.rng.uniform(0.8, 1.2), self._ask, key)
        if key not in self.final:
            self._call('job', 'GET', key, None, then)

    def _cancel(self, key):
        def then(sts, doc, wait):
            if sts in (202, *AGAIN):
                self.later(max(500, wait), self._cancel, key)
        self.told.append((wall_ms(), key, 'cancel_asked', '', {}, 0))
        self._call('cancel', 'DELETE', key, None, then)

    @property
    def sent_all(self):
        return boot_ms() > self.rest

    @property
    def finished(self):
        return self.sent_all and len(self.kept) == len(self.specs) and len(self.final) == len(self.kept)
