"""Simulated core machines with the platform's own figures: they leave, are lost, and are replaced."""

from dataclasses import dataclass, replace

from test_platform import CORE, settings

from asterwharf.base.settings import View
from asterwharf.consensus.member import cut_short, leave
from asterwharf.sim.fleet import DOC, LINK, Fleet

GROUPS = ('core', 'commons')
# in ms: how often a process that leaves looks whether it may end; what a start takes at most
LOOK, START = 50, 400


@dataclass(frozen=True)
class Site:
    """What a site's pages say: the zone of each core machine, the bounds in ms, what may be lost at once."""

    zones: tuple
    survive: int
    in_touch_ms: int
    catch_up_ms: int
    ack_ms: int

    def view(self):
        """The settings of the replicated groups as the platform's adapter derives them."""
        rows = dict(CORE)
        rows['time_bounds.in_touch_ms'] = str(self.in_touch_ms)
        rows['time_bounds.catch_up_s'] = str(self.catch_up_ms / 1000)
        rows['survive.machines'] = str(self.survive)
        text = ''.join(f'{k}={v}\n' for k, v in rows.items())
        return View(**settings.made(settings.Rows(text))['view'], keep_log=150, chunk=20000)


SMALL = Site(('z1', 'z2', 'z3'), 1, 3000, 4000, 4000)
# two machines in some zones, three members: two stand by
SPARES = Site(('z1', 'z2', 'z3', 'z1', 'z2'), 1, 3000, 4000, 4000)
GROWN = Site(('z1', 'z2', 'z3', 'z1', 'z2'), 2, 4000, 6000, 5000)
GROWN_SPARES = Site(('z1', 'z2', 'z3', 'z4', 'z1', 'z2', 'z3', 'z4'), 2, 4000, 6000, 5000)


class Deployment:
    """A fleet of core machines at a site, with one edge to write through."""

    def __init__(self, site, seed):
        self.site, self.settings, self.number = site, site.view(), len(site.zones)
        self.fleet = f = Fleet(seed, core=len(site.zones), edges=1, minions=0, view=self.settings)
        self.world, self.ended = f.w, {}
        self.first = set(f.core)
        self.founders = [f.w.hosts[n].addr for n in f.core[:3]]
        for name, zone in zip(f.core, site.zones):
            self._adapt(name, zone)

    def _adapt(self, name, zone):
        host = self.world.hosts[name]
        was = host.build

        def build(h, inc, rng, now, wall):
            node = was(h, inc, rng, now, wall)
            node.b.set = replace(
                node.b.set, founders=self.founders, core_size=3, found=name in self.first and h.life == 1
            )
            node.b.zone = zone
            return node

        host.build = build

    def start(self):
        """Founds, grows to the members that it shall have, and writes once."""
        self.fleet.start()
        assert self.world.until(self.whole, 20000), self.tables()
        self.write(20000)
        return self

    # --- what is there
    def member(self, name, group):
        return self.fleet.member(name, group)

    def members(self, group):
        leader = self.fleet.holder(group)
        return dict(self.member(leader, group).replica.log.members) if leader else {}

    def tables(self):
        return {g: (self.fleet.holder(g), sorted(self.members(g))) for g in GROUPS}

    def whole(self):
        """Each group has as many members as it shall have, all in touch, no change under way."""
        return all(len(self.members(g)) == self.settings.seats for g in GROUPS) and all(
            self.fleet.on(n) and self.voting(n, g) for g in GROUPS for n in self.members(g)
        )

    def voting(self, name, group):
        """Whether the machine is a member, caught up to the leader's commit index but for what is under way."""
        member, leader = self.member(name, group), self.fleet.holder(group)
        if (
            member is None
            or not leader
            or self.members(group).get(name) != member.replica.incarnation
            or member.replica.changing
        ):
            return False
        return self.member(leader, group).replica.commit_index - member.replica.commit_index <= 50

    def zone(self, name):
        return self.world.hosts[name].node.b.zone if self.world.hosts[name].alive else self.zones[name]

    # --- what happens to machines
    def add(self, zone):
        """Starts an empty machine under a new name and address."""
        name, self.number = f't{self.number}', self.number + 1
        self.fleet._host(name, 'trellis', zone, LINK, self.settings, '', {})
        self._adapt(name, zone)
        self.fleet.core = self.fleet.core + [name]
        self.world.start(name)
        return name

    def lose(self, *names):
        for name in names:
            self.fleet.core = [n for n in self.fleet.core if n != name]
            self.world.kill(name)

    def stop(self, name, back=None):
        """SIGTERM; with `back` it starts again so many ms after its end, else it is gone for good."""
        host, begin = self.world.hosts[name], self.world.t
        life, host.node.b.leaving = host.life, True
        if back is None:
            self.fleet.core = [n for n in self.fleet.core if n != name]

        def look():
            if host.life != life or not host.alive:
                return
            free = []
            self.world._do(host, lambda: free.append(leave(host.node)))
            if (free and free[0]) or self.world.t - begin >= host.node.b.set.leave_ms:
                if not (free and free[0]):
                    self.world._do(host, lambda: cut_short(host.node))
                self.ended[name] = self.world.t - begin
                self.world.kill(name)
                if back is not None:
                    self.world.after(back, self.world.start, name)
                return
            self.world.after(LOOK, look)

        look()

    def run(self, ms):
        self.world.run(self.world.t + ms)

    # --- whether it works
    def write(self, most):
        """A change of the configuration is acknowledged within `most` ms; returns how long it took."""
        begin, had = self.world.t, len(self.fleet.obs.acks)
        self.fleet.call.configure(lambda old: dict(DOC, classes=dict(DOC['classes'], **{f'c{begin}': {'priority': 1}})))
        assert self.world.until(lambda: len(self.fleet.obs.acks) > had, most), self.tables()
        return self.world.t - begin

    def stands_losses(self, names):
        """These are lost at once; both groups go on within the time for an acknowledgement, and nothing is broken."""
        self.lose(*names)
        self.run(2 * self.settings.silence_ms)
        assert self.world.until(lambda: all(self.fleet.holder(g) for g in GROUPS), self.site.ack_ms), self.tables()
        self.write(self.site.ack_ms)
        assert not self.fleet.obs.broken, self.fleet.obs.broken

    def next_losses(self, keep=(), prefer_leader=True):
        """As many members as may be lost at once: the leader of the core first, `keep` is spared."""
        leader = self.fleet.holder('core')
        names = [n for n in sorted(self.members('core'), key=lambda n: (n != leader) == prefer_leader) if n not in keep]
        return names[: self.site.survive]
