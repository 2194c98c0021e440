"""The model's network: loss, delay, order, copies, one-way cuts, and what a cut connection holds back."""

import heapq


class Network:
    """Messages under way between named nodes. `fifo`: a pair's messages keep their order, as on one connection."""

    __slots__ = ('copies', 'cuts', 'fifo', 'holds', 'loss', 'number', 'rng', 'slowest', 'tail', 'under_way', 'held')

    def __init__(self, rng, fifo=True, loss=0.0, copies=0.0, slowest=0.0):
        self.rng, self.fifo, self.loss, self.copies, self.slowest = rng, fifo, loss, copies, slowest
        # (from, to) -> whether what is sent meanwhile arrives after the cut
        self.cuts, self.holds, self.held = set(), set(), []
        self.under_way, self.tail, self.number = [], {}, 0

    def calm(self):
        """From now on nothing is lost, late or cut."""
        self.loss = self.copies = self.slowest = 0.0
        for pair in list(self.cuts):
            self.heal(*pair, now=0)

    def delay(self):
        """ms that one message takes."""
        roll = self.rng.random()
        if roll < self.slowest:
            return self.rng.randrange(200, 3000)
        return self.rng.randrange(1, 8) if roll < 0.9 else self.rng.randrange(8, 120)

    def send(self, now, source, target, kind, body):
        if (source, target) in self.cuts:
            if (source, target) in self.holds:
                self.held.append((source, target, kind, body))
            return
        if self.rng.random() < self.loss:
            return self._lose(source, target)
        self._post(now, source, target, kind, body)
        if self.rng.random() < self.copies:
            self._post(now, source, target, kind, body)

    def _lose(self, source, target):
        # in a stream a message is lost only with its connection, and then with all that follows on it
        if self.fifo:
            self.forget(source, target)

    def _post(self, now, source, target, kind, body):
        at = now + self.delay()
        if self.fifo:
            at = self.tail[source, target] = max(at, self.tail.get((source, target), 0))
        self.number += 1
        heapq.heappush(self.under_way, (at, self.number, source, target, kind, body))

    def due(self, now):
        """The next message that arrives by `now`, or None."""
        if not self.under_way or self.under_way[0][0] > now:
            return None
        return heapq.heappop(self.under_way)

    def forget(self, source, target):
        """The connection breaks: what is under way on it is gone."""
        self.under_way = [m for m in self.under_way if (m[2], m[3]) != (source, target)]
        heapq.heapify(self.under_way)
        self.held = [m for m in self.held if (m[0], m[1]) != (source, target)]
        self.tail.pop((source, target), None)

    def cut(self, source, target, holds):
        self.cuts.add((source, target))
        if holds:
            self.holds.add((source, target))

    def heal(self, source, target, now):
        self.cuts.discard((source, target))
        self.holds.discard((source, target))
        mine = [m for m in self.held if (m[0], m[1]) == (source, target)]
        self.held = [m for m in self.held if (m[0], m[1]) != (source, target)]
        for m in mine:
            self._post(now, *m)

    def gone(self, name):
        """A node's process ended: every connection with it breaks."""
        for pair in {(m[2], m[3]) for m in self.under_way} | {(m[0], m[1]) for m in self.held}:
            if name in pair:
                self.forget(*pair)

    def linked(self, a, b):
        return (a, b) not in self.cuts and (b, a) not in self.cuts
