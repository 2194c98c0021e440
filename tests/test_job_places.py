"""A job belongs to the place where its client handed it in, whatever operators call the route there."""

import copy

import pytest
from yard_cell import QUEUES, A, B, Cell

from asterwharf.orchard.job_lookup import queue_name

LONG = {'estimate_ms': 60000}
SPEC = {'payload': '', 'steps': [{'count': 1, 'cpu': 1000, **LONG}, {'count': 1, 'cpu': 1000, 'after': [0]}]}


class Client:
    """Asks as clients do: by host and path, through the configuration in force."""

    def __init__(self, cell):
        self.cell = cell

    def ask(self, op, path, identifier=None, **args):
        queue, rest = self.cell.b.atlas.queues.find('a', path + (identifier or ''))
        if op == 'y_submit':
            return self.cell.ask(op, queue=queue.terms(), id=rest, spec=SPEC, **args)
        if identifier:
            args['id'] = rest
        return self.cell.ask(op, queue=queue.name, place=queue.place, **args)


def configured(cell, number, **names):
    """Puts a configuration in which queues of the first one have other places or names: name -> (new name, prefix)."""
    doc = copy.deepcopy(QUEUES) | {'number': number}
    for queue in doc['queues']:
        if queue['name'] in names:
            queue['name'], queue['prefix'] = names[queue['name']]
    assert cell.put(doc)[0] == 'ok'


@pytest.fixture
def cell():
    made = Cell(QUEUES)
    made.minion('m1')
    return made


def test_a_route_renamed_at_its_place_keeps_its_jobs(cell):
    """Guards against review/5: accepted jobs were answered 410, the same POST 409, and a cancel stopped nothing."""
    client = Client(cell)
    for job in (A, B):
        assert client.ask('y_submit', '/q/', job)[0] == 'taken'
    cell.go(600)
    configured(cell, 2, q=('renamed', '/q/'))
    assert client.ask('y_state', '/q/', A) == ('ok', {'state': 'running'})
    assert client.ask('y_submit', '/q/', A)[0] == 'same'
    assert client.ask('y_cancel', '/q/', B)[0] == 'ok'
    assert client.ask('y_state', '/q/', B) == ('ok', {'state': 'cancelled'})
    cell.go(2000)
    assert not [task for task in cell.on('m1') if task.startswith(B)]
    assert list(cell.minions['m1'].runs) == [f'{A}.0.0.0']


def test_the_old_name_at_another_place_shows_nothing_of_the_first(cell):
    client = Client(cell)
    assert client.ask('y_submit', '/q/', A)[0] == 'taken'
    configured(cell, 2, q=('renamed', '/q/'), quick=('q', '/elsewhere/'))
    assert client.ask('y_state', '/elsewhere/', A)[0] == 'unknown_job'
    assert client.ask('y_cancel', '/elsewhere/', A)[0] == 'unknown_job'
    assert client.ask('y_state', '/q/', A)[0] == 'ok'


def test_jobs_are_counted_as_waiting_where_they_were_handed_in(cell):
    client = Client(cell)
    cell.mute.add('m1')
    cell.go(2000)
    assert client.ask('y_submit', '/q/', A)[0] == 'taken'
    configured(cell, 2, q=('renamed', '/q/'), quick=('q', '/elsewhere/'))
    assert client.ask('y_waiting', '/q/') == ('ok', {'waiting': 1})
    assert client.ask('y_waiting', '/elsewhere/') == ('ok', {'waiting': 0})
    cell.mute.clear()
    cell.go(1500)
    assert client.ask('y_waiting', '/q/') == ('ok', {'waiting': 0})


def test_operators_find_a_job_by_the_name_that_its_queue_has_now(cell):
    client = Client(cell)
    assert client.ask('y_submit', '/q/', A)[0] == 'taken'
    configured(cell, 2, q=('renamed', '/q/'))
    code, body = cell.ask('y_job', id=A, queue='renamed', place='a/q/')
    assert code == 'ok' and body['queue'] == 'renamed'
    assert [j['id'] for j in cell.ask('jobs', queue='renamed')[1]['jobs']] == [A]
    assert cell.ask('jobs', queue='q')[1]['jobs'] == []
    assert [q['queue'] for q in cell.ask('counts')[1]['queues']] == ['renamed']
    # a queue that is gone: its jobs stay under the name that they came with
    configured(cell, 3, q=('other', '/new/'))
    assert queue_name(cell.b.atlas.queues, cell.cell.mac.jobs[A]) == 'q'
    assert cell.ask('y_job', id=A, queue='q', place='')[0] == 'ok'


def test_a_policy_follows_its_queue_to_another_name(cell):
    client = Client(cell)
    assert client.ask('y_submit', '/q/', A)[0] == 'taken'
    doc = copy.deepcopy(QUEUES) | {'number': 2, 'policies': {'p': {'may_land': 'true'}}}
    doc['queues'][0] |= {'name': 'renamed', 'policy': 'p'}
    assert cell.put(doc)[0] == 'ok'
    cell.placer.judge.look()
    step = cell.cell.mac.jobs[A].live[0][0]
    assert cell.placer.judge.rule(step) is not None and cell.placer.judge.key(step)


def test_jobs_of_an_earlier_release_get_their_place_and_outlive_a_new_name(cell):
    terms = cell.queue('q')
    del terms['place']
    assert cell.ask('y_submit', id=A, queue=terms, spec=SPEC)[0] == 'taken'
    job = cell.cell.mac.jobs[A]
    assert job.place == '' and job.address == 'q'
    client = Client(cell)
    assert client.ask('y_state', '/q/', A)[0] == 'ok'
    assert cell.until(lambda: job.place, 15_000) and job.place == 'a/q/'
    configured(cell, 2, q=('renamed', '/q/'))
    assert client.ask('y_state', '/q/', A)[0] == 'ok' and client.ask('y_submit', '/q/', A)[0] == 'same'
    # and so it is after a restart
    cell.build()
    assert cell.until(lambda: cell.cell.takes)
    assert cell.cell.mac.jobs[A].place == 'a/q/'


def test_a_row_of_an_earlier_release_is_read():
    cell = Cell(QUEUES)
    cell.submit(A)
    row = cell.cell.mac.jobs[A].dump()
    del row['place'], row['live']
    job = type(cell.cell.mac.jobs[A])(**row)
    assert job.place == '' and job.is_at('q', 'a/q/') and not job.is_at('quick', 'a/quick/')
