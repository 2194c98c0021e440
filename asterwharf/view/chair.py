"""The controller round a seat: its messages, its batches, and who waits for a delivery. Pure."""

from asterwharf.base.board import Controller
from asterwharf.view.seat import HOLDER, Seat
from asterwharf.wire.schema import pack, speaks


class Chair(Controller):
    """Sits for this process in one group; other controllers order and read through it."""

    __slots__ = ('among', 'grp', 'mac', 'nxt', 'protos', 'seat', 'then')
    hears = ('sound', 'sounded', 'canvass', 'backed', 'extend', 'extended', 'snap', 'snapped', 'succeed', 'learn')

    def __init__(self, b, grp, mac, saved, among=()):
        super().__init__(b)
        # where the seats are; without a list, on the core nodes
        self.among, self.protos = frozenset(among), {b.me: b.proto}
        self.grp, self.mac, self.then, self.nxt = grp, mac, {}, 0
        mac.reads = mac.floor = b.proto
        self.seat = Seat(grp, b.me, b.inc, b.set.view, b.rng, mac, saved, b.now)

    def __getattr__(self, nam):
        # every view message goes to the seat, if it is of our group
        if not nam.startswith('on_'):
            raise AttributeError(nam)
        knd = nam[3:]

        def on(src, doc):
            if doc['grp'] == self.grp:
                self.seat.hear(src, knd, doc, self.b.now)

        return on

    @property
    def holds(self):
        """Whether this seat holds, and knows all that was delivered before."""
        t = self.seat.ten
        return t is not None and t.ready

    @property
    def takes(self):
        return self.holds and self.seat.ten.taking

    @property
    def wall(self):
        return self.seat.ten.median_wall() if self.seat.ten else self.b.wall

    @property
    def floor(self):
        """The oldest protocol among the seats, as far as each was ever heard.

        A seat that was lost for good is never heard again after a restart; what the log shows it could read, it could.
        """
        return max(self.seat.proved, min(self.protos.get(s, 1) for s in self.seat.log.seats or [self.b.me]))

    def order(self, knd, doc, then=None):
        """Orders a change; `then` gets (op, result), or None when its fate is not known."""
        self.nxt += 1
        # a change must be readable by every seat, also in the middle of a roll-out
        seq = speaks(knd, self.floor)
        if not seq or not self.seat.propose(pack(knd, doc, seq), self.nxt):
            return False
        self.then[self.nxt] = then
        return True

    def sure(self, then, soon=True):
        """Calls `then(True)` once a majority has confirmed this holder, `then(None)` if it lost the view.

        What can wait for the next beat asks for none of its own.
        """
        self.nxt += 1
        if not self.seat.confirm(self.nxt, soon):
            return False
        self.then[self.nxt] = then
        return True

    def found(self, seats):
        self.seat.found(seats)

    def synced(self, num, took):
        self.seat.synced(num, took, self.b.now)

    def tick(self):
        lnk = self.b.links
        self.seat.peers = {p for p, h in lnk.items() if (p in self.among if self.among else h['role'] == 'trellis')}
        self.protos.update((p, h['proto']) for p, h in lnk.items())
        self.seat.zones.update((p, h['zone']) for p, h in lnk.items())
        self.seat.zones[self.b.me] = self.b.zone
        # rows go to siblings as they are: they, too, must be readable by all
        self.mac.floor = self.floor
        self.seat.tick(self.b.now, self.b.wall)

    def flush(self):
        s = self.seat
        while True:
            bat, out, dne = s.take()
            for dst, knd, doc in out:
                self.b.send(dst, knd, **doc)
            if bat is not None:
                self.b.do('write', self.grp, bat)
            for tok, res in dne:
                fn = self.then.pop(tok, None)
                if fn:
                    fn(res)
            if not dne:
                break
        for old, new, view, why in s.news:
            self.b.log('info', 'view', group=self.grp, was=old, now=new, view=view, why=why)
            if new == HOLDER or old == HOLDER:
                self.b.holders.pop(self.grp, None)
        s.news = []
        if s.state == HOLDER:
            self.b.holders[self.grp] = (self.b.me, s.view)
        elif s.holder:
            self.b.holders[self.grp] = (s.holder, s.view)


def chairs(node):
    return {c.grp: c for c in node.ctl if isinstance(c, Chair)}


def leave(node):
    """Hands over every duty; True when nothing is held here any more."""
    left = [c for c in chairs(node).values() if c.seat.ten is not None and len(c.seat.log.seats) > 1]
    for c in left:
        if not c.seat.ten.heir:
            c.seat.hand_over()
    return not left
