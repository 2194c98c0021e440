"""What operators were told, and whether what nodes do fits it: the CONFIG rules of the users' RULES.md.

A version shows only by its effects: a route that is there, or is not, in a node's answer to a request.
"""

from asterwharf.sim.history_checker import History, Outcome, Result, check, content_digest
from asterwharf.sim.yard_sight import OUT, OUTER


class Version:
    """A configuration that an operator has sent: whole, as it would be in force."""

    __slots__ = ('acked', 'base', 'by', 'call', 'doc', 'number', 'refused', 'routes', 'sent', 'valid')

    def __init__(self, number, base, doc, valid, by, sent):
        self.number, self.base, self.doc, self.valid, self.by, self.sent = number, base, doc, valid, by, sent
        self.acked, self.refused, self.call = None, None, None
        # what cannot be read has no routes
        qs = doc.get('queues') if isinstance(doc, dict) else None
        self.routes = {
            q['prefix']: q['group'] for q in qs or () if isinstance(q, dict) and 'group' in q and 'prefix' in q
        }


class Versions:
    """The book of versions; cries `no('CONFIG', ...)`."""

    __slots__ = ('bounds', 'count', 'history', 'lows', 'no', 'now', 'sent', 'sight')

    def __init__(self, now, bounds, sight, no, count):
        self.now, self.bounds, self.sight, self.no, self.count = now, bounds, sight, no, count
        # of each node's life: (time, lowest version that its answers prove)
        self.sent, self.lows, self.history = [], {}, History()

    # --- operators
    def send(self, number, base, doc, valid, by):
        """An operator's order is on its way for the first time."""
        v = Version(number, base, doc, valid, by, self.now())
        v.call = self.history.invoke('replace', v.sent, base, number, content_digest(doc), valid=valid, client=by)
        self.sent.append(v)
        return v

    def ack(self, v):
        if v.acked is not None:
            return
        v.acked = self.now()
        self.history.returned(v.call, Result.OK, v.acked)
        if not v.valid:
            self.no('CONFIG', what='an invalid configuration was acknowledged', number=v.number, by=v.by)
        for o in self.sent:
            if o is not v and o.acked is not None and o.base == v.base:
                self.no(
                    'CONFIG',
                    what='two changes on the same version were acknowledged',
                    base=v.base,
                    numbers=(o.number, v.number),
                )
        if v.refused is not None:
            self.no('CONFIG', what='refused, then acknowledged', number=v.number)

    def refuse(self, v, code):
        if v.refused is None:
            v.refused = self.now()
            if v.acked is None:
                self.history.returned(v.call, Result.STALE if code == 'stale' else Result.INVALID, v.refused)
        if v.acked is not None:
            self.no('CONFIG', what='acknowledged, then refused', number=v.number, code=code)
        # refused on top of the newest with nobody racing: a duty, not a rule
        if v.valid and v.base == self.newest() and not self._rivals(v):
            self.count['refused_valid'] += 1

    def _rivals(self, v):
        return [o for o in self.sent if o is not v and o.valid and o.refused is None and o.base >= v.base]

    def newest(self):
        return max((v.number for v in self.sent if v.acked is not None), default=0)

    def doc(self):
        """The newest acknowledged configuration, or None."""
        return max((v for v in self.sent if v.acked is not None), key=lambda v: v.number, default=None)

    # --- what nodes do
    def may(self, low):
        """Versions that may be in force where none below `low` may be."""
        return [v for v in self.sent if v.number >= low and v.valid and v.refused is None and v.sent <= self.now()]

    def low(self, node, life, level, asked):
        """The oldest version by which a request sent at `asked` may be handled there."""
        low = 0
        if level != OUT:
            ms = self.bounds.config_ms + (self.bounds.stretch_ms if level == OUTER else 0)
            low = max((v.number for v in self.sent if v.acked is not None and v.acked + ms < asked), default=0)
        slack = self.bounds.downgrade_ms
        return max([low] + [n for t, n in self.lows.get((node, life), ()) if t + slack < asked])

    def handled(self, node, life, level, asked, path, there):
        """A node has answered as one that has the route, or has not."""
        low = self.low(node, life, level, asked)
        good = [v for v in self.may(low) if (path in v.routes) == there]
        if not there and not low:
            # no configuration at all has no routes either
            return
        if not good:
            may = self.may(0)
            old = [v.number for v in may if (path in v.routes) == there]
            what = (
                'handled as only an older version allows'
                if old
                else 'handled as only a refused or invalid version allows'
            )
            self.no('CONFIG', what=what, node=node, path=path, there=there, low=low, fits=old[-3:], level=level)
            return
        top = min(v.number for v in good)
        rows = self.lows.setdefault((node, life), [])
        if not rows or rows[-1][1] < top:
            rows.append((self.now(), top))

    def groups(self, path):
        """Every service that some configuration sends the queue to."""
        return {v.routes[path] for v in self.sent if v.valid and path in v.routes}

    # --- reading back
    def read(self, doc, asked, why='read back'):
        """A configuration was read; `asked`: when the request was sent."""
        num = doc.get('number') if isinstance(doc, dict) else None
        call = self.history.invoke('read', asked)
        self.history.returned(call, Result.OK, self.now(), num or 0, content_digest(doc) if num else '')
        want = max((v.number for v in self.sent if v.acked is not None and v.acked <= asked), default=0)
        if not isinstance(num, int) or num < want:
            return self.no('CONFIG', what=f'{why}: older than what was acknowledged', read=num, acknowledged=want)
        same = [v for v in self.sent if v.number == num]
        if not any(v.doc == doc for v in same):
            self.no('CONFIG', what=f'{why}: differs from what was sent under its number', number=num)
        elif not any(v.doc == doc and v.valid and v.refused is None for v in same):
            self.no('CONFIG', what=f'{why}: invalid, refused or lost its race', number=num)
        return None

    def judge(self):
        """At the end: all that operators were told must be that of one register."""
        verdict = check(self.history.operations)
        if verdict.outcome is Outcome.VIOLATED:
            self.no('CONFIG', what='the operators saw no single register', why=verdict.reason)
        elif not verdict.ok:
            self.no('FAULT', what='the history of configurations is undecided', why=verdict.reason)
