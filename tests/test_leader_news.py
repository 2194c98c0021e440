"""What a node believes about who leads a group, from what its peers tell it."""

import random

import pytest

from asterwharf.base.board import Board
from asterwharf.base.settings import Settings
from asterwharf.ring.meet import Meet
from asterwharf.sim.yard_fleet import YardFleet
from asterwharf.sim.yard_sites import OPEN

GROUP = 'commons'


class Edge:
    """An edge node that hears rolls."""

    def __init__(self):
        settings = Settings(name='e', bind='10.0.0.9:1', seeds=['10.0.0.1:1'])
        self.board = Board(settings, 'furrow', 'i', random.Random(1))
        self.board.links = {n: {'role': 'trellis', 'addr': f'10.0.0.{i}:1'} for i, n in enumerate('abc')}
        self.meet = Meet(self.board)

    def hears(self, peer, **leaders):
        told = {GROUP: list(leaders[GROUP])} if GROUP in leaders else {}
        self.meet.on_roll(peer, {'node': [], 'met': [], 'empty': False, 'inc': 'x', 'known': [], 'holders': told})
        return self.board.holders.get(GROUP)


@pytest.fixture
def edge():
    edge = Edge()
    assert edge.hears('a', commons=('a', 3)) == ('a', 3)
    return edge


def test_a_leader_that_names_itself_no_more_is_believed(edge):
    assert edge.hears('a') is None


def test_hearsay_about_a_leader_that_stepped_down_is_not_believed(edge):
    edge.hears('a')
    assert edge.hears('b', commons=('a', 3)) is None
    # but the next one is, and the same one where it says so itself
    assert edge.hears('a', commons=('a', 3)) == ('a', 3)
    edge.hears('a')
    assert edge.hears('b', commons=('c', 4)) == ('c', 4)


def test_a_peer_that_knows_no_leader_takes_nothing_back_from_another(edge):
    assert edge.hears('b') == ('a', 3)
    assert edge.hears('c', commons=('c', 2)) == ('a', 3)


def test_no_peer_makes_a_node_believe_that_it_leads(edge):
    edge.board.me = 'a'
    edge.board.holders.clear()
    assert edge.hears('b', commons=('a', 3)) is None


def test_the_edges_of_a_zone_that_is_cut_off_learn_that_its_leader_leads_no_more():
    fleet = YardFleet(11, OPEN)
    fleet.start()
    sim = fleet.w
    assert sim.until(lambda: fleet.holder(GROUP), 20000)
    sim.run(sim.t + 3000)
    leader = fleet.holder(GROUP)
    inside = {n for n, zone in fleet.zones.items() if zone == fleet.zones[leader]}
    edges = [e for e in fleet.edges if e in inside]
    assert edges and all(fleet.node(e).b.holders[GROUP][0] == leader for e in edges)
    pairs = fleet.cut(sorted(inside), sorted(set(fleet.zones) - inside))
    assert sim.until(lambda: fleet.holder(GROUP) not in ('', leader), 8000)
    sim.run(sim.t + fleet.view.silence_ms * 3)
    # the old leader is still linked to them, and was the last that they know of
    assert all(leader in fleet.node(e).b.links for e in edges)
    assert not [e for e in edges if GROUP in fleet.node(e).b.holders]
    fleet.mend(pairs)
    assert sim.until(
        lambda: {fleet.node(e).b.holders.get(GROUP, ('',))[0] for e in edges} == {fleet.holder(GROUP)}, 8000
    )
