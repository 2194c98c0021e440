"""Room that is reserved for work that needs much of it at once: it stays reserved, it is no more than is needed."""

from yard_cell import QUEUES, A, B, C, Cell

LONG = {'estimate_ms': 60000}


def placed(cell, job):
    """{task: minion} of a job's runs."""
    return {task: name for name in cell.minions for task in cell.on(name) if task.startswith(job)}


def end_on(cell, name, job):
    """Ends the run of a job on one minion, and lets the leader decide."""
    [task] = [task for task in cell.on(name) if task.startswith(job)]
    cell.minions[name].end(task)
    cell.go(700)


def test_a_rack_stays_reserved_when_another_one_looks_better_for_a_moment():
    cell = Cell(QUEUES)
    # name -> rack, and percent of its work that its run does a second: what runs in r1 is nearer to its end
    racks = {'m1': 'r1', 'm2': 'r1', 'm3': 'r1', 'm4': 'r2', 'm5': 'r2', 'm6': 'r2'}
    for name, rack in racks.items():
        cell.minion(name, rack=rack)
    cell.submit(A, steps=[{'count': 6, 'cpu': 4000, **LONG}])
    cell.go(300)
    for name, rack in racks.items():
        [task] = cell.on(name)
        cell.minions[name].rates[task] = 9 if rack == 'r1' else 4
    cell.go(3000)
    cell.submit(B, steps=[{'count': 3, 'cpu': 4000, 'together': True, 'one_rack': True, **LONG}])
    cell.submit(C, steps=[{'count': 24, 'cpu': 1000, **LONG}])
    cell.go(1500)
    end_on(cell, 'm1', A)
    # sooner than could be foretold, as much of r2 is free
    end_on(cell, 'm4', A)
    assert not cell.on('m1'), 'what was drained for the gang was given to other work'
    end_on(cell, 'm2', A)
    end_on(cell, 'm3', A)
    assert set(placed(cell, B).values()) == {'m1', 'm2', 'm3'}


def test_no_more_of_a_rack_is_reserved_than_the_gang_needs():
    cell = Cell(QUEUES)
    for name in ('m1', 'm2', 'm3'):
        cell.minion(name, rack='r1')
    cell.submit(A, steps=[{'count': 3, 'cpu': 2500, **LONG}])
    cell.go(300)
    # both members fit on one minion
    cell.submit(B, steps=[{'count': 2, 'cpu': 2000, 'together': True, 'one_rack': True, **LONG}])
    cell.go(1500)
    cell.submit(C, steps=[{'count': 2, 'cpu': 1500, **LONG}])
    cell.go(1000)
    assert len(placed(cell, C)) == 2


def test_room_that_is_left_beside_a_reservation_is_used():
    cell = Cell(QUEUES)
    cell.minion('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 2500, **LONG}])
    cell.go(300)
    cell.submit(B, steps=[{'count': 1, 'cpu': 3000, **LONG}])
    cell.go(1500)
    # 1000 beside the reserved 3000, and free now
    cell.submit(C, steps=[{'count': 2, 'cpu': 1000, **LONG}])
    cell.go(1000)
    assert len(placed(cell, C)) == 1
    end_on(cell, 'm1', A)
    assert placed(cell, B) == {f'{B}.0.0.0': 'm1'}


def test_room_made_by_pushing_work_out_is_not_given_back_to_that_work():
    cell = Cell(QUEUES)
    cell.minion('m1')
    cell.submit(A, steps=[{'count': 4, 'cpu': 1000, **LONG}])
    cell.go(600)
    cell.submit(B, queue='quick', steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 4000}])
    # its victims end one after the other; each leaves room for itself, and too little for what it made room for
    slow = cell.minions['m1']
    stops = []
    end = slow.end

    def late_end(task, how='done', save=''):
        if how != 'stopped':
            return end(task, how, save)
        if task not in stops:
            stops.append(task)

    slow.end = late_end
    assert cell.until(lambda: len(stops) == 4, 3000)
    for task in sorted(stops):
        end(task, 'stopped')
        cell.go(200)
    cell.go(500)
    assert list(placed(cell, B).values()) == ['m1']
    assert all(cell.cell.mac.task(task).top == 1 for task in stops), 'a victim took the room that its stop had made'


def test_no_more_is_pushed_out_while_room_that_was_made_waits_for_its_minion():
    cell = Cell(QUEUES)
    for name in ('m1', 'm2'):
        cell.minion(name)
    cell.submit(A, steps=[{'count': 8, 'cpu': 1000, **LONG}])
    cell.go(600)
    cell.submit(B, queue='quick', steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 4000}])
    assert cell.until(lambda: cell.b.count['moved.pushed'] == 1, 3000)
    [victim] = [
        name
        for name in cell.minions
        if len(cell.on(name)) == 4 and any(t.stop for t in cell.cell.mac.on[name].values())
    ]
    assert cell.until(lambda: len(cell.on(victim)) == 3 or placed(cell, B), 3000)
    # the minion is overdue with its beat for a while: it may get nothing, but its room is there
    if not placed(cell, B):
        cell.mute.add(victim)
        cell.go(900)
        assert cell.b.count['moved.pushed'] == 1
        cell.mute.discard(victim)
    assert cell.until(lambda: placed(cell, B), 3000)
    assert cell.b.count['moved.pushed'] == 1
