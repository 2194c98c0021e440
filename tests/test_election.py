"""Elections and leases of pure replicas: no vote while a lease may stand, also across restarts and transfers."""

import random

import pytest

from asterwharf.base.settings import View
from asterwharf.consensus.replica import Replica
from asterwharf.scheduler.cell import Cell
from asterwharf.wire import kinds  # noqa: F401

SILENCE = 1000
# as in the controller of minions: of the silence bound, how long a lease lasts
LEASE = 0.8


class Group:
    """Replicas joined by a network that keeps, loses or delays messages as told; each syncs at once."""

    def __init__(self, names='abc'):
        self.now, self.net, self.cut, self.results = 0, [], set(), []
        self.disks = {n: {'meta': None, 'log': [], 'rows': {}} for n in names}
        self.replicas = {n: self.start(n) for n in names}
        for replica in self.replicas.values():
            replica.found(dict.fromkeys(names, 'i'))

    def start(self, name):
        rng = random.Random(ord(name))
        return Replica('g', name, 'i', View(silence_ms=SILENCE), rng, Cell(), self.disks[name], self.now)

    def restart(self, name):
        self.replicas[name] = self.start(name)
        self.net = [m for m in self.net if m[1] != name]

    def flush(self, name):
        replica, disk = self.replicas[name], self.disks[name]
        while True:
            out = replica.take_output()
            self.net += [(name, m.destination, m.kind, m.body) for m in out.messages]
            self.results += [(name, r.token, r.value) for r in out.results]
            if out.batch is None:
                return
            if out.batch.trim is not None:
                disk['log'] = [row for row in disk['log'] if row[0] < out.batch.trim]
            disk['log'] = disk['log'] + out.batch.log
            disk['meta'] = out.batch.meta or disk['meta']
            replica.synced(out.batch.num, 0, self.now)

    def deliver(self):
        """All that is under way arrives, but for what goes to or comes from a replica that is cut off."""
        while self.net:
            source, name, kind, body = self.net.pop(0)
            if name in self.replicas and not {source, name} & self.cut:
                # a schema's reader fills in the fields that an older writer does not know
                self.replicas[name].receive(source, kind, {'appointed': False} | body, self.now)
                self.flush(name)

    def run(self, span, step=20):
        for _ in range(0, span, step):
            self.now += step
            for name, replica in self.replicas.items():
                if name not in self.cut:
                    replica.tick(self.now, self.now)
                    self.flush(name)
            self.deliver()

    def leader(self):
        for _ in range(1000):
            got = [n for n, r in self.replicas.items() if r.leadership and r.leadership.ready]
            if got:
                return got[0]
            self.run(20)
        raise AssertionError('nobody leads')

    def leased(self, name):
        """Whether this replica may hand out holds and starts now."""
        leadership = self.replicas[name].leadership
        return leadership is not None and self.now - leadership.lease_start() < SILENCE * LEASE


@pytest.fixture
def group():
    return Group()


def test_a_read_that_waits_is_answered_when_the_leadership_is_lost(group):
    old = group.leader()
    group.cut = {n for n in group.replicas if n != old}
    assert group.replicas[old].confirm(77)
    group.run(SILENCE * 3)
    assert not group.replicas[old].leadership
    assert (old, 77, None) in group.results
