"""The order in which steps are placed where there is not room for all."""

from yard_cell import Cell

from asterwharf.orchard.urgency import chains_ms

QUEUES = {
    'number': 1,
    'queues': [
        {'name': 'q', 'host': 'a', 'prefix': '/q/', 'group': 'g', 'priority': 1, 'stretch': 2.0, 'aim_ms': 1000},
        {'name': 'quick', 'host': 'a', 'prefix': '/quick/', 'group': 'g', 'stretch': 2.0, 'aim_ms': 1000},
    ],
    'groups': [{'name': 'g'}],
}
HELD, OLD, NEW, URGENT, OLDEST = (letter * 16 for letter in 'abcde')


def job_on(cell, name='m1'):
    return [task.split('.')[0] for task in cell.on(name)]


def crowded(ms=0):
    """A cell whose four minions are taken by other work for so long, while a job of one second waits."""
    cell = Cell(QUEUES)
    for name in ('m1', 'm2', 'm3', 'm4'):
        cell.minion(name)
    cell.submit(HELD, steps=[{'count': 4, 'cpu': 4000, 'estimate_ms': 60000}])
    cell.go(300)
    cell.submit(OLD, steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 1000}])
    cell.go(ms)
    return cell


def next_job(cell):
    """Which job starts when the minion is free."""
    [task] = cell.on('m1')
    cell.minions['m1'].end(task)
    assert cell.until(lambda: cell.on('m1') and cell.on('m1') != [task])
    return job_on(cell)[0]


def test_first_come_is_first_served_while_all_can_be_in_time():
    cell = crowded(1000)
    cell.submit(NEW, steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 1000}])
    assert next_job(cell) == OLD


def test_what_is_late_already_yields_to_what_can_be_in_time():
    # its aim is 2 x 1000 + 1000 ms
    cell = crowded(3000)
    cell.submit(NEW, steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 1000}])
    assert next_job(cell) == NEW
    assert next_job(cell) == OLD


def test_late_work_never_goes_before_more_urgent_work():
    cell = crowded()
    cell.submit(URGENT, queue='quick', steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 1000, 'together': True}])
    cell.go(4000)
    cell.submit(NEW, steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 1000}])
    assert next_job(cell) == URGENT


def test_what_can_only_be_late_goes_before_what_is_too_late_for_anything():
    cell = crowded(6000)
    cell.submit(NEW, steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 1000}])
    # OLD is over three times its aim now, NEW over its aim
    cell.go(3500)
    assert next_job(cell) == NEW


def test_a_step_wider_than_its_groups_room_has_more_time():
    cell = crowded()
    # four times a quarter of its group's room: it is reckoned to take four waves of a second
    cell.submit(NEW, steps=[{'count': 16, 'cpu': 1000, 'estimate_ms': 1000}])
    cell.go(4000)
    assert next_job(cell) == NEW


def test_work_that_has_waited_for_its_rack_is_not_held_up_by_newer_work_that_still_waits_for_it():
    cell = Cell(QUEUES)
    cell.minion('m1', rack='r1')
    cell.minion('m2', rack='r2')
    # both racks are full
    cell.submit(HELD, steps=[{'count': 2, 'cpu': 4000, 'estimate_ms': 60000}])
    cell.go(300)
    near = {'count': 1, 'cpu': 1000, 'estimate_ms': 2000, 'near': 'r1'}
    cell.submit(OLD, steps=[near])
    cell.go(9000)
    # in time, and as patient as OLD was: it looks for r1 first
    cell.submit(NEW, steps=[near])
    [task] = cell.on('m2')
    cell.minions['m2'].end(task)
    assert cell.until(lambda: job_on(cell, 'm2') == [OLD], 1500)


def test_tasks_placed_for_a_share_count_when_few_may_stand_on_one_minion():
    cell = Cell(QUEUES)
    cell.minion('m1', cpu=20000)
    cell.submit(HELD, queue='quick', steps=[{'count': 20, 'cpu': 1000, 'estimate_ms': 20000}])
    cell.go(300)
    cell.submit(URGENT, queue='quick', steps=[{'count': 2, 'cpu': 1000, 'estimate_ms': 20000}])
    cell.submit(OLD, steps=[{'count': 8, 'cpu': 1000, 'estimate_ms': 20000, 'apart': 2}])
    cell.go(1600)
    for task in cell.on('m1')[:10]:
        cell.minions['m1'].end(task)
    assert cell.until(lambda: OLD in job_on(cell))
    cell.go(500)
    assert job_on(cell).count(OLD) == 2


def test_a_job_of_many_steps_that_wait_for_all_before_is_reckoned_in_one_pass():
    spec = [{'estimate_ms': 10, 'after': list(range(n))} for n in range(200)]
    calls = []
    chains = chains_ms(spec, lambda step: calls.append(step) or 1.0)
    assert (chains[0], chains[-1], len(calls)) == (2000, 10, 200)


def test_the_longest_chain_counts():
    spec = [
        {'estimate_ms': 100},
        {'estimate_ms': 500},
        {'estimate_ms': 50, 'after': [0, 1]},
        {'estimate_ms': 300, 'after': [0]},
    ]
    assert chains_ms(spec, lambda step: 1.0) == [400, 550, 50, 300]
