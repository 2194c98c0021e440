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
        'left',
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
        'unlisted',
        'zone',
    )

    def __init__(self, mid, now):
        self.mid, self.state, self.doc, self.recv, self.answered, self.count = mid, DISCONNECTED, None, now, now, -1
        self.give, self.due, self.lapse, self.noted, self.noting = None, 0, 0, 0, 0
        # held: what it runs or was told to since; gave: runs given up in a change that may not be delivered yet
        self.running, self.ended, self.timers, self.held, self.gave = {}, {}, {}, {}, {}
        # drain: since when it gets no starts; leaves: when it is gone at the earliest; left: it has sent its leave
        # without a word of draining before, and serves on for a time
        self.drain, self.leaves, self.left = 0, 0, False
        self.group, self.zone, self.labels, self.rack, self.kind = '', '', (), '', ''
        self.room, self.prog, self.past = (0, 0, 0), {}, {}
        # old: runs on record when this view began; an earlier holder may have told them after the beat that we hear,
        # for a beat may have lain in a cut connection: until `bound` only a listing or an end settles them
        self.old, self.bound = {}, 0
        # unlisted: runs that the last beat showed neither as running nor as ended, while it had no place for all ends
        self.unlisted = {}

    def silent_ms(self, now):
        """Since when the minion has not called, ms of the node's clock; one whose beat waits for its answer is not silent."""
        return now - max(self.recv, self.answered) if self.give is None else 0

    def shows(self, task, run):
        """Whether the last beat had this run among those that run or that have ended."""
        return self.running.get(task, (0,))[0] == run or self.ended.get(task) == run

    def take_lists(self, running, finished, most_ends):
        """Takes over what a beat lists; of its ends it has a place for `most_ends`.

        A run that is not listed never began, or its end is noted, but where the list of ends is full: then it may be
        one of those that have no place.
        """
        full = len(finished) >= most_ends
        told = self.old | self.unlisted | self.held if full else {}
        self.running = {r[0]: (r[1], r[2], r[3]) for r in running}
        self.ended = {f[1]: f[2] for f in finished}
        self.unlisted = {k: r for k, r in told.items() if not self.shows(k, r)}
        self.old = {k: r for k, r in self.old.items() if not self.shows(k, r)}
        self.held = {k: r[0] for k, r in self.running.items()}

    def may_hold(self, task):
        """Whether a run of the task may have begun here, or what became of it is being settled."""
        return any(task in runs for runs in (self.held, self.ended, self.unlisted, self.gave, self.old))

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
