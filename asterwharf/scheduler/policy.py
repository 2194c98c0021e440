"""Placement policies: CEL programs, compiled once per configuration, judged per class of case. Pure."""

from expression import Error, Ok

SIZE = 2000
MACROS = frozenset(('all', 'exists', 'exists_one', 'map', 'filter', 'reduce', 'min'))
_ENV = []


def _env():
    # one environment: making it parses CEL's own grammar; the library is large, and only read where there are policies
    if not _ENV:
        import celpy

        _ENV.append(celpy.Environment())
    return _ENV[0]


def warm():
    """Reads CEL's grammar before the loop runs: it takes longer than a beat."""
    _env()


class Policy:
    """The three programs of one policy; an empty one means yes, no, nought."""

    __slots__ = ('cache', 'land', 'evict', 'rate', 'troubles')

    def __init__(self, land, evict, rate):
        self.land, self.evict, self.rate, self.troubles, self.cache = land, evict, rate, 0, {}

    def _run(self, prg, wld, bad):
        key = (id(prg), repr(wld))
        if key in self.cache:
            return self.cache[key]
        from celpy.adapter import json_to_cel

        try:
            out = prg.evaluate({k: json_to_cel(v) for k, v in wld.items()})
        except Exception:
            # a policy's trouble means "no" for this candidate, and is counted
            self.troubles += 1
            out = bad
        if len(self.cache) > 20000:
            self.cache.clear()
        self.cache[key] = out
        return out

    def knows(self, wld):
        """Whether its programs have judged this case already."""
        key = repr(wld)
        asked = (self.evict,) if 'victim' in wld else (self.land, self.rate)
        return all(p is None or (id(p), key) in self.cache for p in asked)

    def may_land(self, wld):
        if self.land is None:
            return True
        return self._as_bool(self._run(self.land, wld, False))

    def may_evict(self, wld):
        if self.evict is None:
            return False
        return self._as_bool(self._run(self.evict, wld, False))

    def score(self, wld):
        if self.rate is None:
            return 0.0
        try:
            return float(self._run(self.rate, wld, 0.0))
        except (TypeError, ValueError):
            self.troubles += 1
            return 0.0

    def _as_bool(self, val):
        from celpy.celtypes import BoolType

        if isinstance(val, BoolType):
            return bool(val)
        if val is not False:
            self.troubles += 1
        return False


def _loops(tree):
    """How deep macros that walk a list stand within each other."""
    own = tree.data == 'member_dot_arg' and any(str(c) in MACROS for c in tree.children if not hasattr(c, 'children'))
    return own + max((_loops(c) for c in tree.children if hasattr(c, 'children')), default=0)


def _one(nam, src, bad):
    if not src:
        return None
    if len(src) > SIZE:
        bad.append(f'{nam}: {len(src)} characters are more than {SIZE}')
        return None
    try:
        env = _env()
        ast = env.compile(src)
        # one walk over a list is bounded by the program's size; one within another is not by much
        if _loops(ast) > 1:
            bad.append(f'{nam}: macros over lists may not stand within each other')
            return None
        return env.program(ast)
    except Exception as e:
        bad.append(f'{nam}: {str(e).strip().splitlines()[0] if str(e).strip() else type(e).__name__}')
        return None


def compile_policy(prg):
    """Result of the Policy, or of the mistakes by program."""
    bad = []
    got = [_one(k, getattr(prg, k), bad) for k in ('may_land', 'may_evict', 'score')]
    return Error(bad) if bad else Ok(Policy(*got))


class Trial:
    """Tries a policy on a made-up task against a minion as operators are shown it."""

    __slots__ = ('cfg', 'evict', 'pol', 'task', 'tenant')

    def __init__(self, cfg, name, cls, tenant, cores, gpus, mem, victim):
        self.cfg, self.pol = cfg, cfg.policies[name]
        pri = cfg.classes[cls].priority if cls in cfg.classes else 0
        self.task = {
            'class': cls,
            'cores': float(cores),
            'gpus': gpus,
            'mem': mem,
            'gang': '',
            'priority': pri,
            'zones': [],
        }
        wgt = cfg.tenants[tenant].weight if tenant in cfg.tenants else 1.0
        self.tenant = {'name': tenant, 'weight': float(wgt)}
        vic = cfg.classes[victim].priority if victim in cfg.classes else 0
        self.evict = dict(self.task, **{'class': victim}, tenant=tenant, priority=vic) if victim else None

    def row(self, m):
        wld = {
            'task': self.task,
            'tenant': self.tenant,
            'zone': {'name': m['zone'], 'emptied': m['zone'] in self.cfg.emptied},
            'minion': {
                'name': m['name'],
                'zone': m['zone'],
                'cores': float(m['cores']),
                'gpus': m['gpus'],
                'mem': m['mem'],
                'labels': m.get('labels') or {},
            },
        }
        out = {'minion': m['name'], 'zone': m['zone'], 'may_land': self.pol.may_land(wld), 'score': self.pol.score(wld)}
        if self.evict:
            out['may_evict'] = self.pol.may_evict(dict(wld, victim=self.evict))
        return out
