"""For each late job a log line tells in which phase its time went."""

from yard_cell import QUEUES, A, B, Cell

AIM = {'queues': [dict(queue, aim_ms=300, stretch=1.0) for queue in QUEUES['queues']]}


def cell_of(*minions, cpu=4000):
    cell = Cell(QUEUES | AIM)
    for name in minions:
        cell.minion(name, cpu=cpu)
    return cell


def late(cell):
    return {fields['job']: fields for _, event, fields in cell.logged if event == 'job late'}


def run_to_end(cell, job, ms=400):
    """Lets all runs of a job go on for a while and end."""
    cell.go(ms)
    for name, minion in cell.minions.items():
        for task in cell.on(name):
            if task.startswith(job) and task in minion.runs:
                minion.end(task)
    cell.go(1000)


def test_a_job_in_time_has_no_line():
    cell = cell_of('m1')
    cell.submit(A, steps=[{'count': 2, 'cpu': 1000, 'estimate_ms': 2000}])
    run_to_end(cell, A, 2000)
    assert cell.job()['state'] == 'finished' and not late(cell)


def test_the_wait_for_room_is_told_with_its_reason():
    cell = cell_of('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 1000}])
    cell.go(200)
    cell.submit(B, steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 1000}])
    run_to_end(cell, A, 3000)
    run_to_end(cell, B)
    phases = late(cell)[B]['phases']
    assert phases['wait.no_room'] > 2000 and late(cell)[B]['queue'] == 'q' and cell.b.count['late_jobs.q'] >= 1


def test_runs_that_came_to_nothing_are_told_with_why():
    cell = cell_of('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 1000}])
    cell.go(1500)
    cell.minions['m1'].end(f'{A}.0.0.0', 'stopped')
    run_to_end(cell, A, 900)
    phases = late(cell)[A]['phases']
    assert phases['lost.stopped'] > 1000 and phases['work'] > 500


def test_the_chain_that_the_end_waited_for_is_followed_through_the_steps():
    cell = cell_of('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000}, {'count': 1, 'cpu': 1000, 'after': [0]}])
    cell.go(1000)
    cell.minions['m1'].end(f'{A}.0.0.0', 'refused')
    for _ in range(3):
        run_to_end(cell, A, 700)
    line = late(cell)[A]
    assert line['steps'] == line['tasks'] == 2 and line['phases']['lost.refused'] > 700
    assert abs(sum(line['phases'].values()) - line['took_ms']) < 100


def test_a_leader_tells_what_it_has_not_seen():
    cell = cell_of('m1')
    cell.submit(A, steps=[{'count': 1, 'cpu': 1000, 'estimate_ms': 200}])
    cell.go(1000)
    cell.mute = {'m1'}
    cell.build()
    assert cell.until(lambda: cell.cell.takes and cell.core.takes and cell.tender.term > 0)
    cell.mute, cell.minions['m1'].wait = set(), 0
    run_to_end(cell, A, 100)
    assert late(cell)[A]['phases']['earlier_leader'] >= 1000


def test_nothing_is_kept_of_jobs_that_are_over():
    cell = cell_of('m1')
    for job in (A, B):
        cell.submit(job, steps=[{'count': 2, 'cpu': 1000}])
        run_to_end(cell, job)
    follower = next(part for part in cell.plot.all if type(part).__name__ == 'LateJobs')
    assert not follower._traces and not follower._stops and not cell.cell.mac.events


def test_runs_that_end_in_one_change_make_one_line():
    cell = cell_of('m1')
    cell.submit(A, steps=[{'count': 3, 'cpu': 1000, 'estimate_ms': 1000}])
    cell.go(1500)
    cell.minions['m1'].end(f'{A}.0.0.0', 'stopped')
    cell.go(600)
    minion = cell.minions['m1']
    for task in list(minion.runs):
        minion.end(task)
    cell.go(1000)
    lines = [fields for _, event, fields in cell.logged if event == 'job late']
    assert len(lines) == 1 and lines[0]['phases']['lost.stopped'] > 1000 and cell.b.count['late_jobs.q'] == 1


def test_what_is_replayed_from_the_log_at_a_start_is_no_news():
    cell = cell_of('m1')
    for job in (A, B):
        cell.submit(job, steps=[{'count': 2, 'cpu': 1000, 'estimate_ms': 100}])
        run_to_end(cell, job, 600)
    cell.logged.clear()
    cell.build()
    assert cell.until(lambda: cell.cell.takes and cell.core.takes and cell.tender.term > 0)
    cell.go(1000)
    assert not late(cell) and not cell.b.count['late_jobs.q']
