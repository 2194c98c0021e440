"""Plays a cluster by chance: each profile says what its surroundings are like and how often each trouble comes."""

import random
from dataclasses import dataclass, field

from asterwharf.sim.model.cluster import Cluster, Shape

# how often each thing is done, of their sum
USUAL = {
    'propose': 30,
    'burst': 6,
    'read': 12,
    'cut': 6,
    'isolate': 4,
    'heal': 10,
    'crash': 5,
    'power': 3,
    'start': 14,
    'wipe': 2,
    'freeze': 4,
    'thaw': 8,
    'transfer': 4,
    'join': 3,
    'replace': 2,
    'total': 0,
    'blink': 2,
}


@dataclass(frozen=True)
class Profile:
    """Where and how a run is played."""

    name: str
    shape: dict = field(default_factory=dict)
    weights: dict = field(default_factory=dict)
    actions: int = 120
    # ms between two actions
    spans: tuple = (5, 20, 60, 150, 400, 1200)
    calm: bool = True


PROFILES = {
    p.name: p
    for p in (
        Profile('three', {'members': 3}),
        Profile('five', {'members': 5, 'loss': 0.01}),
        Profile('reordered', {'members': 3, 'fifo': False, 'loss': 0.03, 'copies': 0.05, 'slowest': 0.02}),
        Profile('spares', {'members': 3, 'spares': 2, 'loss': 0.005}, {'join': 10, 'replace': 8, 'wipe': 5}),
        Profile('growing', {'members': 3, 'spares': 2, 'grow': 5, 'loss': 0.01}, {'join': 12, 'wipe': 4}),
        Profile('restarts', {'members': 3}, {'crash': 14, 'power': 8, 'start': 30, 'cut': 3, 'total': 1}),
        Profile(
            'leases',
            {'members': 3, 'slowest': 0.003},
            {'isolate': 20, 'cut': 14, 'blink': 20, 'start': 30, 'transfer': 12, 'heal': 24, 'crash': 2, 'power': 0},
        ),
        Profile(
            'late',
            {'members': 3, 'slowest': 0.02},
            {'cut': 20, 'heal': 20, 'crash': 0, 'power': 0, 'wipe': 0, 'blink': 0, 'transfer': 0, 'freeze': 8},
        ),
        Profile(
            'transfers',
            {'members': 3, 'slowest': 0.01},
            {'cut': 20, 'heal': 20, 'crash': 0, 'power': 0, 'wipe': 0, 'blink': 0, 'transfer': 30, 'freeze': 8},
        ),
        Profile(
            'votes',
            {'members': 3, 'loss': 0.02},
            {'total': 20, 'power': 14, 'start': 30, 'blink': 20, 'isolate': 0, 'cut': 2, 'propose': 10, 'read': 0},
            spans=(5, 5, 10, 450, 500, 600),
        ),
        Profile(
            'commits',
            {'members': 5, 'loss': 0.05},
            {'burst': 20, 'crash': 20, 'power': 10, 'start': 24, 'cut': 14, 'isolate': 10, 'read': 0, 'freeze': 0},
            spans=(5, 10, 20, 60, 500, 700),
        ),
        Profile('wipes', {'members': 3}, {'wipe': 16, 'power': 4, 'crash': 16, 'start': 30, 'propose': 40}),
        Profile(
            'reads',
            {'members': 3},
            {'freeze': 24, 'thaw': 24, 'propose': 40, 'isolate': 0, 'cut': 0, 'crash': 0, 'power': 0, 'blink': 0},
            spans=(20, 60, 400, 1200, 2500),
        ),
        Profile('snapshots', {'members': 3, 'keep_log': 2}, {'burst': 20, 'power': 8, 'start': 20}),
    )
}


class Driver:
    """One run of one profile with one seed; the same run every time."""

    def __init__(self, profile, seed):
        self.profile, self.rng = profile, random.Random(f'{profile.name}:{seed}')
        self.cluster = Cluster(Shape(seed=seed, **profile.shape))
        self.weights = {**USUAL, **profile.weights}
        self.trace = []

    def play(self):
        """Plays the whole run; raises Violation. Bounds of silence until it served again, or None."""
        c = self.cluster
        c.run(2500)
        names, odds = list(self.weights), list(self.weights.values())
        for _ in range(self.profile.actions):
            act = self.rng.choices(names, odds)[0]
            note = getattr(self, f'_{act}')()
            self.trace.append((c.now, act, note))
            c.run(self.rng.choice(self.profile.spans))
        return c.calm() if self.profile.calm else None

    # --- whom it happens to
    def _any(self):
        """Half of the time the leader: what happens to it matters most."""
        lead = self.cluster.leader()
        if lead is not None and self.rng.random() < 0.5:
            return lead.name
        return self.rng.choice(sorted(self.cluster.nodes))

    def _up(self):
        return [n.name for n in self.cluster.running()]

    # --- what happens
    def _propose(self):
        done = [n for n in self._up() if self.cluster.propose(n)]
        return done

    def _burst(self):
        for _ in range(self.rng.randrange(3, 12)):
            self._propose()

    def _read(self):
        return [n for n in self._up() if self.cluster.read(n)]

    def _cut(self):
        a, b = self.rng.sample(sorted(self.cluster.nodes), 2)
        self.cluster.net.cut(a, b, self.rng.random() < 0.5)
        return a, b

    def _isolate(self):
        name, holds = self._any(), self.rng.random() < 0.5
        for other in self.cluster.nodes:
            if other != name:
                self.cluster.net.cut(name, other, holds)
                self.cluster.net.cut(other, name, holds)
        return name

    def _heal(self):
        for pair in sorted(self.cluster.net.cuts):
            self.cluster.net.heal(*pair, self.cluster.now)

    def _crash(self):
        name = self._any()
        self.cluster.crash(name, self.rng.randrange(4))
        return name

    def _blink(self):
        """Processes that end and begin again at once, with all that they had under way on their disks."""
        names = [n for n in self._up() if self.rng.random() < 0.5]
        for name in names:
            self.cluster.crash(name, 99)
            self.cluster.start(name)
        return names

    def _power(self):
        """Loss of power: what was not synced is gone; a folder just made may be gone as a whole."""
        name = self._any()
        self.cluster.crash(name)
        if self.rng.random() < 0.2 and self.cluster.may_lose(name):
            self.cluster.wipe(name)
        return name

    def _total(self):
        for name in self._up():
            self.cluster.crash(name, self.rng.randrange(2))
        for name in self.cluster.founders():
            self.cluster.start(name)

    def _start(self):
        for name, node in self.cluster.nodes.items():
            if node.life and self.rng.random() < 0.6:
                self.cluster.start(name)

    def _wipe(self):
        name = self._any()
        if self.cluster.may_lose(name):
            self.cluster.crash(name)
            self.cluster.wipe(name)
        return name

    def _freeze(self):
        name = self._any()
        self.cluster.freeze(name)
        return name

    def _thaw(self):
        woken = [n for n, node in self.cluster.nodes.items() if node.frozen]
        for name in woken:
            self.cluster.thaw(name)
            # the first thing it does may be a client's read, before it hears what became of the others
            self.cluster.read(name)
        return woken

    def _transfer(self):
        for name in self._up():
            self.cluster.transfer(name)

    def _join(self):
        new = [n for n, node in self.cluster.nodes.items() if not node.life]
        if new:
            new = new if self.rng.random() < 0.5 else new[:1]
        for name in new:
            self.cluster.start(name)
        return new

    def _replace(self):
        members = self.cluster.membership()
        new = [n for n in self._up() if n not in members]
        if members and new:
            old = self.rng.choice(sorted(members))
            self.cluster.replace(old, new[0])
            return old, new[0]
        return None
