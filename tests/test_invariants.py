"""The checks that placement makes of itself: silent while all is well, counted and logged when the code is broken."""

import pytest
from yard_cell import A, B, C, Cell

from asterwharf.orchard.rooms import Rooms

LONG = {'estimate_ms': 60000}
QUEUES = {
    'number': 1,
    'queues': [
        {'name': 'q', 'host': 'a', 'prefix': '/q/', 'group': 'g', 'priority': 1},
        {'name': 'batch', 'host': 'a', 'prefix': '/batch/', 'group': 'g', 'priority': 2},
    ],
    'groups': [{'name': 'g'}],
}


def beside_a_reservation():
    """A gang waits for a rack, and less urgent work behind it; then one minion of the rack is free."""
    cell = Cell(QUEUES)
    for name in ('m1', 'm2'):
        cell.minion(name, rack='r1')
    cell.submit(A, steps=[{'count': 2, 'cpu': 4000, **LONG}])
    cell.go(300)
    for name in ('m1', 'm2'):
        [task] = cell.on(name)
        # percent a second: both are as fast, so that the one that goes on is not held to crawl
        cell.minions[name].rates[task] = 30
    cell.submit(B, steps=[{'count': 2, 'cpu': 4000, 'together': True, 'one_rack': True, **LONG}])
    cell.go(1500)
    cell.submit(C, queue='batch', steps=[{'count': 2, 'cpu': 1000, **LONG}])
    [task] = cell.on('m1')
    cell.minions['m1'].end(task)
    cell.go(1500)
    return cell


def violations(cell):
    return {fields['invariant'] for level, event, fields in cell.logged if event == 'invariant violated'}


def test_a_reservation_that_holds_violates_nothing():
    cell = beside_a_reservation()
    assert not violations(cell) and not cell.on('m1')


def test_less_urgent_work_in_reserved_room_is_found(monkeypatch):
    monkeypatch.setattr(Rooms, 'hold', lambda self, reservation: None)
    cell = beside_a_reservation()
    assert violations(cell) == {'reserved_room'}
    assert cell.b.count['violated.reserved_room'] >= 1


@pytest.mark.parametrize('broken', [False, True])
def test_work_that_waits_beside_free_room_is_found(monkeypatch, broken):
    if broken:
        # a decision that finds no room anywhere
        monkeypatch.setattr(Rooms, 'fit', lambda self, step, waited: [])
    cell = Cell(QUEUES)
    cell.minion('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(4000)
    assert violations(cell) == ({'idle_room'} if broken else set())
