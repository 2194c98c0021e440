"""The scheduler node's end of the minion links: deadlines, one newest link a minion, ferrying. Pure."""

from collections import deque

from asterwharf.base.board import Controller

AUTHENTICATING, REGISTERING, REGISTERED, CLOSED = 'authenticating', 'registering', 'registered', 'closed'
STEPS = {AUTHENTICATING: {REGISTERING, CLOSED}, REGISTERING: {REGISTERED, CLOSED}, REGISTERED: {CLOSED}, CLOSED: set()}


class Tether:
    """One agent's connection as this node sees it."""

    __slots__ = ('at', 'link', 'lines', 'peer', 'reg', 'rounds', 'sent', 'state')

    def __init__(self, peer, state, now):
        self.peer, self.state, self.at, self.link, self.reg, self.sent = peer, state, now, 0, None, -1 << 40
        self.lines, self.rounds = deque(maxlen=200), {}

    def turn(self, new, now):
        if new not in STEPS[self.state]:
            raise AssertionError(f'tether {self.peer}: {self.state} -> {new}')
        self.state, self.at = new, now


class Hub(Controller):
    """Accepts agents, mirrors their states, and carries their words to the holder and back."""

    __slots__ = ('lines', 'seen', 'teths')
    hears = (
        'auth',
        'register',
        'beat',
        'stamped',
        'status',
        'drain',
        'down',
        'tell',
        'ack',
        'beaten',
        'order',
        'probe',
        'statused',
        'detach',
    )

    def __init__(self, b):
        super().__init__(b)
        self.teths, self.seen, self.lines = {}, None, {}

    def group(self, nam):
        """The cell that owns this minion now."""
        t, b = self.teths.get(nam), self.b
        zone = t.reg['zone'] if t and t.reg else b.links.get(nam, {}).get('zone', '')
        return b.atlas.minion(nam, zone, b.config)

    def holder(self, nam):
        n = self.b.holders.get(self.group(nam), ('', 0))[0]
        # a cell may have its holder on this very node
        return n if n in self.b.links or n == self.b.me else ''

    def up(self, peer):
        b = self.b
        h = b.links[peer]
        if h['role'] != 'tend':
            return self._attach(peer)
        if h['role'] == 'tend':
            self.teths[peer] = Tether(peer, AUTHENTICATING if b.set.token else REGISTERING, b.now)

    def lost(self, peer):
        t = self.teths.pop(peer, None)
        if t is None:
            return
        if t.state == REGISTERED:
            self._down(t, 'connection closed')
        t.turn(CLOSED, self.b.now)

    def _down(self, t, why):
        hld = self.holder(t.peer)
        if hld:
            self.b.send(hld, 'down', minion=t.peer, link=t.link, why=why, purpose=False)

    def _close(self, t, why):
        b = self.b
        b.log('warning', 'tether closed', minion=t.peer, was=t.state, why=why)
        b.count['tethers.closed'] += 1
        b.do('hang', t.peer)

    # --- from the agent
    def on_auth(self, src, d):
        t = self.teths.get(src)
        if t is None or t.state != AUTHENTICATING:
            return
        ok = d['token'] == self.b.set.token
        self.b.send(src, 'authed', ok=ok)
        if not ok:
            return self._close(t, 'bad token')
        t.turn(REGISTERING, self.b.now)

    def on_register(self, src, d):
        t = self.teths.get(src)
        # a name speaks for itself only
        if t is None or t.state != REGISTERING or d['minion'] != src:
            return
        t.reg, t.sent = d, -1 << 40
        self._pass_reg(t)

    def _pass_reg(self, t):
        hld = self.holder(t.peer)
        if hld and self.b.now - t.sent > self.b.set.view.silence_ms // 2:
            t.sent = self.b.now
            self.b.send(hld, 'register', **t.reg)

    def _up(self, src, knd, d):
        t = self.teths.get(src)
        if t is None or t.state != REGISTERED or d['minion'] != src or d['link'] != t.link:
            return
        hld = self.holder(src)
        if hld:
            self.b.send(hld, knd, **d)

    def on_beat(self, src, d):
        self._up(src, 'beat', d)

    def on_stamped(self, src, d):
        self._up(src, 'stamped', d)

    def on_status(self, src, d):
        t = self.teths.get(src)
        for i in d['items'] if t else ():
            # this node's own record of what runs behind its links, for its status page
            if i['what'] == 'started':
                t.rounds[i['task']] = i['round']
            else:
                t.rounds.pop(i['task'], None)
        self._up(src, 'status', d)

    def on_drain(self, src, d):
        self._up(src, 'drain', d)

    def on_down(self, src, d):
        self._up(src, 'down', d)

    def on_tell(self, src, d):
        t = self.teths.get(src)
        if t is None:
            return
        for r in d['lines']:
            t.lines.append(r)
            if r['what'] == 'gap':
                self.b.log('info', 'gap', minion=src, text=r['text'])
        self.lines[src] = t.lines

    # --- from the holder
    def on_ack(self, src, d):
        t = self.teths.get(d['minion'])
        if t is None or t.state != REGISTERING or t.reg is None or d['nonce'] != t.reg['nonce']:
            return
        t.turn(REGISTERED, self.b.now)
        t.link, t.reg = d['link'], None
        self.b.send(t.peer, 'ack', **d)

    def _dn(self, knd, d):
        t = self.teths.get(d['minion'])
        if t is not None and t.state == REGISTERED and d['link'] == t.link:
            self.b.send(t.peer, knd, **d)
        return t

    def on_beaten(self, src, d):
        self._dn('beaten', d)

    def on_order(self, src, d):
        self._dn('order', d)

    def on_probe(self, src, d):
        self._dn('probe', d)

    def on_statused(self, src, d):
        self._dn('statused', d)

    def on_detach(self, src, d):
        t = self._dn('detach', d)
        if t is not None and t.state == REGISTERED and d['link'] == t.link:
            self._close(t, d['why'])

    # --- time
    def _attach(self, peer):
        """Tells a holder which links of its minions are here."""
        b = self.b
        if any(n == peer for n, _ in b.holders.values()):
            lst = [
                {'minion': t.peer, 'link': t.link}
                for t in self.teths.values()
                if t.state == REGISTERED and self.holder(t.peer) == peer
            ]
            b.send(peer, 'attach', edge=b.me, links=lst)

    def tick(self):
        b, l = self.b, self.b.set.link
        now = dict(b.holders)
        # a new holder learns at once which links are here
        if now != self.seen:
            old, self.seen = self.seen or {}, now
            for n in sorted({v[0] for g, v in now.items() if old.get(g) != v and g != 'core'}):
                self._attach(n)
        for t in list(self.teths.values()):
            if t.state == AUTHENTICATING and b.now - t.at > l.auth_ms:
                self._close(t, 'no auth in time')
            elif t.state == REGISTERING and t.reg is None and b.now - t.at > l.register_ms:
                self._close(t, 'no registration in time')
            elif t.state == REGISTERING and t.reg is not None:
                self._pass_reg(t)
