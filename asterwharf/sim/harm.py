"""Scenarios that go past what the fence covers: agents and machines frozen or dead for longer than the grace.

Two copies can't be excluded here (limits.md). What is proved is how soon after waking the stale one is gone,
and that nothing else breaks.
"""

from asterwharf.sim.scenario_run import LONG, often, scenario

# long tasks, so that the old round is still there when its agent wakes
LONGER = (1500, 6000, 12000)


def _past(f):
    """Longer than the grace of the simulated fleet, by a little or by much."""
    return f.w.rng.randint(6500, 16000)


def _frozen(f, alone):
    def hit():
        n = f.w.rng.choice([m for m in f.tends if f.mins[m].run] or f.tends)
        f.w.freeze(n, alone)
        f.w.after(_past(f), f.w.thaw, n)

    often(f, 4, 1500, 6000, hit)


@scenario(span=30000, sizes=LONGER)
def agent_frozen_long(f):
    """Agents freeze past the grace while the minions beside them work on."""
    _frozen(f, True)


@scenario(span=30000, sizes=LONGER)
def machine_frozen_long(f):
    """Whole minion machines freeze past the grace and wake with their work."""
    _frozen(f, False)


@scenario(span=30000, sizes=LONGER)
def agent_dead_long(f):
    """Agents are dead past the grace while the minions beside them work on, then begin anew without memory."""

    def hit():
        n = f.w.rng.choice([m for m in f.tends if f.mins[m].run] or f.tends)
        f.w.kill(n)
        f.w.after(_past(f), lambda: f.w.hosts[n].alive or f.w.start(n))

    often(f, 4, 1500, 6000, hit)


@scenario(span=30000, sizes=LONG)
def edges_frozen_long(f):
    """Edges freeze past the grace with callers and links on them, and wake among newer links."""

    def hit():
        n = f.w.rng.choice(f.edges)
        f.w.freeze(n)
        f.w.after(_past(f), f.w.thaw, n)

    often(f, 4, 1500, 5000, hit)


@scenario(edges=6, minions=9, span=30000, sizes=LONG)
def zone_lost(f):
    """A whole zone goes down for long: its core node, edges, agents and minions; then it comes back at once."""

    def hit():
        z = f.w.rng.choice(('z1', 'z2', 'z3'))
        here = [h.name for h in f.w.hosts.values() if f.zone(h.name) == z]
        for n in here:
            f.crash(n)
        back = f.w.rng.randint(4000, 14000)
        for n in here:
            f.w.after(back, lambda n=n: f.w.hosts[n].alive or f.w.start(n))

    f.w.after(2000, hit)
    f.w.after(19000, hit)
