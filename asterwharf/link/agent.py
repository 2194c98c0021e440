"""The agent's end of the minion link: its states, its rings, its backoff. Pure.

Source design: PAPER "Reconnection and event buffering"; docs/link.md says what was kept.
"""

import json

from asterwharf.base.board import Controller
from asterwharf.link.backoff import Ring, delay

# doors that one round of dialling tries, one after another, before it rests
DOORS = 3

DISCONNECTED, CONNECTING, AUTHENTICATING, REGISTERING, REGISTERED = (
    'disconnected',
    'connecting',
    'authenticating',
    'registering',
    'registered',
)
STEPS = {
    DISCONNECTED: {CONNECTING},
    CONNECTING: {DISCONNECTED, AUTHENTICATING, REGISTERING},
    AUTHENTICATING: {DISCONNECTED, REGISTERING},
    REGISTERING: {DISCONNECTED, REGISTERED},
    REGISTERED: {DISCONNECTED},
}


class Agent(Controller):
    """Dials out, registers, beats, flushes; the keeper beside it owns the tasks."""

    __slots__ = (
        'addr',
        'att',
        'beats',
        'bye',
        'due',
        'edge',
        'emptied',
        'events',
        'keeper',
        'last',
        'lines',
        'link',
        'n',
        'nonce',
        'okd',
        'outage',
        'regs',
        'sequence',
        'since',
        'state',
        'terms',
        'tried',
        'turns',
    )
    hears = ('roll', 'authed', 'ack', 'beaten', 'probe', 'detach')

    def __init__(self, b):
        super().__init__(b)
        l = b.set.link
        self.state, self.since, self.due, self.att, self.addr, self.edge = DISCONNECTED, b.now, b.now, 0, '', ''
        self.events, self.lines, self.outage = Ring(l.events), Ring(l.logs), b.now
        self.link, self.n, self.nonce, self.beats, self.regs = 0, 0, 0, {}, {}
        # doors that failed since the last registration -> when
        self.tried, self.turns = {}, 0
        self.okd, self.last, self.bye, self.sequence, self.emptied = b.now, b.now, False, 0, False
        self.terms = {'beat_ms': l.beat_ms, 'tenure_ms': int(l.grace_ms * l.lease_ratio), 'fresh_ms': l.fresh_ms}
        self.keeper = None

    def turn(self, new, why):
        """The one function for every change of the link's state."""
        if new not in STEPS[self.state]:
            raise AssertionError(f'link: {self.state} -> {new}')
        b, old = self.b, self.state
        self.state, self.since = new, b.now
        b.log('info', 'link', was=old, now=new, why=why, edge=self.edge)
        if old == REGISTERED:
            self.outage = b.now
        if new == DISCONNECTED:
            self.edge, self.tried[self.addr] = '', b.now
            self._rest(old)
        self.event('link', f'{old} -> {new}: {why}')

    # --- dialling
    def _rest(self, old):
        b = self.b
        self.turns += 1
        # a door that nobody opened: the next one at once, for there are others; then the round is over
        if old == CONNECTING and self.turns < DOORS and any(r['addr'] not in self.tried for r in b.nodes.values()):
            self.due = b.now
            return
        self.due, self.turns = b.now + int(delay(self.att, b.set.link, b.rng)), 0
        self.att += 1

    def _targets(self):
        b = self.b
        rows = [r for r in b.nodes.values() if r['role'] == 'furrow']
        # every other round the own zone only: a cut-off cell's agents must not try all the world first
        near = [r['addr'] for r in rows if r['zone'] == b.zone and r['addr'] not in self.tried] if self.att % 2 else []
        doors = near or [r['addr'] for r in rows]
        # every door once before any a second time, then the one that failed longest ago: several may be frozen at once
        old = min((self.tried.get(a, -1) for a in doors), default=0)
        return [a for a in doors if self.tried.get(a, -1) == old] or list(b.set.seeds)

    def tick(self):
        b, l = self.b, self.b.set.link
        age = b.now - self.since
        if self.state == DISCONNECTED:
            if b.now >= self.due and not self.bye:
                lst = self._targets()
                # now and then a seed: the doors we know may all be gone
                if self.att % 4 == 3:
                    lst = list(b.set.seeds)
                self.addr = b.rng.choice(lst)
                self.turn(CONNECTING, self.addr)
                b.do('dial', self.addr)
        elif self.state in (CONNECTING, AUTHENTICATING) and age > l.auth_ms:
            self.drop('no answer in time')
        elif self.state == REGISTERING and age > l.register_ms:
            self.drop('no registration ack in time')
        elif self.state == REGISTERED:
            self._beat()

    def drop(self, why):
        for p in list(self.b.links):
            self.b.do('hang', p)
        if self.state != DISCONNECTED:
            self.turn(DISCONNECTED, why)

    def up(self, peer):
        b = self.b
        h = b.links[peer]
        if self.state != CONNECTING:
            return b.do('hang', peer)
        if h['role'] != 'furrow':
            # a seed: it will tell the roll, then we go on to a door
            return
        self.edge = peer
        if b.set.token:
            self.turn(AUTHENTICATING, 'connected')
            return b.send(peer, 'auth', token=b.set.token)
        self._register()

    def lost(self, peer):
        if peer == self.edge:
            return self.turn(DISCONNECTED, 'connection closed')
        if self.state == CONNECTING and not self.edge:
            self.turn(DISCONNECTED, 'seed closed')

    def unreached(self, addr):
        """The world says that a dial came to nothing."""
        if self.state == CONNECTING and addr == self.addr:
            self.turn(DISCONNECTED, 'unreachable')

    def on_roll(self, src, d):
        b = self.b
        rows = {r['name']: r for r in d['node'] if r['role'] == 'furrow'}
        if rows:
            b.nodes = rows
        if self.state == CONNECTING and b.links.get(src, {}).get('role') == 'trellis':
            self.drop('asked a seed')
            # a seed that answered is no failure
            self.att, self.due = 0, b.now + int(b.rng.random() * b.set.link.base_ms * 0.2) if rows else self.due

    def on_authed(self, src, d):
        if src != self.edge or self.state != AUTHENTICATING:
            return
        if not d['ok']:
            return self.drop('token refused')
        self._register()

    # --- registration
    def _register(self):
        b, k = self.b, self.keeper
        self.turn(REGISTERING, 'registering')
        self.nonce += 1
        self.regs = {self.nonce: b.now}
        b.send(
            self.edge,
            'register',
            minion=b.me,
            inc=b.inc,
            zone=b.zone,
            inflight=k.inflight(),
            drain=k.drain,
            edge=self.edge,
            nonce=self.nonce,
            stamp=b.now,
            sequence=self.sequence,
            labels=dict(b.set.labels),
            **k.room(),
        )

    def on_ack(self, src, d):
        if src != self.edge or self.state != REGISTERING or d['nonce'] not in self.regs:
            return
        if not d['ok']:
            return self.drop(d['why'])
        b = self.b
        # the registration is an answered heartbeat: it was delivered after we sent it
        self.okd = self.regs[d['nonce']]
        self.link, self.terms, self.att, self.beats, self.last = d['link'], d['settings'], 0, {}, b.now
        self._news(d)
        self.tried = {}
        self.turn(REGISTERED, f'link round {d["link"]}')
        self.keeper.reconcile(d['record'])
        self._flush()

    def _news(self, d):
        # what an emptied zone means here never goes back to an older sequence
        if d['sequence'] >= self.sequence:
            self.sequence, self.emptied = d['sequence'], d['emptied']

    def _flush(self):
        """Behind a gap marker, original timestamps kept."""
        b = self.b
        gap = {
            'outage_ms': b.now - self.outage,
            'events': len(self.events),
            'logs': len(self.lines),
            'events_dropped': self.events.dropped,
            'logs_dropped': self.lines.dropped,
        }
        rows = [{'what': 'gap', 'at': b.wall, 'text': json.dumps(gap)}] + self.events.drain() + self.lines.drain()
        for i in range(0, len(rows), 500):
            b.send(self.edge, 'tell', minion=b.me, link=self.link, lines=rows[i : i + 500])

    # --- events and log lines go through the rings; status messages never do
    def event(self, what, text):
        self._row(self.events, what, text)

    def line(self, text):
        self._row(self.lines, 'log', text)

    def _row(self, ring, what, text):
        row = {'what': what, 'at': self.b.wall, 'text': text}
        if self.state == REGISTERED:
            return self.b.send(self.edge, 'tell', minion=self.b.me, link=self.link, lines=[row])
        ring.add(row)

    # --- heartbeats
    def _beat(self):
        b = self.b
        if b.now - self.last >= self.terms['beat_ms'] or not self.beats and self.n == 0:
            self.n += 1
            self.last, self.beats[self.n] = b.now, b.now
            b.send(self.edge, 'beat', minion=b.me, link=self.link, n=self.n, stamp=b.now)
        # a link whose beats nobody answers is left while there is still time to find another
        if b.now - self.okd > self.terms['tenure_ms'] * 0.7 and self.beats:
            self.drop('heartbeats unanswered')

    def on_beaten(self, src, d):
        if src != self.edge or d['link'] != self.link or d['n'] not in self.beats:
            return
        # counted from when it was sent: only then is it sure that the holder heard it later
        self.okd = max(self.okd, self.beats[d['n']])
        self.beats = {n: t for n, t in self.beats.items() if n > d['n']}
        self._news(d)
        self.keeper.told_drain(d['drain'])

    def on_probe(self, src, d):
        if src == self.edge and d['link'] == self.link and self.state == REGISTERED:
            self.b.send(src, 'stamped', minion=self.b.me, link=self.link, stamp=self.b.now)

    def on_detach(self, src, d):
        if src == self.edge and self.state == REGISTERED and d['link'] == self.link:
            self.drop(d['why'])

    def close(self, why):
        """On purpose: no reconnect follows."""
        self.bye = True
        if self.state == REGISTERED:
            self.b.send(self.edge, 'down', minion=self.b.me, link=self.link, why=why, purpose=True)
        if self.state != DISCONNECTED:
            self.drop(why)

    def reopen(self):
        self.bye, self.due = False, self.b.now

    @property
    def fenced(self):
        """Nobody has answered a heartbeat for the tenure: others may soon start our work."""
        return self.b.now - self.okd > self.terms['tenure_ms']
