"""Troubles of a day, after the kinds that the users' sites list. Each does its worst and undoes it by itself.

`TROUBLES` maps a kind to a function of the day; what would lose more than one counted machine at once waits its turn.
"""

# how long a trouble waits for its turn, and between two looks
TURN, LOOK = 15000, 500


def part(day, share, of):
    """A share of the things, at least one."""
    return day.rng.sample(list(of), max(1, round(len(of) * share)))


def ms(day, lo, hi):
    return day.rng.randint(lo, hi)


def leader(day):
    f = day.fleet
    return f.holder(day.rng.choice(('commons', 'core'))) or day.rng.choice(f.core)


def counted(day, fn):
    """Does something to one machine of the core, once every machine of it is there and has caught up."""
    f, end = day.fleet, day.fleet.w.t + TURN

    def go():
        quiet = max([f.sight.hit.get(n, 0) for n in f.core] + [day.lost]) + f.bounds.catch_up_ms < f.w.t
        if quiet and f.whole():
            return fn(leader(day) if day.rng.random() < 0.6 else day.rng.choice(f.core))
        if f.w.t < end and not day.closing:
            return f.w.after(LOOK, go)
        day.skipped += 1
        return None
    go()


def mark(day, kind, span):
    """Marks a trouble with the time that its traces take to fade."""
    t = day.fleet.w.t
    day.fleet.sight.mark(kind, t, t + span + day.fleet.bounds.in_touch_ms)


def lasting(day, n, span):
    """The core machine is lost until then, and for the time that it takes to catch up."""
    day.lost = max(day.lost, day.fleet.w.t + span)


# --- machines of the system
def node_kill(day):
    """A core machine's process is killed, or its power goes with what was not synced."""
    def hit(n):
        span, dark = ms(day, 300, 4000), day.rng.random() < 0.5
        mark(day, 'node_kill', span)
        lasting(day, n, span)
        day.fleet.down(n, span, dark=dark)
        if day.rng.random() < 0.4:
            day.ops.race()
        if day.rng.random() < 0.3:
            drain_some(day, 1)
    counted(day, hit)


def edge_kill(day):
    f = day.fleet
    span = ms(day, 300, 4000)
    mark(day, 'node_kill', span)
    for n in part(day, 0.2, f.edges):
        if f.w.hosts[n].alive:
            f.down(n, span, dark=day.rng.random() < 0.5)


def at_ack(day, fn):
    """Does something to a core machine at the very moment that something was acknowledged: by a beat, a hand-in, an order."""
    what = day.rng.choice(('noted', 'started', 'taken', 'config'))

    def hit(n):
        f = day.fleet

        def strike(node):
            # the one that acted, or the holder behind the edge that spoke
            x = node if node in f.core else f.holder('core' if what == 'config' else 'commons') or n
            if f.w.hosts[x].alive and f.whole():
                fn(x)
        if what == 'config':
            return day.ops.change(then=lambda code: strike(''))

        def tap(said, node):
            if said == what and tap in f.obs.taps:
                f.obs.taps.remove(tap)
                strike(node)
        f.obs.taps.append(tap)
        return None
    counted(day, hit)


def after_ack_wipe(day):
    """A core machine loses its disk right after something was acknowledged; it comes back empty at its old address."""
    def fn(n):
        span = ms(day, 500, 3000)
        mark(day, 'after_ack_wipe', span)
        lasting(day, n, span)
        day.fleet.down(n, span, wipe=True, dark=day.rng.random() < 0.5)
    at_ack(day, fn)


def after_ack_kill(day):
    """A core machine dies right after something was acknowledged, with all that it had not synced."""
    def fn(n):
        span = ms(day, 300, 3000)
        mark(day, 'node_kill', span)
        lasting(day, n, span)
        day.fleet.down(n, span, dark=day.rng.random() < 0.7)
    at_ack(day, fn)


def herd_kill(day):
    """All processes of the core die at the same moment and return; their disks stay."""
    def hit(n):
        f, span, dark = day.fleet, ms(day, 300, 1200), day.rng.random() < 0.3
        mark(day, 'herd_kill', span)
        lasting(day, n, span)
        for x in list(f.core):
            f.down(x, span, dark=dark)
    counted(day, hit)


def disk_stall(day):
    def hit(n):
        span = ms(day, 1000, 4000)
        mark(day, 'disk_stall', span)
        lasting(day, n, span)
        day.fleet.stall(n, span)
    counted(day, hit)


def node_freeze(day):
    def hit(n):
        span = ms(day, 500, 5000)
        mark(day, 'node_freeze', span)
        lasting(day, n, span)
        day.fleet.freeze(n, span)
        if day.rng.random() < 0.3:
            day.ops.race()
    if day.rng.random() < 0.7:
        return counted(day, hit)
    span = ms(day, 500, 5000)
    mark(day, 'node_freeze', span)
    for n in part(day, 0.2, day.fleet.edges):
        day.fleet.freeze(n, span)
    return None


def core_cut(day):
    """One core machine is cut off from the others: both ways, one way, or with its connections reset; callers still reach it."""
    def hit(n):
        f, span, how = day.fleet, ms(day, 1500, 6000), day.rng.choice(('both', 'out', 'in', 'reset'))
        rest = [x for x in f.core if x != n]
        mark(day, 'core_cut', span)
        lasting(day, n, span)
        if how == 'reset':
            for c in f.w.of(n):
                if c.other(n) in rest:
                    f.w._break(c)
        new = f.cut([n], rest) if how in ('both', 'reset') else f.cut([n], rest, False) if how == 'out' else f.cut(rest, [n], False)
        f.w.after(span, f.mend, new)
        if day.rng.random() < 0.4:
            day.ops.race()
        if day.rng.random() < 0.3:
            drain_some(day, 1)
        if day.rng.random() < 0.3:
            # and what it did alone goes with it
            f.w.after(ms(day, 100, 1400), f.down, n, 500, day.rng.random() < 0.5)
    counted(day, hit)


def node_cut(day):
    """Edges are cut off from all core machines."""
    f, span = day.fleet, ms(day, 2000, 6000)
    mark(day, 'node_cut', span)
    new = f.cut(part(day, 0.17, f.edges), f.core, day.rng.random() < 0.6)
    f.w.after(span, f.mend, new)


def replace_core(day):
    """A core machine is gone for good; an empty one comes at another address, with or without a plan."""
    def hit(n):
        f, planned, wait = day.fleet, day.rng.random() < 0.5, ms(day, 500, 2500)
        z = f.zones[n]
        mark(day, 'replace_core', wait + 3000)
        lasting(day, n, wait + 3000)

        def come():
            new = f.add_core(z)
            f.core.remove(n)
            f.enrol()
            f.sight.event(new)
            f.w.start(new)

        def gone():
            f.net.dark.add(n)
        if planned:
            come()
            f.w.after(wait, f.term, n, 0, gone)
        else:
            f.kill(n, dark=True)
            f.w.after(wait, come)
    counted(day, hit)


def clock_step(day):
    """The time of day jumps on some machines, and jumps back."""
    f, by = day.fleet, day.rng.choice((-1, 1)) * ms(day, 500, 3000)
    span = ms(day, 3000, 6000)
    mark(day, 'clock_step', span)
    f.obs.jumps = True
    names = [leader(day)] + part(day, 0.2, f.edges)

    def step(d):
        for n in names:
            f.sight.event(n)
            f.w.hosts[n].wall += d
    step(by)
    f.w.after(span, step, -by)


def roll_term(day):
    """Machines get SIGTERM in turn and start again."""
    f, gap = day.fleet, ms(day, 1000, 1500)
    names = part(day, 0.45, f.core + f.edges)
    mark(day, 'roll_term', gap * len(names) + 4000)

    def go():
        if not names or day.closing:
            return
        n = names[0]
        # one core machine at a time
        if n in f.core and not f.whole():
            return f.w.after(LOOK, go)
        names.pop(0)
        if n in f.core:
            lasting(day, n, 3000)
        f.term(n)
        return f.w.after(gap, go)
    go()


# --- minions
def fit(day):
    return [m for m in day.fleet.minions.values() if m.up and m.state == 'ready']


def srv_crash(day):
    """Minions crash and come back under new ids; or are lost for good."""
    f, span, gone = day.fleet, ms(day, 500, 5000), day.rng.random() < 0.3
    mark(day, 'srv_crash', span + f.bounds.hold_ms)
    for m in part(day, 0.14, fit(day)):
        m.crash()
        if not gone:
            f.w.after(span, f.enlist, m.machine)


def flap(day):
    """One minion goes down and up by turns."""
    f, m = day.fleet, day.rng.choice(fit(day))
    mark(day, 'srv_flap', 6000 + f.bounds.hold_ms)
    for i in range(3):
        f.w.after(i * 2000 + 1, lambda: f.minions[m.machine].crash())
        f.w.after(i * 2000 + 800, f.enlist, m.machine)


def srv_cut(day):
    """Minions are cut off from every machine and run on, both ways or one way."""
    f, span, way = day.fleet, ms(day, 2000, 6500), day.rng.choice(('both', 'both', 'out', 'in'))
    mark(day, 'srv_cut', span + f.bounds.hold_ms)
    for m in part(day, 0.15, fit(day)):
        f.island(m.machine, True, way)
        f.w.after(span, f.island, m.machine, False, way)


def worse(day, kind, span, share, **kws):
    f = day.fleet
    mark(day, kind, span)
    for m in part(day, share, fit(day)):
        was = {k: getattr(m, k) for k in kws}
        m.set(**kws)
        f.w.after(span, lambda m=m, was=was: m.up and m.set(**was))


def srv_slow(day):
    worse(day, 'srv_slow', ms(day, 4000, 7000), 0.17, slow=day.rng.uniform(3, 6.5))


def srv_hang(day):
    worse(day, 'srv_hang', ms(day, 3000, 6000), 0.1, hang=True)


def srv_grey(day):
    worse(day, 'srv_grey', ms(day, 3000, 6000), 0.12, errors=day.rng.choice((0.4, 1.0)))


def drain_some(day, n=0):
    """Minions drain and leave in good order; others come later."""
    f = day.fleet
    some = part(day, 0.065, fit(day)) if not n else day.rng.sample(fit(day), n)
    mark(day, 'scale_in', f.bounds.drain_ms + 3000)
    for m in some:
        m.drain()
        beg = f.w.t

        def go(m=m, beg=beg):
            acked = f.obs.drains.get(m.id)
            if not m.up:
                return
            if (acked is not None and f.w.t > acked + f.bounds.drain_ms + 300) or f.w.t > beg + 6000:
                return m.leave()
            return f.w.after(200, go)
        f.w.after(f.bounds.drain_ms, go)


def scale_in(day):
    drain_some(day)


def spot(day):
    """Minions are taken away at short notice; others come 4 s later."""
    f, span = day.fleet, ms(day, 1500, 2200)
    mark(day, 'spot', span + 4000)
    for m in part(day, 0.14, fit(day)):
        m.drain(span)
        f.w.after(span + 4000, f.enlist, m.machine)


# --- traffic and operators
def burst(day):
    """Twice as much and more of one kind of job for some seconds."""
    span = ms(day, 3000, 4500)
    mark(day, 'burst', span)
    day.burst(day.rng.choice(day.site.kinds), day.rng.uniform(1.7, 2.7), span)


def hot_rack(day):
    """Many jobs want the same rack."""
    span = ms(day, 4000, 7000)
    mark(day, 'hot_rack', span)
    day.clients.make.hot = True
    day.fleet.w.after(span, setattr, day.clients.make, 'hot', False)


def poison(day):
    span = ms(day, 2500, 3500)
    day.fleet.sight.mark('poison', day.fleet.w.t, day.fleet.w.t + span)
    day.poison(day.rng.choice(day.site.kinds), span)


def config_change(day):
    day.ops.change(day.rng.choice(('timeout', 'route', 'aim', 'route')))


def config_race(day):
    for i in range(ms(day, 1, 3)):
        day.fleet.w.after(i * ms(day, 900, 1500), day.ops.race)


def bad_config(day):
    for i in range(3):
        day.fleet.w.after(i * 1000, day.ops.bad)


def big_config(day):
    day.ops.change(ms(day, 200, 350))


def evacuate(day):
    day.ops.evacuate(day.rng.choice(day.site.zones), ms(day, 7000, 10000))


PLANS = {f.__name__: f for f in (config_change, config_race, bad_config, big_config, roll_term, scale_in, evacuate)}
FAULTS = {f.__name__: f for f in (
    node_kill, edge_kill, after_ack_wipe, after_ack_kill, herd_kill, disk_stall, node_freeze, core_cut, node_cut, replace_core, clock_step, srv_crash, flap,
    srv_cut, srv_slow, srv_hang, srv_grey, spot, burst, hot_rack, poison)}
TROUBLES = {**PLANS, **FAULTS}
