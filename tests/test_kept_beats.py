"""Beats that come while there is no leader wait for the next one, instead of being sent to the one that is lost."""

from dataclasses import replace

import pytest
from yard_cell import QUEUES, Cell

from asterwharf.orchard.minion_link import REGISTERED
from asterwharf.sim import yard_fleet
from asterwharf.sim.yard_calls import find
from asterwharf.sim.yard_sites import OPEN


def registered_after(seed, monkeypatch, without):
    """How long after an election every tenth minion but one is registered with the new leader, ms."""
    usual = yard_fleet.YardFleet._bounds
    monkeypatch.setattr(yard_fleet.YardFleet, '_bounds', lambda fleet: replace(usual(fleet), without=without))
    fleet = yard_fleet.YardFleet(seed, OPEN)
    fleet.start()
    world = fleet.w
    assert world.until(lambda: fleet.whole() and fleet.holder('commons'), 20000)
    world.run(world.t + 5000)
    old = fleet.holder('commons')
    fleet.down(old, 8000, dark=True)
    assert world.until(lambda: fleet.holder('commons') not in ('', old), 6000)
    begun, tender = world.t, find(fleet.node(fleet.holder('commons')), 'Tender')
    most = 0.9 * len(fleet.minions)
    assert world.until(lambda: sum(link.state == REGISTERED for link in tender.links.values()) >= most, 6000)
    return world.t - begun


def test_minions_find_the_next_leader_sooner(monkeypatch):
    seeds = range(1, 6)
    kept = [registered_after(seed, monkeypatch, []) for seed in seeds]
    monkeypatch.undo()
    sent_on = [registered_after(seed, monkeypatch, ['kept_beats']) for seed in seeds]
    assert sum(kept) < 0.8 * sum(sent_on), (kept, sent_on)


@pytest.fixture
def cell():
    cell = Cell(QUEUES)
    cell.minion('m1')
    cell.mute = {'m1'}
    cell.go(1500)
    return cell


def beat(cell, got):
    minion = cell.minions['m1']
    minion.count += 1
    document = dict(minion.fix, count=minion.count, running=[], finished=[])
    cell.tender.beat('m1', document, lambda code, body=None: got.append(code))


def test_a_beat_at_a_seat_without_a_leader_is_given_back_within_the_second_it_is_worth(cell, monkeypatch):
    monkeypatch.setattr(type(cell.tender), 'acts', lambda tender: False)
    got = []
    beat(cell, got)
    cell.go(400)
    assert not got
    cell.go(100)
    assert got == ['no_holder'] and not cell.tender.kept


def test_a_kept_beat_is_taken_once_this_seat_leads(cell, monkeypatch):
    acts = type(cell.tender).acts
    monkeypatch.setattr(type(cell.tender), 'acts', lambda tender: False)
    got = []
    beat(cell, got)
    cell.go(200)
    monkeypatch.setattr(type(cell.tender), 'acts', acts)
    cell.go(40)
    assert not cell.tender.kept and cell.b.count['beats.kept'] == 1
    assert cell.tender.links['m1'].recv >= cell.now - 40
    # within the second that began when it came: 0.7 s after that
    cell.go(400)
    assert not got
    cell.go(120)
    assert got == ['ok']


def test_a_seat_whose_leader_is_heard_sends_beats_there_at_once(cell, monkeypatch):
    monkeypatch.setattr(type(cell.tender), 'acts', lambda tender: False)
    monkeypatch.setattr(type(cell.tender.kept), 'leaderless', lambda kept: False)
    cell.b.holders['commons'] = ('t1', 3)
    cell.b.nodes['t1'] = {'calls': '10.0.0.2:2'}
    cell.b.links['t1'] = {'role': 'trellis'}
    got = []
    beat(cell, got)
    assert got == ['elsewhere'] and not cell.tender.kept
