"""Faults for a live fleet, each set out on the callers' own timeline."""

import random

ALL = {}


def fault(fn):
    ALL[fn.__name__.replace('_', '-')] = fn
    return fn


def plan(live, calls, names, secs, seed, configs):
    """Spreads the named faults over the run; all that was broken is mended again."""
    r = random.Random(seed)
    for i, n in enumerate(names):
        if n not in ALL:
            raise SystemExit(f'no fault {n!r}; known: {", ".join(ALL)}')
        at = (i + 0.5) * secs / max(1, len(names))
        calls.later(at * 1000, ALL[n], live, calls, r)


def _holder(live):
    for e in live.edges:
        h = live.status(e).get('holders', {}).get('commons')
        if h and h['name'] in live.procs:
            return h['name']
    return live.core[0]


@fault
def holder_killed(live, calls, r):
    """The commons holder is killed, and started again after 3 s."""
    n = _holder(live)
    live.kill(n)
    calls.later(3000, live.start, n)


@fault
def holder_frozen(live, calls, r):
    """The commons holder is frozen for 6 s."""
    n = _holder(live)
    live.freeze(n)
    calls.later(6000, live.thaw, n)


@fault
def core_wiped(live, calls, r):
    """A core node is killed, its disk wiped, and it is started empty."""
    n = r.choice(live.core)
    live.kill(n)
    live.wipe(n)
    calls.later(1000, live.start, n)


@fault
def edge_killed(live, calls, r):
    """An edge is killed, and started again after 4 s."""
    n = r.choice(live.edges)
    live.kill(n)
    calls.later(4000, live.start, n)


def _restart(live, calls, n):
    """SIGTERM, and a start once it has left by itself."""
    p = live.procs.pop(n)
    p.terminate()

    def again():
        if p.poll() is None:
            return calls.later(200, again)
        live.start(n)
    calls.later(200, again)


@fault
def edge_restarted(live, calls, r):
    """An edge is restarted in good order."""
    _restart(live, calls, r.choice(live.edges))


@fault
def core_restarted(live, calls, r):
    """The commons holder is restarted in good order."""
    _restart(live, calls, _holder(live))


@fault
def agent_killed(live, calls, r):
    """An agent is killed while its minion works on, and started again after 2 s."""
    n = r.choice(live.tends)
    live.kill(n)
    calls.later(2000, live.start, n)


@fault
def minion_crashed(live, calls, r):
    """A whole minion machine goes down with its work, and is back after 20 s."""
    n = r.choice(live.tends)
    live.crash_minion(n)
    calls.later(20000, live.start, n)


@fault
def core_cut(live, calls, r):
    """The holder is cut off from its siblings for 8 s."""
    n = _holder(live)
    live.cut([n], [c for c in live.core if c != n])
    calls.later(8000, live.heal)


@fault
def agent_cut(live, calls, r):
    """An agent is cut off from all for longer than the grace."""
    n = r.choice(live.tends)
    live.cut([n], live.core + live.edges)
    calls.later(25000, live.heal)
