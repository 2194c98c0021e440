"""Heartbeats between nodes: each tells a few watchers that its place on a ring names. Pure."""

import hashlib
from bisect import bisect_right

from asterwharf.base.board import Controller

WATCHERS = 3


def place(nam):
    return int.from_bytes(hashlib.sha256(nam.encode()).digest()[:8], 'big')


def watchers(nam, all_, n=WATCHERS):
    """The next `n` nodes on the ring behind `nam`."""
    ring = sorted((place(x), x) for x in all_ if x != nam)
    if not ring:
        return []
    i = bisect_right(ring, (place(nam), nam))
    return [ring[(i + k) % len(ring)][1] for k in range(min(n, len(ring)))]


class Watch(Controller):
    """Sends pulses to its watchers, and says of those it watches whether they are in sight."""

    __slots__ = ('beat', 'due', 'heard', 'said', 'sight', 'words')
    hears = ('pulse', 'suspect')

    def __init__(self, b):
        super().__init__(b)
        self.due, self.beat, self.heard, self.said = 0, 0, {}, {}
        # on the core: what watchers say of whom, and the judgement of more than one of them
        self.words, self.sight = {}, {}

    @property
    def pace(self):
        return self.b.set.view.silence_ms

    def _ring(self):
        return [n for n, r in self.b.nodes.items() if r['role'] != 'tend']

    def tick(self):
        b = self.b
        if b.now < self.due:
            return
        self.due = b.now + self.pace // 2
        self.beat += 1
        ring = self._ring()
        for w in watchers(b.me, ring):
            if w in b.links:
                b.send(w, 'pulse', sequence=self.beat)
            elif w in b.nodes:
                b.do('dial', b.nodes[w]['addr'])
        for n in ring:
            if n != b.me and b.me in watchers(n, ring):
                self._judge(n)

    def _judge(self, n):
        b = self.b
        old = b.now - self.heard.setdefault(n, b.now)
        gone = old > self.pace * 4
        if self.said.get(n) != gone or gone:
            if self.said.get(n) != gone:
                b.count['suspected' if gone else 'cleared'] += 1
            self.said[n] = gone
            for p, h in b.links.items():
                if h['role'] == 'trellis':
                    b.send(p, 'suspect', name=n, by=b.me, gone=gone)
            if b.role == 'trellis':
                self._word(n, b.me, gone)

    def on_pulse(self, src, d):
        self.heard[src] = self.b.now

    def on_suspect(self, src, d):
        if self.b.role == 'trellis':
            self._word(d['name'], d['by'], d['gone'])

    def _word(self, n, by, gone):
        b = self.b
        wds = self.words.setdefault(n, {})
        wds[by] = (gone, b.now)
        new = [w for w, (g, at) in wds.items() if g and b.now - at < self.pace * 8]
        # one watcher alone may itself be cut off
        out = len(new) >= min(2, max(1, len(self._ring()) - 1))
        if out == self.sight.get(n, False):
            return
        self.sight[n] = out
        if out:
            b.alarm('node_out_of_sight', n, by=new)
        else:
            b.clear('node_out_of_sight', n)
