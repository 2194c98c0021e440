"""Strict reading of documents: every mistake is listed with its path."""

import dataclasses
import functools
import types
import typing

import dacite
from expression import Error, Ok

_CFG = dacite.Config(strict=True)


def _args(typ):
    return typing.get_origin(typ), typing.get_args(typ)


@functools.cache
def _one(typ):
    # making a class is slow; a document has many values of few types
    return dataclasses.make_dataclass('One', [('v', typ)])


def _leaf(typ, val):
    """Lets dacite judge a plain value; None when it is well typed."""
    if isinstance(val, bool) and typ in (int, float):
        return f'wanted {typ.__name__}, got bool'
    if typ is float and isinstance(val, int) or type(val) is typ:
        return None
    one = _one(typ)
    try:
        dacite.from_dict(one, {'v': val}, _CFG)
    except dacite.DaciteError:
        nam = getattr(typ, '__name__', str(typ))
        return f'wanted {nam}, got {type(val).__name__}'
    return None


def _walk(typ, val, pth, bad):
    org, arg = _args(typ)
    if org in (typing.Union, types.UnionType):
        if val is None and type(None) in arg:
            return
        sub = [a for a in arg if a is not type(None)]
        # unions here are only "T or nothing": the first is T
        return _walk(sub[0], val, pth, bad)
    if dataclasses.is_dataclass(typ):
        return _plot(typ, val, pth, bad)
    if org is list:
        if not isinstance(val, list):
            return bad.append(f'{pth}: wanted a list, got {type(val).__name__}')
        for i, v in enumerate(val):
            _walk(arg[0], v, f'{pth}[{i}]', bad)
        return
    if org is dict:
        if not isinstance(val, dict):
            return bad.append(f'{pth}: wanted an object, got {type(val).__name__}')
        for k, v in val.items():
            _walk(arg[1], v, f'{pth}.{k}', bad)
        return
    if typ is typing.Any:
        return
    msg = _leaf(typ, val)
    if msg:
        bad.append(f'{pth}: {msg}')


@functools.cache
def _shape(cls):
    return typing.get_type_hints(cls), {f.name: f for f in dataclasses.fields(cls)}


def _plot(cls, doc, pth, bad):
    if not isinstance(doc, dict):
        return bad.append(f'{pth or "."}: wanted an object, got {type(doc).__name__}')
    hnt, fds = _shape(cls)
    dot = f'{pth}.' if pth else ''
    for k in doc:
        if k not in fds:
            bad.append(f'{dot}{k}: unknown; known are {", ".join(sorted(fds))}')
    for k, f in fds.items():
        if k in doc:
            _walk(hnt[k], doc[k], f'{dot}{k}', bad)
            continue
        if f.default is dataclasses.MISSING and f.default_factory is dataclasses.MISSING:
            bad.append(f'{dot}{k}: missing')


@functools.cache
def _entries(cls):
    """The fields of a document that hold many named entries of one type."""
    return {
        k: _args(h)[1][1]
        for k, h in _shape(cls)[0].items()
        if _args(h)[0] is dict and dataclasses.is_dataclass(_args(h)[1][1])
    }


_SEEN, _MOST = {}, 60000


def forget():
    _SEEN.clear()


def _entry(cls, val, pth, bad):
    """One entry, checked and typed; what was read before is not read again."""
    key = (cls, repr(val))
    got = _SEEN.get(key)
    if got is None:
        was = len(bad)
        _walk(cls, val, pth, bad)
        if len(bad) > was:
            return None
        if len(_SEEN) >= _MOST:
            _SEEN.clear()
        got = _SEEN[key] = dacite.from_dict(cls, val, dacite.Config(strict=True, cast=[float]))
    return got


def reading(cls, doc, size):
    """Yields after each slice of `size` entries how many it read; returns what `read` does."""
    if not isinstance(doc, dict):
        return Error([f'.: wanted an object, got {type(doc).__name__}'])
    bad, n, parts = [], 0, {}
    many = _entries(cls)
    for k, sub in many.items():
        if not isinstance(doc.get(k, {}), dict):
            continue
        parts[k] = {}
        for nam, val in doc.get(k, {}).items():
            parts[k][nam] = _entry(sub, val, f'{k}.{nam}', bad)
            n += 1
            if n == size:
                yield n
                n = 0
    # the rest is small: the entries, which are checked, are left out
    rest = {k: {} if k in parts else v for k, v in doc.items()}
    more = []
    _plot(cls, rest, '', more)
    if bad or more:
        return Error(bad + more)
    try:
        out = dacite.from_dict(cls, rest, dacite.Config(strict=True, cast=[float]))
    except dacite.DaciteError as e:
        return Error([str(e)])
    return Ok(dataclasses.replace(out, **{k: v for k, v in parts.items() if k in doc}))


def whole(steps):
    """Runs a sliced work to its end, where nothing else waits for the loop."""
    while True:
        try:
            next(steps)
        except StopIteration as e:
            return e.value


def read(cls, doc, pth=''):
    """Result of the typed document, or of the list of all mistakes."""
    bad = []
    _plot(cls, doc, pth, bad)
    if bad:
        return Error(bad)
    try:
        return Ok(dacite.from_dict(cls, doc, dacite.Config(strict=True, cast=[float])))
    except dacite.DaciteError as e:
        return Error([str(e)])
