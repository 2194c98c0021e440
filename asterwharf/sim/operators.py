"""Scenarios of what operators do, and of what they have to live through."""

from asterwharf.sim.scenario_run import bounce, often, scenario, zoned


@scenario(calm=True, span=20000)
def config_prompt(f):
    """Nothing goes wrong: each configuration is in force everywhere within 2 s of its answer."""
    for i in range(6):
        f.w.after(1000 + i * 2500, f.call.configure, lambda d, i=i: dict(d, note=f'n{i}'))
    f.w.after(
        16000, f.call.configure, lambda d: dict(d, tenants={**d['tenants'], **{f't{i}': {} for i in range(2000)}})
    )


@scenario(span=30000)
def core_replaced(f):
    """A core machine is replaced by an empty one at a new address, then another; seeds are swapped."""
    lost = []

    def swap(n, t):
        def go():
            f.crash(n)
            f.w.wipe(n)
            f.w.readdress(n)
            f.w.after(f.w.rng.randint(200, 2000), f.w.start, n)
            # found again by all, though nobody's settings name the new address
            f.w.after(
                5500,
                lambda: lost.extend(
                    (n, e) for e in f.edges + f.core if f.node(e) and e != n and n not in f.node(e).b.links
                ),
            )

        f.w.after(t, go)

    swap(f.core[0], 2000)
    # edges restart with seeds that are other edges, or not there any more
    f.w.after(
        7000,
        lambda: (
            setattr(f, 'wrong', [f.w.hosts[f.edges[1]].addr, '10.9.9.9:7000', f.w.hosts[f.core[2]].addr]),
            bounce(f, f.edges[0], 500),
        ),
    )
    f.w.after(8000, lambda: setattr(f, 'wrong', None))
    swap(f.core[1], 14000)
    f.w.after(22000, bounce, f, f.core[2], 800)
    f.checks.append(lambda: f'not found at its new address: {lost}' if lost else '')


@scenario(span=30000)
def kept_unattended(f):
    """A class that may run on alone: cut off past the grace, it is neither stopped nor started elsewhere."""
    f.call.configure(lambda d: dict(d, classes={**d['classes'], 'keep': {'unattended': 'keep'}}))
    spec = {
        'class': 'keep',
        'tasks': [{'name': f'k{i}', 'cores': 20, 'tries': 1, 'run': {'ms': 20000}} for i in range(3)],
    }
    f.w.after(1500, f.call.submit, 'basin', 'alone', spec)
    f.w.after(4000, f.w.part, f.tends, f.edges + f.core)
    f.w.after(19000, f.w.heal)

    def look():
        n = [len(f.obs.starts.get(f'basin/alone/k{i}', ())) for i in range(3)]
        return '' if n == [1, 1, 1] else f'kept work was started {n} times'

    f.checks.append(look)


@scenario(jobs=150, span=15000)
def outage(f):
    """The whole core is away for ten seconds under traffic; what comes back must not drown it."""
    f.w.after(3000, lambda: [f.w.kill(n) for n in f.core])
    f.w.after(13000, lambda: [f.w.start(n) for n in f.core])
    seen = []

    def count(last):
        now = f.w.count.get('request', 0)
        seen.append(now - last)
        if f.w.t < 60000:
            f.w.after(500, count, now)

    f.w.after(13000, count, f.w.count.get('request', 0))
    # 150 jobs wait, each sent again at most every half second by its caller
    f.checks.append(lambda: f'a storm of requests: {max(seen)} in half a second' if max(seen) > 300 else '')


@scenario(span=25000)
def last_fault(f):
    """A day's worth of small faults, then one last: every holder dies at once with a zone being emptied."""
    often(f, 6, 500, 2500, lambda: bounce(f, f.w.rng.choice(f.edges + f.tends), f.w.rng.randint(200, 2000)))
    f.w.after(20000, f.call.configure, zoned('z2', True))
    f.w.after(20050, lambda: [bounce(f, n, 500) for n in sorted({f.holder('core'), f.holder('commons')} - {''})])
    beg = f.w.t + 20050

    def look():
        nxt = [t for s in f.obs.starts.values() for t in s if t > beg]
        return (
            '' if not nxt or min(nxt) < beg + 5000 else f'nothing started for {min(nxt) - beg} ms after the last fault'
        )

    f.checks.append(look)
