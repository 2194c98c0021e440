"""Which room a step may take, what is kept for gangs, and how long work waits for the rack that suits it."""

from yard_cell import QUEUES, A, B, C, Cell

LONG = {'estimate_ms': 60000}


def where(c, job):
    return {k: m for m in c.minions for k in c.on(m) if k.startswith(job)}


def count(c, what):
    return c.b.count[what]


def test_room_is_kept_for_a_gang_that_waits_for_its_rack():
    c = Cell(QUEUES)
    for m in ('m1', 'm2'):
        c.minion(m, rack='r1')
    c.submit(A, steps=[{'count': 2, 'cpu': 2500, **LONG}])
    c.go(300)
    c.submit(B, steps=[{'count': 2, 'cpu': 4000, 'together': True, 'one_rack': True, **LONG}])
    c.go(1500)
    # small work that came later leaves the rack alone
    c.submit(C, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(500)
    assert not where(c, C) and count(c, 'room.kept')
    for task, mid in where(c, A).items():
        c.minions[mid].end(task)
    c.go(1000)
    assert len(where(c, B)) == 2


def test_no_room_is_kept_while_much_of_it_is_free():
    c = Cell(QUEUES)
    for m in ('m1', 'm2', 'm3', 'm4'):
        c.minion(m, rack='r1')
    c.submit(A, steps=[{'count': 1, 'cpu': 3000, **LONG}])
    c.go(300)
    c.submit(B, steps=[{'count': 4, 'cpu': 4000, 'together': True, 'one_rack': True, **LONG}])
    c.go(1500)
    assert not count(c, 'room.kept')
    c.submit(C, steps=[{'count': 3, 'cpu': 4000, **LONG}])
    c.go(500)
    assert len(where(c, C)) == 3


def test_an_emptied_zone_counts_as_room_that_is_free():
    c = Cell(QUEUES)
    for mid, rack, zone in (('m1', 'r1', 'z1'), ('m2', 'r1', 'z1'), ('m3', 'r2', 'z2'), ('m4', 'r2', 'z2')):
        c.minion(mid, rack=rack, zone=zone)
    assert c.ask('zone_set', grp='core', zone='z2', emptied=True)[0] == 'ok'
    c.submit(A, steps=[{'count': 2, 'cpu': 2500, **LONG}])
    c.go(300)
    # 0.62 of the open zone is in use, but 0.31 of the service
    c.submit(B, steps=[{'count': 2, 'cpu': 4000, 'together': True, 'one_rack': True, **LONG}])
    c.go(1500)
    assert not count(c, 'room.kept')
    c.submit(C, steps=[{'count': 1, 'cpu': 1000, **LONG}])
    c.go(500)
    assert len(where(c, C)) == 1


def test_work_that_was_started_before_waits_half_as_long_for_its_rack():
    c = Cell(QUEUES)
    c.minion('m1', rack='r1')
    c.submit(A, steps=[{'count': 1, 'cpu': 4000, 'near': 'r1', **LONG}])
    c.go(300)
    [(task, mid)] = where(c, A).items()
    c.submit(B, queue='quick', steps=[{'count': 1, 'cpu': 4000, **LONG}])
    c.minions['m1'].end(task, 'failed')
    c.until(lambda: where(c, B))
    c.minion('m2', rack='r2')
    # never started before, it would wait for 1,750 ms
    c.go(1000)
    assert (mid, where(c, A)) == ('m1', {task: 'm2'})


def test_a_gang_that_its_datas_rack_cannot_take_goes_elsewhere():
    c = Cell(QUEUES)
    for m, rack in (('m1', 'r1'), ('m2', 'r2'), ('m3', 'r2')):
        c.minion(m, rack=rack)
    c.submit(A, steps=[{'count': 2, 'cpu': 4000, 'near': 'r1', 'together': True, **LONG}])
    c.go(400)
    assert len(where(c, A)) == 2
    # where the rack could take it, that is waited for, within bounds
    c = Cell(QUEUES)
    for m, rack in (('m1', 'r1'), ('m2', 'r1'), ('m3', 'r2'), ('m4', 'r2')):
        c.minion(m, rack=rack)
    c.submit(A, steps=[{'count': 1, 'cpu': 4000, 'near': 'r1', **LONG}])
    c.go(300)
    c.submit(B, steps=[{'count': 2, 'cpu': 3000, 'near': 'r1', 'together': True, **LONG}])
    c.go(1000)
    assert not where(c, B)
    c.go(1500)
    assert set(where(c, B).values()) == {'m3', 'm4'}


def test_work_does_not_wait_for_a_rack_that_could_never_hold_it():
    c = Cell(QUEUES)
    c.minion('m1', rack='r1', cpu=1000)
    c.minion('m2', rack='r2')
    c.submit(A, steps=[{'count': 1, 'cpu': 2000, 'near': 'r1', **LONG}])
    c.go(300)
    assert list(where(c, A).values()) == ['m2']


def test_work_waits_for_the_rack_of_its_data_but_not_for_long():
    c = Cell(QUEUES)
    c.minion('m1', rack='r1')
    c.submit(A, steps=[{'count': 1, 'cpu': 4000, **LONG}])
    c.go(300)
    c.minion('m2', rack='r2')
    c.submit(B, steps=[{'count': 1, 'cpu': 1000, 'near': 'r1', **LONG}])
    c.go(1000)
    assert not where(c, B)
    c.go(2000)
    assert list(where(c, B).values()) == ['m2']
