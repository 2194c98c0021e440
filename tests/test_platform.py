"""The platform adapter: its folder, its settings, the deploy file."""

import os
import re
import subprocess
import sys
import tomllib

import pytest
from platform_rig import CORE, EDGE, ROOT, names, settings, written

from asterwharf.base import settings as own


# --- the folder
def test_the_folder_shadows_no_module_of_the_standard_library():
    code = (
        'import importlib.util, os, sys\n'
        # as the interpreter does for a program that it is given by its path
        'sys.path.insert(0, os.path.abspath("platform"))\n'
        "s = importlib.util.spec_from_file_location('start', 'platform/start.py')\n"
        'm = importlib.util.module_from_spec(s)\ns.loader.exec_module(m)\nm.adapter()\n'
        'import platform\nassert platform.python_version() and platform.__file__.startswith(os.path.dirname(os.__file__))\n'
        'assert os.path.abspath(sys.path[-1]) == os.getcwd()\n'
        'import adapter.names\n'
        'for k in ("names", "front", "control", "speech"):\n'
        '    assert importlib.util.find_spec(k) is None, k\n'
    )
    env = {k: v for k, v in os.environ.items() if k != 'PYTHONPATH'}
    got = subprocess.run(
        [sys.executable, '-P', '-c', code], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60
    )
    assert got.returncode == 0, got.stderr
    assert not (ROOT / 'platform/__init__.py').exists()


def test_both_programs_list_every_mistake_of_the_settings_and_say_so_in_their_exit_status(tmp_path):
    path = written(
        tmp_path,
        {'node_name': 'a b', 'ip': 'x', 'zone': 'z', 'first_boot': 'perhaps', 'beat_every_ms': '-3', 'serves': 'edge'},
    )
    for role in ('controller', 'edge', 'trellis', 'furrow', 'other'):
        got = subprocess.run(
            [sys.executable, 'platform/start.py', role],
            cwd=ROOT,
            env=dict(os.environ, ASTERWHARF_CONFIG=path),
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert got.returncode == 2 and '213 bad_settings' in got.stderr, got.stderr
        for k in ('first_boot', 'beat_every_ms', 'internal_ports', 'seed_nodes'):
            assert f'  {k}' in got.stderr, (k, got.stderr)


def test_nothing_outside_the_folder_knows_the_platforms_names():
    words = {
        k
        for t in (
            names.QUEUE,
            names.GROUP,
            names.LIMITS,
            names.DOC,
            names.COUNTS,
            names.FLAGS,
            names.TEXTS,
            names.TIMES,
            names.ANSWER,
        )
        for k, v in t.items()
        if k != v
    }
    words |= {'job_spec', 'depends_on', 'service_name', 'cold_left_ms', 'call_count', 'ASTERWHARF_CONFIG', 'seed_nodes'}
    # words of everyday use that mean other things elsewhere
    words -= {'version', 'routes', 'services', 'requires', 'started', 'stopped', 'finished'}
    for p in (ROOT / 'asterwharf').rglob('*.py'):
        txt = p.read_text()
        assert not [w for w in words if re.search(rf"['\"]{w}['\"]", txt)], p
        assert 'x-asterwharf-' not in txt.lower(), p


def test_the_adapter_stays_small():
    files = list((ROOT / 'platform').glob('*.py'))
    assert all(len(p.read_text().splitlines()) <= 400 for p in files) and len(files) <= 8


def test_what_is_deployed_is_what_the_project_declares():
    deps = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']['dependencies']
    rows = [r for r in (ROOT / 'requirements.txt').read_text().splitlines() if r and not r.startswith('#')]
    assert rows == deps
    doc = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    assert 'target/deps' in doc['build'] and 'target/' in (ROOT / '.gitignore').read_text().split()
    for nam, role in doc['roles'].items():
        assert role['run'] == f'python3 platform/start.py {nam}' and nam in settings.ROLES


# --- settings
def test_a_core_nodes_settings_are_read(tmp_path):
    s = settings.load(written(tmp_path, CORE)).ok
    assert (s.name, s.bind, s.calls, s.zone, s.data) == (
        'core-hall-1',
        '10.1.0.13:7720',
        '10.1.0.13:8166',
        'hall',
        '/data/x',
    )
    assert (
        s.seeds == s.founders == ['10.1.0.13:7720', '10.2.0.42:7720', '10.3.0.8:7720'] and s.core_size == 3 and s.found
    )
    assert s.view.silence_ms == 700 and s.call.hold_ms == 4200 and s.disk_mb == 96 and 2000 <= s.leave_ms <= 4000
    c = s.call
    assert (c.beat_ms, c.max_hold_ms, c.far_factor, c.checkpoint_ms, c.status_ms) == (1400, 10000, 2.5, 2000, 120000)
    late = dict(CORE, **{'first_boot': 'false', 'time_bounds.in_touch_ms': '4000', 'time_bounds.max_hold_ms': '3000'})
    s = settings.load(written(tmp_path, late)).ok
    assert not s.found and s.view.silence_ms == 933 and s.call.hold_ms == 3000
    rows = settings.rows(written(tmp_path, CORE))
    assert settings.listens(rows) == {'control': ('10.1.0.13', 8166)}


def test_an_edges_settings_are_read(tmp_path):
    s = settings.load(written(tmp_path, EDGE)).ok
    assert (s.bind, s.calls, s.data, s.founders) == ('10.1.0.9:7720', '', '', [])
    assert settings.listens(settings.rows(written(tmp_path, EDGE)))['ready'] == ('10.1.0.9', 8167)


@pytest.mark.parametrize(
    'key, val, told',
    [
        ('first_boot', 'yes', 'first_boot'),
        ('time_bounds.grace_s', 'six', 'time_bounds.grace_s'),
        ('seed_nodes', 'nowhere', 'seeds[0]'),
        ('ip', '10.1.0', 'bind'),
        ('node_name', '', 'name'),
        ('listen_on.control', 'x', 'calls'),
        ('beat_every_ms', 'nan', 'beat_every_ms'),
        ('time_bounds.max_hold_ms', '0', 'call.max_hold_ms'),
    ],
)
def test_a_mistake_in_the_settings_is_named(tmp_path, key, val, told):
    res = settings.load(written(tmp_path, dict(CORE, **{key: val})))
    assert res.is_error() and any(m.startswith(told) for m in res.error), res.error
    assert settings.load(str(tmp_path / 'none')).is_error()


def test_a_running_process_takes_over_what_is_safe(tmp_path):
    old = settings.load(written(tmp_path, CORE)).ok
    new = settings.load(
        written(tmp_path, dict(CORE, beat_every_ms='900', seed_nodes='10.9.0.1:8166', first_boot='false'))
    ).ok
    now, left = own.reread(old, new)
    assert (
        now.call.beat_ms == 900 and now.seeds == ['10.9.0.1:7720'] and now.founders == old.founders and 'found' in left
    )
