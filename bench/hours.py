"""A cell cut off for hours of virtual time, working on alone, then rejoining. Too long for CI.

python bench/hours.py [--hours 2] [--seed 1]
"""

import sys

from cyclopts import App

from asterwharf.sim import cells, scenario_run, scenarios  # noqa: F401
from asterwharf.sim.actors import job
from asterwharf.sim.fleet import Fleet

app = App(help_format='plaintext')


@app.default
def main(*, hours: float = 2.0, seed: int = 1):
    f = Fleet(seed, edges=6, minions=9).start()
    f.w.tickms = 90
    assert f.ready()
    f.watch(1000)
    f.call.configure(cells.cells(north=cells.NORTH))
    assert cells.seated(f) and f.w.until(lambda: 'tenant:basin' in f.node(f.holder('core')).b.atlas.own, 30000)
    here = [h.name for h in f.w.hosts.values() if f.zone(h.name) == 'z1']
    f.w.part(here, [n for n in f.w.hosts if n not in here])
    beg, end = f.w.t, f.w.t + int(hours * 3600000)
    n = 0
    while f.w.t < end:
        # callers on both sides of the cut
        f.call.submit('basin', f'in{n}', job(f.w.rng, f.w.rng.choice(('surge', 'leak'))))
        f.call.submit('sweeps', f'out{n}', job(f.w.rng, 'sweep'))
        n += 1
        f.w.run(f.w.t + 30000)
    inside = sum(k.startswith('basin/in') and beg < at < end for k, at in f.obs.ends.items())
    outside = sum(k.startswith('sweeps/out') and beg < at < end for k, at in f.obs.ends.items())
    f.w.heal()
    ok = f.settle() and not f.obs.broken and inside > n and outside > n
    print(
        f'{hours} h cut off, {2 * n} jobs: {inside} tasks ended inside, {outside} outside, before it healed; '
        f'{len(f.obs.kept)} kept, {len(f.obs.unfinished())} not ended, broken: {f.obs.broken[:3]}, {f.obs.count}'
    )
    sys.exit(0 if ok else 1)


if __name__ == '__main__':
    app()
