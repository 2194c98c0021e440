"""The blackboard of a process, and the node that lets its controllers read and write it.

Nothing here touches a socket, a disk, a clock or a random source: the daemon and the
simulator feed in messages and times and carry out the effects left in `out`.
"""

from collections import Counter

from asterwharf.base.alarms import Alarms

# what is told of a node from one to another
ROW = ('name', 'role', 'addr', 'zone', 'http', 'calls', 'inc')


class Board:
    """What the controllers of one process share."""

    __slots__ = (
        'adopt',
        'adopting',
        'alarms',
        'atlas',
        'cells',
        'chores',
        'config',
        'count',
        'emptied',
        'history',
        'holders',
        'inc',
        'leaving',
        'links',
        'load',
        'me',
        'node',
        'nodes',
        'now',
        'out',
        'proto',
        'rng',
        'role',
        'said',
        'set',
        'wall',
        'zone',
    )

    def __init__(self, st, role, inc, rng, now=0, wall=0):
        self.set, self.me, self.role, self.zone, self.inc, self.rng = st, st.name, role, st.zone, inc, rng
        self.now, self.wall, self.out, self.said = now, wall, [], []
        # nodes: name -> row of the roll; links: peers connected now -> their hello
        self.nodes, self.links, self.holders = {}, {}, {}
        self.config, self.emptied, self.leaving = None, frozenset(), False
        self.count = Counter()
        # long work in slices, one slice a tick; the sequence of a configuration that is being read
        self.chores, self.adopting, self.alarms = [], 0, Alarms()
        # the cell directory's copy, the cells that have a seat here, how to load what a group had synced
        self.atlas, self.cells, self.load, self.node, self.proto, self.adopt, self.history = (
            None,
            {},
            None,
            None,
            0,
            None,
            None,
        )

    @property
    def sequence(self):
        """The sequence of the configuration in force here."""
        return self.config.sequence if self.config else 0

    def without(self, mechanism):
        """Whether a trial has switched a mechanism off."""
        return mechanism in self.set.call.without

    def send(self, dst, knd, **doc):
        self.out.append(('send', dst, knd, doc))
        self.count[f'sent.{knd}'] += 1

    def do(self, *eff):
        self.out.append(eff)

    def log(self, lvl, evt, **kws):
        self.said.append((lvl, evt, kws))

    def alarm(self, nam, about='', lvl='warning', **kws):
        """Wants a person; told once until it is cleared."""
        if self.alarms.take(nam, about, self.wall, kws):
            self.count['alarms'] += 1
            self.log(lvl, 'alarm', alarm=nam, about=about, **kws)

    def violated(self, invariant, **fields):
        """Something that must always hold does not: counted under `violated.NAME`, logged as an error, a failure in tests."""
        self.count[f'violated.{invariant}'] += 1
        self.log('error', 'invariant violated', invariant=invariant, **fields)

    def clear(self, nam, about=None):
        for n, a in self.alarms.clear(nam, about):
            self.log('info', 'alarm cleared', alarm=n, about=a)

    def chore(self, steps, then):
        """Long work: a generator that yields what each slice took; `then` gets what it returns. Short work ends at once."""
        self.chores.append((steps, then))
        if len(self.chores) == 1:
            self.work()

    def work(self):
        """One slice of the first chore."""
        if not self.chores:
            return
        steps, then = self.chores[0]
        try:
            while not next(steps):
                pass
        except StopIteration as e:
            self.chores.pop(0)
            then(e.value)

    def hello(self):
        s = self.set
        return {
            'name': self.me,
            'role': self.role,
            'addr': s.bind,
            'zone': self.zone,
            'http': s.http,
            'calls': s.calls,
            'inc': self.inc,
            'proto': self.proto,
            'token': s.token,
        }

    def row(self):
        h = self.hello()
        return {k: h[k] for k in ROW}

    def of(self, role):
        return [n for n, r in self.nodes.items() if r['role'] == role]


class Controller:
    """One concern of a process; `hears` names the kinds of message it wants."""

    __slots__ = ('b',)
    hears = ()

    def __init__(self, b):
        self.b = b

    def heeds(self, src):
        """Whether messages of this peer are for this controller."""
        return True

    def tick(self):
        """Time has passed: `b.now`, `b.wall`."""

    def up(self, peer):
        """A peer is connected; its hello is in `b.links`."""

    def lost(self, peer):
        """A peer is not connected any more."""

    def flush(self):
        """The turn ends: what was gathered goes out."""


class Node:
    """One process without its world."""

    __slots__ = ('b', 'by', 'ctl', 'last')

    def __init__(self, b, ctl):
        self.b, self.ctl, self.by, self.last, b.node = b, [], {}, b.now, self
        for c in ctl:
            self.add(c)

    def add(self, c):
        self.ctl = self.ctl + [c]
        for k in c.hears:
            self.by[k] = self.by.get(k, ()) + (c,)

    def remove(self, c):
        self.ctl = [x for x in self.ctl if x is not c]
        for k in c.hears:
            self.by[k] = tuple(x for x in self.by[k] if x is not c)

    def at(self, now, wall):
        """The node learns the time, before anything that comes from outside is taken in."""
        b = self.b
        b.now, b.wall = now, wall
        # after a freeze, time is looked at before any message that waited in a buffer
        if now - self.last > 200:
            self.tick(now, wall)

    def hear(self, src, knd, doc, now, wall):
        self.at(now, wall)
        for c in self.by.get(knd, ()):
            if c.heeds(src):
                getattr(c, 'on_' + knd)(src, doc)

    def tick(self, now, wall):
        b = self.b
        b.now, b.wall, self.last = now, wall, now
        for c in self.ctl:
            c.tick()
        b.work()

    def up(self, peer, hello, now, wall):
        self.at(now, wall)
        self.b.links[peer] = hello
        for c in self.ctl:
            c.up(peer)

    def lost(self, peer, now, wall):
        self.at(now, wall)
        if self.b.links.pop(peer, None) is None:
            return
        for c in self.ctl:
            c.lost(peer)

    def flush(self):
        """Ends a turn; returns the effects and the log lines it left."""
        for c in self.ctl:
            c.flush()
        out, self.b.out = self.b.out, []
        said, self.b.said = self.b.said, []
        return out, said

    def find(self, cls):
        return next((c for c in self.ctl if isinstance(c, cls)), None)
