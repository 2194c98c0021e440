"""Steps that the faults of a simulated day are made of: drawing, waiting for a turn, marking."""

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


def mark(day, kind, span, fades=0):
    """Marks a trouble of `span` ms, and the time that its traces take to fade: `fades` and what it takes to be in touch."""
    over = day.fleet.w.t + span
    day.fleet.sight.mark(kind, day.fleet.w.t, over, over + fades + day.fleet.bounds.in_touch_ms)


def lasting(day, n, span):
    """The core machine is lost until then, and for the time that it takes to catch up."""
    day.lost = max(day.lost, day.fleet.w.t + span)
