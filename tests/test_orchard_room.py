"""Which room a step may take, what is kept for gangs, and how long work waits for the rack that suits it."""

from yard_cell import QUEUES, A, B, C, Cell

LONG = {'estimate_ms': 60000}


def where(cell, job):
    return {k: m for m in cell.minions for k in cell.on(m) if k.startswith(job)}


def count(cell, what):
    return cell.b.count[what]


def test_room_is_kept_for_a_gang_that_waits_for_its_rack():
    cell = Cell(QUEUES)
    for m in ('m1', 'm2'):
        cell.minion(m, rack='r1')
    cell.submit(A, steps=[{'count': 2, 'cpu': 2500, **LONG}])
    cell.go(300)
    cell.submit(B, steps=[{'count': 2, 'cpu': 4000, 'together': True, 'one_rack': True, **LONG}])
    cell.go(1500)
    # small work that came later leaves the rack alone
    cell.submit(C, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(500)
    assert not where(cell, C) and count(cell, 'room.kept')
    for task, mid in where(cell, A).items():
        cell.minions[mid].end(task)
    cell.go(1000)
    assert len(where(cell, B)) == 2


def test_no_room_is_kept_while_much_of_it_is_free():
    cell = Cell(QUEUES)
    for m in ('m1', 'm2', 'm3', 'm4'):
        cell.minion(m, rack='r1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 3000, **LONG}])
    cell.go(300)
    cell.submit(B, steps=[{'count': 4, 'cpu': 4000, 'together': True, 'one_rack': True, **LONG}])
    cell.go(1500)
    assert not count(cell, 'room.kept')
    cell.submit(C, steps=[{'count': 3, 'cpu': 4000, **LONG}])
    cell.go(500)
    assert len(where(cell, C)) == 3


def test_an_emptied_zone_counts_as_room_that_is_free():
    cell = Cell(QUEUES)
    for mid, rack, zone in (('m1', 'r1', 'z1'), ('m2', 'r1', 'z1'), ('m3', 'r2', 'z2'), ('m4', 'r2', 'z2')):
        cell.minion(mid, rack=rack, zone=zone)
    assert cell.ask('zone_set', grp='core', zone='z2', emptied=True)[0] == 'ok'
    cell.submit(A, steps=[{'count': 2, 'cpu': 2500, **LONG}])
    cell.go(300)
    # 0.62 of the open zone is in use, but 0.31 of the service
    cell.submit(B, steps=[{'count': 2, 'cpu': 4000, 'together': True, 'one_rack': True, **LONG}])
    cell.go(1500)
    assert not count(cell, 'room.kept')
    cell.submit(C, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    cell.go(500)
    assert len(where(cell, C)) == 1


def test_work_that_was_started_before_waits_half_as_long_for_its_rack():
    cell = Cell(QUEUES)
    cell.minion('m1', rack='r1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, 'near': 'r1', **LONG}])
    cell.go(300)
    [(task, mid)] = where(cell, A).items()
    cell.submit(B, queue='quick', steps=[{'count': 1, 'cpu': 4000, **LONG}])
    cell.minions['m1'].end(task, 'failed')
    cell.until(lambda: where(cell, B))
    cell.minion('m2', rack='r2')
    # never started before, it would wait for 1,750 ms
    cell.go(1000)
    assert (mid, where(cell, A)) == ('m1', {task: 'm2'})


def test_a_gang_that_its_datas_rack_cannot_take_goes_elsewhere():
    cell = Cell(QUEUES)
    for m, rack in (('m1', 'r1'), ('m2', 'r2'), ('m3', 'r2')):
        cell.minion(m, rack=rack)
    cell.submit(A, steps=[{'count': 2, 'cpu': 4000, 'near': 'r1', 'together': True, **LONG}])
    cell.go(400)
    assert len(where(cell, A)) == 2
    # where the rack could take it, that is waited for, within bounds
    cell = Cell(QUEUES)
    for m, rack in (('m1', 'r1'), ('m2', 'r1'), ('m3', 'r2'), ('m4', 'r2')):
        cell.minion(m, rack=rack)
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, 'near': 'r1', **LONG}])
    cell.go(300)
    cell.submit(B, steps=[{'count': 2, 'cpu': 3000, 'near': 'r1', 'together': True, **LONG}])
    cell.go(1000)
    assert not where(cell, B)
    cell.go(1500)
    assert set(where(cell, B).values()) == {'m3', 'm4'}


def test_work_does_not_wait_for_a_rack_that_could_never_hold_it():
    cell = Cell(QUEUES)
    cell.minion('m1', rack='r1', cpu=1000)
    cell.minion('m2', rack='r2')
    cell.submit(A, steps=[{'count': 1, 'cpu': 2000, 'near': 'r1', **LONG}])
    cell.go(300)
    assert list(where(cell, A).values()) == ['m2']


def test_work_waits_for_the_rack_of_its_data_but_not_for_long():
    cell = Cell(QUEUES)
    cell.minion('m1', rack='r1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, **LONG}])
    cell.go(300)
    cell.minion('m2', rack='r2')
    cell.submit(B, steps=[{'count': 1, 'cpu': 1000, 'near': 'r1', **LONG}])
    cell.go(1000)
    assert not where(cell, B)
    cell.go(2000)
    assert list(where(cell, B).values()) == ['m2']
