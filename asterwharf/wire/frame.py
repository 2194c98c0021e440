"""Frames on a stream: a length, then one record."""

import struct

from asterwharf.wire import kinds  # noqa: F401  declares the kinds
from asterwharf.wire.schema import PROTO, Alien, pack, speaks, unpack

LEN = struct.Struct('>I')
MOST = 64 << 20


def frame(knd, doc, proto=PROTO):
    """One frame as a peer of that protocol can read it; nothing where it knows no such kind."""
    seq = speaks(knd, min(proto, PROTO))
    if not seq:
        return b''
    raw = pack(knd, doc, seq)
    return LEN.pack(len(raw)) + raw


class Cutter:
    """Cuts what a stream brings into records."""

    __slots__ = ('buf', 'most')

    def __init__(self, most=MOST):
        self.buf, self.most = bytearray(), most

    def feed(self, data):
        """All whole records in `data` and what was left before; Alien on a foreign stream."""
        self.buf += data
        out = []
        while len(self.buf) >= LEN.size:
            n = LEN.unpack_from(self.buf)[0]
            if n > self.most:
                raise Alien(f'a frame of {n} bytes')
            if len(self.buf) < LEN.size + n:
                break
            raw = bytes(self.buf[LEN.size : LEN.size + n])
            del self.buf[: LEN.size + n]
            out.append(unpack(raw))
        return out
