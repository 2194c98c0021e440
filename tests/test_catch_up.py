"""A replica that was away catches up: over slow links, through cut logs, restarts and changes of leader."""

import random

import pytest

from asterwharf.base.settings import View
from asterwharf.consensus.outbox import WriteBatch  # noqa: F401
from asterwharf.consensus.replica import Replica
from asterwharf.consensus.states import State
from asterwharf.sim.hosts import Disk
from asterwharf.wire import kinds  # noqa: F401
from asterwharf.wire.schema import pack, unpack

NAMES = ('a', 'b', 'c')
TICK = 20


class Machine:
    """A state machine of one large document among small rows: a change replaces one row."""

    def __init__(self):
        self.load({})

    def load(self, rows):
        self.rows, self.dirty = dict(rows), set()

    def apply(self, index, raw):
        key = unpack(raw)[1]['id']
        self.rows[key] = raw
        self.dirty.add(key)
        return index

    def delta(self):
        out, self.dirty = {k: self.rows[k] for k in sorted(self.dirty)}, set()
        return out


def change(key, size, number):
    body = random.Random(number).randbytes(size // 2).hex()
    return pack('t_submit', {'tenant': 't', 'id': key, 'sum': str(number), 'at': 1, 'spec': {'x': body}})


class Group:
    """Three replicas over links of `rate` bytes a millisecond, one queue each way, as a connection is."""

    def __init__(self, rate=10**9, **view):
        self.view = View(silence_ms=700, **view)
        self.now, self.rate, self.disks = 0, rate, {n: Disk(f'inc-{n}') for n in NAMES}
        # names whose links have another rate
        self.rates = {}
        # names whose links have another rate
        self.rates = {}
        self.alive, self.way, self.sent, self.starts = {}, {}, {}, 0
        for n in NAMES:
            self.start(n)
            self.alive[n].found({n: f'inc-{n}' for n in NAMES})

    def start(self, name):
        disk = self.disks[name]
        self.alive[name] = Replica(
            'g', name, disk.inc, self.view, random.Random(ord(name)), Machine(), disk.load('g'), self.now
        )

    def kill(self, name):
        del self.alive[name]
        for pair in [p for p in self.way if name in p]:
            del self.way[pair]

    def settle(self, name):
        replica = self.alive[name]
        replica.peers = set(self.alive) - {name}
        while True:
            out = replica.take_output()
            for m in out.messages:
                self.post(name, m)
            if out.batch is None and not out.results:
                return
            if out.batch:
                self.disks[name].write('g', out.batch)
                replica.synced(out.batch.num, 0, self.now)

    def post(self, source, message):
        if message.destination not in self.alive:
            return
        raw = pack(message.kind, message.body)
        queue = self.way.setdefault((source, message.destination), [])
        begin = max(self.now, queue[-1][0] if queue else 0)
        rate = min(self.rates.get(source, self.rate), self.rates.get(message.destination, self.rate))
        queue.append((begin + len(raw) / rate + 1, message.kind, raw))
        self.sent[message.kind] = self.sent.get(message.kind, 0) + len(raw)
        if message.kind == 'install_snapshot' and message.body['part'] == 0:
            self.starts += 1

    def go(self, ms=TICK):
        for _ in range(0, ms, TICK):
            self.now += TICK
            for (source, target), queue in list(self.way.items()):
                while queue and queue[0][0] <= self.now and target in self.alive:
                    _, kind, raw = queue.pop(0)
                    self.alive[target].receive(source, kind, unpack(raw)[1], self.now)
                    self.settle(target)
            for name, replica in list(self.alive.items()):
                replica.tick(self.now, self.now)
                self.settle(name)

    @property
    def leader(self):
        got = [n for n, r in self.alive.items() if r.state == State.LEADER and r.leadership.ready]
        return max(got, key=lambda n: self.alive[n].view) if got else ''

    def until(self, done, most):
        end = self.now + most
        while self.now < end and not done():
            self.go()
        return done()

    def put(self, key, size=200, number=0):
        leader = self.leader
        if leader and self.alive[leader].propose(change(key, size, number or self.now), None):
            self.settle(leader)

    def level(self, name):
        """Whether a replica is at most a few changes behind the leader."""
        leader = self.leader
        return bool(leader) and self.alive[name].commit_index >= self.alive[leader].commit_index - 3


def away(group, changes, size=200, keys=40):
    """One follower is away for so many changes; returns it."""
    assert group.until(lambda: group.leader, 5000)
    name = next(n for n in NAMES if n != group.leader)
    group.kill(name)
    for i in range(changes):
        group.put(f'k{i % keys}', size, i + 1)
        group.go()
    assert group.until(lambda: group.alive[group.leader].commit_index >= changes, 60000)
    return name


def same(group):
    """All hold the same rows once nothing changes any more."""
    assert group.until(lambda: len({r.commit_index for r in group.alive.values()}) == 1, 20000)
    rows = [r.machine.rows for r in group.alive.values()]
    assert all(r == rows[0] for r in rows)


@pytest.mark.parametrize('moment', range(0, 2200, 140))
def test_a_replica_that_restarts_in_the_middle_of_its_snapshot_catches_up(moment):
    group = Group(rate=50, keep_log=30, chunk=4000)
    name = away(group, 120, size=1500)
    group.start(name)
    group.go(moment)
    group.kill(name)
    group.go(100)
    group.start(name)
    assert group.until(lambda: group.level(name), 20000)
    same(group)


@pytest.mark.parametrize('every', [40, 100, 400])
def test_a_log_cut_during_the_snapshot_does_not_keep_a_replica_behind(every):
    """Changes go on through the whole transfer, and cut the log several times meanwhile."""
    group = Group(rate=50, keep_log=30, chunk=4000)
    name = away(group, 120, size=1500)
    group.start(name)
    was, end, count = group.starts, group.now + 30000, 0
    while group.now < end and not group.level(name):
        group.put(f'k{count % 40}', 400, 1000 + count)
        count += 1
        group.go(every)
    assert group.level(name), group.starts - was
    assert group.starts - was <= 2
    same(group)


@pytest.mark.parametrize('moment', range(200, 1800, 200))
def test_a_leader_that_changes_in_the_middle_of_a_snapshot_costs_one_more(moment):
    group = Group(keep_log=30, chunk=4000)
    name = away(group, 120, size=1500)
    group.rates[name] = 50
    group.start(name)
    was = group.starts
    group.go(moment)
    old = group.leader
    if old:
        group.alive[old].transfer_leadership()
        group.settle(old)
    assert group.until(lambda: group.leader not in ('', old) and group.level(name), 25000)
    assert group.starts - was <= 3
    same(group)


def test_the_log_is_bounded_by_its_bytes():
    """Hundreds of changes of a large document: memory and disk hold only so much of them."""
    group = Group(keep_log=2000, keep_bytes=2 << 20)
    assert group.until(lambda: group.leader, 5000)
    for i in range(200):
        group.put('document', 250_000, i + 1)
        group.go()
    for name, replica in group.alive.items():
        assert replica.log.size <= 4 << 20, name
        assert sum(len(raw) for _, raw in group.disks[name].load('g')['log']) <= 4 << 20, name
    assert all(r.commit_index > 190 for r in group.alive.values())
    name = next(n for n in NAMES if n != group.leader)
    group.kill(name)
    group.start(name)
    assert group.until(lambda: group.level(name), 5000)
    same(group)
