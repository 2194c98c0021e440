"""The state machine of the core group: the configuration and the node list. Pure."""

from asterwharf.wire.schema import pack, unpack


class Core:
    """One whole document replaces the last; of rivals on one base, one wins."""

    __slots__ = ('conf', 'dirty', 'nodes')

    def __init__(self):
        self.load({})

    def load(self, rows):
        self.conf, self.nodes, self.dirty = {'sequence': 0, 'base': 0, 'by': '', 'at': 0, 'doc': b''}, {}, set()
        for k, raw in rows.items():
            d = unpack(raw)[1]
            if k == 'conf':
                self.conf = d
            else:
                self.nodes[d['name']] = d

    def delta(self):
        out = {}
        for k in sorted(self.dirty):
            if k == 'conf':
                out[k] = pack('c_config', self.conf)
            else:
                n = self.nodes.get(k[5:])
                out[k] = pack('c_node', n) if n else None
        self.dirty = set()
        return out

    @property
    def sequence(self):
        return self.conf['sequence']

    def apply(self, op, raw):
        knd, d = unpack(raw)
        return getattr(self, knd)(d)

    def c_config(self, d):
        # the base is looked at here, in the one order, so rivals can't both win
        if d['base'] != self.sequence:
            return {'ok': False, 'sequence': self.sequence}
        self.conf = dict(d, sequence=self.sequence + 1)
        self.dirty.add('conf')
        return {'ok': True, 'sequence': self.sequence}

    def c_node(self, d):
        self.nodes[d['name']] = d
        self.dirty.add('node:' + d['name'])
        return True
