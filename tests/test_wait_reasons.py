"""Counters and log lines that tell why steps wait for a start."""

from yard_cell import QUEUES, A, B, C, Cell

from asterwharf.orchard import wait_reasons

LONG = {'estimate_ms': 60000}


def waited(cell, reason, queue='q'):
    return cell.b.count[f'waited_ms.{queue}.{reason}']


def reports(cell):
    return [fields for _, event, fields in cell.logged if event == 'steps wait']


def test_work_that_finds_no_room_says_so():
    cell = Cell(QUEUES)
    cell.minion('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, **LONG}])
    cell.submit(B, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(2000)
    assert 1200 <= waited(cell, 'no_room') <= 2100
    assert not waited(cell, 'reserved') and not waited(cell, 'suspect')


def test_work_beside_reserved_room_says_so():
    cell = Cell(QUEUES)
    for name in ('m1', 'm2'):
        cell.minion(name, rack='r1')
    cell.submit(A, steps=[{'count': 2, 'cpu': 2500, **LONG}])
    cell.go(300)
    cell.submit(B, steps=[{'count': 2, 'cpu': 4000, 'together': True, 'one_rack': True, **LONG}])
    cell.go(1500)
    cell.submit(C, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(1500)
    assert waited(cell, 'reserved') >= 700


def test_work_beside_a_suspected_minion_says_so():
    cell = Cell(QUEUES)
    cell.minion('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(300)
    for _ in range(3):
        cell.placer.health.failed('m1')
    cell.submit(B, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(1500)
    assert waited(cell, 'suspect') >= 700


def test_a_gang_with_room_for_some_of_its_members_says_so():
    cell = Cell(QUEUES)
    cell.minion('m1')
    cell.minion('m2')
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, **LONG}])
    cell.go(300)
    cell.submit(B, steps=[{'count': 2, 'cpu': 3000, 'together': True, **LONG}])
    cell.go(1500)
    assert waited(cell, 'members') >= 700


def test_late_work_is_logged_with_its_reasons_and_what_is_in_use():
    cell = Cell(QUEUES)
    cell.minion('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, **LONG}])
    cell.submit(B, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(5000)
    late = reports(cell)
    assert late and all((line['queue'], line['reasons']) == ('q', {'no_room': 1}) for line in late)
    assert late[-1]['group_in_use'] == 1.0 and late[-1]['longest_ms'] > 2000
    # once in a while, not at each decision
    assert len(late) <= 3


def test_a_step_that_is_placed_at_last_is_no_step_that_waits(monkeypatch):
    # each decision is looked at, also the one that places the step
    monkeypatch.setattr(wait_reasons, 'SAMPLE', 0)
    cell = Cell(QUEUES)
    cell.minion('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, **LONG}])
    cell.go(300)
    cell.submit(B, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(4000)
    cell.minions['m1'].end(f'{A}.0.0.0')
    cell.go(1000)
    assert cell.on('m1') == [f'{B}.0.0.0']
    assert not cell.b.count['violated.idle_room'] and not waited(cell, 'rack')
