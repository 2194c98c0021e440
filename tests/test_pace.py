"""Which minions count as slow, and which runs are moved from them: large tasks must not be taken for slow minions."""

import random
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st
from yard_cell import QUEUES, A, B, C, Cell

from asterwharf.base.settings import Calls
from asterwharf.orchard.minion_link import Link, Progress
from asterwharf.orchard.pace import Observation, PaceJudge, Spread

STEP = {'cpu': 1000, 'estimate_ms': 4000}
# percent a second of a run on a sound minion
SOUND = 25


def cell_of(*minions, cpu=4000):
    cell = Cell(QUEUES)
    for name in minions:
        cell.minion(name, cpu=cpu)
    return cell


def where(cell, job):
    return {task: name for name in cell.minions for task in cell.on(name) if task.startswith(job)}


def rate(cell, job, by_minion):
    """Sets the pace of a job's runs, in percent a second by minion."""
    for task, name in where(cell, job).items():
        cell.minions[name].rates[task] = by_minion[name]
    for name, minion in cell.minions.items():
        for task in where(cell, job):
            minion.rates.setdefault(task, by_minion.get(name, SOUND))


def moved(cell):
    return cell.b.count['moved.slow_minion']


def even_jobs(cell, count=12):
    """Jobs whose tasks are alike run to their ends, so that the queue is known as an even one."""
    for number in range(count):
        job = f'{number:016x}'
        cell.submit(job, steps=[dict(STEP, count=4, estimate_ms=1000)])
        cell.go(100)
        rate(cell, job, dict.fromkeys(cell.minions, 100))
        cell.go(900)
        for task, name in where(cell, job).items():
            cell.minions[name].end(task)
        cell.go(200)


def test_a_large_task_is_no_sign_of_a_slow_minion():
    cell = cell_of('m1', 'm2')
    cell.submit(A, steps=[dict(STEP, count=8)])
    cell.go(100)
    rate(cell, A, {'m1': SOUND, 'm2': SOUND})
    large = next(task for task, name in where(cell, A).items() if name == 'm2')
    cell.minions['m2'].rates[large] = SOUND / 8
    cell.minion('m3')
    cell.go(3000)
    assert not moved(cell) and where(cell, A)[large] == 'm2' and not cell.placer.health.suspected_until


def test_a_large_task_alone_on_its_minion_is_no_sign_either():
    cell = cell_of('m1', 'm2', cpu=3000)
    cell.submit(A, steps=[dict(STEP, count=4)])
    cell.go(100)
    alone = next(name for name in cell.minions if len(cell.on(name)) == 1)
    rate(cell, A, {name: SOUND / 4 if name == alone else SOUND for name in cell.minions})
    cell.minion('m3')
    cell.go(2500)
    assert not moved(cell) and not cell.placer.health.suspected_until


def test_runs_are_moved_from_a_minion_on_which_all_take_longer():
    cell = cell_of('m1', 'm2')
    cell.submit(A, steps=[dict(STEP, count=8)])
    cell.go(100)
    rate(cell, A, {'m1': SOUND, 'm2': SOUND / 8})
    assert len(cell.on('m2')) == 4
    cell.minion('m3')
    cell.go(2500)
    assert moved(cell) == 4 and not cell.on('m2') and 'm2' in cell.placer.health.suspected_until
    evidence = next(fields for _, event, fields in cell.logged if event == 'moved')
    assert evidence['factor'] > 4 and evidence['runs'] == 4
    # an operator is told, too
    told = cell.job()
    assert len(told['stops']) == 4 and told['stops'][0]['evidence']['factor'] > 4
    assert told['steps'][0]['stopped'] == 'slow_minion: 4'


def test_a_run_whose_own_pace_falls_is_moved():
    cell = cell_of('m1')
    cell.submit(A, steps=[dict(STEP, count=1, estimate_ms=8000)])
    cell.go(100)
    task = next(iter(where(cell, A)))
    cell.minions['m1'].rates[task] = 10
    cell.go(1500)
    assert not moved(cell)
    # from here on a tenth as fast
    minion = cell.minions['m1']
    minion.begun[task], minion.rates[task] = cell.now - (cell.now - minion.begun[task]) * 10, 1
    cell.minion('m2')
    cell.go(2000)
    assert moved(cell) == 1 and where(cell, A)[task] == 'm2'


def test_where_the_tasks_of_a_queue_are_alike_one_run_tells():
    cell = cell_of('m1', 'm2', cpu=3000)
    even_jobs(cell)
    cell.submit(B, steps=[dict(STEP, count=4)])
    cell.go(100)
    alone = next(name for name in cell.minions if len(cell.on(name)) == 1)
    rate(cell, B, {name: SOUND / 8 if name == alone else SOUND for name in cell.minions})
    cell.minion('m3')
    cell.go(2000)
    assert moved(cell) == 1 and not cell.on(alone)


def test_nothing_is_moved_where_there_is_no_room_elsewhere():
    cell = cell_of('m1', 'm2')
    cell.submit(A, steps=[dict(STEP, count=8)])
    cell.go(100)
    rate(cell, A, {'m1': SOUND, 'm2': SOUND / 8})
    cell.go(2500)
    assert not moved(cell) and len(cell.on('m2')) == 4 and 'm2' in cell.placer.health.suspected_until


def test_what_is_nearly_done_is_let_be():
    cell = cell_of('m1', 'm2')
    cell.submit(A, steps=[dict(STEP, count=8)])
    cell.go(100)
    rate(cell, A, {'m1': SOUND, 'm2': SOUND})
    cell.go(3600)
    for task in cell.on('m2'):
        minion = cell.minions['m2']
        minion.begun[task], minion.rates[task] = cell.now - (cell.now - minion.begun[task]) * 10, SOUND / 10
    cell.minion('m3')
    cell.go(1000)
    assert not moved(cell)


def test_a_gang_on_a_slow_minion_is_let_be():
    cell = cell_of('m1', 'm2', cpu=8000)
    cell.submit(A, steps=[dict(STEP, count=12)])
    cell.submit(B, steps=[dict(STEP, count=4, together=True)])
    cell.go(100)
    rate(cell, A, {'m1': SOUND, 'm2': SOUND / 8})
    rate(cell, B, {'m1': SOUND / 8, 'm2': SOUND / 8})
    alone = [task for task in cell.on('m2') if task.startswith(A)]
    gang = where(cell, B)
    assert len(alone) >= 4 and 'm2' in gang.values()
    cell.minion('m3', cpu=16000)
    cell.go(2500)
    # the others are moved from the slow minion
    assert moved(cell) == len(alone) and where(cell, B) == gang


def level_of(own_ended):
    """Slowness of m2, two of whose runs are under way at a quarter of the pace of others, with or without short ones that ended there."""
    judge = PaceJudge(SimpleNamespace(set=SimpleNamespace(call=Calls())))
    step = SimpleNamespace(job=SimpleNamespace(id='j', queue='q'), n=0, together=False, near='', estimate=0)
    judge._against_peers['q'] = spread = Spread()
    for number in range(200):
        spread.add(0.3 if number % 2 else -0.3)
    for _ in range(own_ended):
        judge.ended(step, 'm2', 400)
    seen = []
    for minion_id, whole in [('m1', 1000.0)] * 4 + [('m2', 4000.0)] * 2:
        task, link = SimpleNamespace(step=step), SimpleNamespace(mid=minion_id, rack='')
        seen.append(Observation(link, task, Progress(0, 0, 100, 10, 1), whole, None))
    return judge.slow(seen)


def test_ended_runs_of_a_minion_speak_for_it():
    assert set(level_of(0)) == {'m2'} and not level_of(4)


def test_a_run_that_stands_still_beside_others_that_go_on_is_moved_much_later():
    cell = cell_of('m1')
    cell.submit(A, steps=[dict(STEP, count=2, estimate_ms=1000)])
    cell.go(100)
    first, second = where(cell, A)
    cell.minions['m1'].rates.update({first: 0, second: 5})
    cell.minion('m2')
    cell.go(3000)
    assert not cell.b.count['moved.still'] and not cell.placer.health.suspected_until
    cell.go(3500)
    assert cell.b.count['moved.still'] == 1 and where(cell, A)[first] == 'm2' and not cell.placer.health.suspected_until


def test_a_task_is_not_given_back_to_the_minion_that_was_slow():
    cell = cell_of('m1', 'm2')
    cell.submit(C, steps=[dict(STEP, count=8)])
    cell.go(100)
    rate(cell, C, {'m1': SOUND, 'm2': SOUND / 8})
    tasks = cell.on('m2')
    cell.minion('m3')
    cell.go(2500)
    assert all(cell.placer.health.shuns(cell.cell.mac.task(task), 'm2') for task in tasks)


def test_the_spread_is_learned_and_a_few_odd_values_change_it_little():
    spread, random_source = Spread(), random.Random(3)
    for _ in range(300):
        spread.add(random_source.gauss(0, 0.3))
    assert 0.25 < spread.sigma < 0.36
    for _ in range(5):
        spread.add(3.0)
    assert spread.sigma < 0.5


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 900), st.integers(0, 100), st.integers(0, 100)), max_size=30))
def test_whatever_a_minion_says_of_its_progress_it_is_judged_without_a_fault(said):
    judge = PaceJudge(SimpleNamespace(set=SimpleNamespace(call=Calls())))
    job = SimpleNamespace(id='j', queue='q')
    step = SimpleNamespace(job=job, n=0, lasts=False, together=False, near='', estimate=0, saves=False)
    links = [Link(name, 0) for name in ('m1', 'm2')]
    tasks = {link.mid: SimpleNamespace(key=link.mid, step=step) for link in links}
    now = 1000
    for wait, *percents in said:
        now += wait
        for link, percent in zip(links, percents, strict=True):
            link.recv, link.running = now, {'t': (1, '', percent)}
            link.progress(now)
        seen = judge.observe(links, lambda link: [(tasks[link.mid], link.prog['t'])])
        for minion_id, slowness in judge.slow(seen).items():
            assert slowness.factor > 1
            judge.sound_ms(next(one for one in seen if one.link.mid == minion_id), slowness)
            judge.moved(seen[0])
            judge.ended(step, minion_id, wait)
