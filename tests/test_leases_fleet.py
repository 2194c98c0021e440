"""Leases in a simulated fleet: whatever is cut, restarted or handed over, no two may act as leader at once."""

import pytest

from asterwharf.consensus.member import leave
from asterwharf.consensus.replica import Replica
from asterwharf.sim.fleet import Fleet

# as in the controller of minions: of the silence bound, how long a lease lasts
LEASE = 0.8
ROUNDS = 12


class Watch:
    """Looks every 10 ms which nodes may act as leader, and does the worst to the one that may."""

    def __init__(self, seed):
        self.f = Fleet(seed, minions=1, edges=1).start()
        assert self.f.ready()
        self.twice = []
        self.look()

    def leased(self, group):
        got = []
        for name in self.f.core:
            # a machine that was killed acts no more; one that is only cut off does
            member = self.f.member(name, group)
            if member is None or member.replica.leadership is None or self.f.w.hosts[name].frozen:
                continue
            replica = member.replica
            if replica.now - replica.leadership.lease_start() < replica.settings.silence_ms * LEASE:
                got.append(name)
        return got

    def look(self):
        for group in ('core', 'commons'):
            got = self.leased(group)
            if len(got) > 1:
                self.twice.append((self.f.w.t, group, got))
        self.f.w.after(10, self.look)

    def worst(self):
        """The leader is cut off, or hands over, in the moment in which the others restart."""
        f, w = self.f, self.f.w
        leader = f.holder('commons')
        others = [n for n in f.core if n != leader]
        how = w.rng.choice(('cut', 'cut', 'hand over', 'late'))
        if how == 'hand over':
            w._do(w.hosts[leader], lambda: leave(f.node(leader)))
        if how == 'late':
            w.freeze(others[0])
            w._do(w.hosts[leader], lambda: leave(f.node(leader)))
            w.after(w.rng.randint(500, 2500), w.thaw, others[0])
        w.run(w.t + w.rng.randint(0, 60))
        w.part([leader], others)
        for name in others:
            if how == 'cut' or w.rng.random() < 0.5:
                w.kill(name)
                w.after(w.rng.randint(1, 80), w.start, name)
        w.run(w.t + w.rng.randint(800, 4000))
        w.heal()
        for host in w.hosts.values():
            if host.frozen:
                w.thaw(host.name)
            if not host.alive:
                w.start(host.name)
        assert w.until(lambda: f.holder('commons') and f.holder('core'), 20000)
        w.run(w.t + 2000)

    def run(self):
        for _ in range(ROUNDS):
            self.worst()
        return self.twice


@pytest.mark.parametrize('seed', range(1, 5))
def test_no_two_nodes_ever_hold_a_lease_at_once(seed):
    assert not Watch(seed).run()


def test_without_the_wait_after_a_restart_two_nodes_hold_a_lease_at_once(monkeypatch):
    restore = Replica._restore

    def forgetful(self, saved):
        restore(self, saved)
        self.lease_possible_from = self.now - self.settings.silence_ms

    monkeypatch.setattr(Replica, '_restore', forgetful)
    assert Watch(1).run()
