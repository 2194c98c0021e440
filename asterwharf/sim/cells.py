"""Scenarios of cells: made, cut off, moved between, dissolved, under traffic."""

from asterwharf.sim.actors import job
from asterwharf.sim.scenarios import bounce, often, scenario

NORTH = {'tenants': ['basin'], 'zones': ['z1']}


def cells(**new):
    """A change of configuration that sets the cells."""
    return lambda d: dict(d, cells=new)


def seated(f, name='north'):
    """The cell is there and has a holder."""
    def look():
        gid = f.gid(name)
        return bool(gid and f.holder(gid))
    return f.w.until(look, 20000)


@scenario(edges=6, minions=9, span=25000)
def cell_made(f):
    """A cell is made under traffic, takes a tenant and a zone over, and is dissolved again."""
    f.w.after(3000, f.call.configure, cells(north=NORTH))
    f.w.after(16000, f.call.configure, cells())


@scenario(edges=6, minions=9, span=40000)
def cell_cut_off(f):
    """A cell's zone is cut off from everything else for long, and works on alone; then it rejoins."""
    f.call.configure(cells(north=NORTH))

    def cut():
        here = [h.name for h in f.w.hosts.values() if f.zone(h.name) == 'z1']
        rest = [n for n in f.w.hosts if n not in here]
        f.w.part(here, rest)
        beg = f.w.t
        f.w.after(24000, f.w.heal)

        def placed():
            # what it did with nobody but itself, after the time that links take to settle
            got = [k for k, h in f.obs.hist.items() if k.startswith('basin/alone') for at, how, _, m in h
                   if how == 'done' and beg + 4000 < at < beg + 24000]
            return '' if len(got) >= 5 else f'the cut-off cell did no work: {got}'
        f.checks.append(placed)
        # callers in the zone go on sending
        for i in range(20):
            k = f.w.rng.choice(('surge', 'surge', 'leak'))
            f.w.after(2000 + i * 900, f.call.submit, 'basin', f'alone{i}', job(f.w.rng, k), 0.2)
    f.w.after(12000, cut)


@scenario(edges=6, minions=9, span=30000)
def cell_seats_lost(f):
    """Seats of a cell are killed, wiped and frozen."""
    f.call.configure(cells(north=NORTH))

    def hit():
        gid = f.gid('north')
        names = [n for n in f.core + f.edges if f.zone(n) == 'z1']
        full = gid and all(f.w.hosts[n].alive and not f.w.hosts[n].frozen and f.chair(n, gid)
                           and f.chair(n, gid).seat.state not in ('learner',) for n in names)
        if not full:
            return
        n, how = f.w.rng.choice(names), f.w.rng.choice(('kill', 'wipe', 'freeze'))
        if how == 'freeze':
            f.w.freeze(n)
            f.w.after(f.w.rng.randint(500, 4000), f.w.thaw, n)
        else:
            bounce(f, n, f.w.rng.randint(100, 2000), wipe=how == 'wipe')
    often(f, 8, 2000, 4000, hit)


@scenario(edges=6, minions=9, span=30000)
def tenant_moved(f):
    """Tenants and zones go back and forth between two cells while nodes die."""
    south = {'tenants': ['sweeps'], 'zones': ['z2']}
    f.call.configure(cells(north=NORTH, south=south))
    for t, doc in ((6000, {'north': dict(NORTH, tenants=['sweeps']), 'south': dict(south, tenants=['basin'])}),
                   (12000, {'north': dict(NORTH, tenants=[]), 'south': dict(south, tenants=['basin', 'sweeps'])}),
                   (18000, {'north': NORTH, 'south': south}), (23000, {})):
        f.w.after(t, f.call.configure, cells(**doc))
    often(f, 5, 3000, 6000, lambda: bounce(f, f.w.rng.choice(f.core + f.edges), f.w.rng.randint(200, 1500)))
