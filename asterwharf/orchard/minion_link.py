"""What the leader knows of one minion that calls in: its link, its runs and how far they have come. Pure."""

from typing import NamedTuple

DISCONNECTED, REGISTERING, REGISTERED, RECOVERING, CLOSED = (
    'disconnected',
    'registering',
    'registered',
    'recovering',
    'closed',
)
STEPS = {
    DISCONNECTED: {REGISTERING, CLOSED, RECOVERING},
    REGISTERING: {REGISTERED, RECOVERING, CLOSED},
    REGISTERED: {RECOVERING, CLOSED},
    RECOVERING: {REGISTERING, DISCONNECTED, CLOSED},
    CLOSED: set(),
}


# percent of progress from where a run's pace tells something, and its end can be foretold
SEEN = 4


class Progress(NamedTuple):
    """How far a run has come, as its minion told: ms of the node's clock and percent, when first seen and at the last step seen."""

    first_at: int
    first_percent: int
    last_at: int
    last_percent: int
    run: int

    @property
    def whole_ms(self):
        """What a whole run would take at the pace seen, ms, or None where too little was seen."""
        percent, took = self.last_percent - self.first_percent, self.last_at - self.first_at
        return took / percent * 100 if percent >= SEEN and took > 0 else None


class Link:
    """What the holder knows of one minion beyond what is delivered."""

    __slots__ = (
        'answered',
        'bound',
        'count',
        'doc',
        'drain',
        'due',
        'ended',
        'gave',
        'give',
        'group',
        'held',
        'kind',
        'labels',
        'lapse',
        'leaves',
        'mid',
        'noted',
        'noting',
        'old',
        'past',
        'prog',
        'rack',
        'recv',
        'room',
        'running',
        'state',
        'timers',
        'zone',
    )

    def __init__(self, mid, now):
        self.mid, self.state, self.doc, self.recv, self.answered, self.count = mid, DISCONNECTED, None, now, now, -1
        self.give, self.due, self.lapse, self.noted, self.noting = None, 0, 0, 0, 0
        # held: what it runs or was told to since; gave: runs given up in a change that may not be delivered yet
        self.running, self.ended, self.timers, self.held, self.gave = {}, {}, {}, {}, {}
        self.drain, self.leaves, self.group, self.zone, self.labels, self.rack, self.kind = 0, 0, '', '', (), '', ''
        self.room, self.prog, self.past = (0, 0, 0), {}, {}
        # old: runs on record when this view began; an earlier holder may have told them after the beat that we hear,
        # for a beat may have lain in a cut connection: until `bound` only a listing or an end settles them
        self.old, self.bound = {}, 0

    def progress(self, now):
        """Follows how far each run has come."""
        self.past = {k: p for k, p in self.prog.items() if k not in self.running}
        for k, (run, _, pct) in self.running.items():
            p = self.prog.get(k)
            if p is None or p.run != run:
                self.prog[k] = Progress(now, pct, now, pct, run)
            elif pct != p.last_percent:
                self.prog[k] = p._replace(last_at=now, last_percent=pct)
        for k in self.past:
            del self.prog[k]

    def soonest(self, now):
        """In how many ms the next of its runs is likely to end, or None where that can't be told."""
        out = None
        for t0, p0, t1, p1, _ in self.prog.values():
            if p1 - p0 >= SEEN:
                left = (t1 - t0) / (p1 - p0) * (100 - p1) - (now - t1)
                out = left if out is None or left < out else out
            else:
                return None
        return out

    def turn(self, new):
        """The one function for every change of a link's state."""
        if new != self.state and new not in STEPS[self.state]:
            raise AssertionError(f'link {self.mid}: {self.state} -> {new}')
        self.state = new
