"""Elections and leases of pure replicas: no vote while a lease may stand, also across restarts and transfers."""

import random

import pytest

from asterwharf.base.settings import View
from asterwharf.consensus.leader import NEVER
from asterwharf.consensus.replica import Replica
from asterwharf.consensus.states import State
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


def test_a_restarted_replica_takes_no_part_in_an_election_while_an_old_lease_may_stand(group):
    old = group.leader()
    group.run(500)
    assert group.leased(old)
    restarted, other = [n for n in group.replicas if n != old]
    # its answer is under way to the leader when the process ends; the third was cut off for long
    group.cut.add(other)
    group.run(SILENCE * 2)
    assert group.leased(old)
    group.restart(restarted)
    group.cut = {old}
    group.replicas[other].tick(group.now, group.now)
    group.flush(other)
    group.deliver()
    while group.leased(old):
        assert not group.replicas[other].leadership and not group.replicas[restarted].leadership
        group.run(20)
    # and then it does, without waiting for more than one bound and its spread
    group.run(SILENCE * 2)
    assert group.leader() != old


def test_a_restarted_replica_does_not_stand_itself_while_an_old_lease_may_stand(group):
    old = group.leader()
    group.run(500)
    name, other = [n for n in group.replicas if n != old]
    group.cut = {other}
    group.run(SILENCE * 2)
    group.restart(name)
    group.cut = {old}
    # the third would vote for it, and waits itself
    group.replicas[other].election_due = group.now + SILENCE * 5
    while group.leased(old):
        assert not group.replicas[name].leadership
        group.run(20)


def test_a_whole_group_that_restarts_leads_again_soon(group):
    group.leader()
    for name in group.replicas:
        group.restart(name)
    begin = group.now
    group.leader()
    assert group.now - begin < SILENCE * 2


def test_a_group_of_one_need_not_wait_for_itself():
    group = Group('a')
    group.leader()
    group.restart('a')
    begin = group.now
    group.leader()
    assert group.now - begin < SILENCE


def test_a_vote_is_refused_while_a_leader_is_heard_though_the_pre_vote_was_granted(group):
    old = group.leader()
    group.run(500)
    candidate, voter = [n for n in group.replicas if n != old]
    # one is cut off for long, then nobody hears the leader for a moment: the pre-vote is granted
    group.cut = {candidate}
    group.run(SILENCE * 2)
    group.cut = {candidate, old}
    while group.now - group.replicas[voter].leader_heard < SILENCE * 0.9:
        group.run(20)
    group.cut = {old}
    replica = group.replicas[candidate]
    replica.tick(group.now, group.now)
    group.flush(candidate)
    held = []
    while group.net:
        source, name, kind, body = group.net.pop(0)
        if kind == 'request_vote':
            held.append((source, name, kind, body))
        elif old not in (source, name):
            group.replicas[name].receive(source, kind, body, group.now)
            group.flush(name)
    assert replica.state == State.CANDIDATE and held
    # the old leader is heard by the voter again, which renews its lease, before the request arrives
    group.cut = {candidate}
    group.replicas[old].tick(group.now, group.now)
    group.flush(old)
    group.deliver()
    assert group.leased(old)
    group.cut = {old}
    group.net = held
    group.deliver()
    assert not replica.leadership, 'two may hand out starts'
    assert group.replicas[voter].view == group.replicas[old].view


def test_a_successor_named_by_the_leader_is_voted_for_at_once():
    # of five: the votes of leader and successor are no majority
    group = Group('abcde')
    old = group.leader()
    group.run(500)
    assert group.replicas[old].transfer_leadership()
    assert group.replicas[old].leadership.lease_start() == NEVER
    begin = group.now
    group.run(100)
    assert group.leader() != old and group.now - begin <= 200


def test_a_late_successor_finds_no_lease_of_the_leader_that_named_it(group):
    old = group.leader()
    group.run(500)
    assert group.replicas[old].transfer_leadership()
    successor = group.replicas[old].leadership.successor
    group.flush(old)
    late = [m for m in group.net if m[2] == 'transfer_leadership']
    group.net = [m for m in group.net if m[2] != 'transfer_leadership']
    assert late
    # the word lies in a cut connection; the leader goes on without the successor
    group.cut = {successor}
    group.run(SILENCE + 400)
    assert group.leader() == old and group.leased(old)
    # then it arrives, at a moment when the leader is heard by nobody
    group.cut = {old}
    for source, name, kind, body in late:
        group.replicas[name].receive(source, kind, body, group.now)
        group.flush(name)
    group.deliver()
    assert not group.replicas[successor].leadership or not group.leased(old)


def test_a_read_that_waits_is_answered_when_the_leadership_is_lost(group):
    old = group.leader()
    group.cut = {n for n in group.replicas if n != old}
    assert group.replicas[old].confirm(77)
    group.run(SILENCE * 3)
    assert not group.replicas[old].leadership
    assert (old, 77, None) in group.results


def forgets_its_earlier_life(patch):
    restore = Replica._restore

    def forgetful(self, saved):
        restore(self, saved)
        self.lease_possible_from = self.now - SILENCE

    patch.setattr(Replica, '_restore', forgetful)


def goes_on_in_its_view(patch):
    def go_on(self):
        self.leadership.successor, self.leadership.accepts_proposals = '', True

    patch.setattr(Replica, 'retake_leadership', go_on)


def votes_at_any_time(patch):
    patch.setattr(Replica, '_lease_may_stand', lambda self: False)


@pytest.mark.parametrize(
    'broken, test',
    [
        (forgets_its_earlier_life, test_a_restarted_replica_takes_no_part_in_an_election_while_an_old_lease_may_stand),
        (forgets_its_earlier_life, test_a_restarted_replica_does_not_stand_itself_while_an_old_lease_may_stand),
        (goes_on_in_its_view, test_a_late_successor_finds_no_lease_of_the_leader_that_named_it),
        (votes_at_any_time, test_a_vote_is_refused_while_a_leader_is_heard_though_the_pre_vote_was_granted),
    ],
)
def test_without_its_mechanism_each_trouble_is_seen(broken, test, monkeypatch):
    broken(monkeypatch)
    with pytest.raises(AssertionError):
        test(Group())
