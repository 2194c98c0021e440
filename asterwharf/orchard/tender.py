"""The holder's side of minions that call in: takes beats, gives holds, starts and stops, keeps the timers. Pure.

The link of the source design, derived: a minion's first acknowledged beat registers it, `running` is its in-flight
report, the time since its last beat and its ends above what was noted are the gap. See docs/link.md.
"""

import heapq

from asterwharf.base.board import Controller
from asterwharf.orchard import answer_size
from asterwharf.orchard.lease_timers import LeaseTimers
from asterwharf.orchard.minion_link import CLOSED, DISCONNECTED, RECOVERING, REGISTERED, REGISTERING, Link

# a minion's clock may be slow by this much
DRIFT = 0.98
# of the second after which an answer is dropped: how long a beat with nothing to say may wait, idle and busy
IDLE, BUSY = 0.7, 0.12
# beats a second that one holder takes before it asks busy minions to call less often
BEATS = 1500
# ms: how long before a run's likely end its minion is answered, so that it can tell of it; the least between two beats
AHEAD, LEAST = 40, 20
# of the time between beats: silence after which a minion gets no starts
FRESH = 0.4
# of the bytes that a minion takes in an answer: what is sent at most, so that it arrives in time on a slow link, too
ANSWER = 0.25
# of the silence bound: how long after an answered beat was sent holds may still be given
LEASE = 0.8


class Tender(LeaseTimers, Controller):
    """Lives on every seat; acts only where the seat holds."""

    __slots__ = ('cell', 'due', 'heap', 'links', 'look', 'n', 'term', 'watch')

    def __init__(self, b, cell):
        super().__init__(b)
        self.cell, self.term, self.watch = cell, -1, None
        self._fresh()

    def _fresh(self):
        self.links, self.look, self.heap, self.n, self.due = {}, set(), [], 0, 0

    @property
    def mac(self):
        return self.cell.mac

    @property
    def hold_ms(self):
        return self.b.set.call.hold_ms

    # --- the calls
    def beat(self, mid, d, give):
        """A minion's account of itself; `give(code, body)` answers it once, within the second it is worth."""
        if not self._acts():
            return self._elsewhere(give)
        b, now = self.b, self.b.now
        l = self.links.get(mid)
        if l is not None and l.state == CLOSED and self._left(l, d):
            b.count['beats.left'] += 1
            return give('ok', {})
        if l is None or l.state == CLOSED or self._begins_anew(l, d):
            l = self.links[mid] = Link(mid, now)
        if d['count'] <= l.count:
            # overtaken by a later one: nobody waits for this answer
            return give('ok', {})
        if l.give is not None:
            l.give('ok', {})
        b.count['beats'] += 1
        self._take(l, d, now)
        l.give = give
        if not self._ends(l, d):
            l.give = None
            return self._elsewhere(give)
        l.due = now + self._wait(l, now)
        self.n += 1
        heapq.heappush(self.heap, (l.due, self.n, mid))
        self.look.add(mid)
        return None

    def _left(self, l, d):
        """Whether a beat behind a leave was sent before it: a process that begins anew counts from the start and runs nothing."""
        return d['count'] > l.count or d['state'] == 'draining' or bool(d['running'])

    def _begins_anew(self, l, d):
        """Whether a process that sent its leave, and of which nothing runs any more, is followed by another one."""
        return l.left and not self.mac.on.get(l.mid) and not self._left(l, d)

    def _wait(self, l, now):
        """How long this beat may wait for something to tell, ms.

        While it waits the minion tells of no end; once it is answered it tells of one within 50 ms by itself.
        """
        if not l.running:
            return int(1000 * IDLE)
        soon = l.soonest(now)
        if soon is None:
            return self._apart()
        if soon < -AHEAD:
            # overdue: it may stand still, and is not asked any faster for that
            return self._apart()
        # its own ends make room: what takes it is told in the same answer
        return int(max(AHEAD if l.noting > l.noted else 0, min(1000 * IDLE, soon - AHEAD)))

    def _apart(self):
        """The wait of a busy minion of which no end can be foretold, ms: the more minions, the longer, within the second."""
        return int(1000 * min(IDLE, max(BUSY, len(self.links) / BEATS)))

    def leave(self, mid, give):
        """The minion leaves in good order: at once behind a drain, after a time where it never said that it drains."""
        if not self._acts():
            return self._elsewhere(give)
        l = self.links.get(mid)
        if l is not None and l.state != CLOSED:
            self.b.count['left'] += 1
            if l.drain and not l.left:
                self._close(l)
            else:
                self._serves_on(l)
        return give('ok', {})

    def _close(self, l):
        """It has served on since it said that it drains, and ends now: the link is closed on purpose."""
        if l.give is not None:
            l.give('ok', {})
            l.give = None
        l.turn(CLOSED)
        # what it may still hold dies with it, in a moment
        l.lapse = min(l.lapse or self.b.now, self.b.now + self.b.set.call.stop_grace_ms)

    def _serves_on(self, l):
        """It gets no start any more; holds that were given stand, and it goes on telling what ends."""
        l.left, l.drain = True, l.drain or self.b.now
        l.leaves = l.leaves or self.b.now + self.b.set.call.drain_ms
        self.look.add(l.mid)

    def _acts(self):
        return self.cell.takes and self.term == self.cell.replica.view and self._leased()

    def _leased(self):
        """Whether no other seat can hold a newer view yet: a majority answered a beat sent a moment ago."""
        s = self.cell.replica
        return s.leadership is not None and self.b.now - s.leadership.lease_start() < s.settings.silence_ms * LEASE

    def _elsewhere(self, give):
        b = self.b
        nam = b.holders.get(self.cell.grp, ('', 0))[0]
        adr = b.nodes.get(nam, {}).get('calls', '') if nam != b.me and nam in b.links else ''
        if adr:
            return give('elsewhere', {'address': adr})
        return give('no_holder', {'retry_ms': b.set.view.silence_ms})

    # --- a beat
    def _take(self, l, d, now):
        gap, was = now - l.recv, l.state
        l.count, l.recv, l.doc = d['count'], now, d
        l.group, l.zone, l.labels = d['group'], d['zone'], d['labels']
        l.kind, l.rack = (list(l.labels) + ['', ''])[:2]
        l.room = d['cpu'], d['mem'], d['gpus']
        # reconciliation: what the minion says it runs needs no recovery any more
        l.timers = {}
        l.take_lists(d['running'], d['finished'], self.b.set.call.listed_ends)
        l.progress(now)
        if d['state'] == 'draining':
            l.drain = l.drain or now
        left = d.get('leaves_at_ms')
        if left is not None and d['state'] == 'draining':
            l.leaves = now + left
        elif not l.left:
            l.leaves = 0
        if was in (DISCONNECTED, RECOVERING):
            l.turn(REGISTERING)
            new = sum(f[0] > l.noted for f in d['finished'])
            # the gap, before the backlog of ends is taken in
            if was == RECOVERING or new:
                self.b.count['gaps'] += 1
                self.b.log('info', 'gap', minion=l.mid, outage_ms=gap, ends=new, running=len(l.running))
        box = self.mac.on.get(l.mid, {})
        l.gave = {k: r for k, r in l.gave.items() if k in box and self.mac.run_of(box[k], l.mid) == r}

    def _ends(self, l, d):
        """Orders the ends that are not noted yet; False when this seat can't."""
        new = [f for f in d['finished'] if f[0] > l.noting]
        if not new:
            return True
        top, term = max(f[0] for f in new), self.term

        def then(r):
            if r is None or term != self.term:
                return
            l.noted = max(l.noted, top)
            self.look.add(l.mid)

        items = [{'task': f[1], 'run': f[2], 'how': f[3], 'save': f[4]} for f in new]
        if not self.cell.order('y_end', {'at': self.cell.wall, 'mid': l.mid, 'items': items}, then):
            return False
        l.noting = top
        self.b.count['ends'] += len(new)
        for f in new:
            self.b.count[f'ends.{f[3]}'] += 1
        return True

    # --- an answer
    def _orders(self, l):
        """(starts, stops) to tell, and what was placed there but must not begin."""
        mac, mid = self.mac, l.mid
        start, stop, never = [], [[k, r] for k, r in self.strays(l)], []
        no = l.drain or l.zone in self.b.atlas.emptied or mid in mac.drains
        for k, t in mac.on.get(mid, {}).items():
            run, rep = mac.run_of(t, mid), l.running.get(k)
            off = t.stop or t.step.job.fate
            if rep is not None and rep[0] == run:
                if off:
                    stop.append([k, run])
            # ended there, perhaps ended, or given up by a change that is under way: no start may be told any more
            elif run in (l.ended.get(k), l.unlisted.get(k), l.gave.get(k)):
                continue
            elif off or no:
                if l.old.get(k) == run:
                    continue
                never.append({'task': k, 'run': run, 'mid': mid, 'how': 'never', 'save': ''})
            else:
                start.append([k, run, t.step.job.payload, t.save])
        return start, stop, never

    def strays(self, l):
        """What a minion may hold that is no run of ours any more: it is stopped, and takes room until it has ended."""
        mac, box = self.mac, self.mac.on.get(l.mid, {})
        return [(k, r) for k, r in l.held.items() if k not in box or mac.run_of(box[k], l.mid) != r]

    def _answer(self, l):
        start, stop, never = self._orders(l)
        # not in the minion's own list, and every earlier answer is spent: it never began there
        if never and self.cell.order('y_lapse', {'at': self.cell.wall, 'items': never, 'late': True}):
            l.gave.update((i['task'], i['run']) for i in never)
        late = self.b.now >= l.due
        if not (start or stop or late or l.drain) or (l.noting > l.noted and not late):
            return
        if not self._leased():
            give, l.give = l.give, None
            return self._elsewhere(give)
        give, l.give = l.give, None
        if l.state == REGISTERING:
            l.turn(REGISTERED)
        # what does not fit comes with the next answer
        start, stop = answer_size.shared(start, stop, int(self.b.set.call.answer_bytes * ANSWER))
        l.answered = self.b.now
        l.lapse = max(l.lapse, l.recv + int(self.hold_ms / DRIFT) + 1)
        self.b.count['starts'] += len(start)
        l.held.update((r[0], r[1]) for r in start)
        give(
            'ok',
            {
                'hold_ms': self.hold_ms,
                'seen': l.noted,
                'fence': self.term,
                'start': start,
                'stop': stop,
                'again_ms': max(LEAST, 1000 * len(self.links) // BEATS // 2) if not l.drain else 100,
                'address': self.b.hello()['calls'],
            },
        )

    def flush(self):
        mac = self.mac
        if mac.changed:
            if self.term >= 0:
                self.look |= mac.changed
            mac.changed.clear()
        if self.term < 0:
            mac.ended.clear()
            return
        if not self.look:
            return
        look, self.look = self.look, set()
        # in one order, so that a day of the simulator is the same again
        for mid in sorted(look):
            l = self.links.get(mid)
            if l is not None and l.give is not None:
                self._answer(l)
        self.cell.flush()

    # --- time
    def tick(self):
        b, s = self.b, self.cell.replica
        term = s.view if self.cell.leads else -1
        if term != self.term:
            self._turn(term)
        if term < 0:
            return
        while self.heap and self.heap[0][0] <= b.now:
            self.look.add(heapq.heappop(self.heap)[2])
        if b.now >= self.due:
            self.due = b.now + 50
            for l in list(self.links.values()):
                self._watch(l)

    def _turn(self, term):
        """A view begins or ends here."""
        for l in self.links.values():
            if l.give is not None:
                self._elsewhere(l.give)
        self._fresh()
        self.term = term
        if term < 0:
            return
        b = self.b
        # the holds that the last holder gave are not known: the longest it can have given
        far = b.now + int((b.set.view.silence_ms + self.hold_ms) / DRIFT) + 1
        for mid in self.mac.on:
            l = self.links[mid] = Link(mid, b.now)
            l.lapse = l.bound = far
            l.old = {k: self.mac.run_of(t, mid) for k, t in self.mac.on[mid].items()}
            l.turn(RECOVERING)
            self._recover(l)

    def open(self, l):
        """Whether a start may be placed there now."""
        if l.state not in (REGISTERED, REGISTERING) or l.drain or l.leaves:
            return False
        return l.give is not None or self.b.now - l.answered < self.b.set.call.beat_ms * FRESH
