"""How a scenario is registered, run under load from a seed, and judged."""

from asterwharf.sim.actors import job
from asterwharf.sim.fleet import Fleet

ALL = {}
LONG = (300, 1500, 9000)


def scenario(fn=None, **kws):
    """Registers a scenario: it gets the fleet and does its worst while the load runs."""

    def deco(f):
        ALL[f.__name__] = (f, kws)
        return f

    return deco(fn) if fn else deco


class Result:
    """What came of one run."""

    __slots__ = ('fleet', 'name', 'seed', 'why')

    def __init__(self, name, seed, fleet, why):
        self.name, self.seed, self.fleet, self.why = name, seed, fleet, why

    @property
    def ok(self):
        return not self.why

    def text(self):
        f = self.fleet
        strict = sorted({r for _, r, _ in f.obs.strict})
        head = (
            f'{self.name} seed {self.seed}: {"ok" if self.ok else "; ".join(self.why)}; '
            f'strictly: {"; ".join(strict) or "ok"} {" ".join(f.drawn)} {f.obs.count}'
        )
        if self.ok:
            return head
        return f'{head}\nreplay: python -m asterwharf.sim run {self.name} --seed {self.seed}\n{f.trace()}'


def load(f, n=60, span=15000, sizes=(100, 300, 1500)):
    """The mix of the deployments: mostly small urgent checks, some with steps and gangs, a few that always fail."""
    w, r = f.w, f.w.rng
    for i in range(n):
        k = r.choices(['surge', 'leak', 'sweep'], [6, 1, 2])[0]
        ten = 'sweeps' if k == 'sweep' else 'basin'
        can = r.randint(100, 3000) if r.random() < 0.08 else 0
        spec = job(r, k, r.choice(sizes))
        if r.random() < 0.04:
            spec['tasks'][0]['run']['fail'] = 99
        if r.random() < 0.1:
            spec['tasks'][0]['due'] = w.base + w.t + r.randint(1000, 12000)
        w.after(r.randint(0, span), f.call.submit, ten, f'j{i}', spec, 0.2, can)


def run(name, seed, **over):
    """One scenario from one seed, judged by the observer alone; `over` changes the fleet."""
    fn, kws = ALL[name]
    kws = dict(kws, **over)
    n, span, quiet = kws.pop('jobs', 60), kws.pop('span', 15000), kws.pop('calm', False)
    sizes = kws.pop('sizes', (100, 300, 1500))
    span = span() if callable(span) else span
    f = Fleet(seed, **kws).start()
    f.watch()
    why = []
    if not f.ready():
        why.append('the fleet did not come up')
    else:
        load(f, n, span, sizes)
        fn(f)
        f.w.run(f.w.t + span + 1000)
        f.w.heal()
        for h in f.w.hosts.values():
            h.slow = 0
            if h.frozen:
                f.w.thaw(h.name)
            if not h.alive:
                f.w.start(h.name)
        f.w.loss = f.w.dup = 0.0
        if not f.settle():
            why.append(f'not ended: {f.obs.unfinished()[:5]} live: {[k for k, v in f.obs.live.items() if v][:5]}')
        if not f.w.until(f.agreed, 10000):
            why.append('a configuration is not in force everywhere')
    if quiet:
        for j in f.obs.kept:
            if j not in f.obs.cancels and j not in f.obs.asked:
                f.obs.gangs(j)
    f.obs.config_judged()
    f.obs.count['overlap_ms'] = max([ms for ms, _ in f.obs.overlaps], default=0)
    f.obs.count.update({f'suspected_{k}': v for k, v in f.w.sight.items()})
    why += [w for w in (c() for c in f.checks) if w]
    why += sorted({r for _, r, _ in f.obs.broken})
    why += filter(None, [f.w.replica_watch.verdict()])
    return Result(name, seed, f, why)


def often(f, n, lo, hi, fn):
    """Calls `fn` n times, at random moments between lo and hi ms apart."""
    t = 0
    for _ in range(n):
        t += f.w.rng.randint(lo, hi)
        f.w.after(t, fn)


def bounce(f, name, wait, wipe=False):
    """Kills a process and starts it again after `wait` ms."""
    f.crash(name)
    if wipe:
        f.w.wipe(name)
    f.w.after(wait, lambda: f.w.hosts[name].alive or f.w.start(name))


def full(f):
    """Every core seat is there with all it should have: a second loss would be data lost, not a fault to be held."""
    return all(
        f.w.hosts[n].alive
        and not f.w.hosts[n].frozen
        and all(f.member(n, g).replica.is_member and not f.member(n, g).replica.changing for g in ('core', 'commons'))
        for n in f.core
    )


def zoned(name, on):
    def change(doc):
        doc = {**doc, 'zones': {z: dict(v) for z, v in doc['zones'].items()}}
        doc['zones'][name]['emptied'] = on
        return doc

    return change
