"""Mends a node's copy of directory and configuration from a sibling that has newer rows. Pure.

The core's news reach everyone who reaches the core; a cut-off zone has only itself.
"""

from asterwharf.base.board import Controller
from asterwharf.mend.ranges import differing, sums


class Mender(Controller):
    """Shows one sibling its digests now and then; where they differ, rows go both ways and the newer win."""

    __slots__ = ('due', 'held')
    hears = ('digests', 'mend')

    def __init__(self, b):
        super().__init__(b)
        self.due, self.held = b.now + int(b.rng.random() * b.set.view.silence_ms * 2), (0, b'')

    def tick(self):
        b = self.b
        if b.now < self.due:
            return
        self.due = b.now + b.set.view.silence_ms * 2
        sibs = sorted(n for n, h in b.links.items() if h['role'] != 'tend')
        if sibs:
            self._show(b.rng.choice(sibs), True)

    def _show(self, peer, back):
        self.b.send(peer, 'digests', sums=sums(self.b.atlas.rows), sequence=self.b.sequence, back=back)

    def on_digests(self, src, d):
        b = self.b
        rows = [{'k': k, 'op': op, 'v': v} for k, (op, v) in sorted(differing(b.atlas.rows, d['sums']).items())]
        doc = b.config.packed if b.config and self.b.sequence > d['sequence'] else b''
        if rows or doc:
            b.count['mends'] += 1
            b.send(src, 'mend', rows=rows, sequence=self.b.sequence if doc else 0, doc=doc)
        # it may have what we lack, too
        if d['back'] and (rows or d['sequence'] > self.b.sequence):
            self._show(src, False)

    def on_mend(self, src, d):
        b = self.b
        # the core's own seats follow their log alone
        if b.role == 'trellis':
            return
        if b.atlas.merge([(r['k'], r['op'], r['v']) for r in d['rows']]):
            b.count['mended'] += 1
        if d['doc'] and d['sequence'] > self.b.sequence:
            b.adopt(d['sequence'], d['doc'])
