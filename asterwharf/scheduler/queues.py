"""The queues document: queues, groups of minions, limits, placement policies. Its shape, its checks, its compiled form. Pure.

Operators send it whole, or change named items of it. What has no word here stands under `more`, at every level;
the document is kept as it was sent and read back as it was sent.
"""

import base64
import json
import zlib
from bisect import bisect_right
from dataclasses import MISSING, dataclass, field, fields
from functools import lru_cache

from expression import Error, Ok

from asterwharf.base.checks import read, whole
from asterwharf.base.codes import trouble

# named things in all, how many of them one turn of the loop reads, how deep `more` may nest
MOST, SLICE, DEPTH = 20000, 1000, 64
# placement policies in one document: each is compiled on every core node
POLICIES = 100
# of a queue: what its jobs keep from the moment when they are handed in
TERMS = ('name', 'place', 'group', 'priority', 'tries', 'stretch', 'aim_ms')
PROGRAMS = ('may_land', 'may_evict', 'score')
# the largest whole number: every reader of JSON keeps it exactly, and it fits a record
BIG = 1 << 53


# not frozen: that makes each four times as slow to make, and every node makes thousands in one turn
@dataclass(slots=True)
class Queue:
    """Where clients hand jobs in, and how its jobs are run. `aim_ms` and `timeout_ms` in ms; priority 0 comes first."""

    name: str
    host: str
    prefix: str
    group: str
    kind: str = ''
    timeout_ms: int = 5000
    aim_ms: int = 0
    priority: int = 0
    tries: int = 3
    stretch: float = 1.0
    policy: str = ''
    more: dict = field(default_factory=dict)

    @property
    def place(self):
        """Host and prefix: what a client knows of a queue, whatever the operators call it."""
        return f'{plain(self.host)}{self.prefix}'

    def terms(self):
        """What a job takes along when it is handed in here."""
        return {name: getattr(self, name) for name in TERMS}


@dataclass(slots=True)
class Group:
    """Minions that run the same queues. `guards`: they turn away by themselves what does not fit."""

    name: str
    guards: bool = False
    more: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Limits:
    """What one client's connection may ask for: sizes in bytes, times in ms; 0 stands for the default."""

    body_bytes: int = 1 << 20
    header_bytes: int = 1 << 16
    header_wait_ms: int = 5000
    idle_ms: int = 60000
    more: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Program:
    """A placement policy: programs in CEL; where one is empty, placing goes on as without a policy."""

    may_land: str = ''
    may_evict: str = ''
    score: str = ''
    more: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Doc:
    number: int
    queues: list[dict]
    groups: list[dict]
    limits: Limits = field(default_factory=Limits)
    policies: dict[str, Program] = field(default_factory=dict)
    more: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Items:
    queues: list[dict] = field(default_factory=list)
    groups: list[dict] = field(default_factory=list)
    policies: dict[str, dict] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Names:
    queues: list[str] = field(default_factory=list)
    groups: list[str] = field(default_factory=list)
    policies: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Change:
    number: int
    set: Items = field(default_factory=Items)
    drop: Names = field(default_factory=Names)


_LOW = {'timeout_ms': 1, 'aim_ms': 0, 'priority': 0, 'tries': 1}
# a whole number stands for a fraction, never the other way round
_TYPES = {c: {f.name: (int, float) if f.type is float else (f.type,) for f in fields(c)} for c in (Queue, Group)}
_NEED = {
    c: {f.name for f in fields(c) if f.default is MISSING and f.default_factory is MISSING} for c in (Queue, Group)
}


def plain(host):
    """A host as it is compared: without a port, in lower case."""
    host = host.strip().lower()
    hst, sep, prt = host.rpartition(':')
    return hst if sep and (prt.isdigit() or not prt) else host


# --- checks
def deep(doc):
    """Whether a document nests deeper than any reader on its way must bear."""
    lvl = [doc]
    for _ in range(DEPTH):
        lvl = [c for v in lvl for c in (v.values() if isinstance(v, dict) else v) if isinstance(c, (dict, list))]
        if not lvl:
            return False
    return True


def text(doc):
    """Result of a document as it is kept, or of its mistake."""
    if isinstance(doc, (dict, list)) and deep(doc):
        return Error(trouble('bad_config', f'.: nested deeper than {DEPTH}'))
    try:
        return Ok(json.dumps(doc, separators=(',', ':'), allow_nan=False))
    except ValueError:
        return Error(trouble('bad_config', '.: a number is too large to be kept'))


def _typed(cls, val, pth, bad):
    """Whether the fields of one named thing are well typed; lists what is not."""
    # the common case is looked at quickly; whatever is not plainly right is for the strict reader to judge
    if (
        type(val) is dict
        and _NEED[cls] <= val.keys()
        and all(type(v) in _TYPES[cls].get(k, ()) for k, v in val.items())
    ):
        return True
    res = read(cls, val, pth)
    if res.is_error():
        bad += res.error
    return not res.is_error()


def _named(val, pth, seen, bad):
    nam = val['name']
    if not nam:
        bad.append(f'{pth}.name: empty')
    elif seen.setdefault(nam, pth) != pth:
        bad.append(f'{pth}.name: {nam!r} stands at {seen[nam]} already')


def _queue(q, pth, at, bad):
    """What types alone can't say; `at` holds the places seen."""
    if not q['host']:
        bad.append(f'{pth}.host: empty')
    if not q['prefix'].startswith('/'):
        bad.append(f"{pth}.prefix: {q['prefix']!r} does not begin with '/'")
    own = at.setdefault((plain(q['host']), q['prefix']), pth)
    if own != pth:
        bad.append(f'{pth}: the host and prefix of {own}')
    for k, low in _LOW.items():
        if not low <= q.get(k, low) <= BIG:
            bad.append(f'{pth}.{k}: {q[k]} is not between {low} and {BIG}')
    if not 0 < q.get('stretch', 1) <= BIG:
        bad.append(f'{pth}.stretch: {q["stretch"]} is not above 0, up to {BIG}')


def _frame(doc, above):
    """What stands beside the named things."""
    res = read(Doc, {k: [] if k in ('queues', 'groups') and type(v) is list else v for k, v in doc.items()})
    bad, num, lim = res.error if res.is_error() else [], doc.get('number'), doc.get('limits')
    if isinstance(doc.get('policies'), dict) and len(doc['policies']) > POLICIES:
        bad.append(f'policies: {len(doc["policies"])} are more than {POLICIES}')
    if type(num) is int and not 1 <= num <= BIG:
        bad.append(f'number: {num} is not between 1 and {BIG}')
    elif type(num) is int and num <= above:
        bad.append(f'number: {num} is not above {above}')
    for k, v in lim.items() if isinstance(lim, dict) else ():
        if type(v) is int and not 0 <= v <= BIG:
            bad.append(f'limits.{k}: {v} is not between 0 and {BIG}')
    return bad


@lru_cache(4 * POLICIES)
def _compiles(may_land, may_evict, score):
    """The mistakes of a policy's programs."""
    from asterwharf.scheduler import policy

    res = policy.compile_policy(Program(may_land, may_evict, score))
    return tuple(res.error) if res.is_error() else ()


def _programs(pols, bad):
    """Compiles each policy in a slice of its own."""
    # the library is large and slow to read: only where there are policies
    from asterwharf.scheduler import policy

    yield 1
    policy.warm()
    yield 1
    for n, p in pols.items():
        if not n:
            bad.append('policies: one has an empty name')
        bad += [f'policies.{n}.{m}' for m in _compiles(*(p.get(k, '') for k in PROGRAMS))]
        yield 1


def checking(doc, above=0):
    """The check in slices: yields after each, and returns the Result of the number, or of every mistake with its path."""
    if not isinstance(doc, dict):
        return Error(trouble('bad_config', f'.: wanted an object, got {type(doc).__name__}'))
    bad = _frame(doc, above)
    rows = {k: doc[k] if isinstance(doc.get(k), list) else [] for k in ('groups', 'queues')}
    n = sum(map(len, rows.values()))
    if n > MOST:
        return Error(trouble('bad_config', *bad, f'.: {n} named things are more than {MOST}'))
    seen, at, wants = {'groups': {}, 'queues': {}}, {}, []
    n = 0
    for k, cls in (('groups', Group), ('queues', Queue)):
        for i, v in enumerate(rows[k]):
            pth = f'{k}[{i}]'
            if _typed(cls, v, pth, bad):
                _named(v, pth, seen[k], bad)
                if cls is Queue:
                    _queue(v, pth, at, bad)
                    wants.append((pth, v['group'], v.get('policy', '')))
            n += 1
            if n == SLICE:
                yield n
                n = 0
    pols = doc.get('policies') or {}
    bad += [f'{p}.group: no group {g!r}' for p, g, _ in wants if g not in seen['groups']]
    bad += [f'{p}.policy: no policy {o!r}' for p, _, o in wants if o and o not in pols]
    # what is not even well typed is not compiled
    if pols and not bad:
        yield from _programs(pols, bad)
    return Error(trouble('bad_config', *bad)) if bad else Ok(doc['number'])


def check(doc, above=0):
    """The whole check at once."""
    return whole(checking(doc, above))


# --- named changes
def changed(doc, req):
    """Result of the document that `req` makes of `doc`: {number, set, drop}; or of every mistake of `req`."""
    res = read(Change, req)
    if res.is_error():
        return Error(trouble('bad_config', *res.error))
    c, bad, out = res.ok, [], dict(doc or {}, number=res.ok.number)
    for k in ('queues', 'groups'):
        new, gone = {}, set(getattr(c.drop, k))
        for i, v in enumerate(getattr(c.set, k)):
            nam = v.get('name')
            if not isinstance(nam, str) or nam in new:
                bad.append(
                    f'set.{k}[{i}].name: {"missing or no text" if nam not in new else f"{nam!r} stands there twice"}'
                )
            else:
                new[nam] = v
        old = [new.pop(v['name'], v) for v in out.get(k, ()) if v['name'] in new or v['name'] not in gone]
        out[k] = old + list(new.values())
    if c.set.policies or c.drop.policies:
        out['policies'] = {
            k: v for k, v in (out.get('policies') or {}).items() if k not in c.drop.policies
        } | c.set.policies
    return Error(trouble('bad_config', *bad)) if bad else Ok(out)


# --- as it is kept
def squeeze(txt):
    return zlib.compress(txt.encode(), 1)


def row(d):
    """The directory's row of a delivered document: a line of JSON, then the document.

    Nothing but ASCII: nodes of earlier releases carry rows that they don't know, and read each as text.
    """
    top = json.dumps({k: d[k] for k in ('number', 'by', 'at')})
    return f'{top}\n'.encode() + base64.b64encode(d['doc'])


def head(raw):
    """{number, by, at} of a row; number 0 where there is none."""
    return json.loads(raw[: raw.index(b'\n')]) if raw else {'number': 0, 'by': '', 'at': 0}


def body(raw):
    """The document of a row, as it was sent; None where there is none."""
    return json.loads(zlib.decompress(base64.b64decode(raw[raw.index(b'\n') + 1 :]))) if raw else None


def may_judge(raw):
    """Whether the document of a row may hold placement policies; it is not read for that."""
    return bool(raw) and b'"policies"' in zlib.decompress(base64.b64decode(raw[raw.index(b'\n') + 1 :]))


def _made(cls, val):
    val.pop('more', None)
    # a field of a later release is nothing to this one
    return cls(**val) if val.keys() <= _TYPES[cls].keys() else cls(**{k: v for k, v in val.items() if k in _TYPES[cls]})


class Queues:
    """A document in force, to be read only: all copies of a process share it. `find` is made for every request."""

    __slots__ = ('_hosts', '_places', '_raw', 'groups', 'limits', 'number', 'policies', 'queues')

    def __init__(self, raw):
        self._raw, self._places, doc = raw, None, body(raw)
        self.number = doc['number']
        self.queues = {v['name']: _made(Queue, v) for v in doc['queues']}
        self.groups = {v['name']: _made(Group, v) for v in doc['groups']}
        # the programs as they were sent; whoever places compiles them
        self.policies = {n: {k: p.get(k, '') for k in PROGRAMS} for n, p in doc.get('policies', {}).items()}
        lim = doc.get('limits', {})
        self.limits = {f.name: lim.get(f.name) or f.default for f in fields(Limits) if f.name != 'more'}
        by, rows = {}, {}
        for q in self.queues.values():
            by.setdefault(q.host, []).append((q.prefix, q))
        for h, v in by.items():
            rows.setdefault(plain(h), []).extend(v)
        self._hosts = {h: _tree(sorted(v, key=lambda r: r[0])) for h, v in rows.items()}

    @property
    def doc(self):
        """The document as it was sent."""
        return body(self._raw)

    def queue(self, name):
        return self.queues.get(name)

    def at(self, place):
        """The queue at a place, or None."""
        if self._places is None:
            # most nodes never ask
            self._places = {q.place: q for q in self.queues.values()}
        return self._places.get(place)

    def group(self, name):
        return self.groups.get(name)

    def find(self, host, path):
        """(queue, rest of the path) by the host and the longest prefix with which the path begins; or None."""
        got = self._hosts.get(host) or self._hosts.get(plain(host or ''))
        if got is None:
            return None
        pres, ques, ups = got
        # the longest prefix is the last one not after the path in order, or one of that one's own prefixes
        i = bisect_right(pres, path) - 1
        while i >= 0:
            if path.startswith(pres[i]):
                return ques[i], path[len(pres[i]) :]
            i = ups[i]
        return None


def _tree(rows):
    """(prefixes in order, their queues, for each the place of its longest own prefix or -1)."""
    pres, ups, way = [p for p, _ in rows], [], []
    for i, p in enumerate(pres):
        while way and not p.startswith(pres[way[-1]]):
            way.pop()
        ups.append(way[-1] if way else -1)
        way.append(i)
    return pres, [q for _, q in rows], ups


@lru_cache(4)
def compiled(raw):
    """The Queues of a row; the copies of one process share it."""
    return Queues(raw)
