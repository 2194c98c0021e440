"""Stand-in callers over HTTP: the deployment's mix at its rate, resends, queries, cancels; all told is noted."""

import random

from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll

from asterwharf.clock.boot import boot_ms, wall_ms
from asterwharf.fleet.operators import Operators
from asterwharf.wire.ask import Asks


def unclear(status):
    """No answer (0), a 5xx, a request timeout or too many requests: the same request is sent again, to any door."""
    return status in (0, 408, 429) or status >= 500


class Callers(BaseComponent):
    """One loop; every answer goes to `told` with its time, for the observer."""

    channel = 'callers'

    def init(self, doors, site, secs, seed=1, scale=1.0, token='', nodes=()):
        self.doors, self.rng, self.site, self.seed = list(doors), random.Random(seed), site, seed
        self.asks, self.told, self.heads = (
            Asks().register(self),
            [],
            [('Authorization', f'Bearer {token}')] if token else [],
        )
        self.beg, self.n, self.todo, self.final, self.kept, self.specs = boot_ms(), 0, [], {}, {}, {}
        self.first, self.span, self.count, self.rest = {}, secs * 1000, {}, boot_ms() + secs * 1000
        self.fit, self.limit = set(doors), boot_ms() + secs * 4000 + 120000
        self.ops = Operators(self, dict(nodes))
        EPoll().register(self)
        for at, kind, ten, spec in site.arrivals(self.rng, secs, scale):
            self.later(at, self._new, kind, ten, spec)
        self.later(0, self._look)

    @property
    def configs(self):
        return self.ops.rows

    @property
    def force(self):
        return self.ops.force

    def configure(self, change, by='op'):
        self.ops.configure(change, by)

    def minion(self, name, path, doc):
        """A word to a stand-in minion, as its machine's own operator would say it."""
        self.asks.request(self.ops.minions[name], 'POST', path, doc, lambda *a: None, 3000)

    def later(self, ms, fn, *args, **kws):
        self.n += 1
        self.todo.append((boot_ms() + ms, self.n, fn, args, kws))
        self.sorted = False

    @handler('generate_events', channel='*', priority=5)
    def _due(self, event):
        now = boot_ms()
        if not self.sorted:
            self.todo.sort(reverse=True)
            self.sorted = True
        while self.todo and self.todo[-1][0] <= now:
            _, _, fn, args, kws = self.todo.pop()
            fn(*args, **kws)
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
        self.ops.look()
        self.later(1000, self._look)

    def _door(self):
        return self.rng.choice(sorted(self.fit) or self.doors)

    def _note(self, key, op, sts, doc, beg, door):
        self.count[op, sts] = self.count.get((op, sts), 0) + 1
        code = doc.get('name') if isinstance(doc, dict) else None
        if isinstance(doc, dict) and code is None:
            code = {201: 'taken', 200: 'same' if op == 'submit' else 'ok'}.get(sts)
        self.told.append((wall_ms(), key, op, code, doc if isinstance(doc, dict) else {}, beg, door))

    def _call(self, op, method, key, doc, then):
        ten, jid = key
        beg, door = wall_ms(), self._door()

        def got(sts, doc2, hds):
            self._note(key, op, sts, doc2, beg, door)
            wait = int(hds.get('Retry-After', hds.get('RETRY-AFTER', 1))) * 1000 if unclear(sts) else 0
            then(sts, doc2, wait)

        self.asks.request(door, method, f'/v1/tenants/{ten}/jobs/{jid}', doc, got, 8000, self.heads)

    # --- one job's life
    def _new(self, kind, ten, spec, never=0):
        self.n += 1
        key, r = (ten, f'{kind}-{self.seed}-{self.n}'), self.rng
        if r.random() < 0.08 and not never:
            spec['tasks'][0]['due'] = wall_ms() + r.randint(500, 4000)
        self.specs[key] = spec
        self.first[key] = boot_ms()
        self._submit(key)
        if r.random() < 0.1:
            # sent again after silence, under the same identifier
            self.later(r.randint(10, 2000), self._submit, key)
        if never or r.random() < 0.04:
            self.later(never or r.randint(200, 1500), self._cancel, key)

    def flood(self, n, ms):
        """Many jobs of the site's kinds at once, and some that no minion can ever hold."""
        for i in range(n):
            k = self.rng.choice(sorted(self.site.mix))
            _, ten, make = self.site.mix[k]
            self.later(self.rng.randint(0, ms), self._new, f'flood-{k}', ten, make(self.rng))
        for i in range(max(1, n // 20)):
            ten, spec = self.site.impossible(self.rng)
            self.later(self.rng.randint(0, ms), self._new, 'never', ten, spec, 9000)

    def _submit(self, key):
        def then(sts, doc, wait):
            if sts in (200, 201):
                if key not in self.kept:
                    self.kept[key] = boot_ms() - self.first[key]
                    self.later(700, self._ask, key)
                return
            if unclear(sts):
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
            # unknown while its own sending is still under way: it may be taken yet
            if sts == 202 or unclear(sts) or sts == 404 and key not in self.kept:
                self.later(max(500, wait), self._cancel, key)

        self.told.append((wall_ms(), key, 'cancel_asked', '', {}, 0, ''))
        self._call('cancel', 'DELETE', key, None, then)

    @property
    def sent_all(self):
        return boot_ms() > self.rest

    @property
    def finished(self):
        return self.sent_all and len(self.kept) == len(self.specs) and len(self.final) == len(self.kept)
