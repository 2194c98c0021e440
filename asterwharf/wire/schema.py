"""Avro schemas of all that goes between our processes and into our logs.

Every kind has an id and a sequence. A reader knows the schemas of the sequences
before its own and resolves them to the newest, so two releases can talk.
"""

import io
import json
import struct

import fastavro

HEAD = struct.Struct('>HB')
KINDS, IDS = {}, {}
# what this release speaks; a peer's is in its hello
PROTO = 6

_PLAIN = {
    's': 'string',
    'l': 'long',
    'd': 'double',
    'y': 'bytes',
    'b': 'boolean',
    'j': 'string',
    'S': {'type': 'array', 'items': 'string'},
}
_ZERO = {'s': '', 'l': 0, 'd': 0.0, 'b': False, 'j': 'null', 'S': []}


class Alien(Exception):
    """A frame that is truncated, foreign, or of a schema we don't know."""


def _typ(nam, typ):
    if isinstance(typ, list):
        return {'type': 'array', 'items': _rec(nam, typ[0])}
    return _PLAIN[typ]


def _rec(nam, fds):
    out = []
    for k, t in fds.items():
        row = {'name': k, 'type': _typ(f'{nam}_{k}', t)}
        # a default lets a newer reader take an older writer's record
        if isinstance(t, list):
            row['default'] = []
        elif t != 'y':
            row['default'] = _ZERO[t]
        else:
            row['default'] = ''
        out.append(row)
    return {'type': 'record', 'name': nam, 'fields': out}


class Kind:
    """One kind of record: its schemas by sequence, since which protocol each, and its newest fields."""

    __slots__ = ('all', 'fds', 'id', 'nam', 'seq', 'since')

    def __init__(self, kid, nam, *seqs):
        # each sequence is its fields, or (the first protocol that knows it, its fields)
        seqs = [q if isinstance(q, tuple) else (i + 1, q) for i, q in enumerate(seqs)]
        self.id, self.nam, self.seq, self.fds = kid, nam, len(seqs), seqs[-1][1]
        self.since = [p for p, _ in seqs]
        self.all = {i + 1: fastavro.parse_schema(_rec(nam, f)) for i, (_, f) in enumerate(seqs)}

    def known(self, proto):
        """The newest sequence that a peer of this protocol can read; 0 where it knows no such kind."""
        return sum(p <= proto for p in self.since)


def kind(kid, nam, *seqs):
    """Declares a kind; `seqs` are its field lists, oldest first."""
    if kid in IDS or nam in KINDS:
        raise ValueError(f'kind {kid} {nam} is declared twice')
    KINDS[nam] = IDS[kid] = Kind(kid, nam, *seqs)


def _down(fds, doc):
    out = {}
    for k, t in fds.items():
        v = doc.get(k)
        if isinstance(t, list):
            out[k] = [_down(t[0], r) for r in v or ()]
        elif t == 'j':
            out[k] = json.dumps(v, separators=(',', ':'))
        elif v is None:
            out[k] = b'' if t == 'y' else _ZERO[t]
        else:
            out[k] = v
    return out


def _up(fds, rec):
    for k, t in fds.items():
        if isinstance(t, list):
            for r in rec[k]:
                _up(t[0], r)
        elif t == 'j':
            rec[k] = json.loads(rec[k])
    return rec


def pack(nam, doc, seq=0):
    """Head and body of one record; an older `seq` plays an earlier release."""
    k = KINDS[nam]
    seq = seq or k.seq
    buf = io.BytesIO()
    buf.write(HEAD.pack(k.id, seq))
    fastavro.schemaless_writer(buf, k.all[seq], _down(k.fds, doc))
    return buf.getvalue()


def speaks(nam, proto):
    """Whether a peer of this protocol can read the kind, and in which sequence."""
    return KINDS[nam].known(proto)


def since(raw):
    """The first protocol that can read this record; 0 where its kind is not known here."""
    kid, seq = HEAD.unpack_from(raw)
    k = IDS.get(kid)
    return k.since[seq - 1] if k is not None and seq in k.all else 0


def unpack(raw, proto=PROTO):
    """(kind's name, document) or Alien; an older `proto` plays an earlier release."""
    if len(raw) < HEAD.size:
        raise Alien('truncated head')
    kid, seq = HEAD.unpack_from(raw)
    k = IDS.get(kid)
    if k is None:
        raise Alien(f'unknown kind {kid}')
    # a newer release's record: it must have been asked to speak our sequence
    if seq not in k.all or seq > k.known(proto):
        raise Alien(f'{k.nam}: unknown sequence {seq}, known up to {k.seq}')
    buf = io.BytesIO(raw)
    buf.seek(HEAD.size)
    try:
        rec = fastavro.schemaless_reader(buf, k.all[seq], k.all[k.seq])
        if buf.tell() != len(raw):
            raise Alien(f'{k.nam}: {len(raw) - buf.tell()} bytes too many')
        return k.nam, _up(k.fds, rec)
    except Alien:
        raise
    except Exception as e:
        raise Alien(f'{k.nam}: {type(e).__name__}') from None
