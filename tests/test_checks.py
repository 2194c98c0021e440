"""Bad input: each a numbered code that names the field, and nothing changed."""

import copy
import json
from pathlib import Path

import pytest

from asterwharf.base import settings
from asterwharf.base.aliases import SETTINGS
from asterwharf.scheduler import config, jobs
from asterwharf.sim.actors import DOC

GOOD = {'name': 'n1', 'bind': '127.0.0.1:7000', 'seeds': ['127.0.0.1:7001']}


@pytest.mark.parametrize(
    'over, path',
    [
        ({'colour': 1}, 'colour: unknown'),
        ({'bind': 'here'}, "bind: 'here' is not IP:port"),
        ({'seeds': []}, 'seeds: between one'),
        ({'seeds': ['x']}, "seeds[0]: 'x' is not IP:port"),
        ({'core_size': 'three'}, 'core_size: wanted int'),
        ({'core_size': True}, 'core_size: wanted int, got bool'),
        ({'link': {'beat_ms': 0}}, 'link.beat_ms: must be above zero'),
        ({'link': {'beet_ms': 1}}, 'link.beet_ms: unknown'),
        ({'link': {'lease_ratio': 0.9}}, 'lease_ratio + stop_ratio'),
        ({'link': {'beat_ms': 70000}}, 'must cover two beats'),
        ({'view': {'beat_ratio': 0.5}}, 'view.beat_ratio: at most'),
        ({'name': 'a b'}, "name: 'a b' may hold"),
    ],
)
def test_settings_refuse_with_a_path(over, path):
    res = settings.check({**GOOD, **over})
    assert res.is_error() and any(m.startswith(path) or path in m for m in res.error), res


def test_the_settings_files_of_deploy_are_good():
    # system.toml is the users' platform's file and no settings file of a process (tests/test_platform.py reads it)
    files = sorted((Path(__file__).parent.parent / 'deploy').glob('*.toml'))
    assert [p.name for p in files] == ['agent.toml', 'controller.toml', 'edge.toml', 'system.toml']
    assert all(settings.load(str(p), {}).is_ok() for p in files if p.name != 'system.toml')


def test_settings_list_every_mistake_at_once():
    res = settings.check({'bind': 5, 'colour': 1, 'link': {'x': 1, 'beat_ms': 'q'}})
    assert {m.split(':')[0] for m in res.error} == {'name', 'bind', 'seeds', 'colour', 'link.x', 'link.beat_ms'}


def test_reread_takes_the_safe_part_and_names_the_rest():
    old = settings.check(GOOD).ok
    new = settings.check({**GOOD, 'request_limit': 7, 'bind': '127.0.0.1:9'}).ok
    now, left = settings.reread(old, new)
    assert now.request_limit == 7 and now.bind == old.bind and left == ['bind']


def test_settings_under_their_old_names_are_taken_and_named(tmp_path, capsys):
    path = tmp_path / 'old.toml'
    rows = [f'{k} = {json.dumps(v)}' for k, v in {**GOOD, 'errand_ms': 700, 'buffer': 9}.items()]
    path.write_text('\n'.join([*rows, '[link]', 'tenure_ratio = 0.5']))
    got = settings.load(str(path), {}).ok
    assert (got.request_ms, got.request_limit, got.link.lease_ratio) == (700, 9, 0.5)
    said = capsys.readouterr().err.splitlines()
    assert said == [
        f'setting `{old}` is now `{new}`; the old name goes with the next release' for old, new in SETTINGS.items()
    ]
    path.write_text('\n'.join([*rows, 'request_ms = 600']))
    assert settings.load(str(path), {}).error == ['errand_ms: the old name of request_ms, which is given, too']


def broken(**over):
    return {**copy.deepcopy(DOC), **over}


@pytest.mark.parametrize(
    'doc, code, path',
    [
        ([], 'bad_field', '.: wanted an object'),
        (broken(foo=1), 'bad_field', 'foo: unknown'),
        (broken(zones={}), 'bad_config', 'zones: at least one'),
        (broken(zones={'z1': {'empty': True}}), 'bad_field', 'zones.z1.empty'),
        (broken(zones={'z 1': {}}), 'bad_config', 'zones.z 1: not a name'),
        (broken(zones={'z1': {'emptied': True}}), 'last_zone', 'every zone'),
        (broken(tenants={'t': {'policy': 'no'}}), 'bad_config', "tenants.t.policy: no policy 'no'"),
        (broken(tenants={'t': {'weight': 0}}), 'bad_config', 'tenants.t.weight'),
        (broken(tenants={'t': {'weight': '1'}}), 'bad_field', 'tenants.t.weight: wanted float'),
        (broken(classes={'c': {'unattended': 'maybe'}}), 'bad_config', 'classes.c.unattended'),
        (broken(policies={'near': {'may_land': 'a +'}}), 'bad_policy', 'policies.near.may_land'),
        (
            broken(policies={'near': {'may_land': '[1].all(x, [2].exists(y, x == y))'}}),
            'bad_policy',
            'may not stand within',
        ),
        (broken(policies={'near': {'score': '1' * 3000}}), 'bad_policy', 'more than 2000'),
        (broken(limits={'cores': -1.0}), 'bad_config', 'limits.cores'),
        (broken(tenants={f't{i}': {} for i in range(20001)}), 'bad_config', 'are more than 20000'),
        (broken(cells={'commons': {'zones': ['z1']}}), 'bad_config', 'cells.commons: the name is taken'),
        (broken(cells={'n': {}}), 'bad_config', 'cells.n: seats or zones'),
        (broken(cells={'n': {'zones': ['z9']}}), 'bad_config', "cells.n.zones[0]: no zone 'z9'"),
        (
            broken(cells={'n': {'zones': ['z1'], 'tenants': ['basin']}, 'm': {'zones': ['z2'], 'tenants': ['basin']}}),
            'bad_config',
            "'basin' stands at cells.n.tenants[0] already",
        ),
    ],
)
def test_configuration_refuses_with_a_path(doc, code, path):
    res = config.check(doc)
    assert res.is_error() and res.error.code == code and any(path in m for m in res.error.more), res.error


def task(**over):
    return {'name': 'a', **over}


@pytest.mark.parametrize(
    'tasks, code, path',
    [
        ([], 'bad_field', 'tasks: at least one'),
        ([task(cores='2')], 'bad_field', 'tasks[0].cores: wanted float'),
        ([task(colour=1)], 'bad_field', 'tasks[0].colour: unknown'),
        ([{}], 'bad_field', 'tasks[0].name: missing'),
        ([task(after=['b'])], 'bad_graph', "tasks[0].after[0]: no step 'b'"),
        ([task(), task()], 'bad_graph', "'a' stands twice"),
        ([task(after=['b']), task(name='b', after=['a'])], 'bad_graph', 'a cycle among a, b'),
        ([task(after=['a'])], 'bad_graph', 'a cycle among a'),
        ([task(name='a/b')], 'bad_graph', 'is not a name'),
        ([task(gang='g'), task(name='b', gang='g', after=['a'])], 'bad_graph', "gang 'g'"),
        ([task(cores=-1)], 'bad_size', 'tasks[0].cores: -1'),
        ([task(tries=0)], 'bad_size', 'tasks[0].tries'),
        ([task(cores=5000)], 'bad_size', 'tasks[0].cores: 5000'),
        ([task(due=-5)], 'bad_size', 'tasks[0].due'),
        ([task(cores=0)], 'bad_size', 'neither cores nor gpus'),
        ([task(zones=['q'])], 'bad_field', "no zone 'q'"),
    ],
)
def test_jobs_refuse_with_a_path(tasks, code, path):
    res = jobs.shape({'tasks': tasks})
    bad = res.error if res.is_error() else jobs.judge(res.ok, config.check(DOC).ok, 'basin')
    assert bad and bad.code == code and any(path in m for m in bad.more), bad


def test_the_same_body_in_another_spelling_is_the_same():
    assert (
        jobs.digest({'a': 1, 'b': [1, 2]}) == jobs.digest({'b': [1, 2], 'a': 1}) != jobs.digest({'a': 1, 'b': [2, 1]})
    )


def test_a_policys_trouble_means_no_and_is_counted():
    cfg = config.check(broken(policies={'near': {'may_land': 'minion.nothing == 1', 'score': '"x"'}})).ok
    p = cfg.policy('basin')
    wld = {'minion': {'name': 'm'}}
    assert p.may_land(wld) is False and p.score(wld) == 0.0 and p.troubles >= 2
