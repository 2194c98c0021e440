"""Scenarios of two things at once: a fault in the middle of a repair, an election, a move, a sync, a race."""

from dataclasses import replace

from asterwharf.sim.actors import job
from asterwharf.sim.fleet import VIEW
from asterwharf.sim.scenario_run import bounce, full, often, scenario, zoned


@scenario
def disk_full(f):
    """A core node's disk takes no more, at any step of a sync: the process leaves, what was not synced is gone."""

    def hit():
        if full(f):
            n = f.holder('commons') if f.w.rng.random() < 0.6 else f.w.rng.choice(f.core)
            # before the transaction, or after it and before anyone was told
            f.w.hosts[n].ill = f.w.rng.choice(('before', 'after'))
            f.w.after(3000, lambda: f.w.hosts[n].alive or f.w.start(n))

    often(f, 4, 1500, 4000, hit)


@scenario(span=25000)
def healed_midway(f):
    """Cuts heal in the middle of the change of view that they caused."""

    def hit():
        n = f.holder(f.w.rng.choice(('core', 'commons'))) or f.core[0]
        f.w.part([n], [x for x in f.core if x != n] + f.w.rng.sample(f.edges, 1))
        # silence is 1000 ms and up to half of it more; an election takes some ten
        f.w.after(f.w.rng.randint(950, 1700), f.w.heal)

    often(f, 7, 1800, 3500, hit)


@scenario(span=30000)
def killed_while_seating(f):
    """A core disk is wiped, and while its machine is being seated again the holder dies, too: it stops, then goes on."""

    def hit():
        if not full(f):
            return
        n = f.w.rng.choice([x for x in f.core if x != f.holder('commons')])
        bounce(f, n, 100, wipe=True)
        f.w.after(
            f.w.rng.randint(100, 1200), lambda: bounce(f, f.holder('commons') or f.core[0], f.w.rng.randint(300, 2500))
        )

    often(f, 4, 4000, 7000, hit)


@scenario(span=30000, view=replace(VIEW, chunk=1500))
def snapshot_cut(f):
    """The rows that bring an empty seat up are cut short: by a cut, by the death of either end."""

    def look(n, left=60):
        h = f.holder('commons')
        leadership = f.member(h, 'commons').replica.leadership if h else None
        progress = leadership.progress.get(n) if leadership else None
        if progress is None or progress.snapshot is None or progress.part < 1:
            return f.w.after(20, look, n, left - 1) if left else None
        f.n += 1
        how = f.w.rng.choice(('cut', 'learner', 'holder'))
        if how == 'cut':
            f.w.part([n], [h])
            f.w.after(f.w.rng.randint(200, 4000), f.w.heal)
        else:
            bounce(f, n if how == 'learner' else h, f.w.rng.randint(100, 1500))

    def hit():
        if full(f):
            n = f.w.rng.choice([x for x in f.core if x != f.holder('commons')])
            bounce(f, n, 100, wipe=True)
            f.w.after(100, look, n)

    often(f, 4, 4000, 7000, hit)
    f.checks.append(lambda: '' if f.n else 'no snapshot was cut short')


@scenario(edges=6, minions=9, span=35000)
def moved_and_wiped(f):
    """In the middle of a tenant's move, holders of the old cell, the new cell and the core lose their disks in turn."""
    north = {'tenants': [], 'zones': ['z1']}

    def cells(**c):
        return lambda d: dict(d, cells=c)

    f.call.configure(cells(north=north))

    def hit(grp):
        g = f.gid('north') if grp == 'north' else grp
        n = f.holder(g) if g else ''
        if (
            n
            and full(f)
            and all(f.member(x, g) and f.member(x, g).replica.is_member for x in f.member(n, g).replica.log.members)
        ):
            bounce(f, n, 300, wipe=True)

    for i, grp in enumerate(('commons', 'north', 'core')):
        t = 6000 + i * 9000
        f.w.after(t, f.call.configure, cells(north=dict(north, tenants=['basin'] if i % 2 == 0 else [])))
        f.w.after(t + f.w.rng.randint(100, 1200), hit, grp)


@scenario(edges=4, minions=24, span=20000)
def redialled(f):
    """All edges of all agents go at once; what comes back must be spread, and be there soon."""
    seen, back = [], []

    def count(last, until):
        now = f.w.count.get('register', 0)
        seen.append(now - last)
        if f.up() == len(f.tends):
            back.append(f.w.t)
        if f.w.t < until:
            f.w.after(100, count, now, until)

    def hit():
        for e in f.edges:
            bounce(f, e, 1000)
        back.clear()
        f.w.after(1500, count, f.w.count.get('register', 0), f.w.t + 9000)

    f.w.after(3000, hit)
    # each is told twice, by the agent and by its edge; a dial or two more each where an edge had no holder yet
    f.checks.append(lambda: f'a storm of registrations: {sum(seen)}' if sum(seen) > 4 * len(f.tends) else '')
    f.checks.append(lambda: '' if back and back[0] < 40000 else 'not every agent was back within 8 s')


@scenario(jobs=20, span=20000)
def many_doors(f):
    """The same job through every edge at once, with a cancel among the sendings, while a holder dies."""
    for i in range(40):
        spec, at = job(f.w.rng, f.w.rng.choice(('surge', 'leak', 'sweep'))), 500 + i * 350
        for _ in range(3):
            f.w.after(at + f.w.rng.randint(0, 60), f.call.submit, 'basin', f'same{i}', spec, 0.5)
        if i % 2:
            f.w.after(at + f.w.rng.randint(0, 120), f.call.cancel, 'basin', f'same{i}')
    often(f, 3, 3000, 6000, lambda: bounce(f, f.holder('commons') or f.core[0], 1200))


@scenario(span=25000)
def zone_fought(f):
    """Two operators empty and take back one zone against each other, through different edges."""
    for i in range(14):
        f.w.after(1000 + i * 1500 + f.w.rng.randint(0, 30), f.call.configure, zoned('z2', True), 'emptier')
        f.w.after(1000 + i * 1500 + f.w.rng.randint(0, 30), f.call.configure, zoned('z2', i % 3 == 0), 'restorer')


@scenario(edges=4, span=30000)
def news_by_another_way(f):
    """Links to the core's holder are lost one by one, one way or both, while zones are emptied and taken back."""

    def hit():
        h = f.holder('core') or f.core[0]
        n = f.w.rng.choice([x for x in f.core + f.edges if x != h])
        f.w.cut(h, n, both=f.w.rng.random() < 0.6)
        f.w.after(6500, f.w.heal)

    for i in range(4):
        f.w.after(1000 + i * 7000, hit)
        f.w.after(1500 + i * 7000, f.call.configure, zoned('z1', i % 2 == 0))
        f.w.after(3500 + i * 7000, f.call.configure, zoned('z3', i % 2 == 0))


@scenario(jobs=20, span=30000)
def emptied_to_the_end(f):
    """A zone and a minion are emptied by a deadline while holders die; one zone is taken back before its own."""
    long = {
        'class': 'sweep',
        'tasks': [{'name': f'g{i}', 'cores': 4, 'tries': 1, 'gang': 'g', 'run': {'ms': 22000}} for i in range(3)],
    }
    for i in range(8):
        f.w.after(
            200 + i * 50,
            f.call.submit,
            'sweeps',
            f'long{i}',
            long if i % 2 else dict(long, tasks=[dict(t, gang='') for t in long['tasks']]),
        )
    beg = f.w.t
    wall = f.w.base + beg

    def zone(z, at):
        return lambda d: dict(d, zones={**d['zones'], z: {'emptied': bool(at), 'evict_at': at}})

    f.w.after(2500, f.call.configure, zone('z1', wall + 6000))
    f.w.after(2800, f.call.configure, zone('z2', wall + 9000))
    f.w.after(5000, f.call.configure, zone('z2', 0))
    f.w.after(
        2600, f.call._call, 'drain', 'cell', {'minion': f.tends[2], 'on': True, 'within': 4000}, lambda c, b: None
    )
    f.w.after(f.w.rng.randint(5000, 6500), lambda: bounce(f, f.holder('commons') or f.core[0], 2500))
    late = []

    def look():
        # the deadline, an election, a stop with its confirmation
        gone = {m for m in f.tends if f.zone(m) == 'z1'} | {f.tends[2]}
        late.extend((t, m) for t, at in f.obs.live.items() for m in at if m in gone)

    f.w.after(6000 + 3500, look)
    f.checks.append(lambda: f'still runs past the deadline: {late[:4]}' if late else '')

    def kept():
        back = [
            t
            for t, h in f.obs.hist.items()
            for at, how, _, m in h
            if how == 'stopped'
            and f.zone(m) == 'z2'
            and t.startswith('sweeps/long')
            and m != f.tends[2]
            and at > beg + 8800
        ]
        # gangs go back whole: a member in the zone that was taken back may be stopped for its sibling's sake
        alone = [t for t in back if int(t.split('/')[1][4:]) % 2 == 0]
        return f'pushed out of a zone that was taken back: {alone}' if alone else ''

    f.checks.append(kept)
