"""The calls of minions and operators: what is taken, what is refused, what is answered; then whole processes."""

import json

import pytest
from platform_rig import (
    BEAT,
    CORE,
    DOC,
    ID,
    Asked,
    Daemon,
    control,
    names,
    settings,
    speech,
    written,
)


@pytest.fixture
def dmn(tmp_path):
    return Daemon(settings.load(written(tmp_path, CORE)).ok)


# --- minions
def test_a_beat_is_told_in_our_words_and_its_answer_in_theirs(dmn):
    a = Asked(control.Control(dmn), 'POST', '/minions/i-7f3a/heartbeat', BEAT)
    mid, doc, give = dmn.beats[0]
    assert mid == 'i-7f3a' and doc == {
        'group': 'hu',
        'address': '10.128.0.9:8080',
        'zone': 'hall',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_ms': 0,
        'cpu': 16000,
        'mem': 32768,
        'gpus': 0,
        'labels': ['a', 'r1-3'],
        'clock_ms': 482113,
        'count': 4,
        'running': BEAT['running'],
        'finished': BEAT['finished'],
    }
    give(
        'ok',
        {
            'hold_ms': 4000,
            'seen': 58,
            'fence': 7,
            'start': [[f'{ID}.0.1.18', 1, 'text', '']],
            'stop': [[f'{ID}.0.1.17', 2]],
            'again_ms': 200,
            'address': '10.0.0.4:80',
        },
    )
    assert a.got == [
        (
            200,
            {
                'hold_ms': 4000,
                'last_seen': 58,
                'fence_number': 7,
                'started': [[f'{ID}.0.1.18', 1, 'text', '']],
                'stopped': [[f'{ID}.0.1.17', 2]],
                'retry_after_ms': 200,
                'beat_address': '10.0.0.4:80',
            },
            {},
        )
    ]
    a = Asked(
        control.Control(dmn), 'POST', '/minions/i-7f3a/heartbeat', dict(BEAT, state='draining', leaves_at_ms=1500)
    )
    assert dmn.beats[1][1]['leaves_at_ms'] == 1500
    dmn.beats[1][2]('ok')
    assert a.got[0][1] == {}


def test_a_minion_is_sent_on_to_the_holder_or_told_to_come_again(dmn):
    a = Asked(control.Control(dmn), 'POST', '/minions/i-1/heartbeat', BEAT)
    dmn.beats[0][2]('elsewhere', {'address': '10.0.0.4:8080'})
    assert a.got[0][0] == 307 and a.got[0][2] == {'Location': 'http://10.0.0.4:8080/minions/i-1/heartbeat'}
    a = Asked(control.Control(dmn), 'POST', '/minions/i-1/leave')
    assert dmn.beats[1][:2] == ('i-1', None)
    dmn.beats[1][2]('no_holder', {'retry_ms': 700})
    assert a.got[0][0] == 503 and a.got[0][2] == {'Retry-After': '1'}


@pytest.mark.parametrize(
    'bad',
    [
        {'state': 'gone'},
        {'state': None},
        {'service_name': 3},
        {'zone': ['x']},
        {'address': '\ud800'},
        {'labels': 'a'},
        {'labels': [1]},
        {'capacity': []},
        {'capacity': {'cpu': '16'}},
        {'capacity': {'gpus': -1}},
        {'clock_ms': 'x'},
        {'clock_ms': True},
        {'call_count': None},
        {'call_count': 10**20},
        {'slots': float('1e300')},
        {'leaves_at_ms': 'soon'},
        {'running': {}},
        {'running': [['a', 1, '']]},
        {'running': [['a', 0, '', 1]]},
        {'running': [['a', '1', '', 1]]},
        {'running': [[7, 1, '', 1]]},
        {'running': [['a', 1, None, 1]]},
        {'running': [['a', 1, '', '41']]},
        {'running': ['a1']},
        {'finished': [[1, 'a', 1, 'done']]},
        {'finished': [[0, 'a', 1, 'done', '']]},
        {'finished': [[1, 'a', 1, 'lost', '']]},
        {'finished': [[1, 'a', 1, ['done'], '']]},
        {'finished': [[1, 'a', 1, 'done', 0]]},
        {'finished': [[1.0, 'a', 1, 'done', '']]},
        {'finished': 'x'},
    ],
)
def test_a_beat_with_a_wrong_type_is_refused_and_changes_nothing(dmn, bad):
    raw = json.dumps(dict(BEAT, **bad)).encode()
    assert Asked(control.Control(dmn), 'POST', '/minions/i-1/heartbeat', raw).status == 400 and not dmn.beats


def test_what_is_left_out_of_a_beat_is_nothing():
    assert control.account({}) == {
        'group': '',
        'address': '',
        'zone': '',
        'version': '',
        'slots': 0,
        'state': 'ready',
        'cold_ms': 0,
        'cpu': 0,
        'mem': 0,
        'gpus': 0,
        'labels': [],
        'clock_ms': 0,
        'count': 0,
        'running': [],
        'finished': [],
    }


# --- operators
def test_a_configuration_becomes_a_request_and_each_answer_its_status(dmn):
    c = control.Control(dmn)
    a = Asked(c, 'POST', '/config/replace', DOC, x_asterwharf_based_on='5')
    op, grp, args, then, ttl = dmn.trips[0]
    assert (op, grp, args) == ('queues_put', 'core', {'doc': names.doc_ours(DOC), 'base': 5, 'by': ''}) and ttl < 1000
    then('ok', {'number': 7})
    assert a.status == 200
    for code, status in (('stale', 412), ('bad_config', 400), ('no_holder', 503), ('unsure', 504), ('what', 504)):
        a = Asked(c, 'POST', '/config/change', {'version': 9, 'remove': {'routes': ['r']}}, x_asterwharf_based_on='7')
        assert dmn.trips[-1][0] == 'queues_change' and dmn.trips[-1][2] == {
            'number': 9,
            'set': {},
            'drop': {'queues': ['r']},
            'base': 7,
            'by': '',
        }
        dmn.trips[-1][3](code, {'details': ['why']})
        assert a.status == status
    # a large body takes longer, and its sender waits longer
    a = Asked(c, 'POST', '/config/replace', dict(DOC, routes=DOC['routes'] * 500), x_asterwharf_based_on='5')
    assert dmn.trips[-1][4] > 1500


def test_the_newest_configuration_is_read_back_whole(dmn):
    a = Asked(control.Control(dmn), 'GET', '/config/read')
    assert dmn.trips[0][:3] == ('queues_get', 'core', {})
    dmn.trips[0][3]('ok', {'number': 7, 'doc': names.doc_ours(DOC)})
    assert a.got[0][:2] == (200, DOC)
    a = Asked(control.Control(dmn), 'GET', '/config/read')
    dmn.trips[1][3]('ok', {'number': 0, 'doc': {}})
    assert a.status == 404


def test_an_evacuation_begins_and_is_taken_back(dmn):
    for word, on in (('begin', True), ('finish', False)):
        a = Asked(control.Control(dmn), 'POST', f'/evacuate/hall-caerdydd/{word}')
        assert dmn.trips[-1][:3] == ('zone_set', 'core', {'zone': 'hall-caerdydd', 'emptied': on})
        # while it is under way its caller is asked after
        assert dmn.callers[-1]()
        a.waits = False
        assert not dmn.callers[-1]()
        dmn.trips[-1][3]('ok', {})
        assert a.status == 200


def test_an_evacuation_whose_operator_has_gone_on_to_another_node_goes_no_further(dmn, monkeypatch):
    # held up in a cut connection or by a frozen process, a request is read together with its connection's end
    monkeypatch.setattr(Asked, 'stays', False)
    for word in ('begin', 'finish'):
        assert Asked(control.Control(dmn), 'POST', f'/evacuate/hall-caerdydd/{word}').status == 503
    assert not dmn.trips and dmn.b.count['orders.abandoned'] == 2
    # what has a number of its own may be carried out all the same
    Asked(control.Control(dmn), 'POST', '/config/replace', DOC, x_asterwharf_based_on='5')
    assert len(dmn.trips) == 1


@pytest.mark.parametrize(
    'method, path, body, head, status',
    [
        ('POST', '/config/replace', DOC, None, 400),
        ('POST', '/config/replace', DOC, '-1', 400),
        ('POST', '/config/replace', DOC, '7.0', 400),
        ('POST', '/config/replace', b'{"version":7,', '5', 400),
        ('POST', '/config/replace', b'[]', '5', 400),
        ('POST', '/config/change', {'version': 9, 'limits': {}}, '5', 400),
        ('GET', '/config/replace', None, '5', 405),
        ('POST', '/config/read', None, None, 405),
        ('GET', '/evacuate/z/begin', None, None, 405),
        ('POST', '/evacuate/z/pause', None, None, 404),
        ('POST', '/evacuate//begin', None, None, 404),
        ('GET', '/minions/i/heartbeat', None, None, 405),
        ('POST', '/minions/i/die', None, None, 404),
        ('POST', '/minions/a/b/leave', None, None, 404),
        ('GET', '/', None, None, 404),
        ('POST', '/minions/i/heartbeat', b'', None, 400),
    ],
)
def test_what_is_no_call_is_refused_and_goes_no_further(dmn, method, path, body, head, status):
    heads = {'x_asterwharf_based_on': head} if head else {}
    assert Asked(control.Control(dmn), method, path, body, **heads).status == status
    assert not dmn.trips and not dmn.beats


def test_the_numbers_that_the_platform_sets_hold(tmp_path, dmn):
    c = control.Control(dmn)
    assert c.linger_ms > dmn.b.set.call.beat_ms and c.idle_ms > 10 * dmn.b.set.call.beat_ms
    assert speech.come_again(1) == {'Retry-After': '1'} and speech.come_again(2001) == {'Retry-After': '3'}
