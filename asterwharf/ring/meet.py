"""How nodes find one another from the seeds, and how a core is founded. Pure."""

from asterwharf.base.board import ROW, Controller

# of the bound on silence: between two words to a peer; between two whole rolls; at least between two when rows changed
WORD, WHOLE, ROWS = 2, 8, 0.25
# the first protocol whose roll says whether its sender may found
FOUNDER_TOLD = 5


class Meet(Controller):
    """Dials seeds and known core nodes, tells the roll, founds the groups when all core nodes are empty."""

    __slots__ = ('dialed', 'doors', 'empties', 'ended', 'gave', 'members', 'new', 'seen', 'told')
    hears = ('roll',)

    def __init__(self, b, members=()):
        super().__init__(b)
        self.members, self.dialed, self.empties, self.told, self.seen, self.doors = (
            list(members),
            {},
            {},
            -1 << 40,
            None,
            [],
        )
        # when whole rolls were given last; whether rows have changed since
        self.gave, self.new = -1 << 40, True
        # group -> the last term whose leader said itself that it leads no more
        self.ended = {}
        b.nodes[b.me] = b.row()

    @property
    def pace(self):
        return self.b.set.view.silence_ms

    @property
    def empty(self):
        return bool(self.members) and all(c.replica.empty for c in self.members)

    @property
    def founder(self):
        """Whether this process may found: its disk is the one of the first start, and it was named as a founder."""
        s = self.b.set
        return s.found and (not s.founders or s.bind in s.founders)

    # --- dialling
    def _wanted(self):
        b = self.b
        here = {h['addr'] for h in b.links.values()} | {b.set.bind}
        far = {n for c in (b.atlas.cells.values() if b.atlas else ()) for n in c['seats']}
        core = [r['addr'] for n, r in b.nodes.items() if (r['role'] == 'trellis' or n in far) and n not in b.links]
        # a seed is only a place to ask: it is left alone once the core is known and in reach
        known = len(b.of('trellis')) >= b.set.core_size and not any(
            b.nodes[n]['role'] == 'trellis' for n in b.nodes if n not in b.links and n != b.me
        )
        return [a for a in core + ([] if known else list(b.set.seeds)) if a not in here]

    def tick(self):
        b = self.b
        for a in dict.fromkeys(self._wanted()):
            if b.now - self.dialed.get(a, -1 << 40) >= self.pace * 0.5:
                self.dialed[a] = b.now
                b.do('dial', a)
        # a core of one has nobody to meet
        if b.set.core_size == 1 and self.empty:
            self._found()
        self._spread()
        # an agent must know of doors that came after it: the one it has may be the next to go
        doors = sorted((r['name'], r['addr']) for r in b.nodes.values() if r['role'] == 'furrow')
        if b.role == 'furrow' and doors != self.doors:
            self.doors = doors
            for p, h in b.links.items():
                if h['role'] == 'tend':
                    self.tell(p)

    def _spread(self):
        """News goes at once, and now and then all the same; the rows of all nodes only when they have changed, or seldom.

        They are the bulk of it: where many come at once, each would otherwise tell all the others of every one.
        """
        b, age = self.b, self.b.now - self.gave
        rows = age > self.pace * WHOLE or (self.new and age > self.pace * ROWS)
        pic = (sorted(b.holders.items()), self.empty, sorted(self.empties))
        if not rows and pic == self.seen and b.now - self.told <= self.pace * WORD:
            return
        self.seen, self.told = pic, b.now
        if rows:
            self.gave, self.new = b.now, False
        for p, h in list(b.links.items()):
            if b.role == 'trellis' or h['role'] == 'trellis' or (b.cells and h['role'] != 'tend'):
                self.tell(p, rows)

    def up(self, peer):
        h = self.b.links[peer]
        self._learn(h)
        self.tell(peer)

    def lost(self, peer):
        self.empties.pop(peer, None)

    # --- the roll
    def tell(self, peer, rows=True):
        """Who holds what, and whether this node is empty; with `rows` also of every node that is known."""
        b = self.b
        met = {b.me: b.inc} | {n: e['inc'] for n, e in self._others().items()} if self.empty else {}
        b.send(
            peer,
            'roll',
            node=[r for r in b.nodes.values() if r['role'] != 'tend'] if rows else [],
            empty=self.empty,
            founder=self.founder,
            inc=b.inc,
            known=sorted(f'{n}#{i}' for n, i in met.items()),
            met=sorted(b.links) if rows else [],
            holders={g: list(h) for g, h in b.holders.items()},
            clock=b.now,
        )

    def _learn(self, row, met=()):
        b = self.b
        old = b.nodes.get(row['name'])
        if row['name'] == b.me or row['role'] == 'tend':
            return
        # the word of a node itself, or of one that meets it, beats an older address
        if old is None or row['name'] in b.links or row['name'] in met or old['inc'] == row['inc']:
            got = {k: row[k] for k in ROW}
            # a greeting is in the oldest words, which know no `calls`: what the process said of itself before stands
            if not got['calls'] and old is not None and old['inc'] == got['inc']:
                got['calls'] = old['calls']
            # hearsay that differs waits for the next whole roll: two who disagree would go on for ever
            near = row['name'] in b.links or row['name'] in met
            self.new = self.new or old is None or (near and got != old)
            b.nodes[row['name']] = got

    def on_roll(self, src, d):
        b = self.b
        for r in d['node']:
            if r['name'] == src or r['name'] not in b.links:
                self._learn(r, d['met'])
        self._learn_leaders(src, d['holders'] or {})
        if b.links.get(src, {}).get('role') != 'trellis':
            return
        self.empties.pop(src, None)
        if d['empty']:
            # an older release does not say it
            old = b.links[src]['proto'] < FOUNDER_TOLD
            self.empties[src] = {'inc': d['inc'], 'known': d['known'], 'founder': d['founder'] or old}
        self._found()

    def _learn_leaders(self, peer, told):
        """Takes what `peer` tells of the groups' leaders, {group: (name, term)}: the newest term counts.

        A leader that names itself no more has stepped down, and hearsay about that term is believed no longer:
        otherwise who is cut off with it would go on sending callers to a leader that can do nothing for them.
        """
        b = self.b
        for g, (nam, view) in list(b.holders.items()):
            if nam == peer and g not in told:
                self.ended[g] = view
                del b.holders[g]
        for g, (nam, view) in told.items():
            # what a replica here knows of its own group, and a node of itself, is never older than hearsay
            if nam == b.me or (g in b.cells and b.cells[g].member.replica.view > view):
                continue
            old = b.holders.get(g)
            if nam != peer and view <= self.ended.get(g, -1):
                continue
            if old is None or view > old[1] or (view == old[1] and nam != old[0] and nam == peer):
                b.holders[g] = (nam, view)

    def _others(self):
        """The empty core nodes that may found with this one: of given founders only those."""
        b = self.b
        if not b.set.founders:
            return self.empties
        return {n: e for n, e in self.empties.items() if b.nodes.get(n, {}).get('addr') in b.set.founders}

    def _found(self):
        """Only when every core process that founds has met every other, and all say "empty"."""
        b = self.b
        # one that has lost its disk, or came later, must not begin a second core beside the first
        if not self.empty or not self.founder:
            return
        others = self._others()
        if len(others) != b.set.core_size - 1:
            return
        # Where a majority still has the disks of the first start, and these are empty, no group was ever led by
        # another majority. Fewer may be what is left of a group that goes on elsewhere.
        if 1 + sum(e['founder'] for e in others.values()) <= b.set.core_size // 2:
            return
        met = {b.me: b.inc} | {n: e['inc'] for n, e in others.items()}
        mark = sorted(f'{n}#{i}' for n, i in met.items())
        if any(e['known'] != mark for e in others.values()):
            return
        # they must hear that we have met them too, or they would wait for ever
        for p in others:
            self.tell(p)
        for c in self.members:
            c.found(met)
        b.log('info', 'founded', seats=met)
