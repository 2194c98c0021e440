"""The system packages of `deploy/system.toml` are what the build line and the requirements need, as docs/design/packages.md shows."""

import importlib.metadata
import platform
import re
import tomllib
from pathlib import Path

import pytest
from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / 'docs/design/packages.md').read_text()
DEPLOY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
REQUIREMENTS = [
    Requirement(line)
    for line in (ROOT / 'requirements.txt').read_text().splitlines()
    if line and not line.startswith('#')
]
# The kinds of machine that the programs run on, and the one of this run, as `uname -m` names them.
MACHINES, MACHINE = ('x86_64', 'aarch64'), platform.machine()
# What calls each Debian package in the build line.
CALLS = {'python3': r'\bpython3\b', 'python3-pip': r'\bpython3 -m pip\b'}
# Packages that are on every Debian system, or that the interpreter depends on: never listed.
ALWAYS_THERE = {'dash', 'libc6', 'libgcc-s1'}
QUOTED = re.compile(r'`([^`]+)`')
LIBRARY = re.compile(rb'\0((?:lib|ld-)[\w+.-]*\.so(?:\.\d+)*)(?=\0)')


def table(columns):
    """Rows of the page's table that has this many columns, without its heads."""
    rows = [[cell.strip() for cell in line.strip('|').split('|')] for line in PAGE.splitlines() if line.startswith('|')]
    return [row for row in rows if len(row) == columns and '`' in row[0]]


def listed_distributions():
    return {row[0].strip('`'): row for row in table(5)}


def library_rows(machine):
    """(library, its Debian package, what links it) as the page has them for one kind of machine."""
    for kind, libraries, package, distributions in table(4):
        if kind.strip('`') == machine:
            for library in QUOTED.findall(libraries):
                yield library, package.strip('`'), set(QUOTED.findall(distributions))


def libraries_linked():
    """Each shared library that the compiled modules of this machine's distributions link -> the distributions."""
    linked = {}
    for name, distribution in installed().items():
        for path in distribution.files or []:
            if '.so' in path.suffixes:
                for library in LIBRARY.findall(path.locate().read_bytes()):
                    linked.setdefault(library.decode(), set()).add(name)
    return linked


def installed():
    """Every distribution that the requirements bring on this machine, by name."""
    found, waiting = {}, list(REQUIREMENTS)
    while waiting:
        requirement = waiting.pop()
        name = canonicalize_name(requirement.name)
        if name in found:
            continue
        found[name] = importlib.metadata.distribution(name)
        needs = [Requirement(text) for text in found[name].requires or []]
        extras = requirement.extras or {''}
        waiting += [
            need for need in needs if not need.marker or any(need.marker.evaluate({'extra': e}) for e in extras)
        ]
    return found


def test_every_requirement_and_dependency_is_known_as_wheel_or_compiled():
    page = listed_distributions()
    assert set(page) == set(installed())
    assert {row[3] for row in page.values()} <= {'wheel', 'compiled'}
    for requirement in REQUIREMENTS:
        row = page[canonicalize_name(requirement.name)]
        assert row[2] == 'requirements.txt' and str(requirement.specifier) == f'=={row[1]}', row
    direct = {canonicalize_name(requirement.name) for requirement in REQUIREMENTS}
    assert {name for name, row in page.items() if row[2] == 'requirements.txt'} == direct


@pytest.mark.parametrize('name', sorted(listed_distributions()))
def test_what_the_page_calls_a_wheel_came_as_one(name):
    # A module compiled here is tagged `linux_` and the machine; the registry takes none but `manylinux` ones.
    tags = re.findall(r'^Tag: (\S+)$', installed()[name].read_text('WHEEL'), re.MULTILINE)
    _, _, _, kind, content = listed_distributions()[name]
    if kind == 'wheel':
        built = re.compile(rf'-manylinux\w+_{MACHINE}$')
        assert tags and all(tag.endswith('none-any') or built.search(tag) for tag in tags), tags
    assert content == ('pure Python' if all(tag.endswith('none-any') for tag in tags) else 'built for the machine'), (
        tags
    )


def test_a_compiler_is_listed_if_and_only_if_something_is_compiled():
    compiled = any(row[3] == 'compiled' for row in listed_distributions().values())
    assert ({'gcc', 'build-essential'} & set(DEPLOY['packages']) != set()) == compiled


def test_the_page_names_what_the_modules_of_this_machine_link():
    assert {library: users for library, _, users in library_rows(MACHINE)} == libraries_linked()


def test_the_list_is_what_the_build_calls_and_the_compiled_modules_link():
    calls = {package for package, call in CALLS.items() if re.search(call, DEPLOY['build'])}
    known = {library: package for library, package, _ in library_rows(MACHINE)}
    linked = libraries_linked()
    assert set(linked) <= set(known), set(linked) - set(known)
    packages = {known[library] for library in linked}
    assert set(DEPLOY['packages']) == (calls | packages) - ALWAYS_THERE
    assert len(DEPLOY['packages']) == len(set(DEPLOY['packages']))


@pytest.mark.parametrize('machine', MACHINES)
def test_the_list_is_the_same_on_every_kind_of_machine(machine):
    calls = {package for package, call in CALLS.items() if re.search(call, DEPLOY['build'])}
    packages = {package for _, package, _ in library_rows(machine)}
    assert set(DEPLOY['packages']) == (calls | packages) - ALWAYS_THERE


def test_the_build_calls_no_other_program():
    # `[` is built into the shell; a word after `||`, `&&`, `;` or at the start is a program.
    words = re.findall(r'(?:^|\|\||&&|;)\s*(\S+)', DEPLOY['build'])
    assert set(words) <= {'[', 'python3'}, words
