"""The commands: each program under its name, and the old names beside them for one release."""

import subprocess
import sys
import tomllib
from importlib import import_module
from pathlib import Path

import pytest

from asterwharf.base.aliases import COMMANDS

ROOT = Path(__file__).parent.parent
SCRIPTS = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']['scripts']


def call(command, *args):
    """A command as its installed script would run it."""
    name, *words = command.split()
    module, function = SCRIPTS[name].split(':')
    code = f'import sys; from {module} import {function} as main; sys.argv[0] = {name!r}; sys.exit(main())'
    return subprocess.run(
        [sys.executable, '-c', code, *words, *args], cwd=ROOT, capture_output=True, text=True, timeout=180
    )


def test_every_script_is_a_function_of_the_package():
    assert set(SCRIPTS) == {'asterwharf', 'asterctl'} | {c.split()[0] for c in COMMANDS}
    for target in SCRIPTS.values():
        module, function = target.split(':')
        assert callable(getattr(import_module(module), function))


@pytest.mark.parametrize('settings, program', [('controller', 'controller'), ('edge', 'edge'), ('agent', 'agent')])
def test_each_program_checks_its_settings(settings, program):
    got = call(f'asterwharf {program}', f'deploy/{settings}.toml', '--check')
    assert (got.returncode, got.stdout, got.stderr) == (0, 'settings are good\n', '')


@pytest.mark.parametrize('old, new', COMMANDS.items())
def test_an_old_command_does_what_the_new_one_does_and_names_it(old, new):
    args = ('--help',) if old == 'sickle' else ('deploy/edge.toml', '--check')
    was, now = call(old, *args), call(new, *args)
    assert was.returncode == now.returncode == 0 and was.stdout == now.stdout and now.stderr == ''
    assert was.stderr == f'`{old}` is now `{new}`; the old name goes with the next release\n'
