"""Who could have heard whom: chains of living, connected processes, looked at from outside while a run goes on.

The observer excuses nothing else: not "some fault was on", but that no word could have come through.
"""


class Sight:
    """Since when each minion, and each node, could reach a majority without a break."""

    __slots__ = ('f', 'nodes', 'spans', 'ways')

    def __init__(self, f):
        self.f, self.ways, self.nodes, self.spans = f, {}, {}, {}

    def _sees(self, a, b):
        cuts = self.f.w.cuts
        return a == b or (a, b) not in cuts and (b, a) not in cuts

    def _good(self, seats, grp='core'):
        """Seats that are on and have a majority of their group, themselves included, in sight."""
        on = [s for s in seats if self.f.on(s) and self.f.seated(s, grp)]
        return [s for s in on if 2 * sum(self._sees(s, o) for o in on) > len(seats)]

    def look(self):
        """Called every so often; what is shorter than the time between two looks is not seen."""
        f, now, good = self.f, self.f.w.t, {}
        core = self._good(f.core)
        for n in f.core + f.edges:
            # frames that are lost without their connection breaking are no network that TCP would show
            ok = self.f.on(n) and not f.w.loss and any(self._sees(n, s) for s in core)
            # a wiped core node serves nobody before it is seated again
            ok = ok and (n not in f.core or f.seated(n, 'core'))
            # dead and back, or frozen and awake, between two looks
            self.nodes[n] = max(self.nodes.get(n) or now, f.w.hosts[n].woke[0]) if ok else 0
        for m in f.tends:
            grp, sts = self.f.owner(m)
            if grp not in good:
                good[grp] = self._good(sts, grp)
            ok = self.f.on(m) and any(
                self.f.on(e) and self._sees(m, e) and any(self._sees(e, s) for s in good[grp]) for e in f.edges
            )
            rows = self.spans.setdefault(m, [])
            if ok and m in self.ways and f.w.hosts[m].woke[0] <= rows[-1][1]:
                rows[-1][1] = now
            elif ok:
                rows.append([now, now])
                self.ways[m] = now
            else:
                self.ways.pop(m, None)

    def chain(self, minion, since, until):
        """The longest unbroken time since then in which word could have come from this minion to a majority."""
        now = self.f.w.t
        # a chain that stands goes on until now, though the last look lies a moment back
        ends = [
            (a, now if minion in self.ways and i + 1 == len(self.spans[minion]) else b)
            for i, (a, b) in enumerate(self.spans.get(minion, ()))
        ]
        return max((min(b, until) - max(a, since) for a, b in ends if b >= since and a <= until), default=0)
