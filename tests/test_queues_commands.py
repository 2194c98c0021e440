"""The queues document and emptied zones through the command line and the door, against real processes."""

import json
import os
import subprocess
import sys

import pytest
from patience import PATIENCE
from test_queues import doc, queue

from asterwharf.fleet.live import Live
from asterwharf.sickle.ask import one


@pytest.fixture(scope='module')
def live(tmp_path_factory):
    f = Live(tmp_path_factory.mktemp('queues'), 'small', edges=1, minions=0, patience=PATIENCE).up()
    try:
        assert f.until(lambda: f.status('e0')['fit'])
        yield f
    finally:
        f.down()


@pytest.fixture
def sickle(live):
    def run(*args, doc=None, rc=0):
        got = subprocess.run(
            [sys.executable, '-m', 'asterwharf.sickle.main', *args],
            capture_output=True,
            text=True,
            timeout=PATIENCE,
            env=dict(os.environ, ASTERWHARF_AT=live.http['e0'], USER='op'),
            input=doc and json.dumps(doc),
        )
        assert got.returncode == rc and 'Traceback' not in got.stderr, (got.returncode, got.stdout, got.stderr)
        return got.stdout + got.stderr

    return run


def test_operators_change_queues_and_zones_by_the_command_line(live, sickle):
    assert 'number 0 by -' in sickle('queues', 'get')
    assert 'number 3 is in force' in sickle('queues', 'put', '-', doc=doc(3))
    assert '303 stale' in sickle('queues', 'put', '-', '--base', '2', doc=doc(9), rc=3)
    assert 'number 3' in sickle('queues', 'put', '-', '--base', '0', doc=doc(3))
    assert 'queues[0].tries' in sickle('queues', 'put', '-', doc=doc(9, queues=[queue(1, tries=0)]), rc=2)
    assert 'number 4 ' in sickle(
        'queues', 'change', '-', doc={'set': {'queues': [queue(7)]}, 'drop': {'queues': ['q0']}}
    )
    assert '200 bad_json' in sickle('queues', 'change', '-', doc=[1], rc=2)
    got = json.JSONDecoder().raw_decode(sickle('queues', 'get', '--json'))[0]
    assert got['by'] == 'op' and got['doc'] == doc(4, queues=[queue(1), queue(2), queue(7)])
    rows = sickle('queues', 'list').splitlines()
    assert rows[0].split()[:4] == ['name', 'host', 'prefix', 'group'] and [r.split()[0] for r in rows[1:]] == [
        'q1',
        'q2',
        'q7',
    ]
    assert [r['name'] for r in json.loads(sickle('queues', 'list', '--json'))['queues']] == ['q1', 'q2', 'q7']
    assert 'z2 is evacuated' in sickle('zone', 'evacuate', 'z2') and 'z2  ' in sickle('zone', 'evacuated')
    assert '201 bad_field' in sickle('zone', 'evacuate', 'a b', rc=2)
    assert 'z2 is readmitted' in sickle('zone', 'readmit', 'z2') and json.loads(
        sickle('zone', 'evacuated', '--json')
    ) == {'zones': []}
    assert live.until(lambda: all(live.status(n)['queues'] == 4 for n in live.core + live.edges))


def test_the_door_refuses_with_numbers(live):
    def told(method, path, body=None, **heads):
        sts, got = one(live.http['e0'], method, path, body, {k.replace('_', '-'): v for k, v in heads.items()})
        return sts, got.get('code')

    now = one(live.http['e0'], 'GET', '/v1/queues')[1]['number']
    nest = {}
    for _ in range(900):
        nest = {'a': nest}
    assert told('PUT', '/v1/queues', doc(99)) == (428, 209) and told('PUT', '/v1/queues', doc(99), If_Match='x') == (
        400,
        201,
    )
    assert told('PUT', '/v1/queues', doc(99), If_Match=f'"{now + 1}"') == (412, 303)
    assert told('PUT', '/v1/queues', doc(99, more=nest), If_Match=f'"{now}"') == (400, 208)
    assert told('PATCH', '/v1/queues', {'number': 99, 'set': {'queues': [nest]}}, If_Match=f'"{now}"') == (400, 208)
    assert told('PATCH', '/v1/queues', {'number': 99, 'put': {}}, If_Match=f'"{now}"') == (400, 201)
    assert told('DELETE', '/v1/queues') == (405, 204) and told('PUT', '/v1/zones/a%20b/emptied') == (400, 201)
    assert told('GET', '/v1/queues', If_None_Match=f'"{now}"') == (304, None)
    assert one(live.http['e0'], 'GET', '/v1/queues')[1]['number'] == now
