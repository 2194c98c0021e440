"""Scenarios of cells, releases and room: made, cut off, moved, rolled out, starved, pushed out, under traffic."""

from asterwharf.sim.actors import job
from asterwharf.sim.scenario_run import bounce, often, scenario
from asterwharf.wire.schema import PROTO

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


@scenario(calm=True, edges=6, minions=9, span=25000)
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
            got = [
                k
                for k, h in f.obs.hist.items()
                if k.startswith('basin/alone')
                for at, how, _, m in h
                if how == 'done' and beg + 4000 < at < beg + 24000
            ]
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
        full = gid and all(
            f.w.hosts[n].alive
            and not f.w.hosts[n].frozen
            and f.member(n, gid)
            and f.member(n, gid).replica.state not in ('learner',)
            for n in names
        )
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
    for t, doc in (
        (6000, {'north': dict(NORTH, tenants=['sweeps']), 'south': dict(south, tenants=['basin'])}),
        (12000, {'north': dict(NORTH, tenants=[]), 'south': dict(south, tenants=['basin', 'sweeps'])}),
        (18000, {'north': NORTH, 'south': south}),
        (23000, {}),
    ):
        f.w.after(t, f.call.configure, cells(**doc))
    often(f, 5, 3000, 6000, lambda: bounce(f, f.w.rng.choice(f.core + f.edges), f.w.rng.randint(200, 1500)))


@scenario(proto=1, span=40000)
def rolled_out(f):
    """A fleet of the release before this one is upgraded process by process; then it gets a cell."""
    names = f.tends + f.edges + f.core
    t = 0
    for n in names:
        t += 1200

        def go(n=n):
            f.protos[n] = PROTO
            # the agent alone: the minion beside it works on
            f.w.kill(n)
            f.w.after(200, f.w.start, n)

        f.w.after(t, go)
    f.w.after(t + 6000, f.call.configure, cells(north=dict(NORTH, seats=['t0', 'e0', 't1'])))
    f.checks.append(lambda: '' if f.gid('north') else 'the cell was not made after the roll-out')


@scenario(calm=True, jobs=10, span=40000)
def starved(f):
    """Small urgent work fills every minion without end; a large gang and a low class must still start."""
    for i in range(420):
        f.w.after(
            i * 90,
            f.call.submit,
            'basin',
            f'small{i}',
            {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 16, 'run': {'ms': 1500}}]},
        )
    gang = [{'name': f'g{i}', 'cores': 30, 'gang': 'g', 'run': {'ms': 500}} for i in range(3)]
    f.w.after(4000, f.call.submit, 'basin', 'large', {'class': 'surge', 'tasks': gang})
    f.w.after(
        4000,
        f.call.submit,
        'sweeps',
        'low',
        {'class': 'sweep', 'tasks': [{'name': 'a', 'cores': 16, 'run': {'ms': 99}}]},
    )
    end = f.w.t + 420 * 90

    def look():
        late = [k for k in ('basin/large/g0', 'sweeps/low/a') if f.obs.starts.get(k, [end + 1])[0] > end]
        return f'starved until the flood was over: {late}' if late else ''

    f.checks.append(look)


@scenario(calm=True, jobs=10, span=20000)
def pushed_out(f):
    """A policy lets urgent work push sweeps out, gangs among them; no room, try or gang is broken by it."""

    def pol(d):
        near = {'may_evict': 'victim.class == "sweep" && victim.priority < task.priority'}
        return dict(d, policies={'near': near})

    f.call.configure(pol)
    for i in range(12):
        tks = [
            {'name': f'x{k}', 'cores': 14, 'tries': 1, 'gang': 'g' if i % 3 == 0 else '', 'run': {'ms': 9000}}
            for k in range(2)
        ]
        f.w.after(1500 + i, f.call.submit, 'sweeps', f'long{i}', {'class': 'sweep', 'tasks': tks})
    for i in range(6):
        f.w.after(
            5000 + i * 300,
            f.call.submit,
            'basin',
            f'now{i}',
            {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 24, 'run': {'ms': 300}}]},
        )
    beg = f.w.t + 5000

    def look():
        slow = [k for k in (f'basin/now{i}/a' for i in range(6)) if f.obs.starts.get(k, [1 << 60])[0] > beg + 5500]
        return f'urgent work was stuck behind sweeps: {slow}' if slow else ''

    f.checks.append(look)
