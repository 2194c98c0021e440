"""The reconnect delay and the rings of the source design. Pure."""

from collections import deque


def delay(att, l, rng):
    """min(base * multiplier^attempts * (1 + random * jitter), max); `att` is the round of dialling."""
    # the power is capped before it is taken: rounds are unlimited, floats are not
    return min(l.base_ms * l.multiplier ** min(att, 64) * (1.0 + rng.random() * l.jitter), l.max_ms)


class Ring:
    """Bounded, oldest first out; counts what it dropped."""

    __slots__ = ('dropped', 'q')

    def __init__(self, size):
        self.q, self.dropped = deque(maxlen=size), 0

    def add(self, row):
        """False when an older row had to go for this one."""
        ok = len(self.q) < self.q.maxlen
        self.dropped += not ok
        self.q.append(row)
        return ok

    def drain(self):
        rows, self.q = list(self.q), deque(maxlen=self.q.maxlen)
        self.dropped = 0
        return rows

    def __len__(self):
        return len(self.q)
