"""Faults for a live fleet, each set out on the callers' own timeline. Every fault of the brief has one here."""

import random

ALL = {}


def fault(fn):
    ALL[fn.__name__.replace('_', '-')] = fn
    return fn


def plan(live, calls, names, secs, seed):
    """Spreads the named faults over the run ("all" is every one); all that was broken is mended again."""
    r = random.Random(seed)
    # by itself: it takes minutes, and other faults would judge it
    names = [n for x in names for n in ([k for k in ALL if k != 'all-restarted'] if x == 'all' else [x])]
    for i, n in enumerate(names):
        if n not in ALL:
            raise SystemExit(f'no fault {n!r}; known: all, {", ".join(ALL)}')
        # what takes minutes begins at once
        at = 5 if n == 'all-restarted' else (i + 0.5) * secs / max(1, len(names))
        calls.later(at * 1000, _go, live, calls, r, n)


def _go(live, calls, r, n):
    print(f'fault {n}', flush=True)
    ALL[n](live, calls, r)


def _holder(live):
    for e in live.edges:
        h = live.status(e).get('holders', {}).get('commons') if e in live.procs else None
        if h and h['name'] in live.procs:
            return h['name']
    return live.core[0]


def _there(live, names):
    return [n for n in names if n in live.procs] or list(live.procs)


def past(live):
    """A little longer than the grace."""
    return int(live.link['grace_ms'] * 1.4)


def _down(live, calls, n, ms):
    live.kill(n)
    calls.later(ms, live.start, n)


def _asleep(live, calls, n, ms, alone=False):
    live.freeze(n, alone)
    calls.later(ms, live.thaw, n)


# --- nodes killed, machines frozen
@fault
def holder_killed(live, calls, r):
    """The commons holder is killed, and started again after 3 s."""
    n = _holder(live)
    _down(live, calls, n, 3000)


@fault
def core_killed(live, calls, r):
    """Every core process is killed at once, and started again after 2 s."""
    for n in _there(live, live.core):
        live.kill(n)
        calls.later(2000, live.start, n)


@fault
def holder_frozen(live, calls, r):
    """The commons holder is frozen for 6 s."""
    n = _holder(live)
    _asleep(live, calls, n, 6000)


@fault
def edge_killed(live, calls, r):
    """An edge is killed, and started again after 4 s."""
    n = r.choice(_there(live, live.edges))
    _down(live, calls, n, 4000)


@fault
def edge_frozen(live, calls, r):
    """An edge is frozen past the grace, with callers and links on it."""
    n = r.choice(_there(live, live.edges))
    _asleep(live, calls, n, past(live))


@fault
def agent_killed(live, calls, r):
    """An agent is killed while its minion works on, and started again after 2 s."""
    n = r.choice(_there(live, live.tends))
    _down(live, calls, n, 2000)


@fault
def agent_dead(live, calls, r):
    """An agent is dead past the grace while its minion works on."""
    n = r.choice(_there(live, live.tends))
    _down(live, calls, n, past(live))


@fault
def agent_frozen(live, calls, r):
    """An agent is frozen past the grace while its minion works on."""
    n = r.choice(_there(live, live.tends))
    _asleep(live, calls, n, past(live), alone=True)


@fault
def machine_frozen(live, calls, r):
    """A whole minion machine is frozen past the grace and wakes with its work."""
    n = r.choice(_there(live, live.tends))
    _asleep(live, calls, n, past(live))


# --- disks and clocks
@fault
def core_wiped(live, calls, r):
    """A core node is killed, its disk wiped, and it is started empty."""
    n = r.choice(_there(live, live.core))
    live.kill(n)
    live.wipe(n)
    calls.later(1000, live.start, n)


@fault
def disk_slow(live, calls, r):
    """The commons holder's disk takes 900 ms more for each sync, for 8 s."""
    n = _holder(live)
    live.trial(n, disk=900)
    calls.later(8000, live.trial, n)


@fault
def clock_jumped(live, calls, r):
    """A core node's wall clock jumps by an hour, and back after 10 s."""
    n = _holder(live)
    live.trial(n, clock=r.choice((-1, 1)) * 3600000)
    calls.later(10000, live.trial, n)


# --- restarts in good order, settings
def _restart(live, calls, n, **over):
    """SIGTERM, and a start once it has left by itself."""
    p = live.leave(n)

    def again():
        if p.poll() is None:
            return calls.later(200, again)
        live.start(n, **over)

    calls.later(200, again)


@fault
def edge_restarted(live, calls, r):
    """An edge is restarted in good order."""
    _restart(live, calls, r.choice(_there(live, live.edges)))


@fault
def core_restarted(live, calls, r):
    """The commons holder is restarted in good order."""
    _restart(live, calls, _holder(live))


@fault
def all_restarted(live, calls, r):
    """Every process is restarted in good order, one after the other, twice; the fault fills the time it needs."""
    todo = (live.edges + live.core + live.tends) * 2

    def nxt():
        if not todo:
            return print('all restarted twice', flush=True)
        n = todo.pop(0)
        p = live.leave(n)

        def again():
            if p.poll() is None:
                return calls.later(100, again)
            live.start(n)
            # the platform waits for readiness before the next; agents are ready when they are linked again
            calls.later(500, ready, n, 40)

        calls.later(100, again)

    def ready(n, left):
        def got(sts, doc, hds):
            if sts == 200 or not left:
                return calls.later(300, nxt)
            calls.later(300, ready, n, left - 1)

        if n in live.tends:
            return calls.later(1000, nxt)
        calls.asks.request(live.http[n], 'GET', '/fitness', None, got, 1500)

    nxt()


@fault
def settings_changed(live, calls, r):
    """An edge's settings file is changed and reread, then changed to a bad one, which is refused."""
    n = r.choice(_there(live, live.edges))
    live.reread(n, request_limit=1777)
    calls.later(1500, live.reread, n, request_limit=-1)
    calls.later(3000, live.reread, n)


@fault
def seeds_swapped(live, calls, r):
    """An edge and an agent restart with other seeds: one an edge, one nobody's, one a core node."""
    e = r.choice(_there(live, live.edges))
    seeds = [live.bind[next(x for x in live.edges if x != e)], '127.0.0.1:9', live.bind[live.core[-1]]]
    _restart(live, calls, e, seeds=seeds)
    _restart(live, calls, r.choice(_there(live, live.tends)), seeds=seeds)


@fault
def core_replaced(live, calls, r):
    """A core machine is replaced by an empty one at a new address."""
    n = r.choice(_there(live, live.core))
    live.kill(n)
    live.wipe(n)
    live.readdress(n)
    calls.later(1500, live.start, n)


# --- links
@fault
def core_cut(live, calls, r):
    """The core is cut in two: its holder alone on one side, for 8 s."""
    n = _holder(live)
    live.cut([n], [c for c in live.core if c != n])
    calls.later(8000, live.heal)


@fault
def core_cut_off(live, calls, r):
    """The whole core is cut off from edges and agents for 8 s."""
    live.cut(live.core, live.edges + live.tends)
    calls.later(8000, live.heal)


@fault
def agent_cut(live, calls, r):
    """An agent is cut off from all for twice the grace."""
    n = r.choice(live.tends)
    live.cut([n], live.core + live.edges)
    calls.later(live.link['grace_ms'] * 2, live.heal)


@fault
def link_lost(live, calls, r):
    """A single link between two of our processes is lost for 8 s."""
    a, b = r.sample(live.core + live.edges, 2)
    live.cut([a], [b])
    calls.later(8000, live.heal)


@fault
def link_one_way(live, calls, r):
    """A single link is lost in one direction, for 8 s."""
    a, b = r.sample(live.core + live.edges, 2)
    live.cut([a], [b], both=False)
    calls.later(8000, live.heal)


@fault
def cell_cut_off(live, calls, r):
    """A cell of its own is made of a zone and a tenant; its zone is cut off from all else for 15 s; then it is dissolved."""
    ten = sorted(live.site.doc['tenants'])[0]
    here = [n for n in live.core + live.edges + live.tends if live.zone(n) == 'z1']
    rest = [n for n in live.core + live.edges + live.tends if n not in here]
    calls.configure(lambda d: dict(d, cells={'north': {'tenants': [ten], 'zones': ['z1']}}))
    calls.later(12000, live.cut, here, rest)
    calls.later(27000, live.heal)
    calls.later(32000, calls.configure, lambda d: dict(d, cells={}))


# --- minions
@fault
def minion_crashed(live, calls, r):
    """A whole minion machine goes down with its work, and is back after 20 s."""
    n = r.choice(_there(live, live.tends))
    live.crash_minion(n)
    calls.later(20000, live.start, n)


@fault
def minion_drained(live, calls, r):
    """A minion drains at short notice, and comes back."""
    n = r.choice(_there(live, live.tends))
    calls.minion(n, '/drain', {'on': True})
    calls.later(8000, calls.minion, n, '/drain', {'on': False})


@fault
def minion_removed(live, calls, r):
    """A minion drains and is taken away two seconds later, work or no work."""
    n = r.choice(_there(live, live.tends))
    calls.minion(n, '/drain', {'on': True})

    def away():
        if n in live.procs:
            live.crash_minion(n)
            calls.later(15000, live.start, n)

    calls.later(2000, away)


@fault
def minion_slow(live, calls, r):
    """A minion turns eight times slower, for 15 s."""
    n = r.choice(_there(live, live.tends))
    calls.minion(n, '/faults', {'slow': 8})
    calls.later(15000, calls.minion, n, '/faults', {})


@fault
def minion_quiet(live, calls, r):
    """A minion fails whatever it is given, quickly, while claiming health, for 10 s."""
    n = r.choice(_there(live, live.tends))
    calls.minion(n, '/faults', {'quiet': True})
    calls.later(10000, calls.minion, n, '/faults', {})


# --- zones, floods, configurations
@fault
def zone_lost(live, calls, r):
    """A whole zone goes down: its core node, edges, agents and minions; back after 10 s."""
    z = live.zone(_holder(live))
    for n in [n for n in list(live.procs) if live.zone(n) == z]:
        (live.crash_minion if n in live.tends else live.kill)(n)
        calls.later(10000, live.start, n)


@fault
def zone_emptied(live, calls, r):
    """A zone is emptied, and taken back after 8 s."""
    z = r.choice(('z1', 'z2', 'z3'))
    calls.configure(lambda d: dict(d, zones={**d['zones'], z: {'emptied': True}}))
    calls.later(8000, calls.configure, lambda d: dict(d, zones={**d['zones'], z: {'emptied': False}}))


@fault
def flood(live, calls, r):
    """Many jobs at once: large, urgent, and some that can never be done."""
    calls.flood(120, 2000)


@fault
def config_storm(live, calls, r):
    """Twenty configurations in five seconds, from operators who race each other."""
    for i in range(20):
        calls.later(r.randint(0, 5000), calls.configure, lambda d, i=i: dict(d, note=f'storm {i}'), f'op{i % 4}')


@fault
def config_large(live, calls, r):
    """A configuration grows by 5,000 tenants, and shrinks again."""
    more = {f'x{i}': {'weight': 1.5} for i in range(5000)}
    calls.configure(lambda d: dict(d, tenants={**d['tenants'], **more}))
    calls.later(
        6000, calls.configure, lambda d: dict(d, tenants={k: v for k, v in d['tenants'].items() if k not in more})
    )
