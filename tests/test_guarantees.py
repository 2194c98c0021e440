"""The share of a group's room that less urgent work has, once it has waited for its aim behind more urgent work."""

from yard_cell import Cell

QUEUES = {
    'number': 1,
    'queues': [
        {'name': 'q', 'host': 'a', 'prefix': '/q/', 'group': 'g', 'priority': 0, 'stretch': 50.0, 'aim_ms': 1000},
        {
            'name': 'batch',
            'host': 'a',
            'prefix': '/batch/',
            'group': 'g',
            'priority': 2,
            'stretch': 50.0,
            'aim_ms': 1000,
        },
    ],
    'groups': [{'name': 'g'}],
}
RUNNING, BACKLOG, BATCH, GANG = (letter * 16 for letter in 'abcd')
# what the stand-in's runs take by themselves
USUAL = {'estimate_ms': 20000}


def backlogged(wait_ms, batch_tasks=10):
    """Five minions full of urgent work, more of it waiting, and less urgent work that has waited so long."""
    cell = Cell(QUEUES)
    for i in range(5):
        cell.minion(f'm{i}')
    cell.submit(RUNNING, steps=[{'count': 20, 'cpu': 1000, **USUAL}])
    cell.go(300)
    cell.submit(BACKLOG, steps=[{'count': 40, 'cpu': 1000, **USUAL}])
    cell.submit(BATCH, queue='batch', steps=[{'count': batch_tasks, 'cpu': 1000, **USUAL}])
    cell.go(wait_ms)
    return cell


def runs(cell, job):
    return [task for name in cell.minions for task in cell.on(name) if task.startswith(job)]


def end_some(cell, count):
    """So many of the first job's runs end, are told of, and what takes their room is placed."""
    ended = runs(cell, RUNNING)[:count]
    for task in ended:
        name = next(name for name in cell.minions if task in cell.on(name))
        cell.minions[name].end(task)
    assert cell.until(lambda: not set(ended) & set(runs(cell, RUNNING)))
    cell.go(200)


def test_urgent_work_goes_first_until_the_other_has_waited_for_its_aim():
    cell = backlogged(200)
    end_some(cell, 8)
    assert len(runs(cell, BACKLOG)) == 8 and not runs(cell, BATCH)


def test_work_that_has_waited_gets_its_share_and_no_more():
    cell = backlogged(1500)
    end_some(cell, 8)
    # a fifth of 20000
    assert len(runs(cell, BATCH)) == 4 and len(runs(cell, BACKLOG)) == 4
    end_some(cell, 4)
    assert len(runs(cell, BATCH)) == 4


def test_what_is_not_wanted_of_a_share_goes_to_urgent_work():
    cell = backlogged(1500, batch_tasks=1)
    end_some(cell, 8)
    assert len(runs(cell, BATCH)) == 1 and len(runs(cell, BACKLOG)) == 7


def test_urgent_work_does_not_push_out_what_stands_in_its_share():
    cell = Cell(QUEUES)
    cell.minion('m1', cpu=5000)
    cell.submit(BATCH, queue='batch', steps=[{'count': 1, 'cpu': 1000, **USUAL}])
    cell.submit(RUNNING, steps=[{'count': 4, 'cpu': 1000, **USUAL}])
    cell.go(300)
    cell.submit(BACKLOG, steps=[{'count': 1, 'cpu': 1000, **USUAL}])
    cell.go(900)
    assert not cell.b.count['moved.pushed'] and runs(cell, BATCH)


def test_urgent_work_pushes_out_what_is_beyond_its_share():
    cell = Cell(QUEUES)
    cell.minion('m1', cpu=5000)
    cell.submit(BATCH, queue='batch', steps=[{'count': 5, 'cpu': 1000, **USUAL}])
    cell.go(300)
    cell.submit(BACKLOG, steps=[{'count': 5, 'cpu': 1000, **USUAL}])
    assert cell.until(lambda: runs(cell, BACKLOG))
    cell.go(1500)
    assert len(runs(cell, BATCH)) >= 1


def test_reserved_room_is_not_taken_for_a_share():
    cell = Cell(QUEUES)
    for name in ('m1', 'm2'):
        cell.minion(name, rack='r1')
    cell.submit(RUNNING, steps=[{'count': 2, 'cpu': 4000, 'estimate_ms': 60000}])
    cell.go(300)
    for name in ('m1', 'm2'):
        cell.minions[name].rates[cell.on(name)[0]] = 20
    cell.submit(GANG, steps=[{'count': 2, 'cpu': 4000, 'together': True, 'one_rack': True, **USUAL}])
    cell.submit(BATCH, queue='batch', steps=[{'count': 1, 'cpu': 1000, **USUAL}])
    cell.go(1600)
    end_some(cell, 1)
    assert not runs(cell, BATCH)
    end_some(cell, 1)
    assert cell.until(lambda: len(runs(cell, GANG)) == 2)


def test_no_more_room_is_reserved_ahead_of_a_share_that_is_not_met():
    cell = Cell(QUEUES)
    for i in range(5):
        cell.minion(f'm{i}')
    cell.submit(RUNNING, steps=[{'count': 5, 'cpu': 4000, **USUAL}])
    cell.go(300)
    cell.submit(BATCH, queue='batch', steps=[{'count': 4, 'cpu': 1000, **USUAL}])
    cell.go(1500)
    # a large task of the urgent queue comes: it would have a whole minion reserved, at once and again
    cell.submit(BACKLOG, steps=[{'count': 4, 'cpu': 3000, **USUAL}])
    cell.go(1500)
    assert not cell.b.count['room.kept']
    end_some(cell, 1)
    # the share goes first; what is left of the minion is too small for the large task
    assert len(runs(cell, BATCH)) == 4 and not runs(cell, BACKLOG)
    cell.go(1500)
    # the share is met: now room is reserved for the urgent one
    assert cell.b.count['room.kept']


def test_all_shares_together_leave_most_of_the_room_to_urgent_work():
    names = [f'batch{i}' for i in range(6)]
    more = [dict(QUEUES['queues'][1], name=name, prefix=f'/{name}/', priority=2 + i) for i, name in enumerate(names)]
    cell = Cell(dict(QUEUES, queues=[QUEUES['queues'][0], *more]))
    for i in range(5):
        cell.minion(f'm{i}')
    cell.submit(RUNNING, steps=[{'count': 20, 'cpu': 1000, **USUAL}])
    cell.go(300)
    cell.submit(BACKLOG, steps=[{'count': 40, 'cpu': 1000, **USUAL}])
    for i, name in enumerate(names):
        cell.submit(f'{i}' * 16, queue=name, steps=[{'count': 10, 'cpu': 1000, **USUAL}])
    cell.go(1500)
    end_some(cell, 20)
    # six shares of a fifth would be more than there is: two fifths for all of them
    assert len(runs(cell, BACKLOG)) == 12
    assert sum(len(runs(cell, f'{i}' * 16)) for i in range(6)) == 8
