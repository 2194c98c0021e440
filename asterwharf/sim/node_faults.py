"""Faults of a simulated day on the machines of the system: lost, frozen, cut off, replaced, restarted."""

from asterwharf.sim.fault_steps import LOOK, counted, lasting, leader, mark, ms, part
from asterwharf.sim.minion_faults import drain_some


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


def reset_conns(day):
    """Some machines, of the core too, have half of their connections reset at one moment."""
    f = day.fleet
    mark(day, 'reset_conns', 0)
    for n in part(day, 0.33, f.core + f.edges):
        f.sight.event(n)
        conns = f.w.of(n)
        for c in day.rng.sample(conns, len(conns) // 2):
            f.w._break(c)


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
        new = (
            f.cut([n], rest)
            if how in ('both', 'reset')
            else f.cut([n], rest, False)
            if how == 'out'
            else f.cut(rest, [n], False)
        )
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
