"""The queues document: what is refused, what a change by name makes of it, its rows, its compiled form."""

import functools
import json
import random
import sys

import pytest

from asterwharf.door.app import Request
from asterwharf.door.routes import match
from asterwharf.scheduler import queues
from asterwharf.scheduler.atlas import Atlas
from asterwharf.scheduler.configuration.accepted_orders import ORDERS_KEPT
from asterwharf.scheduler.configuration.state_machine import ConfigurationStateMachine, OrderResult
from asterwharf.wire import kinds  # noqa: F401
from asterwharf.wire.schema import pack

GROUP = {'name': 'fit', 'guards': False, 'more': {'path': '/health', 'tls': False}}


def queue(i, **more):
    return {
        'name': f'q{i}',
        'host': f'h{i % 7}.example',
        'prefix': f'/p{i}/',
        'group': 'fit',
        'timeout_ms': 3000,
        'aim_ms': 1500,
        'priority': i % 3,
        'tries': 2,
        'stretch': 1.5,
        **more,
    }


def doc(num, n=3, **more):
    return {
        'number': num,
        'queues': [queue(i) for i in range(n)],
        'groups': [GROUP],
        'limits': {'body_bytes': 4000},
        **more,
    }


# --- what is refused
BAD = [
    ([], 'wanted an object'),
    ({'queues': [], 'groups': []}, 'number: missing'),
    (doc('7'), 'number: wanted int'),
    (doc(True), 'number: wanted int'),
    (doc(0), 'number: 0'),
    (doc(1 << 60), 'number: 1152921504606846976'),
    ({'number': 2, 'groups': []}, 'queues: missing'),
    ({'number': 2, 'queues': []}, 'groups: missing'),
    (doc(2, queues={}), 'queues: wanted'),
    (doc(2, queues=[3]), 'queues[0]: wanted an object'),
    (doc(2, note='x'), 'note: unknown'),
    (doc(2, queues=[queue(1, name='')]), 'queues[0].name: empty'),
    (doc(2, queues=[queue(1, name=4)]), 'queues[0].name: wanted str'),
    (doc(2, queues=[queue(1), queue(2, name='q1')]), "queues[1].name: 'q1' stands at queues[0] already"),
    (doc(2, groups=[GROUP, GROUP]), "groups[1].name: 'fit' stands at groups[0] already"),
    (doc(2, groups=[dict(GROUP, guards=1)]), 'groups[0].guards: wanted bool'),
    (doc(2, groups=[dict(GROUP, kind='x')]), 'groups[0].kind: unknown'),
    (
        doc(2, queues=[queue(1), queue(2, host='H1.example:80', prefix='/p1/')]),
        'queues[1]: the host and prefix of queues[0]',
    ),
    (doc(2, queues=[queue(1, group='none')]), "queues[0].group: no group 'none'"),
    (doc(2, queues=[queue(1, host='')]), 'queues[0].host: empty'),
    (doc(2, queues=[queue(1, host=None)]), 'queues[0].host: wanted str'),
    (doc(2, queues=[queue(1, prefix='p/')]), "queues[0].prefix: 'p/' does not begin"),
    (doc(2, queues=[queue(1, timeout_ms=0)]), 'queues[0].timeout_ms: 0'),
    (doc(2, queues=[queue(1, timeout_ms=2.5)]), 'wanted int'),
    (doc(2, queues=[queue(1, timeout_ms=True)]), 'wanted int, got bool'),
    (doc(2, queues=[queue(1, tries=0)]), 'queues[0].tries: 0'),
    (doc(2, queues=[queue(1, priority=-1)]), 'queues[0].priority: -1'),
    (doc(2, queues=[queue(1, aim_ms=-1)]), 'queues[0].aim_ms: -1'),
    (doc(2, queues=[queue(1, stretch=0)]), 'queues[0].stretch: 0'),
    (doc(2, queues=[queue(1, stretch='2')]), 'wanted float'),
    (doc(2, queues=[queue(1, aim_ms=1 << 60)]), 'queues[0].aim_ms'),
    (doc(2, queues=[queue(1, more=[])]), 'queues[0].more: wanted dict'),
    (doc(2, queues=[queue(1, colour='red')]), 'queues[0].colour: unknown'),
    (doc(2, limits={'idle_ms': -1}), 'limits.idle_ms: -1'),
    (doc(2, limits={'idle_ms': '1'}), 'limits.idle_ms: wanted int'),
    (doc(2, more=3), 'more: wanted dict'),
]


@pytest.mark.parametrize('bad, why', BAD)
def test_a_mistake_is_refused_with_its_path(bad, why):
    res = queues.check(bad)
    assert res.is_error() and res.error.code == 'bad_config' and any(why in m for m in res.error.more), res


def test_every_mistake_is_listed_and_a_number_must_rise():
    bad = doc(5, queues=[queue(1, tries=0, prefix='x'), queue(1, group='no'), 'q'], limits={'zap': 1})
    assert len(queues.check(bad, 9).error.more) == 7, queues.check(bad, 9).error.more
    assert queues.check(doc(5), 4).ok == 5 and 'is not above 5' in queues.check(doc(5), 5).error.more[0]


def test_what_has_a_default_may_be_absent():
    d = {'number': 1, 'queues': [{'name': 'a', 'host': 'h', 'prefix': '/', 'group': 'g'}], 'groups': [{'name': 'g'}]}
    assert queues.check(d).ok == 1
    q = made(d)
    assert q.queue('a') == queues.Queue('a', 'h', '/', 'g') and q.group('g').guards is False and q.queue('b') is None
    assert q.limits == {'body_bytes': 1 << 20, 'header_bytes': 1 << 16, 'header_wait_ms': 5000, 'idle_ms': 60000}
    assert made(doc(2)).limits['body_bytes'] == 4000
    # what a later release added is nothing to this one
    assert made(doc(2, queues=[queue(1, colour='red', more={'a': 1})], tint=1)).queue('q1') == queues.Queue(**queue(1))


def test_what_could_not_pass_the_wire_or_be_kept_is_refused():
    nest = []
    for _ in range(queues.DEPTH):
        nest = [nest]
    assert queues.text(doc(1, more={'x': nest})).is_error() and queues.text(doc(1, more={'x': float('inf')})).is_error()
    assert queues.text(doc(1, more={'x': nest[0][0][0]})).is_ok()
    assert 'are more than' in queues.check(doc(1, queues.MOST)).error.more[0]


def test_a_document_too_deep_for_the_wire_is_refused_before_it_is_sent_on():
    for method, body in (('PUT', doc(1)), ('PATCH', {'number': 1, 'set': {'queues': [queue(1)]}})):
        for more, bad in (({}, False), ({'a': functools.reduce(lambda d, _: {'a': d}, range(queues.DEPTH), {})}, True)):
            route, args, _ = match(method, ['v1', 'queues'])
            e = Request(method, '/v1/queues', '', {'If-Match': '"0"'}, b'', None)
            e.args, e.doc = args, json.loads(json.dumps(body))
            (e.doc if method == 'PUT' else e.doc['set']['queues'][0])['more'] = more
            got = route.prepare(e)
            assert (got.code == 'bad_config') if bad else got is None


# --- changes by name
def test_named_items_are_added_replaced_in_place_and_dropped():
    old = doc(3, 4, more={'x': 1})
    req = {
        'number': 8,
        'set': {'queues': [queue(9), queue(1, tries=7)], 'groups': [{'name': 'new'}]},
        'drop': {'queues': ['q0', 'never', 'q1'], 'groups': ['gone']},
    }
    got = queues.changed(old, req).ok
    assert [q['name'] for q in got['queues']] == ['q1', 'q2', 'q3', 'q9'] and got['queues'][0]['tries'] == 7
    assert [g['name'] for g in got['groups']] == ['fit', 'new'] and (got['number'], got['more']) == (8, {'x': 1})
    assert old == doc(3, 4, more={'x': 1}) and list(got) == list(old)
    assert queues.changed(None, {'number': 1}).ok == {'number': 1, 'queues': [], 'groups': []}


# --- rows
def order(c, op, num, base, sum=''):
    return c.apply(
        op,
        pack(
            'c_queues',
            {
                'number': num,
                'base': base,
                'by': 'op',
                'at': 5,
                'sum': sum or f's{num}',
                'doc': queues.squeeze(json.dumps(doc(num))),
            },
        ),
    )


def test_the_rows_hold_all_of_it():
    c, kept = ConfigurationStateMachine(), ORDERS_KEPT
    for i in range(1, kept + 11):
        assert order(c, i, i * 2, i * 2 - 2).accepted
    top = kept * 2 + 20
    assert order(c, kept + 20, top + 2, top - 2).stale and order(c, kept + 21, top, top, 'other') == OrderResult(top)
    c.apply(kept + 22, pack('c_zone', {'zone': 'z1', 'emptied': True, 'at': 7}))
    c.apply(kept + 23, pack('c_zone', {'zone': 'z2', 'emptied': False, 'at': 8}))
    rows, two = c.delta(), ConfigurationStateMachine()
    two.load({k: v for k, v in rows.items() if v is not None})
    assert set(rows) == {'queues', 'empty:z1'} | {f'order:s{i * 2}' for i in range(1, kept + 11)} and not c.delta()
    for x in (c, two):
        assert (
            x.number == top
            and x.queues == ({'number': top, 'by': 'op', 'at': 5}, doc(top))
            and x.atlas.emptied == {'z1'}
        )
        # the last ones are remembered, the first are not
        assert order(x, kept + 30, 22, 20) == OrderResult(22, accepted=True) and order(x, kept + 31, 20, 18).stale
    # a release that knows no such rows reads each as text
    assert all(v.decode() is not None for _, v in c.atlas.rows.values())


# --- the compiled form
def made(d, op=1):
    at = Atlas()
    at.merge(
        [('queues', op, queues.row({'number': d['number'], 'by': '', 'at': 0, 'doc': queues.squeeze(json.dumps(d))}))]
    )
    return at.queues


def test_it_is_compiled_once_and_only_when_it_is_new():
    at, seen = Atlas(), queues.compiled.cache_info
    assert at.queues is None and at.number == 0
    rows = [
        ('queues', 5, queues.row({'number': 3, 'by': '', 'at': 0, 'doc': queues.squeeze(json.dumps(doc(3)))})),
        ('empty:z1', 6, b'9'),
    ]
    was = seen().misses
    assert at.merge(rows) and at.number == 3 and seen().misses == was
    got = at.queues
    assert (
        not at.merge(rows) and at.merge([('own:minion:a', 7, b'x')]) and at.queues is got and seen().misses == was + 1
    )
    # of two copies the newer wins
    old = queues.row({'number': 2, 'by': '', 'at': 0, 'doc': queues.squeeze(json.dumps(doc(2)))})
    assert not at.merge([('queues', 4, old)]) and at.queues is got and at.number == 3
    assert at.emptied == {'z1'} and at.merge([('empty:z1', 8, b'')]) and at.emptied == frozenset()


def test_the_longest_prefix_of_the_host_is_found():
    rows = [
        ('a', 'H.example', '/'),
        ('b', 'h.example:80', '/ab/'),
        ('c', 'h.example', '/ab/cd/'),
        ('d', 'h.example', '/ac'),
        ('e', 'other', '/ab/'),
        ('f', 'h.example', '/ab/ce/'),
    ]
    q = made(doc(1, queues=[queue(1, name=n, host=h, prefix=p) for n, h, p in rows]))
    for host, path, want in [
        ('h.example', '/ab/x', ('b', 'x')),
        ('H.EXAMPLE:8080', '/ab/cd/x?y', ('c', 'x?y')),
        ('h.example', '/ab', ('a', 'ab')),
        ('h.example', '/acid', ('d', 'id')),
        ('h.example', '/ab/cdx', ('b', 'cdx')),
        ('h.example:', '/ab/cf', ('b', 'cf')),
        ('other', '/ab/', ('e', '')),
        ('other', '/', None),
        ('example', '/', None),
        ('', '/', None),
        (None, '/', None),
        ('h.example', '', None),
        ('h.example', 'x', None),
    ]:
        got = q.find(host, path)
        assert (got and (got[0].name, got[1])) == want, (host, path)


def test_finding_agrees_with_looking_at_every_prefix():
    rng = random.Random(3)
    pres = {'/' + ''.join(rng.choice('ab/') for _ in range(rng.randint(0, 6))) for _ in range(150)}
    q = made(doc(1, queues=[queue(i, host='h', prefix=p) for i, p in enumerate(pres)]))
    for _ in range(2000):
        path = '/' + ''.join(rng.choice('ab/c') for _ in range(rng.randint(0, 9)))
        want = max((p for p in pres if path.startswith(p)), key=len, default=None)
        got = q.find('h', path)
        assert (got and got[0].prefix) == want and (got is None or want + got[1] == path)


def calls(fn):
    """How many functions a work calls, ours and the interpreter's: a count of work that no machine changes."""
    n = [0]
    sys.setprofile(lambda frame, evt, arg: n.__setitem__(0, n[0] + evt.endswith('call')))
    try:
        fn()
    finally:
        sys.setprofile(None)
    return n[0]


@pytest.mark.parametrize(
    'work', [queues.check, made, lambda d: queues.changed(d, {'number': 9, 'set': {'queues': d['queues'][::2]}}).ok]
)
def test_work_grows_with_the_document_and_no_faster(work):
    one, two = (calls(lambda: work(doc(1, n))) for n in (1000, 2000))
    assert one / 1000 < 60 and two < one * 2.1, (one, two)
