"""Placement policies in the queues document, and what the holder of the cell makes of them."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from yard_cell import QUEUES, A, B, C, Cell, compiled

from asterwharf.orchard import policy
from asterwharf.orchard.policy import reads
from asterwharf.scheduler import queues


def doc(number=1, q='', quick='', **pols):
    """The queues document with policies, and which of its queues has which."""
    out = dict(QUEUES, number=number, policies=pols)
    out['queues'] = [dict(r, policy={'q': q, 'quick': quick}[r['name']]) for r in QUEUES['queues']]
    return out


def fleet(d, *minions):
    c = Cell(d)
    for m in minions:
        c.minion(**m)
    c.go(400)
    return c


R1, R2 = {'mid': 'm1', 'rack': 'r1'}, {'mid': 'm2', 'rack': 'r2'}


# --- the document
@pytest.mark.parametrize(
    'pols, path',
    [
        ({'p': {'may_land': 'minion.rack =='}}, 'policies.p.may_land: '),
        ({'p': {'may_land': 1}}, 'policies.p.may_land: '),
        ({'p': {'colour': ''}}, 'policies.p.colour: '),
        ({'p': []}, 'policies.p: '),
        ([], 'policies: '),
        ({'': {'score': '1.0'}}, 'policies: '),
        ({'p': {'score': '1.0 + ' * 500 + '1.0'}}, 'policies.p.score: '),
        ({f'p{i}': {} for i in range(101)}, 'policies: 101 are more'),
        ({'p': {'may_evict': 'minion.labels.all(a, minion.labels.all(b, a == b))'}}, 'policies.p.may_evict: '),
    ],
)
def test_a_mistake_in_a_policy_is_named_with_its_path(pols, path):
    res = queues.check(dict(QUEUES, policies=pols))
    assert res.is_error() and res.error.code == 'bad_config' and any(m.startswith(path) for m in res.error.more), (
        res.error.more
    )


def test_every_mistake_is_listed_and_a_queue_names_a_policy_that_is_there():
    res = queues.check(doc(q='none', quick='p', p={'score': '1.0'}))
    assert res.error.more == ["queues[0].policy: no policy 'none'"]
    res = queues.check(doc(p={'score': '1.0 +', 'may_land': '('}, o={'may_evict': ')'}))
    assert [m.split(':')[0] for m in res.error.more] == [
        'policies.p.may_land',
        'policies.p.score',
        'policies.o.may_evict',
    ]
    assert queues.check(doc(q='p', p={'may_land': 'true', 'more': {'why': 'x'}})).ok == 1


def test_policies_are_set_and_dropped_by_name_and_read_back_as_sent():
    old = doc(q='p', p={'score': '1.0'}, o={})
    new = queues.changed(
        old, {'number': 2, 'set': {'policies': {'n': {'score': '2.0'}}}, 'drop': {'policies': ['o']}}
    ).ok
    assert new['policies'] == {'p': {'score': '1.0'}, 'n': {'score': '2.0'}} and old['policies'].keys() == {'p', 'o'}
    assert 'policies' not in queues.changed(QUEUES, {'number': 2}).ok
    gone = queues.changed(old, {'number': 2, 'drop': {'policies': ['p']}}).ok
    assert queues.check(gone).error.more == ["queues[0].policy: no policy 'p'"]
    qs = compiled(old)
    assert (
        qs.doc == old
        and qs.queue('q').policy == 'p'
        and qs.policies['p'] == {'may_land': '', 'may_evict': '', 'score': '1.0'}
    )


def test_whether_a_document_has_policies_is_seen_without_reading_it():
    def row(d):
        return queues.row({'number': 1, 'by': '', 'at': 0, 'doc': queues.squeeze(json.dumps(d))})

    assert queues.may_judge(row(doc(p={}))) and not queues.may_judge(row(QUEUES)) and not queues.may_judge(b'')


def test_a_document_is_checked_in_slices_a_policy_at_a_time():
    steps, n = queues.checking(doc(**{f'p{i}': {'score': f'{i}.0'} for i in range(5)})), 0
    with pytest.raises(StopIteration):
        while True:
            n += bool(next(steps))
    assert n >= 5


# --- placing
def test_a_policy_forbids_a_rack():
    c = fleet(doc(quick='p', p={'may_land': "minion.rack != 'r1'"}), R1, R2)
    c.submit(A, 'quick', steps=[{'count': 8, 'cpu': 1000}])
    c.go(2000)
    assert len(c.on('m2')) == 4 and not c.on('m1')
    # a queue without a policy is not held by it, also where it asks for as much and comes later
    c.submit(B, steps=[{'count': 8, 'cpu': 1000}])
    c.go(1500)
    assert c.on('m1') == [f'{B}.0.0.{i}' for i in range(4)]


def test_what_may_land_nowhere_says_so_and_takes_no_room():
    c = fleet(doc(quick='p', p={'may_land': "minion.zone == 'z9'"}), R1, R2)
    c.submit(A, 'quick', steps=[{'count': 1, 'cpu': 4000}])
    c.go(3000)
    assert c.job(A, 'quick')['why'] == 'its policy lets it land on no minion'
    # nothing is kept free for it
    c.submit(B, steps=[{'count': 2, 'cpu': 4000}])
    c.go(1500)
    assert c.on('m1') and c.on('m2')


@pytest.mark.parametrize('rack, mid', [('r1', 'm1'), ('r2', 'm2')])
def test_a_policy_prefers_a_rack_and_takes_the_other_when_that_is_full(rack, mid):
    c = fleet(doc(q='p', p={'score': f"minion.rack == '{rack}' ? 1.0 : 0.0"}), R1, R2)
    c.submit(A, steps=[{'count': 1, 'cpu': 3000}])
    c.go(600)
    assert c.on(mid) == [f'{A}.0.0.0']
    c.submit(B, steps=[{'count': 1, 'cpu': 3000}])
    c.go(600)
    assert c.on('m1') and c.on('m2')


@pytest.mark.parametrize('rack, mid', [('r1', 'm1'), ('r2', 'm2')])
def test_a_gang_goes_to_the_rack_that_its_policy_prefers(rack, mid):
    c = fleet(doc(q='p', p={'score': f"minion.rack == '{rack}' ? 1.0 : 0.0"}), R1, R2)
    c.submit(A, steps=[{'count': 3, 'cpu': 1000, 'together': True, 'one_rack': True}])
    c.go(600)
    assert len(c.on(mid)) == 3


def test_nothing_waits_for_a_rack_that_its_policy_forbids():
    c = fleet(doc(q='p', p={'may_land': "minion.rack != 'r1'"}), dict(R1, cpu=9000), R2, dict(R2, mid='m3', rack='r3'))
    c.submit(A, steps=[{'count': 1, 'cpu': 1000, 'near': 'r1', 'estimate_ms': 60000}])
    # only the forbidden rack holds it whole
    c.submit(B, steps=[{'count': 6, 'cpu': 1000, 'together': True, 'one_rack': True, 'estimate_ms': 60000}])
    c.go(300)
    assert not c.on('m1') and len(c.on('m2')) + len(c.on('m3')) == 7


def test_suspicion_goes_before_any_score():
    c = fleet(doc(q='p', p={'score': "minion.rack == 'r1' ? 1.0 : 0.0"}), R1, R2)
    c.placer.health.suspect('m1', 'test')
    c.submit(A)
    c.go(600)
    assert c.on('m2') and not c.on('m1')


def urgent(policy=None, **pols):
    """Lesser work fills the fleet, then urgent work comes to the queue `quick`; what runs there in the end."""
    c = fleet(doc(quick=policy or '', **pols), {'mid': 'm1', 'rack': 'r1'}, {'mid': 'm2', 'rack': 'r2'})
    c.submit(A, steps=[{'count': 2, 'cpu': 4000, 'estimate_ms': 100000}])
    c.go(800)
    assert c.on('m1') and c.on('m2')
    c.submit(B, 'quick', steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 60000}])
    c.go(5000)
    return {k.split('.')[0]: m for m in ('m1', 'm2') for k in c.on(m)}, c


def test_urgent_work_pushes_lesser_work_out_where_there_is_no_policy():
    assert B in urgent()[0]
    # an empty program leaves that as it is
    assert B in urgent('p', p={'score': '1.0'})[0]


def test_a_policy_forbids_eviction():
    on, c = urgent('p', p={'may_evict': 'false'})
    assert B not in on and c.job(B, 'quick')['why'] == 'no room on 2 minions'


@pytest.mark.parametrize('rack, mid', [('r1', 'm1'), ('r2', 'm2')])
def test_a_policy_says_what_may_be_pushed_out_and_where(rack, mid):
    assert (
        urgent(
            'p', p={'may_evict': f"victim.queue == 'q' && victim.priority > task.priority && minion.rack == '{rack}'"}
        )[0][B]
        == mid
    )
    assert B not in urgent('p', p={'may_evict': "victim.queue == 'other'"})[0]
    # nothing is pushed out where the task may not land
    on, c = urgent('p', p={'may_land': f"minion.rack == '{rack}'"})
    assert on[B] == mid and c.b.count['moved.pushed'] == 1


def test_nothing_is_pushed_out_of_a_drained_minion():
    c = fleet(QUEUES, R1)
    c.submit(A, steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 100000}])
    c.go(800)
    c.ask('drain', minion='m1', on=True)
    c.submit(B, 'quick', steps=[{'count': 1, 'cpu': 4000, 'estimate_ms': 60000}])
    c.go(5000)
    assert c.on('m1') == [f'{A}.0.0.0'] and not c.b.count['moved.pushed']


def test_trouble_in_a_program_is_a_no_and_is_counted():
    c = fleet(doc(q='p', p={'may_land': 'minion.colour == 1'}), R1)
    c.submit(A)
    c.go(1000)
    assert not c.on('m1') and c.b.count['policy.troubles'] == 1
    # no truth value, no number: a no and a nought
    for src in ({'may_land': '1'}, {'score': "'x'"}, {'score': '0.0 / 0.0'}):
        c = fleet(doc(q='p', p=src), R1)
        c.submit(A)
        c.go(1000)
        assert bool(c.on('m1')) == ('score' in src) and c.b.count['policy.troubles'] == 1, src


def test_a_program_sees_what_the_docs_say():
    t = (
        "task.queue == 'q' && task.priority == 1 && task.tries == 3 && task.count == 2 && task.cpu == 1000 && task.mem == 10 && task.gpus == 1 "
        "&& task.label == 'a' && task.near == 'r1' && !task.together && !task.one_rack && task.apart == 5 && task.copies && task.saves && !task.lasts"
    )
    m = (
        "minion.group == 'g' && minion.zone == 'z1' && minion.rack == 'r1' && minion.kind == 'a' && 'r1' in minion.labels "
        '&& minion.cpu == 4000 && minion.mem == 8000 && minion.gpus == 2'
    )
    c = fleet(doc(q='p', p={'may_land': f'{t} && {m}'}), dict(R1, gpus=2))
    c.submit(
        A,
        steps=[
            {
                'count': 2,
                'cpu': 1000,
                'mem': 10,
                'gpus': 1,
                'label': 'a',
                'near': 'r1',
                'apart': 5,
                'copies': True,
                'saves': True,
            }
        ],
    )
    c.go(800)
    assert len(c.on('m1')) == 2 and not c.b.count['policy.troubles']


# --- what it costs
def test_without_policies_nothing_is_evaluated(monkeypatch):
    def never(*a):
        raise AssertionError('evaluated')

    for k in ('_ask', '_case', '_task', '_compiling'):
        monkeypatch.setattr(policy.Judge, k, never)
    c = fleet(QUEUES, R1, R2)
    c.submit(A, steps=[{'count': 8, 'cpu': 1000}, {'count': 2, 'together': True, 'one_rack': True}])
    c.submit(B, 'quick', steps=[{'count': 8, 'cpu': 1000}])
    c.go(3000)
    assert len(c.on('m1')) + len(c.on('m2')) == 10


def test_one_judgement_serves_all_that_are_alike_to_the_program():
    c = fleet(
        doc(q='p', p={'may_land': "minion.rack != 'r9' && task.gpus == 0", 'score': '1.0'}),
        *({'mid': f'm{i}', 'rack': f'r{i % 2}', 'cpu': 4000 + i, 'zone': f'z{i % 3}'} for i in range(8)),
    )
    for i in range(6):
        c.submit(f'{i:016x}', steps=[{'count': i + 1, 'cpu': 100 + i}])
    c.go(1500)
    # two racks, one kind of task; one score
    assert sum(len(c.on(f'm{i}')) for i in range(8)) == 21 and c.b.count['policy.judged'] == 3


def test_a_decision_judges_so_many_new_cases_and_the_next_goes_on(monkeypatch):
    monkeypatch.setattr(policy, 'MOST', 2)
    c = fleet(
        doc(q='p', p={'may_land': "minion.rack == 'r9'"}), *({'mid': f'm{i}', 'rack': f'r{i}'} for i in range(10))
    )
    # nothing else gives cause to look
    c.mute.update(c.minions)
    c.submit(A)
    seen = [c.b.count['policy.judged']]
    # turn after turn, not only when it would look again by itself
    for _ in range(8):
        c.go(20)
        seen.append(c.b.count['policy.judged'])
    assert c.on('m9') and seen[:6] == [2, 4, 6, 8, 10, 10]


def test_what_is_remembered_is_bounded(monkeypatch):
    monkeypatch.setattr(policy, 'KEPT', 5)
    c = fleet(doc(q='p', p={'may_land': 'task.cpu > 0'}), dict(R1, cpu=10**6))
    for i in range(20):
        c.submit(f'{i:016x}', steps=[{'count': 1, 'cpu': 100 + i}])
    c.go(1500)
    assert len(c.on('m1')) == 20 and len(c.placer.judge.rules['p'].cache) <= 7


@pytest.mark.parametrize(
    'src, task, minion',
    [
        ('task.cpu > 1 && minion.rack == task.near', ('cpu', 'near'), ('rack',)),
        ('true', (), ()),
        ("task['cpu'] > 1", policy.TASK, ()),
        ('minion.labels.exists(l, l == minion.zone)', (), ('zone', 'labels')),
        ('[minion].all(m, m.rack == "r1")', (), policy.MINION),
        ('minion.colour == 1', (), ()),
        ('minion . rack == "x"', (), policy.MINION),
    ],
)
def test_which_fields_a_program_reads(src, task, minion):
    got = reads(src)
    assert set(got['task']) == set(task) and set(got['minion']) == set(minion)


# --- documents that come and go
def test_a_new_document_is_judged_by_at_once_and_none_at_all_frees_everything():
    c = fleet(doc(q='p', p={'may_land': "minion.rack != 'r1'"}), R1)
    c.submit(A)
    c.go(1000)
    assert not c.on('m1')
    kept = c.placer.judge.rules['p']
    assert c.put(doc(2, q='n', n={'may_land': "minion.rack != 'r1'"}))[0] == 'ok'
    # the same programs under another name are not compiled again
    assert c.placer.judge.rules['n'] is kept and not c.placer.judge.want
    assert c.put(dict(QUEUES, number=3))[0] == 'ok'
    c.go(1000)
    assert c.on('m1') and not c.placer.judge.rules and c.placer.judge.by == {}


def test_until_a_policy_is_compiled_its_queue_waits_and_no_other(monkeypatch):
    c = fleet(QUEUES, R1)
    c.submit(C, 'quick')
    c.go(200)
    held = []
    monkeypatch.setattr(type(c.b), 'chore', lambda b, steps, then: held.append((steps, then)))
    # as another holder's document comes: it was checked there
    raw = queues.row(
        {'number': 2, 'by': '', 'at': 0, 'doc': queues.squeeze(json.dumps(doc(2, q='p', p={'may_land': 'true'})))}
    )
    c.b.atlas.merge([('queues', 10**6, raw)])
    c.submit(A)
    c.submit(B, 'quick')
    c.go(600)
    assert f'{B}.0.0.0' in c.on('m1') and f'{A}.0.0.0' not in c.on('m1') and len(held) == 1
    monkeypatch.undo()
    c.b.chore(*held[0])
    c.go(600)
    assert f'{A}.0.0.0' in c.on('m1')


def test_a_policy_that_this_release_cant_read_says_no_and_is_told():
    c = fleet(QUEUES, R1)
    raw = queues.row(
        {'number': 2, 'by': '', 'at': 0, 'doc': queues.squeeze(json.dumps(doc(2, q='p', p={'may_land': 'later('})))}
    )
    c.b.atlas.merge([('queues', 10**6, raw)])
    c.go(200)
    c.submit(A)
    c.go(800)
    assert not c.on('m1') and c.b.count['policy.troubles'] == 1


def test_the_variables_are_documented():
    txt = (Path(__file__).parent.parent / 'docs/design/policies.md').read_text()
    for f in {*policy.TASK, *policy.MINION}:
        assert f'`{f}`' in txt, f


def test_the_language_of_policies_is_not_read_where_there_are_none():
    # start-up time and memory are priced: the library is for those who write policies
    src = (
        'import sys; from asterwharf.orchard import node; import asterwharf.wire.kinds\n'
        'sys.exit("celpy" in sys.modules)'
    )
    assert subprocess.run([sys.executable, '-c', src], cwd=Path(__file__).parent.parent).returncode == 0
