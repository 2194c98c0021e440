"""Requests from outside the system: from minions, clients and operators to a node, over the simulated network.

A request held up by a cut may still arrive late; so may an answer; a frozen process reads what waited when it wakes.
"""

# what comes of a request besides an answer: nothing in time, a connection that broke, a port that nobody listens on
SILENT, BROKEN, CLOSED = 'silent', 'broken', 'closed'
# how often a cut is looked at for having healed, and how long a connection bears one
LOOK, BEAR = 200, 3000


class Call:
    """One request: `then(code, body)` is called exactly once."""

    __slots__ = ('act', 'dst', 'given', 'life', 'net', 'over', 'reset', 'src', 'then')

    def __init__(self, net, src, dst, act, then):
        self.net, self.src, self.dst, self.act, self.then = net, src, dst, act, then
        self.over, self.given, self.life, self.reset = False, False, 0, net.w.rng.random() < 0.5

    def end(self, code, body=None):
        if self.over:
            return
        self.over = True
        self.net.open.get(self.dst, {}).pop(self, None)
        if code in (SILENT, BROKEN, CLOSED):
            self.net.pipes.discard((self.src, self.dst))
        else:
            self.net.pipes.add((self.src, self.dst))
        self.then(code, body)

    def give(self, code, body=None):
        """What the node calls; a second answer is a fault of the node."""
        net = self.net
        if self.given:
            net.twice.append((net.w.t, self.dst, code))
            return
        self.given = True
        net.cross(self.dst, self.src, lambda: self.end(code, body), lambda: self.over)


class Net:
    """Opens requests, knows who is dark, who is closing, and which connections are kept open."""

    __slots__ = ('dark', 'deaf', 'no_in', 'no_out', 'open', 'pipes', 'twice', 'w')

    def __init__(self, w):
        self.w, self.open, self.pipes, self.twice = w, {}, set(), []
        # machines without power say nothing; processes about to leave take no new connection
        self.dark, self.deaf = set(), set()
        # machines that nothing gets out of, and nothing gets to
        self.no_out, self.no_in = set(), set()
        w.ended.append(self._died)

    def lag(self):
        return self.w.rng.randint(*self.w.lag)

    def apart(self, src, dst):
        return (src, dst) in self.w.cuts or src in self.no_out or dst in self.no_in

    def call(self, src, dst, act, then, wait):
        """`act(node, give)` runs on the node `dst`; without an answer in `wait` ms `then` gets SILENT."""
        c = Call(self, src, dst, act, then)
        w, h = self.w, self.w.hosts.get(dst)
        self.open.setdefault(dst, {})[c] = None
        w.after(wait, c.end, SILENT)
        kept = (src, dst) in self.pipes
        if h is None or dst in self.dark:
            return c
        if not kept and (self.apart(src, dst) or self.apart(dst, src)):
            # no connection comes about
            return c
        if not h.alive or (dst in self.deaf and not kept):
            w.after(self.lag(), c.end, CLOSED)
            return c
        self.cross(src, dst, lambda: self._arrive(c), lambda: c.over and c.reset)
        return c

    def cross(self, src, dst, then, dead, beg=None):
        """Brings bytes across, at once or when a cut has healed, unless the connection is dead by then."""
        w = self.w
        beg = w.t if beg is None else beg
        if not self.apart(src, dst):
            w.after(self.lag(), then)
        elif w.t - beg < BEAR:
            w.after(LOOK, lambda: dead() or self.cross(src, dst, then, dead, beg))

    def _arrive(self, c):
        w, h = self.w, self.w.hosts[c.dst]
        if not h.alive:
            return
        c.life = h.life
        w.ask(h, lambda: h.life == c.life and c.act(h.node, c.give))

    def _died(self, name):
        dark = name in self.dark
        for c in list(self.open.get(name, ())):
            self.pipes.discard((c.src, name))
            if not dark:
                self.w.after(self.lag(), c.end, BROKEN)
        self.pipes = {p for p in self.pipes if p[1] != name}


def find(node, cls):
    """A controller by the name of its class: the stand-ins import nothing of what they test."""
    for c in node.ctl:
        if type(c).__name__ == cls:
            return c
    return None
