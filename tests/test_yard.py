"""The state machine of the cell whose minions call in, change by change."""

import pytest

from asterwharf.orchard.model import CANCELLED, DONE, READY, RUN
from asterwharf.orchard.yard import Yard
from asterwharf.wire.schema import pack

QUEUE = {'name': 'q', 'group': 'g', 'priority': 1, 'tries': 2, 'stretch': 2.0, 'aim_ms': 1000}


class Yards:
    """Applies packed changes to a machine and, at the end, shows that its rows give the same machine."""

    def __init__(self):
        self.y, self.n = Yard(), 0

    def do(self, knd, **doc):
        self.n += 1
        return self.y.apply(self.n, pack(knd, {'at': self.n} | doc))

    def submit(self, jid='a' * 16, queue=QUEUE, sm='s', **spec):
        spec.setdefault('steps', [{'count': 2, 'cpu': 100}])
        return self.do('y_submit', id=jid, queue=[queue], spec=spec, sum=sm)

    def start(self, *its):
        return self.do('y_start', bundles=[{'items': [{'task': t, 'run': r, 'mid': m} for t, r, m in its]}])

    def end(self, mid, task, run, how, save=''):
        return self.do('y_end', mid=mid, items=[{'task': task, 'run': run, 'how': how, 'save': save}])

    def lapse(self, mid, task, run, how='lapsed', save=''):
        return self.do('y_lapse', items=[{'task': task, 'run': run, 'mid': mid, 'how': how, 'save': save}])

    def job(self, jid='a' * 16):
        return self.y.jobs[jid]

    def again(self):
        """The machine that its rows give."""
        rows = self.y.delta()
        new = Yard()
        new.load(rows)
        return new


@pytest.fixture
def y():
    return Yards()


A = 'a' * 16
T0, T1 = f'{A}.0.0.0', f'{A}.0.0.1'


def test_a_job_runs_to_its_end(y):
    assert y.submit() == 'taken' and y.submit() == 'same' and y.submit(sm='x') == 'other_body'
    assert y.y.waiting['q'] == 1 and y.job().state == 'queued'
    assert y.start((T0, 1, 'm1')) == [T0] and y.start((T1, 1, 'm1')) == [T1]
    assert y.job().state == 'running' and y.y.waiting['q'] == 0 and y.y.used['m1'] == [200, 0, 0]
    y.end('m1', T0, 1, 'done')
    assert y.job().state == 'running' and y.y.used['m1'] == [100, 0, 0]
    y.end('m1', T1, 1, 'done')
    assert y.job().state == 'finished' and y.job().over and 'm1' not in y.y.on and y.y.open == 0


def test_an_end_told_twice_or_of_another_run_changes_nothing(y):
    y.submit()
    y.start((T0, 1, 'm1'))
    y.end('m2', T0, 1, 'done')
    y.end('m1', T0, 2, 'done')
    assert y.y.task(T0).state == RUN
    y.end('m1', T0, 1, 'failed')
    y.end('m1', T0, 1, 'failed')
    assert y.y.task(T0).fails == 1 and y.y.task(T0).state == READY


def test_a_run_number_is_never_given_again(y):
    y.submit()
    y.start((T0, 1, 'm1'))
    y.lapse('m1', T0, 1)
    assert y.start((T0, 1, 'm2')) == [] and y.start((T0, 2, 'm2')) == [T0]


def test_tries_are_used_up_by_failures_only(y):
    y.submit()
    y.start((T0, 1, 'm1'))
    for r, how in enumerate(('stopped', 'lapsed', 'refused', 'alone', 'broken'), 1):
        y.end('m1', T0, r, how)
        assert y.start((T0, r + 1, 'm1')) == [T0]
    y.end('m1', T0, 6, 'failed')
    y.start((T0, 7, 'm1'))
    y.end('m1', T0, 7, 'failed')
    assert y.job().state == 'failed' and y.start((T1, 1, 'm1')) == [] and y.job().over


def test_the_late_end_of_a_run_given_up_counts(y):
    y.submit()
    y.start((T0, 1, 'm1'))
    y.lapse('m1', T0, 1)
    y.start((T0, 2, 'm2'))
    y.end('m1', T0, 1, 'failed')
    assert y.y.task(T0).fails == 1 and y.y.task(T0).run == 2
    y.end('m1', T0, 1, 'failed')
    assert y.y.task(T0).fails == 1
    y.end('m2', T0, 2, 'lapsed')
    y.end('m1', T0, 1, 'done')
    # the number was counted as failed once and is not looked at again
    assert y.y.task(T0).state == READY


def test_a_late_done_ends_the_task_and_its_newer_run_is_not_ours(y):
    y.submit()
    y.start((T0, 1, 'm1'))
    y.lapse('m1', T0, 1)
    y.start((T0, 2, 'm2'))
    y.end('m1', T0, 1, 'done')
    assert y.y.task(T0).state == DONE and 'm2' not in y.y.on
    assert y.start((T0, 3, 'm2')) == []


def test_steps_wait_for_every_task_of_those_before(y):
    y.submit(steps=[{'count': 2}, {'count': 1, 'after': [0]}, {'count': 1, 'after': [0, 1]}])
    n1, n2 = f'{A}.0.1.0', f'{A}.0.2.0'
    assert y.start((n1, 1, 'm')) == []
    for t in (T0, T1):
        y.start((t, 1, 'm'))
        assert y.start((n1, 1, 'm')) == []
        y.end('m', t, 1, 'done')
    assert y.start((n2, 1, 'm')) == [] and y.start((n1, 1, 'm')) == [n1]
    y.end('m', n1, 1, 'done')
    assert y.start((n2, 1, 'm')) == [n2]
    y.end('m', n2, 1, 'done')
    assert y.job().state == 'finished'


def test_a_gang_starts_whole_fails_as_one_and_is_done_as_one(y):
    y.submit(steps=[{'count': 2, 'cpu': 5, 'together': True, 'saves': True}])
    assert y.start((T0, 1, 'm1')) == [] and y.start((T0, 1, 'm1'), (T1, 2, 'm2')) == []
    assert len(y.start((T0, 1, 'm1'), (T1, 1, 'm2'))) == 2
    y.end('m1', T0, 1, 'failed')
    # not before every member has ended
    assert y.start((T0, 2, 'm1'), (T1, 2, 'm2')) == []
    y.end('m2', T1, 1, 'broken', 'saved')
    assert {t.save for t in y.job().live[0][0].tasks} == {'saved'}
    assert len(y.start((T0, 2, 'm1'), (T1, 2, 'm2'))) == 2
    y.end('m2', T1, 2, 'done')
    assert y.job().state == 'finished' and not y.y.on


def test_a_gang_of_two_that_fails_by_both_members_has_failed_once(y):
    y.submit(steps=[{'count': 2, 'together': True}])
    y.start((T0, 1, 'm1'), (T1, 1, 'm2'))
    y.end('m1', T0, 1, 'failed')
    y.end('m2', T1, 1, 'failed')
    assert y.job().state == 'running'
    y.start((T0, 2, 'm1'), (T1, 2, 'm2'))
    y.end('m1', T0, 2, 'failed')
    assert y.job().state == 'failed' and not y.job().over
    y.end('m2', T1, 2, 'broken')
    assert y.job().over


def test_cancelled_work_never_starts_again(y):
    y.submit()
    y.start((T0, 1, 'm1'))
    assert y.do('y_cancel', id=A, queue='other') == 'unknown_job'
    assert y.do('y_cancel', id=A, queue='q') == 'ok' and y.do('y_cancel', id=A, queue='q') == 'ok'
    assert y.job().state == 'cancelled' and y.y.task(T0).stop and not y.job().over
    assert y.start((T1, 1, 'm1')) == [] and y.y.task(T1).state == CANCELLED
    y.end('m1', T0, 1, 'stopped')
    assert y.job().over and not y.y.ready


def test_work_that_lasts_is_started_again_however_it_ends(y):
    y.submit(steps=[{'count': 1, 'lasts': True}])
    for r, how in enumerate(('done', 'failed', 'failed', 'failed', 'lapsed', 'done'), 1):
        assert y.start((T0, r, 'm')) == [T0]
        y.end('m', T0, r, how)
    assert y.job().state == 'running'


def test_times_fall_due_one_by_one_and_may_overlap(y):
    y.submit(steps=[{'count': 1}], times=2, first_ms=1000, every_ms=10)
    assert y.job().due(1) == 1010 and not y.y.ready
    for k in (1, 0, 0, 1):
        y.do('y_due', items=[{'id': A, 'k': k}])
    assert len(y.y.ready) == 2
    y.start((f'{A}.1.0.0', 1, 'm'))
    y.end('m', f'{A}.1.0.0', 1, 'done')
    assert y.job().state == 'running'
    y.start((f'{A}.0.0.0', 1, 'm'))
    y.end('m', f'{A}.0.0.0', 1, 'done')
    assert y.job().state == 'finished' and y.job().over


def test_a_copy_runs_beside_and_the_first_end_counts(y):
    y.submit(steps=[{'count': 1, 'copies': True, 'cpu': 7}])
    y.start((T0, 1, 'm1'))
    assert y.start((T0, 2, 'm1')) == [] and y.start((T0, 2, 'm2')) == [T0] and y.start((T0, 3, 'm3')) == []
    y.end('m1', T0, 1, 'lapsed')
    assert y.y.run_of(y.y.task(T0), 'm2') == 2 and y.y.used == {'m2': [7, 0, 0]}
    y.start((T0, 3, 'm3'))
    y.end('m3', T0, 3, 'done')
    assert y.job().state == 'finished' and not y.y.on and not y.y.used


def test_a_copy_is_on_record_after_a_checkpoint(y):
    """Guards against review/3: a checkpoint forgot a copy, and after a restart work that had ended ran again."""
    y.submit(steps=[{'count': 1, 'copies': True}, {'count': 1, 'after': [0]}])
    y.start((T0, 1, 'm1'))
    rows = y.y.delta()
    y.start((T0, 2, 'm2'))
    restarted = Yards()
    restarted.y.load(rows | y.y.delta())
    for replica in (y, restarted):
        replica.end('m2', T0, 2, 'done')
        assert replica.y.task(T0).state == DONE and not replica.y.on
        assert replica.start((f'{A}.0.1.0', 1, 'm1')) and not replica.start((T0, 3, 'm1'))


def test_a_job_whose_last_runs_are_being_stopped_is_open_after_a_restart(y):
    """Guards the bound on open jobs: a restarted replica left such jobs out and counted below zero when they ended."""
    y.submit()
    y.start((T0, 1, 'm1'))
    y.do('y_cancel', id=A, queue='q')
    restarted = Yards()
    restarted.y.load(y.y.delta())
    assert y.y.open == restarted.y.open == 1
    restarted.end('m1', T0, 1, 'stopped')
    assert restarted.y.open == 0


def test_no_copy_of_work_that_may_not_be_repeated(y):
    y.submit()
    y.start((T0, 1, 'm1'))
    assert y.start((T0, 2, 'm2')) == []


def test_rows_give_the_same_machine(y):
    y.submit(steps=[{'count': 2, 'cpu': 1}, {'count': 1, 'after': [0]}])
    y.submit('b' * 16, times=3, first_ms=5, every_ms=5)
    y.submit('c' * 16)
    y.do('y_due', items=[{'id': 'b' * 16, 'k': 0}])
    y.start((T0, 1, 'm1'))
    y.start((T1, 1, 'm2'))
    y.lapse('m2', T1, 1)
    y.end('m1', T0, 1, 'done')
    y.do('y_cancel', id='c' * 16, queue='q')
    new = y.again()
    assert {i: j.dump() for i, j in new.jobs.items()} == {i: j.dump() for i, j in y.y.jobs.items()}
    for k in ('on', 'used', 'waiting', 'open'):
        assert repr(getattr(new, k)).split(' at 0x')[0] == repr(getattr(y.y, k)).split(' at 0x')[0], k
    assert set(new.ready) == set(y.y.ready) and set(new.timed) == set(y.y.timed)
    # and what is forgotten leaves no row
    y.do('y_forget', ids=['c' * 16])
    assert y.y.delta() == {f'job:{"c" * 16}': None}
