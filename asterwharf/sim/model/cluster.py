"""Nodes of one group with their clocks and disks, the network between them, and the clients that use them."""

import random
from dataclasses import dataclass, field

from asterwharf.sim.model import adapter
from asterwharf.sim.model.checks import Checks, require
from asterwharf.sim.model.network import Network
from asterwharf.sim.model.register import Register, order

# ms between two ticks of a node; ms of one step of the whole
TICK, STEP = 20, 5


@dataclass(frozen=True)
class Shape:
    """What a cluster is made of and how ill its surroundings are."""

    members: int = 3
    spares: int = 0
    fifo: bool = True
    loss: float = 0.0
    copies: float = 0.0
    slowest: float = 0.0
    slow_clocks: bool = True
    seed: int = 0
    # members to grow to; 0: stays as founded
    grow: int = 0
    keep_log: int = 6


@dataclass
class Operation:
    """One order or read of a client, for the checks and for the history."""

    kind: str
    node: str
    begun: int
    expect: int = 0
    value: int = 0
    # the highest acknowledged index when a read was asked
    floor: int = 0
    ended: int = -1
    result: object = None


@dataclass
class Node:
    """One machine: its disk outlives its process, its process its connections."""

    name: str
    disk: object
    rate: float = 1.0
    replica: object = None
    life: int = 0
    frozen: bool = False
    # true time of start and reading of the clock then
    started: int = 0
    base: int = 0
    time: int = 0
    next_tick: int = 0
    # batches not synced yet: (due, batch, when it was given)
    syncs: list = field(default_factory=list)
    inbox: list = field(default_factory=list)
    # the incarnation under which it has known, on its disk, that it is a member
    joined: str = ''

    def clock(self):
        """Its own monotonic clock now, ms."""
        return self.base + int((self.time - self.started) * self.rate)


class Cluster:
    """Everything that happens to the group goes through here; rules are checked after every step."""

    def __init__(self, shape):
        self.shape, self.rng = shape, random.Random(shape.seed)
        self.net = Network(self.rng, shape.fifo, shape.loss, shape.copies, shape.slowest)
        self.cfg = adapter.settings(members=shape.grow, keep_log=shape.keep_log)
        self.now, self.checks, self.steps, self.tokens = 0, Checks(), 0, 0
        self.nodes, self.waiting, self.history, self.lost, self.founded = {}, {}, [], [], False
        self.slow_syncs, self.trace = 0.02, []
        for i in range(shape.members + shape.spares):
            name = f'n{i}'
            rate = 0.98 if shape.slow_clocks and i % 2 else 1.0
            self.nodes[name] = Node(name, adapter.new_disk(f'{name}#0'), rate)
        for name in self.founders():
            self.start(name)

    def founders(self):
        return [f'n{i}' for i in range(self.shape.members)]

    # --- what is done to nodes
    def start(self, name):
        node = self.nodes[name]
        if node.replica is not None:
            return
        node.life, node.started, node.base = node.life + 1, self.now, self.rng.randrange(100000)
        node.time, node.frozen, node.next_tick = self.now, False, self.now
        machine = Register(self.checks.applied)
        node.replica = adapter.Replica(
            name, node.disk, self.cfg, random.Random(self.rng.random()), machine, node.clock()
        )

    def crash(self, name, kept=0):
        """The process ends; of the batches under way the first `kept` are on the disk."""
        node = self.nodes[name]
        if node.replica is None:
            return
        for _, batch, _ in node.syncs[:kept]:
            self._write(node, batch)
        node.replica, node.syncs, node.inbox, node.frozen = None, [], [], False
        self.net.gone(name)

    def _write(self, node, batch):
        adapter.write(node.disk, batch)
        self.checks.kept({n: other.disk for n, other in self.nodes.items()})

    def wipe(self, name):
        """The disk of a stopped node is lost: it comes back empty, as another incarnation."""
        node = self.nodes[name]
        if node.replica is None:
            node.disk = adapter.new_disk(f'{name}#{node.life}')

    def may_lose(self, name):
        """Whether the group survives the loss of one more disk: no more are lost or unrepaired than a quorum allows."""
        members = self.membership()
        if name not in members:
            return True
        # a member put in the place of a lost one counts once it knows of it itself
        bad = {n for n, inc in members.items() if self.nodes[n].disk.inc != inc or self.nodes[n].joined != inc}
        return len(bad | {name}) <= (len(members) - 1) // 2 and not any(
            n.replica and n.replica.changing for n in self.nodes.values()
        )

    def membership(self):
        """The newest committed membership that any node ever knew."""
        return self.checks.membership[1] or {n: f'{n}#0' for n in self.founders()}

    def freeze(self, name):
        if self.nodes[name].replica is not None:
            self.nodes[name].frozen = True

    def thaw(self, name):
        self.nodes[name].frozen = False

    def found(self):
        """Founds the group once every founder runs and is empty, as the discovery does.

        Each founder has it on its disk at once: a loss of power between two founders is not of the group but of the
        discovery, which has tests of its own.
        """
        nodes = [self.nodes[n] for n in self.founders()]
        if self.founded or not all(n.replica and n.replica.empty for n in nodes):
            return
        self.founded = True
        members = {n.name: n.disk.inc for n in nodes}
        for node in nodes:
            node.replica.found(members)
            self._out(node)
            for _, batch, _ in node.syncs:
                adapter.write(node.disk, batch)
                node.replica.synced(batch.num, 0, node.clock())
            node.syncs.clear()
            self._out(node)

    def running(self):
        return [n for n in self.nodes.values() if n.replica is not None]

    def leader(self):
        """The ready leader of the newest term, or None."""
        ready = [n for n in self.running() if n.replica.ready]
        return max(ready, key=lambda n: n.replica.term, default=None)

    # --- clients
    def propose(self, name, expect=None):
        """A client's compare-and-set at this node; refused at once where it does not lead."""
        node = self.nodes[name]
        if node.replica is None or node.frozen:
            return False
        self.tokens += 1
        seen = node.replica.machine.value if expect is None else expect
        op = Operation('set', name, self.now, seen, self.tokens)
        if not node.replica.propose(order(self.tokens, seen, self.tokens), self.tokens):
            return False
        self.waiting[self.tokens] = op
        self.history.append(op)
        self._out(node)
        return True

    def read(self, name):
        node = self.nodes[name]
        if node.replica is None or node.frozen:
            return False
        self.tokens += 1
        op = Operation('read', name, self.now, floor=self.checks.acknowledged)
        self.waiting[self.tokens] = op
        if not node.replica.confirm(self.tokens):
            del self.waiting[self.tokens]
            return False
        self.history.append(op)
        self._out(node)
        return True

    def transfer(self, name):
        node = self.nodes[name]
        if node.replica is not None and not node.frozen and node.replica.leads:
            node.replica.transfer()
            self._out(node)

    def replace(self, old, new):
        node = self.leader()
        if node is not None and not node.frozen:
            node.replica.replace(old, new)
            self._out(node)

    # --- time
    def run(self, span):
        """Lets `span` ms pass."""
        end = self.now + span
        while self.now < end:
            self.now += STEP
            self._step()

    def _step(self):
        self.steps += 1
        if not self.founded:
            self.found()
        while (msg := self.net.due(self.now)) is not None:
            self._arrive(*msg[2:])
        for node in self.running():
            if node.frozen:
                continue
            # a clock stands still for nobody, but a frozen process does not look at it
            node.time = self.now
            self._wake(node)
        self.checks.step(self.running())

    def _arrive(self, source, target, kind, body):
        node = self.nodes[target]
        if node.replica is not None:
            node.inbox.append((source, kind, body))

    def _wake(self, node):
        touched = False
        while node.syncs and node.syncs[0][0] <= self.now:
            _, batch, given = node.syncs.pop(0)
            self._write(node, batch)
            node.replica.synced(batch.num, self.now - given, node.clock())
            touched = True
        inbox, node.inbox = node.inbox, []
        for source, kind, body in inbox:
            node.replica.hear(source, kind, body, node.clock())
            touched = True
        if self.now >= node.next_tick:
            node.next_tick = self.now + TICK
            peers = [n.name for n in self.running() if n is not node and self.net.linked(n.name, node.name)]
            node.replica.tick(node.clock(), 1_000_000 + self.now, peers)
            touched = True
        if touched:
            self._out(node)
        if not node.syncs and node.replica.member:
            node.joined = node.disk.inc

    def _out(self, node):
        while True:
            batch, messages, results = node.replica.take()
            if batch is not None:
                cost = (
                    self.rng.randrange(1, 15) if self.rng.random() > self.slow_syncs else self.rng.randrange(100, 900)
                )
                last = node.syncs[-1][0] if node.syncs else self.now
                node.syncs.append((max(last, self.now) + cost, batch, self.now))
            for m in messages:
                self.net.send(self.now, node.name, m.to, m.kind, m.body)
            for result in results:
                self._ended(node, result)
            if batch is None and not messages and not results:
                return

    def _ended(self, node, result):
        op = self.waiting.pop(result.token, None)
        if op is None or not result.committed:
            return
        op.ended = self.now
        if op.kind == 'read':
            op.result = node.replica.machine.value
            self.checks.read(result.index, op.floor)
        else:
            op.result = result.value[0]
            self.checks.ended(result.index, node.replica.raw(result.index))

    # --- the end
    def calm(self, bounds=40):
        """All trouble ends; within `bounds` bounds of silence the group must serve again. The bounds it took."""
        self.net.calm()
        self.slow_syncs = 0.0
        for name, node in self.nodes.items():
            if node.frozen:
                self.thaw(name)
            if node.life or name in self.founders():
                self.start(name)
        begun, served = self.now, False
        while self.now - begun < bounds * self.cfg.silence_ms and not served:
            lead = self.leader()
            if lead is not None:
                self.propose(lead.name)
            self.run(100)
            served = any(op.kind == 'set' and op.begun >= begun and op.ended >= 0 for op in self.history[-40:])
        require(served, 'progress once calm', f'nothing committed within {bounds} bounds of silence')
        return (self.now - begun) / self.cfg.silence_ms
