"""Every interleaving of a small group: three replicas, two orders, one trouble, one change of membership. Breadth first.

Time is each replica's own: a step `timeout` moves one clock to where the replica acts. Messages between two
replicas keep their order; a message that is never delivered stands for one that was lost. A state is known again by
all that a replica would remember and all that is under way; what only measures time is left out.
"""

import pickle
import random
from collections import deque
from dataclasses import dataclass, field

from asterwharf.sim.model import adapter
from asterwharf.sim.model.checks import Checks
from asterwharf.sim.model.register import Register, order

NAMES = ('n0', 'n1', 'n2')


@dataclass
class Box:
    """One replica with its disk; `clock` moves only by its own timeouts."""

    name: str
    disk: object
    replica: object = None
    clock: int = 0
    life: int = 1
    frozen: bool = True
    syncs: list = field(default_factory=list)


@dataclass
class World:
    """One state: replicas, what is under way, and what may still be done."""

    boxes: dict
    links: dict
    checks: object
    orders: int = 2
    crashes: int = 1
    changes: int = 1
    timeouts: int = 3


@dataclass(frozen=True)
class Visited:
    """How much an exploration saw; `complete` where no state within the depth was left out."""

    states: int
    steps: int
    depth: int
    complete: bool

    def __str__(self):
        end = 'all of them' if self.complete else 'stopped there'
        return f'{self.states} states, {self.steps} steps, depth {self.depth}, {end}'


def begin(names=NAMES):
    """A founded group in which nobody leads yet."""
    checks = Checks()
    cfg = adapter.settings(keep_log=2)
    boxes = {}
    for name in names:
        disk = adapter.new_disk(f'{name}#0')
        boxes[name] = Box(name, disk, _replica(name, disk, cfg, 0))
    world = World(boxes, {}, checks)
    for box in boxes.values():
        box.replica.found({n: b.disk.inc for n, b in boxes.items()})
        _out(world, box)
        _sync(world, box.name)
    return world


def _replica(name, disk, cfg, now):
    return adapter.Replica(name, disk, cfg, random.Random(1), Register(), now)


def _out(world, box):
    while True:
        batch, messages, results = box.replica.take()
        if batch is not None:
            box.syncs.append(batch)
        for m in messages:
            queue = world.links.setdefault((box.name, m.to), [])
            # the same word twice in a row tells nothing new
            if not queue or queue[-1] != (m.kind, m.body):
                queue.append((m.kind, m.body))
        for result in results:
            if result.committed:
                world.checks.ended(result.index, box.replica.raw(result.index))
        if batch is None and not messages and not results:
            return


# --- the steps that are possible in a state
def steps(world):
    """(what, with what) for every step that can be taken now."""
    for (a, b), queue in sorted(world.links.items()):
        if queue:
            yield 'deliver', (a, b)
    for name, box in world.boxes.items():
        if box.syncs:
            yield 'sync', name
        if box.replica.leads:
            if world.orders and box.replica.ready:
                yield 'order', name
            if world.changes and box.replica.ready and not box.replica.changing:
                yield 'change', name
        if world.timeouts:
            yield 'timeout', name
        if world.crashes:
            yield 'crash', name


def take_step(world, what, who):
    """Does one step in place and checks the rules; raises Violation."""
    _STEPS[what](world, who)
    for box in world.boxes.values():
        world.checks.step([box])
    world.checks.kept({n: b.disk for n, b in world.boxes.items()})


def _deliver(world, pair):
    kind, body = world.links[pair].pop(0)
    box = world.boxes[pair[1]]
    box.replica.hear(pair[0], kind, body, box.clock)
    _out(world, box)


def _sync(world, name):
    box = world.boxes[name]
    batch = box.syncs.pop(0)
    adapter.write(box.disk, batch)
    box.replica.synced(batch.num, 0, box.clock)
    _out(world, box)


def _order(world, name):
    world.orders -= 1
    box = world.boxes[name]
    value = 10 + world.orders
    box.replica.propose(order(value, box.replica.machine.value, value), value)
    _out(world, box)


def _change(world, name):
    """A member that lost its disk is seated again: the leader puts another incarnation in its place."""
    world.changes -= 1
    box = world.boxes[name]
    old = next(n for n in reversed(NAMES) if n != name)
    box.replica.change_member(old, old, f'{old}#1')
    _out(world, box)


def _timeout(world, name):
    world.timeouts -= 1
    box = world.boxes[name]
    box.clock += 2000
    box.replica.tick(box.clock, box.clock, [n for n in world.boxes if n != name])
    _out(world, box)


def _crash(world, name):
    """Loss of power and a start: what was not synced is gone, and so are its connections."""
    world.crashes -= 1
    box = world.boxes[name]
    box.syncs, box.clock, box.life = [], box.clock + 5000, box.life + 1
    for pair in world.links:
        if name in pair:
            world.links[pair] = []
    cfg = adapter.settings(keep_log=2)
    box.replica = _replica(name, box.disk, cfg, box.clock)


_STEPS = {
    'deliver': _deliver,
    'sync': _sync,
    'order': _order,
    'change': _change,
    'timeout': _timeout,
    'crash': _crash,
}


def key(world):
    """A state's sum: everything but clocks, counters and the record of the checks."""
    boxes = tuple(
        (n, adapter.remembered(b.replica), repr(b.disk.rows), tuple(adapter.batch_key(s) for s in b.syncs))
        for n, b in world.boxes.items()
    )
    links = tuple((p, repr(q)) for p, q in sorted(world.links.items()) if q)
    return hash((boxes, links, world.orders, world.crashes, world.changes, world.timeouts))


def perform(world, script):
    """Takes the steps of `script` in order, leaving out what is not possible; raises Violation."""
    for step in script:
        if step in list(steps(world)):
            take_step(world, *step)


def walk(world, rng, length):
    """One way through the states by chance, `length` steps at most; raises Violation. The steps taken."""
    taken = []
    for _ in range(length):
        choices = list(steps(world))
        if not choices:
            break
        step = rng.choice(choices)
        taken.append(step)
        take_step(world, *step)
    return taken


class Explorer:
    """Breadth first from a founded group (or `world`) to `depth` steps, at most `states` of them."""

    def __init__(self, depth, states, world=None):
        self.depth, self.most, self.world = depth, states, world or begin()

    def explore(self):
        seen, done, deepest = {key(self.world)}, 0, 0
        wait = deque([(0, pickle.dumps(self.world, -1))])
        while wait:
            depth, raw = wait.popleft()
            if depth == self.depth:
                continue
            for what, who in list(steps(pickle.loads(raw))):
                world = pickle.loads(raw)
                take_step(world, what, who)
                done += 1
                mark = key(world)
                if mark in seen:
                    continue
                seen.add(mark)
                deepest = depth + 1
                if len(seen) >= self.most:
                    return Visited(len(seen), done, deepest, False)
                wait.append((depth + 1, pickle.dumps(world, -1)))
        return Visited(len(seen), done, deepest, True)
