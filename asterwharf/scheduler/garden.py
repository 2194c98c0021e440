"""The cells that have a seat on this node, and, at the holder of the core, which cells there are. Pure."""

import base64

from asterwharf.base.board import Controller
from asterwharf.consensus.member import GroupMember
from asterwharf.scheduler.atlas import COMMONS
from asterwharf.scheduler.cell import Cell
from asterwharf.scheduler.emptier import Emptier
from asterwharf.scheduler.janitor import Janitor
from asterwharf.scheduler.placer import Placer
from asterwharf.scheduler.request_router import RequestRouter
from asterwharf.scheduler.steward import Steward

SEATS, PART = 5, 100


class Part:
    """What this node runs for one cell."""

    __slots__ = ('all', 'member', 'placer')

    def __init__(self, b, gid, among=()):
        self.member = GroupMember(b, gid, Cell(), b.load(gid), among)
        self.placer = Placer(b, self.member)
        self.all = (
            self.member,
            Steward(b, self.member),
            self.placer,
            Janitor(b, self.member),
            Mover(b, self.member),
            Emptier(b, self.member),
        )


class Garden(Controller):
    """Takes a seat in every cell whose directory row names this node; gives it up when the row is gone."""

    __slots__ = ('seen',)

    def __init__(self, b):
        super().__init__(b)
        self.seen = -1

    def tick(self):
        b = self.b
        if b.atlas.top == self.seen:
            return
        self.seen = b.atlas.top
        want = {c['gid']: c['seats'] for c in b.atlas.cells.values() if b.me in c['seats']}
        for gid in [g for g in b.cells if g != COMMONS and g not in want]:
            for c in b.cells.pop(gid).all:
                b.node.remove(c)
            b.log('info', 'cell dissolved here', group=gid)
        for gid, sts in want.items():
            if gid not in b.cells:
                self._sit(gid, sts)

    def _sit(self, gid, sts):
        b = self.b
        p = b.cells[gid] = Part(b, gid, sts)
        # the very incarnation that the core named, and nothing kept: it has never acted in this group
        if p.member.replica.empty and sts[b.me] == b.inc:
            p.member.found(sts)
        for c in p.all:
            b.node.add(c)
        b.log('info', 'seat taken in a cell', group=gid, seats=sorted(sts))


class Warden(Controller):
    """At the holder of the core: makes the cells of the configuration, drops those that own nothing any more."""

    __slots__ = ('core', 'due')

    def __init__(self, b, core):
        super().__init__(b)
        self.core, self.due = core, 0

    def tick(self):
        b, cfg = self.b, self.b.config
        if not self.core.takes or cfg is None or b.now < self.due:
            return
        self.due = b.now + b.set.view.silence_ms // 2
        at = self.core.mac.atlas
        for n, spec in cfg.cells.items():
            if n not in at.cells:
                sts = self._seats(spec)
                if sts:
                    self.core.order('c_cell', {'name': n, 'on': True, 'seats': sts})
        for n, c in at.cells.items():
            if n not in cfg.cells and c['gid'] not in at.own.values():
                self.core.order('c_cell', {'name': n, 'on': False, 'seats': {}})

    def _seats(self, spec):
        """Named seats, all of them in sight; or the nodes of its zones, core nodes first."""
        b = self.b
        # only a node in sight tells its incarnation for certain, and that it can read of cells
        seen = {n: h for n, h in b.links.items() if h['role'] != 'tend' and h['proto'] > 1}
        seen[b.me] = b.hello()
        if spec.seats:
            nms = [n for n in spec.seats if n in seen]
            return {n: seen[n]['inc'] for n in nms} if len(nms) == len(spec.seats) else {}
        nms = sorted(
            (n for n, h in seen.items() if h['zone'] in spec.zones), key=lambda n: (seen[n]['role'] != 'trellis', n)
        )
        return {n: seen[n]['inc'] for n in nms[:SEATS]}


class Mover(Controller):
    """At the holder of a cell: hands tenants and minions over to where the configuration wants them."""

    __slots__ = ('busy', 'cell', 'due', 'parts')

    def __init__(self, b, cell):
        super().__init__(b)
        self.cell, self.due, self.parts, self.busy = cell, 0, {}, set()

    def tick(self):
        b = self.b
        if not self.cell.takes or b.config is None or b.now < self.due:
            return
        self.due = b.now + b.set.view.silence_ms // 4
        mac = self.cell.mac
        for ten in sorted(set(b.config.tenants) | set(mac.leaving) | set(mac.parcels)):
            self._tenant(ten, mac)
        for m in list(mac.minions.values()):
            to = self._wanted(b.config.cell_of_minion(m.name, m.zone))
            if to and not m.load and not m.strays:
                self.cell.order('t_yield', {'minion': m.name, 'to': to})
        for nam, to in list(mac.yielded.items()):
            self._own(f'minion:{nam}', to)

    def _wanted(self, cell):
        """The group it should go to; '' where that is here or not made yet."""
        gid = self.b.atlas.gid(cell)
        return gid if gid != self.cell.grp else ''

    def _tenant(self, ten, mac):
        if ten in mac.parcels:
            return self._carry(ten, mac.parcels[ten])
        if not mac.ours(ten, self.cell.grp):
            return None
        to = self._wanted(self.b.config.cell_of_tenant(ten))
        if mac.leaving.get(ten, '') != to:
            return self.cell.order('t_leave', {'tenant': ten, 'to': to})
        # what runs here ends here first
        if to and not mac.running(ten) and not any(k.startswith(ten + '/') for k in mac.astray()):
            return self.cell.order('t_release', {'tenant': ten, 'to': to, 'marks': True})
        return None

    def _carry(self, ten, par):
        """Brings the parcel to the new cell part by part, then tells the core."""
        if ten in self.busy:
            return
        n, rows = self.parts.get(ten, 0), par['rows']
        last = (n + 1) * PART >= len(rows)
        if n < 0:
            return self._own(f'tenant:{ten}', par['to'])
        args = {
            'tenant': ten,
            'was': self.cell.grp,
            'part': n,
            'last': last,
            'rows': [base64.b64encode(r['v']).decode() for r in rows[n * PART : (n + 1) * PART]],
        }

        def got(code, body):
            self.busy.discard(ten)
            self.due = self.b.now
            if code == 'ok':
                # a new holder here begins again; the new cell says how far it is
                self.parts[ten] = -1 if last and body['part'] >= n else body['part'] + 1

        self.busy.add(ten)
        self.b.node.find(RequestRouter).start('import', par['to'], args, got)

    def _own(self, what, to):
        if what in self.busy:
            return

        def got(code, body):
            self.busy.discard(what)
            if code == 'ok' or (code == 'stale' and body.get('cell') == to):
                self.parts.pop(what.partition(':')[2], None)
                self.cell.order('t_handed', {'what': what})

        self.busy.add(what)
        was = self.b.atlas.own.get(what, '')
        self.b.node.find(RequestRouter).start('own', 'core', {'what': what, 'was': was, 'cell': to}, got)
