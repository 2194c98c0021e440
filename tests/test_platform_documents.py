"""The platform adapter's translations: configurations, changes and jobs, there and back."""

import json
import random

import pytest
from platform_rig import (
    DOC,
    JOB,
    front,
    names,
    speech,
)

from asterwharf.scheduler import queues


# --- documents there and back
def test_a_configuration_comes_back_exactly_as_it_was_sent():
    got = names.doc_ours(DOC)
    assert got['queues'][0]['aim_ms'] == 2000 and got['queues'][0]['more'] == {
        'home_regions': ['x'],
        'queues': 3,
        'more': {'more': 1},
    }
    assert queues.check(got).ok == 7
    back = names.doc_theirs(json.loads(json.dumps(got)))
    assert (
        back == DOC and [r['name'] for r in back['routes']] == ['r-a', 'r-b'] and 'timeout_ms' not in back['routes'][1]
    )


def _value(r, deep=0):
    keys = [*names.DOC, *names.QUEUE, *names.DOC.values(), *names.QUEUE.values(), 'more', 'guards', 'x']
    k = r.randrange(7 if deep < 4 else 4)
    if k > 3:
        return (
            {r.choice(keys): _value(r, deep + 1) for _ in range(r.randrange(5))}
            if k < 6
            else [_value(r, deep + 1) for _ in range(r.randrange(4))]
        )
    return [None, r.randrange(100), r.random(), 'text'][k]


def test_any_document_comes_back_whatever_it_holds():
    r = random.Random(5)
    for _ in range(3000):
        doc = {k: _value(r) for k in (*names.DOC, 'more', 'queues', 'number') if r.random() < 0.6}
        assert names.doc_theirs(names.doc_ours(doc)) == doc


def test_a_change_of_named_items_is_translated_and_nothing_of_it_is_dropped_unread():
    req = {
        'version': 9,
        'add_or_replace': {'routes': [DOC['routes'][0]], 'services': DOC['services']},
        'remove': {'routes': ['r-old']},
    }
    got = names.change_ours(req)
    assert got['number'] == 9 and got['drop'] == {'queues': ['r-old']} and got['set']['queues'][0]['prefix'] == '/lo/'
    assert names.change_ours({'version': 9}) == {'number': 9, 'set': {}, 'drop': {}}
    for bad in ({'add_or_replace': []}, {'add_or_replace': {'limits': {}}}, {'remove': {'zones': []}}, {'limits': {}}):
        assert names.change_ours(dict(req, **bad)) is None


def test_a_job_is_translated_and_what_says_nothing_is_left_out():
    assert front.job(JOB) == {
        'payload': 'text',
        'steps': [
            {'count': 4, 'cpu': 500, 'mem': 256, 'estimate_ms': 901, 'apart': 2, 'near': 'r1-3'},
            {
                'count': 20,
                'gpus': 1,
                'together': True,
                'one_rack': True,
                'copies': True,
                'saves': True,
                'label': 'a',
                'after': [0],
            },
        ],
        'times': 3,
        'first_ms': 1792608883398,
        'every_ms': 500,
    }


def _with(**step):
    return {'job_spec': '', 'steps': [{'count': 1}, dict({'count': 1}, **step)]}


@pytest.mark.parametrize(
    'doc',
    [
        {},
        {'steps': []},
        {'steps': {}},
        {'steps': [1]},
        {'steps': [{}]},
        {'steps': [{'count': 1}] * 201},
        dict(JOB, job_spec='x' * 4001),
        dict(JOB, job_spec='é' * 2001),
        dict(JOB, job_spec=3),
        dict(JOB, job_spec='\ud800'),
        dict(JOB, repeat_count=-1),
        dict(JOB, repeat_count=20000),
        dict(JOB, every_ms='5'),
        dict(JOB, first_at_ms=10**16),
        _with(count=0),
        _with(count=-1),
        _with(count=10001),
        _with(count='2'),
        _with(count=True),
        _with(count=None),
        _with(cpu=-1),
        _with(cpu='1'),
        _with(cpu=[]),
        _with(mem_mb=float('nan')),
        _with(gpus=10**16),
        _with(estimate_ms=float('inf')),
        _with(depends_on=[1]),
        _with(depends_on=[-1]),
        _with(depends_on=['0']),
        _with(depends_on=0),
        _with(depends_on=[0.0]),
        _with(depends_on=[True]),
        _with(all_together=1),
        _with(requires=5),
        _with(near='x' * 201),
        _with(near='\udfff'),
        _with(apart=-2),
        _with(checkpoints='yes'),
        {'steps': [{'count': 9000}, {'count': 9000}]},
        {'steps': [{'count': 1000}], 'repeat_count': 101},
    ],
)
def test_a_job_that_is_not_as_it_should_be_is_refused(doc):
    with pytest.raises(speech.Refused):
        front.job(doc)


@pytest.mark.parametrize(
    'raw', [b'', b'[]', b'{"a":', b'{"a":NaN}', b'{"a":1e999}', b'{"a":-Infinity}', b'\xff', b'[' * 100000, b'"x"']
)
def test_a_body_that_cant_be_read_is_refused(raw):
    with pytest.raises(speech.Refused):
        speech.read(raw)
