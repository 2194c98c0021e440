"""Checks of what callers hand in. Pure."""

import hashlib
import json
import re
from dataclasses import dataclass, field
from typing import Any

from expression import Error, Ok

from asterwharf.base.checks import read
from asterwharf.base.codes import trouble

NAME = re.compile(r'^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$')


@dataclass(frozen=True)
class TaskSpec:
    name: str
    cores: float = 1.0
    gpus: int = 0
    mem: int = 0
    after: list[str] = field(default_factory=list)
    due: int = 0
    tries: int = 3
    gang: str = ''
    zones: list[str] = field(default_factory=list)
    run: Any = None


@dataclass(frozen=True)
class JobSpec:
    tasks: list[TaskSpec]
    # "class" is Python's own word, so the field is read under this name
    cls: str = 'default'


def digest(doc):
    """The same body in any spelling of JSON has the same digest."""
    return hashlib.sha256(json.dumps(doc, sort_keys=True, separators=(',', ':')).encode()).hexdigest()[:32]


def _loop(tks):
    """Names on a cycle or behind one, in order; empty when the steps can be done."""
    left = {t.name: set(t.after) for t in tks}
    while left:
        rdy = [n for n, a in left.items() if not a]
        if not rdy:
            return sorted(left)
        for n in rdy:
            del left[n]
        for a in left.values():
            a.difference_update(rdy)
    return []


def _sizes(tks, lim):
    bad = []
    for i, t in enumerate(tks):
        p = f'tasks[{i}]'
        for k, low, top in (
            ('cores', 0, lim.cores),
            ('gpus', 0, lim.gpus),
            ('mem', 0, lim.mem),
            ('tries', 1, lim.tries),
        ):
            v = getattr(t, k)
            if not low <= v <= top:
                bad.append(f'{p}.{k}: {v} is not between {low} and {top}')
        if t.due < 0:
            bad.append(f'{p}.due: {t.due} is before 1970')
        if t.cores == 0 and t.gpus == 0:
            bad.append(f'{p}: asks for neither cores nor gpus')
    return bad


def _graph(tks):
    bad, nms = [], [t.name for t in tks]
    for i, t in enumerate(tks):
        if not NAME.match(t.name):
            bad.append(f'tasks[{i}].name: {t.name!r} is not a name')
        if nms.index(t.name) != i:
            bad.append(f'tasks[{i}].name: {t.name!r} stands twice')
        bad += [f'tasks[{i}].after[{k}]: no step {a!r}' for k, a in enumerate(t.after) if a not in nms]
    if not bad and _loop(tks):
        bad.append(f'tasks: a cycle among {", ".join(_loop(tks))}')
    gng = {}
    for t in tks:
        if t.gang:
            gng.setdefault(t.gang, []).append(t)
    for g, ms in gng.items():
        # members start together, so they must become ready together
        if len({(frozenset(m.after), m.due) for m in ms}) > 1:
            bad.append(f'tasks: gang {g!r} has members with other `after` or `due`')
    return bad


def shape(doc):
    """Result of the checked specification, by form alone."""
    if not isinstance(doc, dict):
        return Error(trouble('bad_field', '.: wanted an object'))
    d = dict(doc)
    if 'cls' in d:
        return Error(trouble('bad_field', 'cls: unknown; the field is "class"'))
    if 'class' in d:
        d['cls'] = d.pop('class')
    res = read(JobSpec, d)
    if res.is_error():
        return Error(trouble('bad_field', *[m.replace('cls', 'class') for m in res.error]))
    if not res.ok.tasks:
        return Error(trouble('bad_field', 'tasks: at least one is wanted'))
    bad = _graph(res.ok.tasks)
    return Error(trouble('bad_graph', *bad)) if bad else Ok(res.ok)


def judge(spec, cfg, tenant):
    """None, or why the configuration in force can't take it."""
    if tenant not in cfg.tenants:
        return trouble('unknown_tenant', f'tenant: {tenant!r}')
    if spec.cls not in cfg.classes:
        return trouble('bad_field', f'class: {spec.cls!r} is not among {", ".join(sorted(cfg.classes))}')
    lim = cfg.limits
    if len(spec.tasks) > lim.tasks:
        return trouble('beyond_limits', f'tasks: {len(spec.tasks)} are more than {lim.tasks}')
    bad = _sizes(spec.tasks, lim)
    if bad:
        return trouble('bad_size', *bad)
    bad = [f'tasks[{i}].zones: no zone {z!r}' for i, t in enumerate(spec.tasks) for z in t.zones if z not in cfg.zones]
    return trouble('bad_field', *bad) if bad else None
