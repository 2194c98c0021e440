"""What the simulated world is made of: machines with their disks, and the connections between them."""


class Disk:
    """What is on one machine's disk; survives a crash, not a wipe."""

    __slots__ = ('founding', 'inc', 'rows')

    def __init__(self, inc):
        self.inc, self.rows, self.founding = inc, {}, None

    def load(self, grp):
        g = self.rows.get(grp)
        if g is None:
            return {'meta': None, 'log': [], 'rows': {}}
        return {'meta': g['meta'], 'log': sorted(g['log'].items()), 'rows': dict(g['rows'])}

    def write(self, grp, b):
        g = self.rows.setdefault(grp, {'meta': None, 'log': {}, 'rows': {}})
        if b.wipe:
            g['log'], g['rows'] = {}, {}
        if b.trim is not None:
            g['log'] = {o: r for o, r in g['log'].items() if o < b.trim}
        if b.drop is not None:
            g['log'] = {o: r for o, r in g['log'].items() if o > b.drop}
        g['log'].update(b.log)
        for k, v in b.rows.items():
            if v is None:
                g['rows'].pop(k, None)
            else:
                g['rows'][k] = v
        if b.meta is not None:
            g['meta'] = b.meta


class Host:
    """One simulated process: its node object, its clocks, its disk, its fate."""

    __slots__ = (
        'addr',
        'alive',
        'alone',
        'bare',
        'build',
        'busy',
        'disk',
        'frozen',
        'heap',
        'held',
        'ill',
        'life',
        'minion',
        'name',
        'node',
        'pend',
        'role',
        'skew',
        'slow',
        'wall',
        'woke',
    )

    def __init__(self, name, role, addr, build):
        self.name, self.role, self.addr, self.build = name, role, addr, build
        self.node, self.alive, self.frozen, self.pend = None, False, False, []
        self.skew, self.wall, self.slow, self.life, self.minion, self.disk = 0, 0, 0, 0, None, None
        # `alone`: frozen as a process, while the minion beside it works on
        self.bare, self.alone, self.woke = False, False, (0, '')
        # `busy`: a sync is under way, `heap`: what the next one takes along, `held`: the thread waits for it
        self.busy, self.heap, self.held, self.ill = False, [], False, ''


class Conn:
    """A connection: in order, whole, until it breaks."""

    __slots__ = ('a', 'b', 'held', 'id', 'last', 'open', 'stuck')

    def __init__(self, cid, a, b):
        self.id, self.a, self.b, self.open = cid, a, b, True
        self.last = {a: 0, b: 0}
        self.held, self.stuck = {a: [], b: []}, None

    def other(self, n):
        return self.b if n == self.a else self.a
