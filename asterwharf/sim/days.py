"""A day at each of the users' sites: their size, their mix, faults drawn from the seed, and one last fault.

Days are long outside CI (`--seconds`), short in it.
"""

from asterwharf.sim import cells, corners, harm, operators, scenario_run, scenarios  # noqa: F401  they register what a day draws from
from asterwharf.sim.deploy import ALL as SITES
from asterwharf.sim.scenario_run import bounce, scenario, zoned

# after the last fault, or once a majority is back: until jobs are accepted, started, and a configuration in force
RECOVER = 5000
SECONDS = {'day': 60}

FAULTS = (
    'holder_killed',
    'edge_killed',
    'agent_killed',
    'minion_crashed',
    'agent_cut',
    'core_cut',
    'core_cut_off',
    'one_way_cut',
    'answers_lost',
    'core_frozen',
    'machine_frozen',
    'core_wiped',
    'slow_disk',
    'clock_jump',
    'zone_emptied',
    'drains',
    'config_race',
    'quiet_minion',
    'slow_minion',
    'zone_lost',
    'machine_frozen_long',
    'agent_frozen_long',
    'agent_dead_long',
    'edges_frozen_long',
    'disk_full',
    'healed_midway',
    'killed_while_seating',
    'seeds_swapped',
    'floods_large',
)


def seeds_swapped(f):
    """The seed addresses are swapped for other processes', one of them gone; edges and agents restart with them."""
    f.wrong = [f.w.hosts[f.edges[1]].addr, '10.9.9.9:7000', f.w.hosts[f.core[2]].addr]
    for i, n in enumerate([f.edges[0], f.tends[0], f.tends[-1]]):
        f.w.after(i * 700, f.w.kill, n)
        f.w.after(i * 700 + 500, lambda n=n: f.w.hosts[n].alive or f.w.start(n))
    f.w.after(6000, setattr, f, 'wrong', None)


def floods_large(f):
    """Large jobs at once, urgent ones among them."""
    site, r = f.site, f.w.rng
    for i in range(60):
        k = r.choice(sorted(site.mix))
        _, ten, make = site.mix[k]
        f.n += 1
        f.w.after(r.randint(0, 1500), f.call.submit, ten, f'flood{f.n}', make(r))


OWN = {'seeds_swapped': seeds_swapped, 'floods_large': floods_large}


# --- the last fault: each gives the ms until a majority is there again
def _holders(f):
    hit = sorted({f.holder('core'), f.holder('commons')} - {''})
    for n in hit:
        bounce(f, n, 3000)
    # two of three away: no majority until they are back
    return 3000 if len(hit) > 1 else 0


def _core(f):
    for n in f.core:
        bounce(f, n, 1500)
    return 1500


def _zone(f):
    z = f.zone(f.holder('commons') or f.core[0])
    for h in list(f.w.hosts.values()):
        if f.zone(h.name) == z:
            bounce(f, h.name, 9000)
    return 0


def _apart(f):
    n = f.holder('commons') or f.core[0]
    f.w.part([n], [x for x in f.core if x != n])
    return 0


def _wiped(f):
    n = f.holder('commons') or f.core[0]
    bounce(f, n, 500, wipe=True)
    return 0


LAST = (_holders, _core, _zone, _apart, _wiped)


def whole(f):
    """Heals and starts what the day's faults left: the last fault finds the fleet as it should be."""
    f.w.heal()
    for h in f.w.hosts.values():
        h.slow, h.wall = 0, 0
        f.w.thaw(h.name)
        if not h.alive:
            f.w.start(h.name)
    for m in f.mins.values():
        m.slow, m.quiet = 1, False


def day(f, name):
    """Traffic all day long; a fault every ten to twenty seconds; then the last one."""
    secs, r, site = SECONDS['day'], f.w.rng, SITES[name]
    f.site, f.n = site, 0
    span = secs * 1000
    for at, k, ten, spec in site.arrivals(r, secs):
        f.n += 1
        if r.random() < 0.06:
            spec['tasks'][0]['due'] = f.w.base + f.w.t + at + r.randint(500, 6000)
        f.w.after(at, f.call.submit, ten, f'{k}{f.n}', spec, 0.2, r.randint(100, 3000) if r.random() < 0.05 else 0)
    for i in range(secs // 20):
        ten, spec = site.impossible(r)
        at = r.randint(0, span - 12000)
        f.w.after(at, f.call.submit, ten, f'never{i}', spec, 0.0, 8000)
    t = 3000
    while t < span - 38000 or t == 3000:
        nam = r.choice(FAULTS)
        f.drawn.append(nam)
        f.w.after(t, OWN.get(nam) or scenario_run.ALL[nam][0], f)
        t += r.randint(9000, 18000)
    f.w.after(span - 16000, whole, f)
    f.w.after(span - 8000, _last, f, r.choice(LAST))


def _last(f, fn):
    f.drawn.append(fn.__name__)
    beg = f.w.t
    end = beg + fn(f) + RECOVER
    k, (_, ten, make) = sorted(f.site.mix.items())[0]
    f.call.submit(ten, 'after', make(f.w.rng))
    f.call.configure(lambda d: dict(d, note='after'))
    acked = len(f.obs.acks)

    def look():
        out = []
        if f.obs.kept.get(f'{ten}/after', 1 << 60) > end:
            out.append('no job was accepted')
        if min((t for s in f.obs.starts.values() for t in s if t > beg), default=1 << 60) > end:
            out.append('nothing was started')
        if min((a[4] for a in f.obs.acks[acked:]), default=1 << 60) > end:
            out.append('no configuration was taken')
        return f'{RECOVER} ms after the last fault ({fn.__name__}): {", ".join(out)}' if out else ''

    f.checks.append(look)


def _site(name):
    s = SITES[name]
    return {'edges': s.edges, 'minions': s.minions, 'size': (s.cores, s.gpus, s.mem), 'doc': s.doc}


@scenario(jobs=0, span=lambda: SECONDS['day'] * 1000, **_site('fraser'))
def fraser_day(f):
    """A day at Fraser Basin: seven edges, 24 minions, six jobs a second, faults from the seed, one last fault."""
    day(f, 'fraser')


@scenario(jobs=0, span=lambda: SECONDS['day'] * 1000, **_site('oergadwyn'))
def oergadwyn_day(f):
    """A day at Oergadwyn: six edges, 33 minions, eleven jobs a second, faults from the seed, one last fault."""
    day(f, 'oergadwyn')


@scenario(jobs=0, calm=True, span=30000, **_site('fraser'))
def fraser_calm(f):
    """Fraser Basin at its full rate with nothing wrong: gangs, due times and configurations are judged."""
    _calm(f, 'fraser')


@scenario(jobs=0, calm=True, span=30000, **_site('oergadwyn'))
def oergadwyn_calm(f):
    """Oergadwyn at its full rate with nothing wrong."""
    _calm(f, 'oergadwyn')


def _calm(f, name):
    for i, (at, k, ten, spec) in enumerate(SITES[name].arrivals(f.w.rng, 28)):
        f.w.after(at, f.call.submit, ten, f'{k}{i}', spec, 0.1, f.w.rng.randint(100, 3000) if i % 25 == 0 else 0)
    for i in range(4):
        f.w.after(3000 + i * 6000, f.call.configure, zoned('z2', i % 2 == 0))
