"""Carries errands from the node that took them to the holder that can answer. Pure."""

from asterwharf.base.board import Controller

# errands that change nothing may be given up on with "come again"; the others only with "unsure"
READS = frozenset(
    (
        'job',
        'y_state',
        'y_waiting',
        'y_job',
        'counts',
        'import',
        'own',
        'jobs',
        'minions',
        'zones',
        'minion',
        'claims',
        'config_get',
        'queues_get',
        'emptied',
        'nodes',
        'cells',
        'why',
        'seats',
        'history',
        'judge',
    )
)


# refusals that another holder might not have given
REFUSALS = frozenset(
    ('tenant_full', 'overload', 'unknown_tenant', 'beyond_limits', 'bad_size', 'bad_field', 'stale', 'bad_config')
)


class Trip:
    """One errand under way."""

    __slots__ = ('args', 'cell', 'end', 'grp', 'hops', 'id', 'maybe', 'next', 'op', 'then', 'to', 'wait')

    def __init__(self, tid, grp, op, args, end, then):
        self.id, self.grp, self.op, self.args, self.end, self.then = tid, grp, op, args, end, then
        self.to, self.wait, self.maybe, self.hops, self.next = '', False, False, 0, 0


class Ferry(Controller):
    """Sends, sends again where that is safe, and gives up in time: the last word is said at once."""

    __slots__ = ('dark', 'known', 'n', 'trips', 'turn')
    hears = ('returned',)

    def __init__(self, b):
        super().__init__(b)
        self.trips, self.n, self.turn, self.dark, self.known = {}, 0, 0, {}, {}

    # --- which group answers
    def _group(self, op, args):
        at = self.b.atlas
        if 'tenant' in args:
            return at.tenant(args['tenant'])
        return at.own.get(f'minion:{args.get("minion")}', 'commons')

    def _lit(self, grp):
        n = self.b.holders.get(grp, ('', 0))[0]
        return n == self.b.me or n in self.b.links

    def _seats(self, grp):
        among = self.b.atlas.seats(grp)
        return sorted(n for n, h in self.b.links.items() if (n in among if among else h['role'] == 'trellis'))

    def start(self, op, grp, args, then, ttl=0):
        """`then(code, body)` is called once, at the latest when the errand's time is up."""
        b = self.b
        # a full buffer is refused at once, not when its time is up
        if len(self.trips) >= b.set.buffer:
            b.count['refused.overload'] += 1
            return then('overload', {'retry_ms': 1000})
        if grp == 'all':
            return self._fan(op, args, then)
        if grp == 'both':
            return self._both(op, args, then)
        was = 'cell' if grp == 'cell' else ''
        grp = self._group(op, args) if was else grp
        # where no holder has been in reach for long, that is said at once and not when the errand's time is up
        if self.dark.get(grp, b.now) < b.now - b.set.view.silence_ms * 2 and not self._lit(grp):
            return then(
                'no_holder',
                {'retry_ms': 1000 + int(b.rng.random() * 3000), 'details': [f'the cell {grp} is out of reach']},
            )
        self.n += 1
        t = Trip(f'{b.me}.{b.inc}.{self.n}', grp, op, args, b.now + (ttl or b.set.errand_ms), then)
        t.cell = bool(was)
        self.trips[t.id] = t
        self._go(t)

    def _fan(self, op, args, then):
        """Asks every cell and lays their answers together; a cell out of reach is named."""
        grps, got, bad = self.b.atlas.groups(), [], []

        def one(grp, code, body):
            (got if code == 'ok' else bad).append((grp, code, body))
            if len(got) + len(bad) < len(grps):
                return
            if not got:
                return then(bad[0][1], bad[0][2])
            out = {}
            for _, _, b in sorted(got, key=lambda r: r[0]):
                for k, v in b.items():
                    out[k] = out[k] + v if k in out else v
            if bad:
                out['missing'] = sorted(g for g, _, _ in bad)
            then('ok', out)

        for g in grps:
            self.start(op, g, args, lambda c, b, g=g: one(g, c, b))

    def _both(self, op, args, then):
        """Asks the core and, once that says yes, the commons, whose seats are on the same machines."""

        def core(code, body):
            if code not in ('ok', 'under_way'):
                return then(code, body)

            def com(code2, body2):
                both = {'groups': (body or {}).get('groups', []) + (body2 or {}).get('groups', [])}
                late = code if code2 == 'ok' else code2
                then(late, dict(body2 or {}, **both))

            self.start(op, 'commons', dict(args, sure=True), com)

        self.start(op, 'core', args, core)

    def _pick(self, t, hint=''):
        b = self.b
        for n in (hint, b.holders.get(t.grp, ('', 0))[0]):
            if n and (n in b.links or n == b.me):
                return n
        core = self._seats(t.grp)
        self.turn += 1
        return core[self.turn % len(core)] if core else ''

    def _go(self, t, hint=''):
        b = self.b
        t.to, t.next = self._pick(t, hint), b.now + b.set.view.silence_ms // 4
        if not t.to:
            return
        # a hop that never returned may have been taken all the same
        t.maybe = t.maybe or t.wait
        t.wait = True
        t.hops += 1
        b.send(t.to, 'errand', id=t.id, grp=t.grp, op=t.op, args=t.args, ttl=max(1, t.end - b.now), hops=t.hops)
        t.next = b.now + b.set.view.silence_ms * 2

    def on_returned(self, src, d):
        t = self.trips.get(d['id'])
        if t is None:
            return
        # not the holder, or a holder that lost the view: every errand may be sent again, being idempotent
        if d['code'] == 'moving' and self.b.now < t.end:
            t.to, t.wait, t.next = '', False, self.b.now + self.b.set.view.silence_ms // 4
            return
        if d['code'] in ('no_holder', 'unsure') and self.b.now < t.end:
            t.wait, t.maybe = False, t.maybe or d['code'] == 'unsure'
            if d['hint'] and d['hint'] != src and t.hops < 4:
                return self._go(t, d['hint'])
            # until a holder shows itself; asking on and on would only keep it from doing so
            t.to, t.next = '', self.b.now + int(self.b.set.view.silence_ms * (0.5 + self.b.rng.random() * 0.5))
            return
        code = d['code']
        # "not taken" is said only when no other hop can have taken it
        if t.maybe and t.op not in READS and code in REFUSALS:
            return self._end(t, 'unsure', {'retry_ms': 1000})
        self._end(t, code, d['body'])

    def _end(self, t, code, body):
        self.trips.pop(t.id, None)
        self.b.count[f'returned.{code}'] += 1
        t.then(code, body)

    def lost(self, peer):
        for t in list(self.trips.values()):
            if t.to == peer:
                t.to, t.next = '', self.b.now

    def tick(self):
        now = self.b.now
        for g in self.b.atlas.groups() + ['core']:
            hld = self.b.holders.get(g)
            if self._lit(g):
                self.dark.pop(g, None)
                if self.known.get(g) != hld:
                    self.known[g] = hld
                    # a new holder: what waited goes to it, not all in one moment
                    for t in self.trips.values():
                        # and what lies with the old one: it may never return
                        if t.grp == g and t.to != hld[0]:
                            t.next = min(t.next, now + int(self.b.rng.random() * self.b.set.view.silence_ms / 4))
            else:
                self.dark.setdefault(g, now)
        for t in list(self.trips.values()):
            if now >= t.end:
                # what was sent may have been taken: never "not taken" when unsure
                sure = t.op in READS or not (t.maybe or t.wait)
                self._end(t, 'no_holder' if sure else 'unsure', {'retry_ms': 1000})
            elif now >= t.next:
                t.hops = 0
                # the tenant may have a new cell by now
                t.grp = self._group(t.op, t.args) if t.cell else t.grp
                self._go(t)
