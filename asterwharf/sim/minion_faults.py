"""Faults of a simulated day on minions and clients: crashes, cuts, slowness, drains, bursts of work."""

from asterwharf.sim.fault_steps import mark, ms, part

# of the minions that leave in good order, how many never say that they drain; ms that such a one serves on beyond the bound
SAYS_NOTHING, SERVES_ON = 0.4, (200, 6000)


def fit(day):
    return [m for m in day.fleet.minions.values() if m.up and m.state == 'ready' and not m.leaving]


def srv_crash(day):
    """Minions crash and come back under new ids; or are lost for good."""
    f, span, gone = day.fleet, ms(day, 500, 5000), day.rng.random() < 0.3
    mark(day, 'srv_crash', span, f.bounds.hold_ms)
    for m in part(day, 0.14, fit(day)):
        m.crash()
        if not gone:
            f.w.after(span, f.enlist, m.machine)


def flap(day):
    """One minion goes down and up by turns."""
    f, m = day.fleet, day.rng.choice(fit(day))
    mark(day, 'srv_flap', 6000, f.bounds.hold_ms)
    for i in range(3):
        f.w.after(i * 2000 + 1, lambda: f.minions[m.machine].crash())
        f.w.after(i * 2000 + 800, f.enlist, m.machine)


def srv_cut(day):
    """Minions are cut off from every machine and run on, both ways or one way."""
    f, span, way = day.fleet, ms(day, 2000, 6500), day.rng.choice(('both', 'both', 'out', 'in'))
    mark(day, 'srv_cut', span, f.bounds.hold_ms)
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
        if day.rng.random() < SAYS_NOTHING:
            m.leave_first(f.bounds.drain_ms + day.rng.randint(*SERVES_ON))
            continue
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
