"""The operators' whole configuration: its shape, its checks, its compiled form. Pure."""

import json
import zlib
from dataclasses import dataclass, field

from expression import Error, Ok

from asterwharf.base.checks import forget, reading, whole  # noqa: F401  forget: for tests
from asterwharf.base.codes import trouble
from asterwharf.scheduler.jobs import NAME
from asterwharf.scheduler.policy import compile_policy

# named things in all, and how many of them one turn of the loop reads
MOST, SLICE = 20000, 1500


@dataclass(frozen=True)
class Zone:
    emptied: bool = False
    # ms since 1970: what still runs in the emptied zone then is pushed out; 0: it ends by itself
    evict_at: int = 0


@dataclass(frozen=True)
class Class:
    priority: int = 0
    unattended: str = 'fence'
    retry_ms: int = 1000


@dataclass(frozen=True)
class Tenant:
    weight: float = 1.0
    max_jobs: int = 5000
    max_cores: float = 1e9
    policy: str = ''


@dataclass(frozen=True)
class Program:
    may_land: str = ''
    may_evict: str = ''
    score: str = ''


@dataclass(frozen=True)
class Limits:
    tasks: int = 1000
    cores: float = 1024.0
    gpus: int = 64
    mem: int = 1 << 40
    tries: int = 20


@dataclass(frozen=True)
class CellSpec:
    tenants: list[str] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)
    minions: list[str] = field(default_factory=list)
    seats: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class Doc:
    zones: dict[str, Zone]
    tenants: dict[str, Tenant]
    classes: dict[str, Class] = field(default_factory=dict)
    policies: dict[str, Program] = field(default_factory=dict)
    cells: dict[str, CellSpec] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    note: str = ''


class Config:
    """A checked document and its compiled policies."""

    __slots__ = (
        '_by',
        'cells',
        'classes',
        'doc',
        'emptied',
        'limits',
        'packed',
        'policies',
        'raw',
        'sequence',
        'tenants',
        'zones',
    )

    def __init__(self, doc, raw, pols, seq):
        self.doc, self.raw, self.policies, self.sequence, self.packed = doc, raw, pols, seq, b''
        self.zones, self.tenants, self.limits = doc.zones, doc.tenants, doc.limits
        self.classes = {'default': Class()} | doc.classes
        self.emptied, self.cells = frozenset(z for z, v in doc.zones.items() if v.emptied), doc.cells
        self._by = {
            (k, x): n for n, c in doc.cells.items() for k in ('tenants', 'zones', 'minions') for x in getattr(c, k)
        }

    def cell_of_tenant(self, ten):
        return self._by.get(('tenants', ten), 'commons')

    def cell_of_minion(self, nam, zone):
        # a minion named outright goes before its zone
        return self._by.get(('minions', nam)) or self._by.get(('zones', zone), 'commons')

    def policy(self, tenant):
        t = self.tenants.get(tenant)
        return self.policies.get(t.policy) if t else None


def _names(doc):
    bad = []
    for k in ('zones', 'tenants', 'classes', 'policies', 'cells'):
        bad += [f'{k}.{n}: not a name' for n in getattr(doc, k) if not NAME.match(n)]
    return bad


def _cross(doc):
    bad = []
    if not doc.zones:
        bad.append('zones: at least one is wanted')
    for n, t in doc.tenants.items():
        if t.policy and t.policy not in doc.policies:
            bad.append(f'tenants.{n}.policy: no policy {t.policy!r}')
        if t.weight <= 0:
            bad.append(f'tenants.{n}.weight: must be above zero')
        if t.max_jobs < 0 or t.max_cores < 0:
            bad.append(f'tenants.{n}: a limit is negative')
    for n, z in doc.zones.items():
        if z.evict_at < 0 or z.evict_at and not z.emptied:
            bad.append(f'zones.{n}.evict_at: a time in ms since 1970, and only where the zone is emptied')
    for n, c in doc.classes.items():
        if c.unattended not in ('fence', 'keep'):
            bad.append(f'classes.{n}.unattended: "fence" or "keep"')
        if not -1000 <= c.priority <= 1000:
            bad.append(f'classes.{n}.priority: between -1000 and 1000')
        if c.retry_ms < 0:
            bad.append(f'classes.{n}.retry_ms: negative')
    for k in ('tasks', 'cores', 'gpus', 'mem', 'tries'):
        if getattr(doc.limits, k) < 0:
            bad.append(f'limits.{k}: negative')
    return bad


def _cells(doc):
    bad, seen = [], {}
    for n, c in doc.cells.items():
        if n in ('commons', 'core'):
            bad.append(f'cells.{n}: the name is taken')
        if not c.seats and not c.zones:
            bad.append(f'cells.{n}: seats or zones to take them from are wanted')
        for k in ('tenants', 'zones', 'minions', 'seats'):
            for i, x in enumerate(getattr(c, k)):
                if k in ('tenants', 'zones') and x not in getattr(doc, k):
                    bad.append(f'cells.{n}.{k}[{i}]: no {k[:-1]} {x!r}')
                # a tenant, zone or minion belongs to exactly one cell at a time
                own = seen.setdefault((k, x, n if k == 'seats' else ''), f'cells.{n}.{k}[{i}]')
                if own != f'cells.{n}.{k}[{i}]':
                    bad.append(f'cells.{n}.{k}[{i}]: {x!r} stands at {own} already')
    return bad


def checking(raw, seq=0):
    """The check in slices: yields after each, and returns the Result of the Config, or of every mistake with its path."""
    n = sum(len(v) for v in raw.values() if isinstance(v, dict)) if isinstance(raw, dict) else 0
    if n > MOST:
        return Error(trouble('bad_config', f'.: {n} named things are more than {MOST}'))
    res = yield from reading(Doc, raw, SLICE)
    if res.is_error():
        return Error(trouble('bad_field', *res.error))
    doc = res.ok
    bad = _names(doc)
    yield 0
    bad += _cross(doc)
    yield 0
    bad += _cells(doc)
    if bad:
        return Error(trouble('bad_config', *bad))
    yield 0
    if doc.zones and all(z.emptied for z in doc.zones.values()):
        return Error(trouble('last_zone', 'zones: every zone is emptied'))
    pols, bad = {}, []
    for n, p in doc.policies.items():
        got = compile_policy(p)
        if got.is_error():
            bad += [f'policies.{n}.{m}' for m in got.error]
        else:
            pols[n] = got.ok
    if bad:
        return Error(trouble('bad_policy', *bad))
    return Ok(Config(doc, raw, pols, seq))


def check(raw, seq=0):
    """The whole check at once."""
    return whole(checking(raw, seq))


def squeeze(raw):
    return zlib.compress(json.dumps(raw, separators=(',', ':')).encode(), 1)


def swell(byt):
    return json.loads(zlib.decompress(byt))
