"""Passes requests from the node that took them to the leader that can answer, and answers back. Pure."""

from asterwharf.base.board import Controller
from asterwharf.scheduler.operations import Repeat, operation
from asterwharf.scheduler.peer_clocks import PeerClocks

# refusals that another leader might not have given
REFUSALS = frozenset(
    ('tenant_full', 'overload', 'unknown_tenant', 'beyond_limits', 'bad_size', 'bad_field', 'stale', 'bad_config')
)
# the first protocol that tells clocks and refuses what comes after its deadline
CLOCKED = 5
# of the bound on silence: how long what may not be repeated is worth carrying out after it was sent (a leader that looks
# at what has come any later holds no lease), and how long it waits before it is sent for word that its caller has gone
WINDOW, SETTLE = 0.8, 0.03
# nodes that a request is passed on to by their hints before the router waits for a leader to show itself
HINTS = 4


class PendingRequest:
    """One request under way; each attempt to have it answered has an identifier of its own."""

    __slots__ = (
        'args',
        'caller',
        'cell',
        'end',
        'group',
        'hops',
        'id',
        'next',
        'op',
        'open',
        'operation',
        'then',
        'unsure',
    )

    def __init__(self, identifier, group, op, args, end, then, caller):
        self.id, self.group, self.op, self.args, self.end, self.then = identifier, group, op, args, end, then
        # whether its caller still waits for the answer
        self.caller = caller or (lambda: True)
        self.operation, self.cell, self.hops, self.next = operation(op), False, 0, 0
        # attempts without an answer: identifier -> node; whether one was answered "may have been taken"
        self.open, self.unsure = {}, False

    @property
    def maybe(self):
        """Whether it may have been taken by a node whose answer is not known."""
        return self.operation.repeat is not Repeat.READ and (self.unsure or bool(self.open))

    @property
    def again(self):
        """Whether another attempt may be made."""
        return self.operation.repeat is not Repeat.ONCE or not self.maybe


class RequestRouter(Controller):
    """Sends, sends again where that is safe, and gives up in time: the last word is said at once."""

    __slots__ = ('attempts', 'clocks', 'unreachable', 'leaders', 'life', 'number', 'pending', 'turn')
    hears = ('response', 'roll')

    def __init__(self, b):
        super().__init__(b)
        self.pending, self.attempts, self.number, self.turn, self.unreachable, self.leaders = {}, {}, 0, 0, {}, {}
        self.clocks = PeerClocks()
        # an incarnation lasts as long as its disk: answers to an earlier life of this process must not be taken for ours
        self.life = f'{b.me}.{b.inc}.{b.wall:x}.{b.now:x}'

    # --- which group answers
    def _group(self, op, args):
        at = self.b.atlas
        if 'tenant' in args:
            return at.tenant(args['tenant'])
        return at.own.get(f'minion:{args.get("minion")}', 'commons')

    def _leader_in_reach(self, group):
        n = self.b.holders.get(group, ('', 0))[0]
        return n == self.b.me or n in self.b.links

    def _members(self, group):
        among = self.b.atlas.seats(group)
        return sorted(
            n
            for n, h in self.b.links.items()
            if (n in among if among else h['role'] == 'trellis') and self._reachable(n)
        )

    def _reachable(self, n):
        """Whether a request can be sent to the node: it is connected, and has told its clock if its release does."""
        h = self.b.links.get(n)
        return n == self.b.me or (h is not None and (min(h['proto'], self.b.proto) < CLOCKED or self.clocks.knows(n)))

    def start(self, op, group, args, then, ttl=0, caller=None):
        """`then(code, body)` is called once, at the latest when the request's time (`ttl` ms) is up.

        `caller()` tells whether the caller still waits; for one that does not, nothing is sent (again).
        """
        b = self.b
        # a full buffer is refused at once, not when its time is up
        if len(self.pending) >= b.set.request_limit:
            b.count['refused.overload'] += 1
            return then('overload', {'retry_ms': 1000})
        if group == 'all':
            return self._ask_all(op, args, then)
        if group == 'both':
            return self._ask_core_and_commons(op, args, then)
        was = 'cell' if group == 'cell' else ''
        group = self._group(op, args) if was else group
        # where no leader has been in reach for long, that is said at once and not when the request's time is up
        if self.unreachable.get(group, b.now) < b.now - b.set.view.silence_ms * 2 and not self._leader_in_reach(group):
            return then(
                'no_holder',
                {'retry_ms': 1000 + int(b.rng.random() * 3000), 'details': [f'the cell {group} is out of reach']},
            )
        self.number += 1
        t = PendingRequest(
            f'{self.life}.{self.number}', group, op, args, b.now + (ttl or b.set.request_ms), then, caller
        )
        t.cell = bool(was)
        self.pending[t.id] = t
        if caller and t.operation.repeat is Repeat.ONCE:
            # what lay in a cut connection comes just before the word that its caller has gone
            t.next = b.now + b.set.view.silence_ms * SETTLE
            return None
        return self._attempt(t)

    def _ask_all(self, op, args, then):
        """Asks every cell and lays their answers together; a cell out of reach is named."""
        groups, got, bad = self.b.atlas.groups(), [], []

        def one(group, code, body):
            (got if code == 'ok' else bad).append((group, code, body))
            if len(got) + len(bad) < len(groups):
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

        for g in groups:
            self.start(op, g, args, lambda c, b, g=g: one(g, c, b))

    def _ask_core_and_commons(self, op, args, then):
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

    # --- attempts
    def _choose(self, t, hint=''):
        for n in (hint, self.b.holders.get(t.group, ('', 0))[0]):
            if n and self._reachable(n):
                return n
        core = self._members(t.group)
        self.turn += 1
        return core[self.turn % len(core)] if core else ''

    def _attempt(self, t, hint=''):
        """Makes another attempt, if one may be made and somebody is in reach."""
        b = self.b
        if not t.again or not t.caller():
            return self._give_up(t)
        to, t.next = self._choose(t, hint), b.now + b.set.view.silence_ms // 4
        if not to:
            return
        t.hops += 1
        self.number += 1
        attempt = f'{t.id}/{self.number}'
        t.open[attempt], self.attempts[attempt] = to, t
        b.send(
            to,
            'request',
            id=attempt,
            grp=t.group,
            op=t.op,
            args=t.args,
            ttl=max(1, t.end - b.now),
            hops=t.hops,
            deadline=self._deadline(t, to),
        )
        t.next = b.now + b.set.view.silence_ms * 2

    def _deadline(self, t, to):
        """By the receiver's clock: when it must not be carried out any more; 0 for never."""
        b = self.b
        if not t.operation.expires:
            return 0
        end = t.end
        if t.operation.repeat is Repeat.ONCE:
            end = min(end, b.now + int(b.set.view.silence_ms * WINDOW))
        if to == b.me:
            return end
        return self.clocks.translate(to, end) if self.clocks.knows(to) else 0

    def on_response(self, src, d):
        t = self.attempts.get(d['id'])
        # an answer counts once, and only from the node that was asked
        if t is None or t.open.get(d['id']) != src:
            return
        del t.open[d['id']], self.attempts[d['id']]
        code, now, silence = d['code'], self.b.now, self.b.set.view.silence_ms
        if code == 'late':
            # not taken: it came after its deadline, or our reading of that clock was an old one
            self.clocks.note(src, d['body']['clock'], now)
        elif code == 'unsure':
            t.unsure = True
        elif code not in ('moving', 'no_holder'):
            return self._settle(t, code, d['body'])
        if now >= t.end or not t.again:
            return self._give_up(t)
        if t.open:
            # a later attempt is under way
            return
        if code == 'late':
            return self._attempt(t, src)
        if code == 'moving':
            t.next = now + silence // 4
        elif d['hint'] and d['hint'] != src and t.hops < HINTS:
            self._attempt(t, d['hint'])
        else:
            # until a leader shows itself; asking on and on would only keep it from doing so
            t.next = now + int(silence * (0.5 + self.b.rng.random() * 0.5))

    def _settle(self, t, code, body):
        """An answer has come that is the last word."""
        # "not taken" is said only when no other attempt can have been taken
        if t.maybe and code in REFUSALS:
            return self._end(t, 'unsure', {'retry_ms': 1000})
        self._end(t, code, body)

    def _give_up(self, t):
        # what was sent may have been taken: never "not taken" when unsure
        self._end(t, 'unsure' if t.maybe else 'no_holder', {'retry_ms': 1000})

    def _end(self, t, code, body):
        if self.pending.pop(t.id, None) is None:
            return
        for attempt in t.open:
            del self.attempts[attempt]
        self.b.count[f'response.{code}'] += 1
        t.then(code, body)

    # --- connections, clocks and time
    def on_roll(self, src, d):
        if d.get('clock'):
            self.clocks.note(src, d['clock'], self.b.now)

    def lost(self, peer):
        self.clocks.forget(peer)
        for t in list(self.pending.values()):
            if peer in t.open.values():
                t.next = self.b.now

    def tick(self):
        now = self.b.now
        for g in self.b.atlas.groups() + ['core']:
            leader = self.b.holders.get(g)
            if self._leader_in_reach(g):
                self.unreachable.pop(g, None)
                if self.leaders.get(g) != leader:
                    self.leaders[g] = leader
                    # a new leader: what waited goes to it, not all in one moment
                    for t in self.pending.values():
                        # and what lies with the old one: it may never return
                        if t.group == g and leader[0] not in t.open.values():
                            t.next = min(t.next, now + int(self.b.rng.random() * self.b.set.view.silence_ms / 4))
            else:
                self.unreachable.setdefault(g, now)
        for t in list(self.pending.values()):
            if now >= t.end:
                self._give_up(t)
            elif now >= t.next:
                t.hops = 0
                # the tenant may have a new cell by now
                t.group = self._group(t.op, t.args) if t.cell else t.group
                self._attempt(t)
