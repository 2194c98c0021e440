"""The cell of called-in minions through the own door: paths, mistakes, and `sickle` against whole processes of the platform."""

import json
import os
import subprocess
import sys
import threading
import time

import pytest
from patience import PATIENCE
from platform_rig import BEAT, CORE, ROOT, settings, written
from platform_site import Site, free
from yard_cell import QUEUES, A, Cell

from asterwharf.base.codes import TABLE
from asterwharf.door.plain import Plain


@pytest.fixture
def c():
    return Cell(QUEUES)


class Daemon:
    def __init__(self, c):
        self.b, self.node, self.c = c.b, c.node, c

    def wake(self):
        self.c.turn()


class Door:
    """Requests through the door's chain to the holder."""

    def __init__(self, c):
        self.c, self.app = c, Plain(Daemon(c))

    def __call__(self, method, path, doc=None, heads=(), **query):
        got = []
        raw = b'' if doc is None else doc if isinstance(doc, bytes) else json.dumps(doc).encode()
        now = self.c.now
        self.app.take(
            method, path, '&'.join(f'{k}={v}' for k, v in query.items()), dict(heads), raw, lambda *r: got.append(r)
        )
        # the door reads the machine's clock; the cell's is the test's
        self.c.b.now = now
        assert self.c.until(lambda: got)
        assert len(got) == 1
        return got[0][0], json.loads(got[0][1]) if got[0][1] else {}


@pytest.fixture
def door(c, monkeypatch):
    monkeypatch.setattr('asterwharf.door.app.boot_ms', lambda: c.now)
    return Door(c)


def test_a_job_is_handed_in_shown_and_cancelled_through_the_door(c, door):
    c.minion('m1')
    pth = f'/v1/queues/q/jobs/{A}'
    doc = {'payload': 'p', 'steps': [{'count': 2, 'cpu': 1000, 'after': []}]}
    assert door('PUT', pth, doc)[0] == 201 and door('PUT', pth, doc)[0] == 200
    assert door('PUT', pth, dict(doc, payload='x'))[0] == 409
    c.go(400)
    assert door('GET', pth)[1]['runs'][0]['minion'] == 'm1'
    assert (
        door('GET', '/v1/jobs', queue='q')[1]['total'] == 1 and door('GET', '/v1/jobs', queue='quick')[1]['jobs'] == []
    )
    assert (
        door('GET', '/v1/minions')[1]['minions'][0]['tasks'] == 2
        and len(door('GET', '/v1/claims', most=1)[1]['claims']) == 1
    )
    assert (
        door('GET', '/v1/queues/counts')[1]['queues'][0]['tasks_running'] == 2
        and door('GET', '/v1/queues')[1]['doc']['number'] == 1
    )
    assert door('DELETE', pth)[0] == 200
    c.go(1500)
    assert door('GET', pth)[1]['state'] == 'cancelled' and not c.on('m1')


def test_a_drain_through_the_door_says_who(c, door):
    c.minion('i-7~x@1')
    assert door('PUT', '/v1/minions/i-7~x@1/drain', heads={'x-operator': 'ann'}, within_ms=500)[1]['draining']
    assert c.cell.mac.drains['i-7~x@1'][0] == 'ann'
    assert door('DELETE', '/v1/minions/i-7~x@1/drain')[0] == 200 and not c.cell.mac.drains


@pytest.mark.parametrize(
    'method, path, doc, query, status, name',
    [
        ('PUT', f'/v1/queues/none/jobs/{A}', {'steps': [{}]}, {}, 404, 'unknown_queue'),
        ('PUT', '/v1/queues/q/jobs/short', {'steps': [{}]}, {}, 400, 'bad_field'),
        ('GET', '/v1/queues/q/jobs/a.b', None, {}, 400, 'bad_field'),
        ('GET', f'/v1/queues/q/jobs/{A}', None, {}, 404, 'unknown_job'),
        ('DELETE', f'/v1/queues/q/jobs/{A}', None, {}, 404, 'unknown_job'),
        ('POST', f'/v1/queues/q/jobs/{A}', None, {}, 405, 'bad_method'),
        ('PUT', f'/v1/queues/q/jobs/{A}', b'{', {}, 400, 'bad_json'),
        ('PUT', '/v1/tenants/t/jobs/j', {}, {}, 404, 'no_path'),
        ('GET', '/v1/tenants/t/jobs/j/why', None, {}, 404, 'no_path'),
        ('DELETE', '/v1/minions/m1', None, {}, 404, 'no_path'),
        ('PUT', '/v1/minions/m1/drain', None, {}, 404, 'unknown_minion'),
        ('PUT', '/v1/minions/m1/drain', None, {'within_ms': 'x'}, 400, 'bad_field'),
        ('PUT', '/v1/minions/.m/drain', None, {}, 400, 'bad_field'),
        ('GET', '/v1/jobs', None, {'most': 0}, 400, 'bad_field'),
        ('GET', '/v1/jobs', None, {'tenant': 't'}, 400, 'bad_field'),
        ('GET', '/v1/claims', None, {'most': 5001}, 400, 'bad_field'),
        ('GET', '/v1/minions', None, {'most': 'all'}, 400, 'bad_field'),
        ('GET', '/v1/minions/m1/lines', None, {}, 404, 'unknown_minion'),
    ],
)
def test_what_can_be_wrong_with_a_request_has_its_status_and_its_number(door, method, path, doc, query, status, name):
    got, body = door(method, path, doc, **query)
    assert got == status and body['name'] == name and body['code'] == TABLE[name].num, body


@pytest.mark.parametrize(
    'doc, pth',
    [
        ({}, 'steps: missing'),
        ({'steps': []}, 'steps:'),
        ({'steps': [1]}, 'steps[0]:'),
        ({'steps': [{}] * 201}, 'steps:'),
        ({'steps': [{'count': 0}]}, 'steps[0].count'),
        ({'steps': [{'count': True}]}, 'steps[0].count'),
        ({'steps': [{'cpu': -1}]}, 'steps[0].cpu'),
        ({'steps': [{'cpu': 10**16}]}, 'steps[0].cpu'),
        ({'steps': [{'cpu': 0.5}]}, 'steps[0].cpu'),
        ({'steps': [{'after': [0]}]}, 'steps[0].after[0]'),
        ({'steps': [{'colour': 1}]}, 'steps[0].colour'),
        ({'steps': [{'near': 'x' * 201}]}, 'steps[0].near'),
        ({'steps': [{}], 'payload': 'x' * 4001}, 'payload'),
        ({'steps': [{}], 'payload': '\ud800'}, 'payload'),
        ({'steps': [{'count': 9000}, {'count': 9000}]}, 'steps:'),
        ({'steps': [{}], 'times': 10001}, 'times'),
        ({'steps': [{'together': 1}]}, 'steps[0].together'),
    ],
)
def test_a_job_with_a_mistake_is_refused_with_its_path(door, doc, pth):
    got, body = door('PUT', f'/v1/queues/q/jobs/{A}', doc)
    assert got == 400 and body['name'] == 'bad_field' and any(m.startswith(pth) for m in body['details']), body


def test_without_a_queues_document_a_job_is_told_to_come_again(monkeypatch):
    c = Cell()
    monkeypatch.setattr('asterwharf.door.app.boot_ms', lambda: c.now)
    assert Door(c)('PUT', f'/v1/queues/q/jobs/{A}', {'steps': [{}]})[1]['name'] == 'no_config'


def test_the_nodes_own_words_go_through_the_lean_door_too(c, door):
    got, body = door('GET', '/status')
    assert got == 200 and body['node'] == 't0' and body['queues'] == 1 and set(body['seats']) == {'core', 'commons'}
    assert door('GET', '/fitness')[0] == 200 and door('GET', '/metrics')[1]['gauges']['group.commons.holds'] == 1


# --- whole processes of the users' platform, with their own door and `sickle`
class Opened(Site):
    """Each node has its own door on the second of its internal ports."""

    def start(self, tmp_path, role, rows):
        if not hasattr(self, 'door'):
            self.door = free([*self.core, self.edge])
        inner = rows['internal_ports'].partition(',')[0]
        super().start(tmp_path, role, dict(rows, internal_ports=f'{inner},{self.door}', own_door='true'))


class Minion(threading.Thread):
    """A minion that calls in all the while, as a real one does: however long the commands take, its runs aren't lost."""

    def __init__(self, site):
        super().__init__(daemon=True)
        self.site, self.started, self.left = site, [], threading.Event()
        self.beat = dict(BEAT, service_name='g', running=[], finished=[], call_count=0)

    def run(self):
        while not self.left.is_set():
            for ip in self.site.core:
                self.beat['call_count'] += 1
                status, answer, _ = self.site.ask(ip, self.site.control, 'POST', '/minions/i-1/heartbeat', self.beat)
                if status == 200:
                    self.started += answer.get('started', [])
                    self.beat['running'] = [[r[0], r[1], '', 5] for r in self.started]
            time.sleep(0.05)

    def leave(self):
        self.left.set()
        self.join(PATIENCE)


def test_sickle_works_against_the_nodes_of_the_platform(tmp_path):
    s, minion = Opened(tmp_path), None
    try:
        ats = ','.join(f'{ip}:{s.door}' for ip in [s.edge, *s.core])

        def sickle(*args, rc=0, doc=None):
            got = subprocess.run(
                [sys.executable, '-m', 'asterwharf.sickle.main', *args, '--at', ats],
                cwd=ROOT,
                text=True,
                timeout=PATIENCE,
                capture_output=True,
                input=json.dumps(doc) if doc else None,
                env=dict(os.environ, USER='ann'),
            )
            assert rc in (None, got.returncode) and 'Traceback' not in got.stderr, (args, got.stdout, got.stderr)
            return got.stdout + got.stderr

        assert s.until(lambda: all(s.ask(ip, s.door, 'GET', '/fitness')[0] == 200 for ip in [s.edge, *s.core]))
        policies = dict(QUEUES, policies={'p': {'may_land': "minion.rack != 'r9'"}})
        policies['queues'] = [dict(q, policy='p') for q in QUEUES['queues']]
        assert 'number 1 is in force' in sickle('queues', 'put', '-', doc=policies)
        assert '208 bad_config' in sickle(
            'queues', 'change', '-', rc=2, doc={'set': {'policies': {'p': {'score': '('}}}}
        )
        assert s.until(lambda: s.ask(s.edge, s.door, 'GET', '/status')[1]['queues'] == 1)
        spec = {'steps': [{'count': 2, 'cpu': 100}]}
        assert 'taken: q/' in sickle('queues', 'submit', 'q', A, '-', doc=spec) and 'already kept' in sickle(
            'queues', 'submit', 'q', A, '-', doc=spec
        )
        assert '316 unknown_queue' in sickle('queues', 'submit', 'none', A, '-', doc=spec, rc=3)
        assert 'no minion of group g has called' in sickle('queues', 'why', 'q', A)
        minion = Minion(s)
        minion.start()
        assert s.until(lambda: len(minion.started) == 2)
        assert s.until(lambda: 'registered' in sickle('minions'))
        assert 'i-1' in sickle('minions') and sickle('claims').count(f'{A}.0.0.') == 2
        assert sickle('queues', 'counts').splitlines()[1].split() == ['q', '0', '1', '0', '0', '2']
        assert A in sickle('jobs', '--queue', 'q') and 'busy 2' in sickle('watch', '--rounds', '1')
        sickle('minion', 'drain', 'i-1', '--within', '600')
        assert json.loads(sickle('minions', '--json'))['minions'][0]['drained_by'] == 'ann'
        sickle('minion', 'undrain', 'i-1')
        assert '305 unknown_minion' in sickle('minion', 'drain', 'nobody', rc=3) and '203 no_path' in sickle(
            'minion', 'gone', 'i-1', '--yes', rc=2
        )
        assert '203 no_path' in sickle('job', 'get', 't', 'j', rc=2) and 'hall' in sickle('zone', 'list')
        assert s.until(lambda: sickle('nodes').count('yes') >= 8) and 'commons' in sickle('cells')
        # what a node missed on a busy machine is made up for
        assert s.until(lambda: 'nothing is wrong' in sickle('trouble', rc=None))
        minion.leave()
        assert 'cancelled' in sickle('queues', 'cancel', 'q', A) and 'cancelled' in sickle('queues', 'job', 'q', A)
    finally:
        if minion:
            minion.leave()
        ends = s.down()
    assert set(ends.values()) == {0} and not any('inner_fault' in (tmp_path / f'{n}.log').read_text() for n in ends)


def test_the_own_door_is_off_by_default_and_wants_a_port(tmp_path):
    assert settings.load(written(tmp_path, CORE)).ok.http == ''
    assert settings.load(written(tmp_path, dict(CORE, own_door='true'))).ok.http == '10.1.0.13:7735'
    for bad in ({'own_door': 'yes'}, {'own_door': 'true', 'internal_ports': '7720'}):
        assert any(m.startswith('own_door') for m in settings.load(written(tmp_path, dict(CORE, **bad))).error)
