"""The state machine of the model: one compare-and-set register that remembers all it was ever told, as a chain of sums."""

import hashlib
import json

# no product record begins like this, so the group takes it for a record of unknown kind
HEAD = b'\xff\xff\xff\xff'


def order(number, expect, value):
    """The record of one compare-and-set: sets `value` where the register holds `expect`."""
    return HEAD + json.dumps([number, expect, value]).encode()


class Register:
    """`version` counts accepted orders; `sums` chains every applied entry, so equal sums mean equal histories."""

    __slots__ = ('chain', 'floor', 'index', 'reads', 'seen', 'value', 'watch')

    def __init__(self, watch=None):
        # `watch(index, chain)` is told of every applied order
        self.watch, self.reads, self.floor = watch, 1, 1
        self.load({})

    def load(self, rows):
        """Begins anew from the rows of a snapshot or a disk."""
        self.value, self.chain, self.index, self.seen = 0, '', 0, False
        if 'state' in rows:
            self.value, self.chain, self.index = json.loads(rows['state'][len(HEAD) :])
            if self.watch:
                self.watch(self.index, self.chain)

    def delta(self):
        """Rows changed since the last call; two filler rows make a snapshot of several parts."""
        state = HEAD + json.dumps([self.value, self.chain, self.index]).encode()
        return {'state': state, 'filler-1': HEAD + b'x' * 90, 'filler-2': HEAD + b'y' * 90}

    def apply(self, index, raw):
        """(whether the order was accepted, the value now)."""
        number, expect, value = json.loads(raw[len(HEAD) :])
        self.chain = hashlib.sha1(f'{self.chain}|{index}|{number}'.encode()).hexdigest()[:12]
        self.index = index
        fits = expect == self.value
        if fits:
            self.value = value
        if self.watch:
            self.watch(index, self.chain)
        return fits, self.value
