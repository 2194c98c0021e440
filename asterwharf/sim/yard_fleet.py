"""A simulated platform: core nodes, edges, minions that call in, and what stands between them."""

import random
from dataclasses import fields, replace

from asterwharf.base.settings import Calls, Settings, View
from asterwharf.consensus.member import group_members, leave
from asterwharf.orchard import node as orchard
from asterwharf.sim.world import World
from asterwharf.sim.yard_calls import Net
from asterwharf.sim.yard_minion import Minion
from asterwharf.sim.yard_observer import Observer
from asterwharf.sim.yard_sight import STEP, Sight
from asterwharf.sim.yard_sites import shapes
from asterwharf.sim.yard_work import Works

# the silence bound as a part of `in_touch_ms`, as platform/settings.py has it
SILENCE, HOLD = 700 / 3000, 4000
# an edge that misses two of the platform's looks gets no new clients
PROBE = 1000
SEEDS = 3
# of the beats, how many come late though nothing is wrong, and ms by how much
LATE_BEATS, LATE_MS = 0.003, (500, 3000)
# of the lives that follow another on a machine, how many are of another kind
OTHER_KIND = 0.2


class Reach:
    """Whether two minions can talk: machines that are cut off reach nobody."""

    __slots__ = ('net',)

    def __init__(self, net):
        self.net = net

    def islands(self):
        return self.net.no_in | self.net.no_out

    def __call__(self, a, b):
        n = self.net
        return a == b or not (n.apart(a, b) or n.apart(b, a))


class YardFleet:
    """Builds and starts; a day then does its worst."""

    def __init__(self, seed, site, silence_ms=0, hold_ms=HOLD, lists_turned=None, late_beats=LATE_BEATS, **st):
        self.w, self.site, self.bounds = World(seed), site, site.bounds
        # drawn apart from how the world rolls, so that a day without late beats is otherwise the same
        self.late_beats, self._lateness = late_beats, random.Random(f'late beats {seed}')
        self._kinds = random.Random(f'kinds {seed}')
        self.net = Net(self.w)
        self.reach = Reach(self.net)
        self.sight = Sight(self.w, self.bounds)
        self.obs = Observer(self.w, self.bounds, self.sight)
        self.obs.room.net = self.net
        self.works = Works(self.w, self.bounds, self.obs, self.reach)
        # whether a run that is turned away is listed as refused: the users' page leaves it open
        self.lists_turned = self.w.rng.random() < 0.5 if lists_turned is None else lists_turned
        self.view = View(
            silence_ms=silence_ms or int(self.bounds.in_touch_ms * SILENCE),
            keep_log=400,
            chunk=20000,
            seats=self._seats(),
        )
        self.st, self.hold = st, min(hold_ms, self.bounds.hold_ms)
        self.edges, self.core, self.zones, self.first = [], [], {}, set()
        self.minions, self.shapes, self.roster, self.sick, self.n = {}, dict(shapes(site)), [], {}, 0
        self.calls, self.seeds = {}, []
        for z, n in zip(site.zones, site.core):
            for _ in range(n):
                self.add_core(z)
        for z, n in zip(site.zones, site.edges):
            for _ in range(n):
                self._host(f'e{len(self.edges)}', 'furrow', z)
        self.first = set(self.core)
        # one of each zone first: the platform's list is in no order
        firsts = [
            next(n for n in self.core if self.zones[n] == z)
            for z in site.zones
            if z in {self.zones[n] for n in self.core}
        ]
        self.seeds = (firsts + [n for n in self.core if n not in firsts])[:SEEDS]
        self.roster.append((0, tuple(self.core)))

    def _seats(self):
        """How many seats a group grows to: what may be lost at once must leave a majority; 0 leaves the three founders."""
        return 2 * self.site.survive + 1 if self.site.survive > 1 else 0

    # --- machines of the system
    def add_core(self, zone):
        name = f't{len([n for n in self.zones if n[0] == "t"])}'
        self._host(name, 'trellis', zone)
        return name

    def _host(self, name, role, zone):
        self.zones[name] = zone
        (self.core if role == 'trellis' else self.edges).append(name)
        self.sight.core = list(self.core)

        def build(h, inc, rng, now, wall):
            first = name in self.first and h.life == 1 and h.disk.inc == born
            seeds = self.seeds if first or role == 'furrow' and h.life == 1 else self._seeds()
            adr = [self.w.hosts[n].addr for n in seeds]
            s = Settings(
                name=name,
                bind=h.addr,
                seeds=adr,
                zone=zone,
                core_size=len(adr),
                view=self.view,
                poll_ms=4000,
                calls=self.address(name) if role == 'trellis' else '',
                found=first,
                founders=adr if first else [],
                call=self._bounds(),
                leave_ms=self.bounds.grace_ms // 2,
            )
            s = replace(s, **self.st)
            return (orchard.control if role == 'trellis' else orchard.edge)(s, inc, rng, h.disk.load, now, wall)

        h = self.w.add(name, role, build)
        born = h.disk.inc
        # an edge has no disk
        h.bare = role == 'furrow'
        self.calls[self.address(name)] = name

    def _bounds(self):
        b = self.bounds
        have = {f.name for f in fields(Calls)}
        want = {
            'beat_ms': b.beat_ms,
            'max_hold_ms': b.hold_ms,
            'hold_ms': self.hold,
            'stop_grace_ms': b.stop_ms,
            'gang_wait_ms': b.gang_wait_ms,
            'far_factor': float(b.far_factor),
            'checkpoint_ms': b.checkpoint_ms,
            'restore_ms': b.restore_ms,
            'status_ms': b.status_ms,
            'early_ms': b.early_ms,
            'cancel_ms': b.cancel_ms,
            'drain_ms': b.drain_ms,
            'evacuate_ms': b.evacuate_ms,
        }
        return Calls(**{k: v for k, v in want.items() if k in have})

    def _seeds(self):
        """Three of those that the operator's list held, some perhaps down by now."""
        got = list(self.listed())
        return self.w.rng.sample(got, min(SEEDS, len(got)))

    def address(self, name):
        return self.w.hosts[name].addr.rpartition(':')[0] + ':8144' if name in self.w.hosts else ''

    def at(self, address):
        """The node that takes calls at an address; '' where there is none."""
        return self.calls.get(address, '')

    def listed(self):
        """Control nodes as the callers' list has them: it is behind."""
        t = self.w.t - self.bounds.lag_ms
        return next((ns for at, ns in reversed(self.roster) if at <= t), self.roster[0][1])

    def enrol(self):
        self.roster.append((self.w.t, tuple(n for n in self.core)))
        self.sight.core = list(self.core)

    def pick(self, last):
        """A control node to call, another than the last one."""
        got = [n for n in self.listed() if n != last] or list(self.listed())
        return self.w.rng.choice(got)

    def start(self):
        order = self.core + self.edges
        self.w.rng.shuffle(order)
        for n in order:
            self.w.after(self.w.rng.randint(0, 300), self.w.start, n)
        for m in self.shapes:
            self.w.after(self.w.rng.randint(800, 2500), self.enlist, m)
        self._watch()
        self._probe()
        return self

    # --- minions
    def lateness(self):
        """By how much the next beat of a minion comes late, ms; mostly 0."""
        if self._lateness.random() >= self.late_beats:
            return 0
        self.obs.count['late_beats'] += 1
        return self._lateness.randint(*LATE_MS)

    def enlist(self, machine):
        """A minion begins a life on its machine, under a new id."""
        old = self.minions.get(machine)
        if old is not None and old.up:
            return
        if old is not None and self._kinds.random() < OTHER_KIND:
            self._change_kind(machine)
        self.n += 1
        adr = (
            old.address
            if old is not None and self.w.rng.random() < 0.5
            else f'10.128.{self.n // 250}.{self.n % 250 + 1}:8080'
        )
        m = self.minions[machine] = Minion(
            self, machine, self.shapes[machine], f'i-{self.w.rng.getrandbits(32):08x}', adr
        )
        m.start()

    def _change_kind(self, machine):
        """The next life on the machine is of another kind, where its service has another."""
        shape = self.shapes[machine]
        kinds = {other.kind for other in self.shapes.values() if other.group == shape.group}
        self.shapes[machine] = replace(shape, kind=self._kinds.choice(sorted(kinds - {shape.kind}) or [shape.kind]))

    # --- what may end and begin
    def kill(self, name, dark=False):
        if dark:
            self.net.dark.add(name)
        self.sight.event(name)
        self.w.kill(name)

    def up(self, name):
        """Starts a machine's process again, wherever it is dead."""
        self.net.dark.discard(name)
        if not self.w.hosts[name].alive and name in self.core + self.edges:
            self.sight.event(name)
            self.w.start(name)

    def down(self, name, ms, wipe=False, dark=False):
        self.kill(name, dark)
        if wipe:
            self.w.wipe(name)
        self.w.after(ms, self.up, name)

    def term(self, name, back=400, gone=None):
        """SIGTERM: the process leaves in good order; `gone` is called once it has, instead of a start."""
        h = self.w.hosts[name]
        if not h.alive or name in self.net.deaf:
            return
        self.sight.event(name)
        self.net.deaf.add(name)
        end, life = self.w.t + self.bounds.grace_ms // 2, h.life
        h.node.b.leaving = True

        def step():
            if h.life != life or not h.alive:
                return self.net.deaf.discard(name)
            got = []
            if not h.frozen:
                self.w._do(h, lambda: got.append(name not in self.core or leave(h.node)))
            busy = self.net.open.get(name)
            if (got and got[0] and not busy) or self.w.t >= end:
                if name in self.edges and busy:
                    self.obs.no('LOST', what='a request was cut off by a planned end', node=name)
                self.net.deaf.discard(name)
                self.kill(name)
                return gone() if gone else self.w.after(back, self.up, name)
            return self.w.after(50, step)

        step()

    def cut(self, xs, ys, both=True):
        """Cuts xs from ys; returns the directions that were not cut before."""
        new = []
        for x in xs:
            for y in ys:
                for p in ((x, y), (y, x)) if both else ((x, y),):
                    if x != y and p not in self.w.cuts:
                        new.append(p)
        self.w.cuts.update(new)
        self._changed(new)
        self.works.cut()
        return new

    def mend(self, pairs):
        self.w.mend(pairs)
        self._changed(pairs)

    def _changed(self, pairs):
        for n in sorted({x for p in pairs for x in p}):
            # a cut between an edge and the core does nothing to the core itself
            core = n in self.core and all(x in self.core for p in pairs if n in p for x in p)
            (self.sight.event if core else self._touched)(n)

    def _touched(self, n):
        self.sight.hit[n] = self.w.t

    def island(self, machine, on, way='both'):
        """A minion is cut off from every machine, or reached again."""
        for k, box in (('out', self.net.no_out), ('in', self.net.no_in)):
            if way in (k, 'both'):
                (box.add if on else box.discard)(machine)
        self._touched(machine)
        self.works.cut()

    def freeze(self, name, ms):
        self.sight.event(name)
        self.w.freeze(name)

        def wake():
            self.w.thaw(name)
            self.sight.event(name)

        self.w.after(ms, wake)

    def stall(self, name, ms):
        """The disk answers nothing for so long."""
        h, end = self.w.hosts[name], self.w.t + ms
        self.sight.begin(name)

        def step():
            h.slow = max(0, end - self.w.t)
            if h.slow:
                return self.w.after(100, step)
            return self.sight.end(name)

        step()

    # --- looking from outside, for the troubles only; the observer judges without this
    def node(self, n):
        h = self.w.hosts[n]
        return h.node if h.alive else None

    def holder(self, grp):
        got = [
            (group_members(self.node(n))[grp].replica.view, n)
            for n in self.core
            if self.node(n) and grp in group_members(self.node(n)) and group_members(self.node(n))[grp].leads
        ]
        return max(got)[1] if got else ''

    def seated(self, n):
        nd = self.node(n)
        return nd is not None and all(
            c.replica.is_member and not c.replica.changing for c in group_members(nd).values()
        )

    def whole(self):
        """Every core machine runs and has all it should have."""
        return (
            all(self.sight.on(n) and self.seated(n) and not self.sight.ill.get(n) for n in self.core)
            and not self.w.cuts
        )

    # --- how clients arrive
    def _ready(self, e):
        h = self.w.hosts[e]
        if not h.alive or h.frozen or e in self.net.deaf or getattr(h.node.b.atlas, 'queues', None) is None:
            return False
        hld = h.node.b.holders.get('commons', ('', 0))[0]
        return hld in h.node.b.links

    def _probe(self):
        for e in self.edges:
            self.sick[e] = 0 if self._ready(e) else self.sick.get(e, 0) + 1
        self.w.after(PROBE, self._probe)

    def door(self, zone, last=''):
        """The edge that a new connection of a client in this zone is passed to."""
        mine = [e for e in self.edges if self.zones[e] == zone]
        fit = [e for e in mine if self.sick.get(e, 0) < 2]
        if 2 * len(fit) < len(mine):
            fit = mine
        fit = [e for e in fit if e != last] or fit or self.edges
        return self.w.rng.choice(fit)

    def _watch(self):
        self.sight.look(self.core + self.edges)
        self.obs.look()
        self.w.after(STEP, self._watch)

    def trace(self, last=60):
        rows = [f'{t:>8} {who:<4} {evt} {kws}' for t, who, evt, kws in self.w.log[-last:]]
        return '\n'.join(rows + [f'BROKEN {t} {r} {k}' for t, r, k in self.obs.broken[:20]])
