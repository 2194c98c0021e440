"""Measurements in virtual time: counts and delays that do not depend on the machine.

python bench/measure.py cost|recover|flood [--seeds N]; run it at two commits in turn to compare.
"""

import multiprocessing
import statistics

from cyclopts import App

from asterwharf.consensus.member import leave
from asterwharf.sim import cells, operators, scenario_run, scenarios  # noqa: F401
from asterwharf.sim.fleet import Fleet

app = App(help_format='plaintext')
SMALL = {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 1, 'run': {'ms': 100}}]}


def _ready(seed, **kws):
    f = Fleet(seed, **kws).start()
    assert f.ready(), seed
    return f


def _cost(seed):
    """Messages and syncs of 100 jobs over 20 s, less what the same fleet costs idle."""
    out = {}
    for load in (False, True):
        f = _ready(seed, core=3, edges=7, minions=24)
        was, beg = dict(f.w.count), {n: {g: c.replica.counters['syncs'] for g, c in _members(f, n)} for n in f.core}
        if load:
            scenario_run.load(f, 100, 18000)
        f.w.run(f.w.t + 20000)
        out[load] = {k: v - was.get(k, 0) for k, v in f.w.count.items()}
        out[load]['SYNCS'] = sum(c.replica.counters['syncs'] - beg[n][g] for n in f.core for g, c in _members(f, n))
        out[load]['MESSAGES'] = sum(v for k, v in out[load].items() if k.islower())
    return {k: (out[True].get(k, 0) - out[False].get(k, 0)) / 100 for k in out[True]}, out[False]


def _members(f, n):
    return [(g, f.member(n, g)) for g in ('core', 'commons')]


FAULTS = {
    'none': lambda f: None,
    'holder killed': lambda f: f.w.kill(f.holder('commons')),
    'holder leaves': lambda f: f.w._do(f.w.hosts[f.holder('commons')], lambda n=f.holder('commons'): leave(f.node(n))),
    'holder frozen': lambda f: f.w.freeze(f.holder('commons')),
    'holder cut off': lambda f: f.w.part(
        [f.holder('commons')], [n for n in f.core + f.edges if n != f.holder('commons')]
    ),
    'holder disk slow': lambda f: setattr(f.w.hosts[f.holder('commons')], 'slow', 2500),
    'holder wiped': lambda f: (lambda n: (f.w.kill(n), f.w.wipe(n), f.w.start(n)))(f.holder('commons')),
    'edge killed': lambda f: f.w.kill(f.edges[0]),
    'core restarted whole': lambda f: [(f.w.kill(n), f.w.start(n)) for n in f.core],
}


def _recover(job):
    """The longest time without an acceptance, and without a start, after one fault under steady load."""
    name, seed = job
    f = _ready(seed)
    beg = f.w.t
    for i in range(400):
        f.w.after(i * 50, f.call.submit, 'basin', f'j{i}', SMALL)
    f.w.run(beg + 5000)
    FAULTS[name](f)
    f.w.run(beg + 20000)
    gaps = []
    for at in (sorted(f.obs.kept.values()), sorted(t for s in f.obs.starts.values() for t in s)):
        at = [beg + 5000] + [t for t in at if t > beg + 5000]
        gaps.append(max(y - x for x, y in zip(at, at[1:])))
    return name, gaps, len(f.obs.broken)


def _flood(seed):
    """Start delay of the urgent class while sweeps flood every minion."""
    f = _ready(seed)
    for i in range(600):
        f.w.after(
            i * 20,
            f.call.submit,
            'sweeps',
            f's{i}',
            {'class': 'sweep', 'tasks': [{'name': 'a', 'cores': 4, 'run': {'ms': 1500}}]},
        )
    at = {}
    for i in range(100):
        f.w.after(2000 + i * 100, lambda i=i: (at.update({i: f.w.t}), f.call.submit('basin', f'u{i}', SMALL)))
    f.w.run(f.w.t + 40000)
    return [f.obs.starts[f'basin/u{i}/a'][0] - t for i, t in at.items() if f'basin/u{i}/a' in f.obs.starts]


def _spread(xs):
    xs = sorted(xs)
    return f'median {statistics.median(xs):.0f}, p99 {xs[int(len(xs) * 0.99)]:.0f}, max {xs[-1]:.0f}, n {len(xs)}'


@app.command
def cost(*, seeds: int = 6):
    """Messages and syncs for a job, above idle; and what idle costs."""
    with multiprocessing.Pool(8) as p:
        got = p.map(_cost, range(1, seeds + 1))
    for k in sorted(got[0][0], key=lambda k: -statistics.mean(g[0].get(k, 0) for g in got)):
        xs = [g[0].get(k, 0) for g in got]
        if abs(statistics.mean(xs)) > 0.05:
            idle = statistics.mean(g[1].get(k, 0) for g in got) / 20
            print(
                f'{k:10} a job {statistics.mean(xs):7.2f} ({min(xs):.2f} to {max(xs):.2f})   idle {idle:7.1f} a second'
            )


@app.command
def recover(*, seeds: int = 20):
    """Longest gap in acceptances and in starts after each fault."""
    with multiprocessing.Pool(8) as p:
        got = p.map(_recover, [(n, s) for n in FAULTS for s in range(1, seeds + 1)], chunksize=1)
    for n in FAULTS:
        rows = [g for k, g, _ in got if k == n]
        bad = sum(b for k, _, b in got if k == n)
        print(f'{n:22} accept: {_spread([r[0] for r in rows])} | start: {_spread([r[1] for r in rows])} | broken {bad}')


@app.command
def flood(*, seeds: int = 8):
    """Start delay of urgent work under a flood of sweeps."""
    with multiprocessing.Pool(8) as p:
        print(_spread([x for xs in p.map(_flood, range(1, seeds + 1)) for x in xs]))


if __name__ == '__main__':
    app()
