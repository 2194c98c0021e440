"""Stand-in operators over HTTP: whole configurations, sent racing each other; and what each node has in force."""

from asterwharf.clock.boot import wall_ms

TRIES = 40


class Operators:
    """Notes for the judge all that operators asked, were told and read, and what the nodes say of themselves."""

    __slots__ = ('c', 'force', 'minions', 'nodes', 'rows')

    def __init__(self, callers, nodes):
        # `nodes`: names and doors of core nodes and edges; `minions` is filled by the fleet
        self.c, self.nodes, self.minions, self.rows, self.force = callers, nodes, {}, [], []

    def note(self, what, *args):
        self.rows.append((wall_ms(), what, args))

    def look(self):
        """Every second, what each node has in force."""
        for n, door in self.nodes.items():

            def got(sts, doc, hds, n=n):
                if sts == 200 and isinstance(doc, dict):
                    bad = [g for g, s in doc.get('seats', {}).items() if not s['seated']]
                    self.force.append((wall_ms(), n, doc['sequence'], bool(bad)))

            self.c.asks.request(door, 'GET', '/status', None, got, 1500)

    def configure(self, change, by='op', left=TRIES):
        """Gets, changes, puts; on a lost race, or without an answer, it begins again."""
        if not left:
            return
        since, door = wall_ms(), self.c._door()

        def again(ms=400):
            self.c.later(ms, self.configure, change, by, left - 1)

        def read(sts, cur, hds):
            if sts != 200 or not isinstance(cur, dict):
                return again()
            self.note('config_read', cur['sequence'], cur['config'], since)
            doc, base = change(cur['config']), cur['sequence']
            self.note('config_asked', doc, base, by)

            def put(sts2, got, hds2):
                if sts2 == 200:
                    return self.note('config_told', base, got['sequence'], doc, by)
                if sts2 == 412:
                    self.note('config_refused', doc, base, by)
                again(self.c.rng.randint(50, 500))

            heads = [('If-Match', str(base)), ('X-Operator', by), *self.c.heads]
            self.c.asks.request(door, 'PUT', '/v1/config', doc, put, 15000, heads)

        self.c.asks.request(door, 'GET', '/v1/config', None, read, 8000, self.c.heads)
