"""The state machine of the core group: the configuration, the queues document, the directory. Pure."""

import json
from dataclasses import dataclass

from asterwharf.scheduler import queues
from asterwharf.scheduler.atlas import Atlas
from asterwharf.scheduler.configuration.accepted_orders import AcceptedOrders
from asterwharf.wire.schema import PROTO, pack, unpack

# the first sequence of the configuration's record: every release reads it, and the row needs no more
CONFIG_ROW = 1


@dataclass(frozen=True, slots=True)
class OrderResult:
    """What became of an order: the version that it is, or the one that is current where it was refused.

    `stale`: refused, for it builds on another version; neither: refused, for its number isn't above the current one.
    """

    number: int
    accepted: bool = False
    stale: bool = False


class ConfigurationStateMachine:
    """One whole document replaces the last; of rivals on one base, one wins."""

    __slots__ = ('accepted', 'atlas', 'conf', 'dirty', 'floor', 'reads')

    def __init__(self):
        self.reads = self.floor = PROTO
        self.load({})

    def load(self, rows):
        self.conf, self.atlas, self.dirty = {'sequence': 0, 'base': 0, 'by': '', 'at': 0, 'doc': b''}, Atlas(), set()
        self.accepted = AcceptedOrders()
        self.accepted.load({k: v for k, v in rows.items() if self.accepted.owns(k)}, self.reads)
        for k, raw in rows.items():
            if self.accepted.owns(k):
                continue
            d = unpack(raw, self.reads)[1]
            if k == 'conf':
                del d['sum']
                self.conf = d
            else:
                self.atlas.merge([(d['k'], d['op'], d['v'])])

    def replicated_state(self):
        """All that decides or is shown, as plain values: the same on every replica that is as far in the log."""
        return {
            'configuration': self.conf,
            'directory': self.atlas.rows,
            'cells': self.atlas.cells,
            'owners': self.atlas.own,
            'emptied': self.atlas.emptied,
            'top': self.atlas.top,
            'accepted': self.accepted.acceptances(),
        }

    def delta(self):
        """Rows changed since the last call; None where a row is no more."""
        out = self.accepted.changes(self.floor)
        for k in sorted(self.dirty):
            if k == 'conf':
                out[k] = pack('c_config', self.conf, CONFIG_ROW)
            else:
                op, v = self.atlas.rows[k]
                out[k] = pack('r_dir', {'k': k, 'op': op, 'v': v})
        self.dirty = set()
        return out

    @property
    def sequence(self):
        return self.conf['sequence']

    @property
    def number(self):
        return self.atlas.number

    @property
    def queues(self):
        """(who sent it and when, the queues document as it was sent)."""
        raw = self.atlas.rows.get('queues', (0, b''))[1]
        return queues.head(raw), queues.body(raw)

    def apply(self, op, raw):
        knd, d = unpack(raw, self.reads)
        return getattr(self, knd)(op, d)

    def _put(self, op, k, v):
        self.atlas.merge([(k, op, v)])
        self.dirty.add(k)

    def c_config(self, op, d):
        """An order of a configuration: the OrderResult."""
        digest = d.pop('sum')
        known = self.accepted.number(digest) if digest else None
        if known is not None:
            return OrderResult(known, accepted=True)
        # the base is looked at here, in the one order, so rivals can't both win
        if d['base'] != self.sequence:
            return OrderResult(self.sequence, stale=True)
        self.conf = dict(d, sequence=self.sequence + 1)
        self.dirty.add('conf')
        if digest:
            self.accepted.add(digest, self.sequence, op)
        return OrderResult(self.sequence, accepted=True)

    def c_queues(self, op, d):
        """An order of operators: the OrderResult."""
        # what was accepted stays accepted, whatever came since: its sender may not have heard
        known = self.accepted.number(d['sum'])
        if known is not None:
            return OrderResult(known, accepted=True)
        current = self.number
        # looked at here, in the one order, so rivals can't both win
        if d['base'] != current:
            return OrderResult(current, stale=True)
        if d['number'] <= current:
            return OrderResult(current)
        self._put(op, 'queues', queues.row(d))
        self.accepted.add(d['sum'], d['number'], op)
        return OrderResult(d['number'], accepted=True)

    def c_zone(self, op, d):
        """Nothing more starts on the minions of an emptied zone, until it is taken back."""
        # a repeated order finds it done, and no row is made of a zone that was never emptied
        if (d['zone'] in self.atlas.emptied) != d['emptied']:
            self._put(op, f'empty:{d["zone"]}', str(d['at']).encode() if d['emptied'] else b'')
        return True

    def c_node(self, op, d):
        """Of the first release; nothing is kept of it any more."""
        return True

    def c_cell(self, op, d):
        """Makes a cell's group with these seats, or drops one that owns nothing any more."""
        nam = d['name']
        if d['on']:
            if nam in self.atlas.cells:
                return False
            # a cell made anew under an old name is another group
            self._put(op, f'cell:{nam}', json.dumps({'gid': f'{nam}.{op}', 'seats': d['seats']}).encode())
            return True
        gid = self.atlas.gid(nam)
        if not gid or gid in self.atlas.own.values():
            return False
        self._put(op, f'cell:{nam}', b'')
        return True

    def c_own(self, op, d):
        """A tenant or minion changes hands only from the one that owns it; the first claim wins."""
        cur = self.atlas.own.get(d['what'], '')
        if cur == d['cell']:
            return True
        if cur != d['was']:
            return False
        self._put(op, f'own:{d["what"]}', d['cell'].encode())
        return True
