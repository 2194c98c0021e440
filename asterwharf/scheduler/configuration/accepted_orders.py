"""The memory of accepted orders: an order that is repeated after a lost answer is acknowledged again. Pure.

An order is known by a digest of the version that it builds on and of what it asks for. Each has a row of its own, so
what a change costs doesn't grow with what is remembered. Only the count bounds the memory, not the age: the clock of a
leader may jump, and an order that was accepted must not be forgotten for that.
"""

from dataclasses import dataclass

from asterwharf.wire.schema import pack, unpack

# accepted orders that are remembered: four days of the design size, 940 changes a day
ORDERS_KEPT = 4096
# rows of single orders begin with this; since this protocol
ROW_PREFIX, SINGLE_ROWS_PROTOCOL = 'order:', 5
# earlier releases keep so many, all in one row
LEGACY_ROW, LEGACY_KEPT = 'taken', 64


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The version that an order became, and the log position at which it did."""

    number: int
    op: int


class AcceptedOrders:
    """Accepted orders by digest, oldest first; and which of them the rows don't show yet."""

    __slots__ = ('_legacy_row', '_orders', '_unwritten')

    def __init__(self):
        self._orders, self._unwritten, self._legacy_row = {}, set(), False

    def __len__(self):
        return len(self._orders)

    def digests(self):
        """The digests, oldest first."""
        return self._orders.keys()

    def acceptances(self):
        """(digest, what it became), oldest first."""
        return list(self._orders.items())

    def number(self, digest):
        """The version that the order became; None where it isn't known as accepted."""
        got = self._orders.get(digest)
        return None if got is None else got.number

    def add(self, digest, number, op):
        """An order was accepted at log position `op`; the oldest is dropped beyond the bound."""
        self._orders[digest] = Acceptance(number, op)
        self._unwritten.add(digest)
        if len(self._orders) > ORDERS_KEPT:
            oldest = next(iter(self._orders))
            del self._orders[oldest]
            self._unwritten.add(oldest)

    # --- rows
    @staticmethod
    def owns(key):
        """Whether a row is one of these."""
        return key == LEGACY_ROW or key.startswith(ROW_PREFIX)

    def load(self, rows, protocol=None):
        """Takes over what rows hold, both this release's and those of earlier ones."""
        args = () if protocol is None else (protocol,)
        found = []
        if LEGACY_ROW in rows:
            old = unpack(rows[LEGACY_ROW], *args)[1]['rows']
            # before every log position, in the order of the row
            found += [(r['sum'], Acceptance(r['number'], i - len(old))) for i, r in enumerate(old)]
            self._legacy_row = True
        for key, raw in rows.items():
            if key.startswith(ROW_PREFIX):
                row = unpack(raw, *args)[1]
                found.append((key.removeprefix(ROW_PREFIX), Acceptance(row['number'], row['op'])))
        self._orders = dict(sorted(found, key=lambda f: f[1].op))
        self._unwritten = {d for d in self._orders if ROW_PREFIX + d not in rows}

    def changes(self, protocol):
        """Rows changed since the last call, None where one is no more; `protocol`: what every replica can read."""
        if protocol < SINGLE_ROWS_PROTOCOL:
            return self._legacy_changes()
        rows = {ROW_PREFIX + d: self._row(d) for d in sorted(self._unwritten)}
        if self._legacy_row:
            rows[LEGACY_ROW] = None
        self._unwritten, self._legacy_row = set(), False
        return rows

    def _row(self, digest):
        order = self._orders.get(digest)
        return None if order is None else pack('r_order', {'number': order.number, 'op': order.op})

    def _legacy_changes(self):
        # what has no row of its own yet gets one once every replica can read it
        if not self._unwritten:
            return {}
        self._legacy_row = True
        last = list(self._orders.items())[-LEGACY_KEPT:]
        return {LEGACY_ROW: pack('r_taken', {'rows': [{'sum': d, 'number': o.number} for d, o in last]})}
