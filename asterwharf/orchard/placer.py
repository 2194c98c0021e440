"""Decides which run starts on which minion, at the holder of the cell. Pure."""

from collections import Counter

from asterwharf.base.board import Controller
from asterwharf.base.mechanisms import Mechanism
from asterwharf.orchard.copies import Copies
from asterwharf.orchard.guarantees import Guarantees
from asterwharf.orchard.minion_link import REGISTERED, REGISTERING
from asterwharf.orchard.model import READY
from asterwharf.orchard.policy import Judge
from asterwharf.orchard.reservations import Reservations
from asterwharf.orchard.rooms import Rooms
from asterwharf.orchard.urgency import Urgency
from asterwharf.orchard.wait_reasons import WaitReasons

# starts in one decision
MOST = 400
# of the bound on silence: how often a decision is made that nothing has asked for
AGAIN = 0.09


class Placer(Controller):
    """Urgent queues first, then who came first; a gang whole or not at all."""

    __slots__ = (
        'busy',
        'cell',
        'copies',
        'due',
        'first',
        'guarantees',
        'health',
        'judge',
        'placed',
        'reservations',
        'satisfied',
        'stale',
        'tender',
        'term',
        'urgency',
        'wait_reasons',
    )

    def __init__(self, b, cell, tender, health):
        super().__init__(b)
        self.cell, self.tender, self.health, self.judge = cell, tender, health, Judge(b)
        self.busy, self.due, self.term, self.stale = False, 0, -1, True
        # step -> when it was first looked at with something to place
        self.first = {}
        # of the decision under way: tasks that it has placed -> minions, and steps of which nothing is left to place
        self.placed, self.satisfied = {}, set()
        self.reservations, self.copies = Reservations(self), Copies(self)
        self.urgency = Urgency(self.room_of, judges=not b.without(Mechanism.LATENESS))
        self.guarantees = Guarantees(self)
        self.wait_reasons = WaitReasons(b, self)

    @property
    def mac(self):
        return self.cell.mac

    def tick(self):
        if self.tender.term != self.term:
            self.term, self.busy, self.first = self.tender.term, False, {}
            self.reservations.clear()
        self.judge.tick(self.term >= 0)
        if self.term < 0 or not self.cell.takes:
            return
        self._times()
        # what waited for time alone: a rack's data, a minion back in touch
        if self.b.now >= self.due:
            self.stale = True

    def _times(self):
        """Times of jobs that fall due, by the median clock."""
        at = self.cell.wall
        items = [{'id': j.id, 'k': j.next} for j in self.mac.timed.values() if j.due(j.next) <= at]
        if items:
            self.cell.order('y_due', {'items': items, 'at': at})

    def flush(self):
        if self.term < 0 or self.busy or not self.cell.takes:
            return
        copies = self.copies.look()
        if not (self.mac.ready or copies):
            return
        if not (copies or self.stale or self.mac.changed or self.tender.look):
            return
        self.stale, self.due = False, self.b.now + int(self.b.set.view.silence_ms * AGAIN)
        bundles = self._decide()
        if bundles:
            self._send(bundles)

    def _send(self, bundles):
        term = self.term

        def done(r):
            if term == self.term:
                self.busy, self.stale = False, True
            self.b.count['placed'] += len(r[1]) if r is not None else 0

        self.busy = self.cell.order('y_start', {'at': self.cell.wall, 'bundles': bundles}, done)
        self.cell.flush()

    # --- a decision
    def _order(self):
        self.urgency.begin(self.b.now, self.cell.wall)
        return sorted(self.mac.ready.values(), key=self.urgency.key)

    def room_of(self, group):
        """(cpu, memory, GPUs) of all minions of a group that are in touch."""
        rooms = [
            link.room
            for link in self.tender.links.values()
            if link.group == group and link.state in (REGISTERED, REGISTERING)
        ]
        return [sum(sizes) for sizes in zip((0, 0, 0), *rooms, strict=True)]

    def waited(self, s):
        """How long a step has had something to place, ms."""
        return self.b.now - self.first.setdefault(s.key, self.b.now)

    def _decide(self):
        out, n, full = [], 0, set()
        self.first = {k: v for k, v in self.first.items() if k in self.mac.ready}
        self.judge.refill()
        rooms = Rooms(self)
        self.reservations.begin(rooms)
        self.guarantees.begin()
        self.placed, self.satisfied = {}, set()
        steps = self._order()
        out += self._guaranteed(steps, rooms)
        n, early = len(out), Counter(task.rpartition('.')[0] for task in self.placed)
        for s in steps:
            waited = self.waited(s)
            # what found no room a moment ago leaves none for what asks for as much
            key = (
                s.job.group,
                s.need,
                s.label,
                s.near,
                s.one_rack,
                len(s.tasks) if s.together else 0,
                s.apart and s,
                self.judge.key(s),
                # what waits for its rack leaves room elsewhere for what has waited long enough
                rooms.patient(s, waited),
            )
            if n >= MOST or (key in full and not self.reservations.of(s)):
                continue
            self.reservations.enter(s, rooms)
            got = rooms.gang(s, waited) if s.together else self._each(s, rooms, waited)
            out += got
            self.reservations.leave(s, rooms, got)
            m = sum(len(g['items']) for g in got)
            n += m
            if m + early[s.name] < s.ready:
                full.add(key)
                self.reservations.consider(s, rooms, waited)
            else:
                self.satisfied.add(s.key)
        out += self.copies.bundles(rooms)
        rooms.truncated = n >= MOST
        self.wait_reasons.sample(rooms)
        # policies still have cases to judge
        self.stale = self.stale or self.judge.short
        return out

    def _guaranteed(self, steps, rooms):
        """Starts of less urgent work that has waited, within its priority's share and beside what is reserved."""
        out = []
        for step in self.guarantees.entitled(steps):
            most = self.guarantees.tasks_left(step)
            if most <= 0 or len(out) >= MOST:
                continue
            self.reservations.enter(step, rooms)
            got = self._each(step, rooms, self.waited(step), most)
            self.reservations.leave(step, rooms, got)
            self.guarantees.take(step, len(got))
            if len(got) < min(most, step.ready):
                self.guarantees.owe(step)
            self.b.count['placed.guaranteed'] += len(got)
            out += got
        # what holds against these steps need not hold against more urgent ones
        rooms.release_all()
        return out

    def _each(self, s, rooms, waited, most=MOST):
        out, ok = [], rooms.fit(s, waited)
        if not ok:
            return out
        on = self.spread(s) if s.apart else {}
        for t in s.tasks:
            if t.state != READY or t.key in self.placed:
                continue
            if len(out) >= most:
                break
            can = [r for r in ok if r.fits(s.need) and not (s.apart and on.get(r.mid, 0) >= s.apart)]
            if not can:
                break
            # a try that failed on one minion is made on another, where there is another
            r = next((r for r in can if not self.health.shuns(t, r.mid)), can[0])
            r.take(s.need)
            self.placed[t.key] = r.mid
            on[r.mid] = on.get(r.mid, 0) + 1
            out.append({'items': [{'task': t.key, 'run': t.top + 1, 'mid': r.mid}]})
        return out

    def spread(self, s):
        """minion -> how many tasks of a step it has, or is to have."""
        on = {}
        for t in s.tasks:
            for mid in (t.mid, t.spare[1] if t.spare else '', self.placed.get(t.key, '')):
                if mid:
                    on[mid] = on.get(mid, 0) + 1
        return on
