"""The operators' command line and the runbooks, against real processes with a token set."""

import json
import os
import subprocess
import sys

import pytest
from patience import PATIENCE

from asterwharf.fleet.live import Live
from asterwharf.sim.actors import DOC

LONG = {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 1, 'run': {'ms': 60000}}]}


class StatusError(AssertionError):
    """A command ended with another status than the test wants."""


def soon(live, condition):
    """Whether the condition comes to hold; a command refused meanwhile (no leader yet, a slow door) is given again."""

    def holds():
        try:
            return condition()
        except StatusError:
            return False

    return live.until(holds)


@pytest.fixture(scope='module')
def live(tmp_path_factory):
    f = Live(tmp_path_factory.mktemp('sickle'), 'small', token='s3cret', patience=PATIENCE).up()
    try:
        assert f.until(lambda: f.status('e0')['fit'] and f.status('e1')['fit'])
        yield f
    finally:
        f.down()


@pytest.fixture
def sickle(live):
    env = dict(os.environ, ASTERWHARF_AT=f'{live.http["e0"]},{live.http["e1"]}', ASTERWHARF_TOKEN='s3cret', USER='op')

    def run(*args, doc=None, rc=0, **over):
        got = subprocess.run(
            [sys.executable, '-m', 'asterwharf.sickle.main', *args],
            env=dict(env, **over),
            input=None if doc is None else json.dumps(doc),
            capture_output=True,
            text=True,
            timeout=PATIENCE,
        )
        assert 'Traceback' not in got.stderr, got.stderr
        if got.returncode != rc:
            raise StatusError(got.returncode, got.stdout, got.stderr)
        return got.stdout + got.stderr

    return run


def test_configurations_are_put_listed_compared_and_restored(live, sickle):
    assert 'sequence 1 is in force' in sickle('config', 'put', '-', doc=DOC)
    assert 'sequence 2' in sickle('config', 'put', '-', '--base', '1', doc=dict(DOC, note='second'))
    assert '303 stale' in sickle('config', 'put', '-', '--base', '1', doc=DOC, rc=3)
    assert '201 bad_field' in sickle('config', 'check', '-', doc=dict(DOC, colour=1), rc=2)
    assert 'policies: near' in sickle('config', 'check', '-', doc=DOC)
    assert json.JSONDecoder().raw_decode(sickle('config', 'get', '--json'))[0]['sequence'] == 2
    assert [r.split()[0] for r in sickle('config', 'log').splitlines()[1:]] == ['2', '1']
    assert '+ "note": "second"' in sickle('config', 'diff', '1', '2')
    assert '310 no_history' in sickle('config', 'show', '77', rc=3)
    assert 'sequence 3 is in force, as 1 was' in sickle('config', 'restore', '1')
    assert live.until(lambda: all(live.status(n)['sequence'] == 3 for n in live.core + live.edges))


def test_a_wrong_token_and_no_door_have_their_numbers(sickle):
    assert '211 bad_token' in sickle('minions', ASTERWHARF_TOKEN='no', rc=2)
    assert '503 no_reach' in sickle('minions', '--at', '127.0.0.1:1', rc=5)
    assert '201 bad_field' in sickle('minion', 'gone', 'm00', rc=2)
    assert '305 unknown_minion' in sickle('minion', 'drain', 'nobody', rc=3)


def test_jobs_claims_why_and_a_drained_minion(live, sickle):
    assert live.until(lambda: live.minions_up() == 3)
    assert 'taken: basin/long' in sickle('job', 'put', 'basin', 'long', '-', doc=LONG)
    assert soon(live, lambda: 'basin/long/a' in sickle('claims'))
    assert 'running' in sickle('why', 'basin', 'long') and 'long' in sickle('jobs', '--tenant', 'basin')
    for m in live.tends:
        sickle('minion', 'drain', m)
    sickle('job', 'put', 'basin', 'waits', '-', doc=LONG)
    assert '3 minions: draining' in sickle('why', 'basin', 'waits')
    for m in live.tends:
        sickle('minion', 'undrain', m)
    assert soon(live, lambda: sickle('claims').count('basin/') == 2)
    for j in ('long', 'waits'):
        assert soon(live, lambda: 'cancelled' in sickle('job', 'cancel', 'basin', j))
    assert 'e0' in sickle('nodes') and 'minions 3/3' in sickle('watch', '--rounds', '1')
    tri = sickle('policy', 'check', '-', 'near', '--cls', 'surge', '--victim', 'sweep', doc=DOC)
    assert 'm02' in tri and 'may_evict' in tri


def test_runbook_zone_emptied(live, sickle):
    assert 'zone z2 emptied' in sickle('zone', 'empty', 'z2')
    assert '306 unknown_zone' in sickle('zone', 'empty', 'z9', rc=3)
    sickle('zone', 'empty', 'z1')
    assert '307 last_zone' in sickle('zone', 'empty', 'z3', rc=3)
    sickle('zone', 'restore', 'z1')
    sickle('zone', 'restore', 'z2')


def test_what_still_runs_at_the_deadline_is_pushed_out_and_the_deadline_can_be_taken_back(live, sickle):
    assert live.until(lambda: live.minions_up() == 3)
    sickle('job', 'put', 'basin', 'stays', '-', doc=LONG)

    def where():
        return next(
            (r['minion'] for r in json.loads(sickle('claims', '--json'))['claims'] if r['task'] == 'basin/stays/a'), ''
        )

    assert soon(live, where)
    old = where()
    assert 'pushed out' in sickle('minion', 'drain', old, '--within', '600')
    sickle('minion', 'undrain', old)
    assert 'in 0 s is pushed out' in sickle('minion', 'drain', old, '--within', '0')
    assert soon(live, lambda: where() not in ('', old))
    # an eviction is no try
    assert json.loads(sickle('job', 'get', 'basin', 'stays'))['tasks'][0]['used'] == 0
    sickle('minion', 'undrain', old)
    zone = live.zone(where())
    sickle('zone', 'empty', zone, '--within', '0')
    assert soon(live, lambda: where() and live.zone(where()) != zone)
    assert f'{zone} ' in sickle('zone', 'list')
    sickle('zone', 'restore', zone)
    assert '201 bad_field' in sickle('config', 'check', '-', doc=dict(DOC, zones={'z1': {'evict_at': 'soon'}}), rc=2)
    assert '208 bad_config' in sickle('config', 'check', '-', doc=dict(DOC, zones={'z1': {'evict_at': 5}}), rc=2)
    assert soon(live, lambda: 'cancelled' in sickle('job', 'cancel', 'basin', 'stays'))


def test_a_seat_in_sight_and_an_unknown_one_are_refused(sickle):
    holder = json.loads(sickle('seats'))['groups']['core']['holder']
    assert '312 in_sight' in sickle('seat', 'replace', holder, 't9', rc=3)
    assert '313 unknown_seat' in sickle('seat', 'replace', 't7', 't9', rc=3)


def test_runbook_disk_wiped_and_core_replaced(live, sickle):
    n = json.loads(sickle('seats'))['groups']['core']['holder']
    old = live.bind[n]
    live.kill(n)
    live.wipe(n)
    # the same machine's name, an empty disk, and another address
    live.readdress(n)
    live.start(n)

    def whole():
        # in every group: a second loss before this would be two of three at once
        grps, inc = json.loads(sickle('seats'))['groups'], live.status(n)['inc']
        return all(not g['changing'] and g['seats'][n] == inc for g in grps.values()) and all(
            s['acked'] == grps['core']['last'] for s in grps['core']['siblings'].values()
        )

    assert soon(live, whole)
    assert old != live.bind[n] and live.until(lambda: live.status(n)['sequence'] >= 3)
    # and the fleet stands the next loss
    m = next(c for c in live.core if c != n)
    live.kill(m)
    assert live.until(lambda: live.ask('e0', 'PUT', '/v1/tenants/basin/jobs/after', LONG)[0] in (200, 201))
    live.start(m)


def test_a_cell_is_made_and_dissolved(live, sickle):
    doc = dict(DOC, cells={'north': {'tenants': ['basin'], 'zones': ['z1'], 'seats': ['t0', 'e0', 't1']}})
    sickle('config', 'put', '-', doc=doc)

    def owns():
        rows = json.loads(sickle('cells', '--json'))['cells']
        return rows and 'tenant:basin' in rows[0]['owns'] and 'minion:m00' in rows[0]['owns']

    # what runs in the old cell ends there first
    assert soon(live, lambda: 'cancelled' in sickle('job', 'cancel', 'basin', 'after'))
    assert soon(live, owns)
    quick = {'class': 'surge', 'tasks': [{'name': 'a', 'run': {'ms': 100}}]}
    assert live.until(lambda: live.ask('e1', 'PUT', '/v1/tenants/basin/jobs/north1', quick)[0] in (200, 201))
    assert live.until(lambda: live.ask('e1', 'GET', '/v1/tenants/basin/jobs/north1')[1]['state'] == 'done')
    sickle('config', 'put', '-', doc=DOC)
    assert soon(live, lambda: not json.loads(sickle('cells', '--json'))['cells'])
    # its jobs came back with its tenant
    assert live.until(lambda: live.ask('e1', 'GET', '/v1/tenants/basin/jobs/north1')[1]['state'] == 'done')


def test_trouble_names_what_is_wrong_with_the_first_door_and_a_core_node_gone(live, sickle):
    said = []

    def calm():
        try:
            said.append(sickle('trouble'))
        except StatusError as error:
            said.append(error.args)
            raise
        return 'nothing is wrong' in said[-1]

    def named(*words):
        out = sickle('trouble', rc=4)
        return all(w in out for w in words)

    assert soon(live, calm), said[-1:]
    gone = next(c for c in live.core if c != live.status('e1')['holders']['core']['name'])
    live.kill('e0')
    live.kill(gone)
    # who is left sees the loss in its own time
    assert soon(live, lambda: named('e0  ', f'{gone}  ', 'does not answer', '2 of 3 seats'))
    # the whole core gone: it still answers, from the edges alone
    for c in live.core:
        if c in live.procs:
            live.kill(c)
    assert soon(live, lambda: 'takes no callers' in sickle('trouble', rc=4))

    def edge_alone():
        doc = json.loads(sickle('trouble', '--json', rc=4))
        return doc['answered'] == ['e1'] and set(live.core) <= set(doc['not_asked'])

    assert soon(live, edge_alone)
    for n in [*live.core, 'e0']:
        live.start(n)
    assert soon(live, calm), said[-1:]


def test_alarms_have_numbers_stand_and_are_cleared(live, sickle):
    live.settings('e1', request_limit=-1)
    live.signal('e1', 1)
    door = live.http['e1']
    assert soon(live, lambda: '606' in sickle('metrics', '--at', door))
    assert soon(live, lambda: '606 bad_settings' in sickle('trouble', rc=4))
    live.settings('e1')
    live.signal('e1', 1)
    assert soon(live, lambda: not json.loads(sickle('metrics', '--at', door))['alarms'])
    assert 'alarm cleared' in open(live.path('e1.log')).read()
