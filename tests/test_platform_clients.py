"""Clients' calls on the platform adapter: what is taken, refused and answered."""

import pytest
from platform_rig import CORE, ID, JOB, Asked, Daemon, compiled, front, settings, speech, written


@pytest.fixture
def dmn(tmp_path):
    d = Daemon(settings.load(written(tmp_path, CORE)).ok)
    d.b.atlas.queues = compiled()
    return d


def test_a_clients_calls_become_requests(dmn):
    f = front.Front(dmn)
    a = Asked(f, 'POST', f'/lo/{ID}', JOB, x_asterwharf_time_left_ms='1500')
    op, grp, args, then, ttl = dmn.trips[0]
    assert (op, grp, args['id'], args['spec']) == ('y_submit', 'commons', ID, front.job(JOB)) and 1300 <= ttl < 1500
    assert args['queue'] == {
        'name': 'r-a',
        'place': 'n.example/lo/',
        'group': 'hu',
        'priority': 1,
        'tries': 2,
        'stretch': 2.2,
        'aim_ms': 2000,
    }
    then('taken', {})
    assert a.status == 200
    a = Asked(f, 'GET', f'/lo/{ID}')
    assert (
        dmn.trips[1][:3] == ('y_state', 'commons', {'queue': 'r-a', 'place': 'n.example/lo/', 'id': ID})
        and dmn.trips[1][4] < 3000
    )
    dmn.trips[1][3]('ok', {'state': 'running'})
    assert a.got == [(200, {'state': 'running'}, {})]
    a = Asked(f, 'GET', '/pu/')
    assert dmn.trips[2][:3] == ('y_waiting', 'commons', {'queue': 'r-b', 'place': 'n.example/pu/'})
    dmn.trips[2][3]('ok', {'waiting': 12})
    assert a.got[0][1] == {'waiting': 12}
    a = Asked(f, 'DELETE', f'/lo/{ID}')
    dmn.trips[3][3]('unknown_job', None)
    assert a.status == 410


@pytest.mark.parametrize(
    'code, status, later',
    [
        ('taken', 200, 0),
        ('same', 200, 0),
        ('other_body', 409, 0),
        ('tenant_full', 429, 1),
        ('no_holder', 503, 1),
        ('overload', 503, 1),
        ('unsure', 504, 0),
        ('a word of a later release', 504, 0),
        ('inner', 504, 0),
    ],
)
def test_not_taken_is_said_only_where_it_is_so(dmn, code, status, later):
    a = Asked(front.Front(dmn), 'POST', f'/lo/{ID}', JOB)
    dmn.trips[0][3](code, {'retry_ms': 2500})
    assert a.status == status and a.got[0][2] == ({'Retry-After': '3'} if later else {})


@pytest.mark.parametrize(
    'method, path, status',
    [
        ('GET', '/no/', 404),
        ('POST', f'/no/{ID}', 404),
        ('GET', '/lo', 404),
        ('GET', '/lo/short', 404),
        ('GET', f'/lo/{ID}x', 404),
        ('POST', f'/lo/{ID[:-1]}g', 404),
        ('PUT', f'/lo/{ID}', 405),
        ('POST', '/lo/', 405),
        ('DELETE', '/lo/', 405),
    ],
)
def test_what_is_no_call_of_a_client_is_refused_here(dmn, method, path, status):
    a = Asked(front.Front(dmn), method, path, JOB)
    assert a.status == status and not dmn.trips


def test_without_a_configuration_a_client_is_told_to_come_again(dmn):
    dmn.b.atlas.queues = None
    a = Asked(front.Front(dmn), 'GET', '/lo/')
    assert a.status == 503 and a.got[0][2] == {'Retry-After': '1'}


def test_a_malformed_job_is_refused_and_nothing_is_sent(dmn):
    f = front.Front(dmn)
    for doc in (b'{"steps":', {'steps': [{'count': 0}]}, [1]):
        assert Asked(f, 'POST', f'/lo/{ID}', doc).status == 400
    assert dmn.b.said == ['job refused'] * 3
    assert not dmn.trips and (f.max_body, f.max_head, f.stall_ms, f.idle_ms) == (262144, 16384, 3000, 15000)


def test_a_node_is_ready_through_a_short_change_of_holder_and_no_longer_once_it_leaves(dmn, monkeypatch):
    now = [10**6]
    monkeypatch.setattr(front, 'boot_ms', lambda: now[0])
    r = front.Ready(dmn, front.Front(dmn))
    assert Asked(r, 'GET', '/ready').status == 200
    dmn.b.links.clear()
    now[0] += 3000
    assert Asked(r, 'GET', '/ready').status == 200
    now[0] += 3000
    assert Asked(r, 'GET', '/ready').status == 503
    dmn.b.links['h'] = {}
    assert Asked(r, 'GET', '/ready').status == 200
    dmn.b.leaving = True
    assert Asked(r, 'GET', '/ready').status == 503
    dmn.b.leaving, dmn.b.atlas.queues = False, None
    assert Asked(r, 'GET', '/ready').status == 503


def test_whoever_is_taken_while_leaving_is_answered_before_the_end(dmn, monkeypatch):
    now = [10**6]
    monkeypatch.setattr(speech, 'boot_ms', lambda: now[0])
    dmn.b.leaving, dmn.end = True, now[0] + 1000
    Asked(front.Front(dmn), 'GET', f'/lo/{ID}')
    assert dmn.trips[0][4] <= 1000 - speech.LAST
