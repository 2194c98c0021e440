"""The rules of docs/style.md that a machine can check: layers, purity, sizes, and documents that list what the code has."""

import ast
import dataclasses
import graphlib
import re
import sys
import tomllib
from pathlib import Path

import conftest

from asterwharf.base import alarms, codes, settings
from asterwharf.door.routes import ROUTES

ROOT = Path(__file__).parent.parent
# a layer may import itself and what stands after it
LAYERS = [
    ('main',),
    ('trellis', 'furrow', 'sickle'),
    ('fleet',),
    ('door', 'sim'),
    ('orchard',),
    ('scheduler',),
    ('link',),
    ('ring', 'mend'),
    ('consensus',),
    ('wire', 'disk', 'clock'),
    ('base',),
]
PURE = ('scheduler', 'link', 'consensus', 'ring', 'mend', 'orchard')


def sources():
    return [p for d in ('asterwharf', 'tests', 'bench') for p in (ROOT / d).rglob('*.py')]


def imports(p):
    for n in ast.walk(ast.parse(p.read_text())):
        if isinstance(n, ast.ImportFrom):
            yield from (f'{n.module}.{a.name}' for a in n.names)
        elif isinstance(n, ast.Import):
            yield from (a.name for a in n.names)


def test_no_file_is_over_400_lines():
    assert not [p.name for p in sources() if len(p.read_text().splitlines()) > 400]


def test_pure_layers_touch_no_socket_disk_clock_or_random_source():
    bad = {'socket', 'time', 'os', 'random', 'lmdb', 'circuits', 'threading', 'subprocess', 'select', 'asyncio'}
    for k in PURE:
        for p in (ROOT / 'asterwharf' / k).glob('*.py'):
            assert not {m.split('.')[0] for m in imports(p)} & bad, p


def test_imports_only_go_down():
    rank = {n: i for i, ns in enumerate(LAYERS) for n in ns}
    for p in (ROOT / 'asterwharf').rglob('*.py'):
        own = p.relative_to(ROOT / 'asterwharf').parts[0].removesuffix('.py')
        for m in imports(p):
            q = m.split('.')
            if q[0] != 'asterwharf' or len(q) < 2 or own not in rank or q[1] not in rank:
                continue
            # a node builder of a program is what the simulated fleet builds, too
            if q[2:3] == ['node'] or (own, q[1]) == ('fleet', 'sickle'):
                continue
            assert rank[q[1]] >= rank[own], f'{p.name} imports {m}'


def test_every_package_has_its_layer():
    packages = {p.parent.name for p in (ROOT / 'asterwharf').glob('*/__init__.py')}
    assert packages <= {n for ns in LAYERS for n in ns}


def test_no_module_imports_itself_in_a_circle():
    """Imports inside functions count, too."""
    files = {'.'.join(p.relative_to(ROOT).with_suffix('').parts): p for p in (ROOT / 'asterwharf').rglob('*.py')}
    needs = {}
    for name, p in files.items():
        # `from package import module` names a module, `from module import thing` the module before the thing
        needs[name] = {m if m in files else m.rpartition('.')[0] for m in imports(p)} & files.keys()
    try:
        tuple(graphlib.TopologicalSorter(needs).static_order())
    except graphlib.CycleError as e:
        raise AssertionError(' -> '.join(e.args[1])) from None


def test_every_module_says_what_it_is():
    assert not [p for p in sources() if p.read_text().strip() and not ast.get_docstring(ast.parse(p.read_text()))]


def test_modules_whose_tests_share_a_fixture_stay_with_one_worker():
    mark = re.compile(r"^@pytest\.fixture\(scope='(module|session|package)'", re.MULTILINE)
    shared = {p.stem for p in (ROOT / 'tests').glob('test_*.py') if mark.search(p.read_text())}
    assert shared == conftest.TOGETHER


def test_only_listed_modules_wait_for_the_formatter():
    ruff = tomllib.loads((ROOT / 'pyproject.toml').read_text())['tool']['ruff']
    assert set(ruff['format'].get('exclude', [])) <= {'asterwharf/scheduler/clerk.py'}


def test_the_table_of_codes_is_the_codes():
    assert (ROOT / 'docs/codes.md').read_text() == codes.table()
    assert len({c.num for c in codes.TABLE.values()}) == len(codes.TABLE)


def test_every_code_said_is_in_the_table():
    for p in (ROOT / 'asterwharf').rglob('*.py'):
        for m in re.finditer(r"(?:give|trouble|Refused)\('(\w+)'", p.read_text()):
            assert m[1] in codes.TABLE, (p.name, m[1])


def test_every_setting_is_in_the_docs():
    txt = (ROOT / 'docs/settings.md').read_text()
    for cls, pre in ((settings.Settings, ''), (settings.Link, 'link.'), (settings.View, 'view.')):
        for f in dataclasses.fields(cls):
            if not dataclasses.is_dataclass(f.type) and f.name not in ('link', 'view'):
                assert f'`{pre}{f.name}`' in txt, pre + f.name


def test_every_path_is_in_the_http_reference():
    txt = (ROOT / 'docs/http.md').read_text()
    for r in ROUTES:
        pth = '/' + '/'.join('{' + p[1:] + '}' if p.startswith(':') else p for p in r.parts)
        assert f'{r.method} {pth}' in txt, (r.method, pth)


def test_the_readme_names_the_test_command_that_ci_calls():
    cmd = '.venv/bin/python -m pytest'
    assert cmd in (ROOT / 'README.md').read_text() and cmd in (ROOT / '.ci/run').read_text()


def test_every_alarm_has_its_number_and_its_place_in_the_operators_guide():
    txt = (ROOT / 'docs/operators.md').read_text()
    for k, (n, m, c) in alarms.TABLE.items():
        assert f'| {n} | `{k}` | {m} | {c} |' in txt, k
    assert len({r[0] for r in alarms.TABLE.values()}) == len(alarms.TABLE)
    for p in (ROOT / 'asterwharf').rglob('*.py'):
        for m in re.finditer(r"alarm(?:=|\()'(\w+)'", p.read_text()):
            assert m[1] in alarms.TABLE, (p.name, m[1])


assert sys.version_info >= (3, 11)
