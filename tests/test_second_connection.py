"""Two connections between the same two nodes: which one both ends keep, and when the older one is given up as half-open."""

from types import SimpleNamespace

import pytest

from asterwharf.wire import daemon, links

BOUND, ME, LESSER, GREATER = 700, 'm', 'a', 'z'


class Connection(links.Link):
    """A connection whose bytes go nowhere."""

    def __init__(self, own, out):
        self.out, self.closed = out, False
        self.setup(own, self)

    def raw(self, data):
        pass

    def patience(self, ms):
        pass

    def close(self):
        self.closed = True


@pytest.fixture
def node(monkeypatch):
    """A daemon without sockets; `clock.now` is its clock."""
    clock = SimpleNamespace(now=10_000)
    for module in (daemon, links):
        monkeypatch.setattr(module, 'boot_ms', lambda: clock.now)
    own = daemon.Daemon.__new__(daemon.Daemon)
    own.clock, own.lost, own.peers, own.conns, own.again = clock, [], {}, {}, False
    own.trials = SimpleNamespace(cut=set(), mute=set(), wall=lambda: 0)
    own.b = SimpleNamespace(
        me=ME, links={}, set=SimpleNamespace(token='', view=SimpleNamespace(silence_ms=BOUND)), count={}
    )
    own.node = SimpleNamespace(
        up=lambda name, doc, *at: own.b.links.__setitem__(name, doc),
        lost=lambda name, *at: (own.lost.append(name), own.b.links.pop(name, None)),
        hear=lambda *record: None,
    )
    return own


def greet(node, name, out, incarnation='i1'):
    """A new connection on which this peer has just greeted; whether it was kept."""
    connection = Connection(node, out)
    kept = node._greet(connection, {'name': name, 'inc': incarnation, 'role': 'trellis', 'token': ''})
    return connection, kept


@pytest.mark.parametrize(('name', 'out'), [(LESSER, False), (GREATER, True)])
def test_a_connection_that_has_been_silent_gives_way_to_the_peers_new_one(node, name, out):
    # the peer gave the old one up in a one-way cut, and its reset was lost: only this end still holds it
    old, _ = greet(node, name, out)
    node.clock.now += BOUND * 2 + 1
    new, kept = greet(node, name, not out)
    assert kept and node.peers[name] is new and old.closed and not new.closed
    # what was said into the old one is lost: the node hears that the peer was lost and is up again
    assert node.lost == [name] and name in node.b.links


@pytest.mark.parametrize(('name', 'out'), [(LESSER, False), (GREATER, True)])
def test_of_two_dials_at_once_both_ends_keep_the_one_dialled_by_the_lesser_name(node, name, out):
    old, _ = greet(node, name, out)
    node.clock.now += BOUND
    new, kept = greet(node, name, not out)
    assert not kept and not node.lost and node.peers[name] is old and new.closed and not old.closed
    other, kept = greet(node, name, out)
    assert not kept and node.peers[name] is old and other.closed


@pytest.mark.parametrize(('name', 'out'), [(LESSER, False), (GREATER, True)])
def test_a_connection_that_is_heard_is_kept_however_old(node, name, out):
    old, _ = greet(node, name, out)
    for _ in range(5):
        node.clock.now += BOUND
        old.read(b'')
    new, kept = greet(node, name, not out)
    assert not kept and node.peers[name] is old and new.closed


def test_what_a_test_filter_holds_back_is_not_heard(node):
    old, _ = greet(node, LESSER, False)
    old.cut(True, True)
    node.clock.now += BOUND * 2 + 1
    old.read(b'held')
    new, kept = greet(node, LESSER, True)
    assert kept and node.peers[LESSER] is new


def test_a_new_process_under_the_name_is_told_lost_and_up(node):
    greet(node, LESSER, False)
    new, kept = greet(node, LESSER, True, 'i2')
    assert kept and node.lost == [LESSER] and node.b.links[LESSER]['inc'] == 'i2' and node.peers[LESSER] is new
