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

    def __init__(self, board, cell):
        super().__init__(board)
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
    def beat(self, minion_id, account, give):
        """A minion's account of itself; `give(code, body)` answers it once, within the second it is worth."""
        if not self._acts():
            return self._elsewhere(give)
        board, now = self.b, self.b.now
        link = self.links.get(minion_id)
        if link is not None and link.state == CLOSED and self._left(link, account):
            board.count['beats.left'] += 1
            return give('ok', {})
        if link is None or link.state == CLOSED or self._begins_anew(link, account):
            link = self.links[minion_id] = Link(minion_id, now)
        if account['count'] <= link.count:
            # overtaken by a later one: nobody waits for this answer
            return give('ok', {})
        if link.give is not None:
            link.give('ok', {})
        board.count['beats'] += 1
        self._take(link, account, now)
        link.give = give
        if not self._ends(link, account):
            link.give = None
            return self._elsewhere(give)
        link.due = now + self._wait(link, now)
        self.n += 1
        heapq.heappush(self.heap, (link.due, self.n, minion_id))
        self.look.add(minion_id)
        return None

    def _left(self, link, account):
        """Whether a beat behind a leave was sent before it: a process that begins anew counts from the start and runs nothing."""
        return account['count'] > link.count or account['state'] == 'draining' or bool(account['running'])

    def _begins_anew(self, link, account):
        """Whether a process that sent its leave, and of which nothing runs any more, is followed by another one."""
        return link.left and not self.mac.on.get(link.mid) and not self._left(link, account)

    def _wait(self, link, now):
        """How long this beat may wait for something to tell, ms.

        While it waits the minion tells of no end; once it is answered it tells of one within 50 ms by itself.
        """
        if not link.running:
            return int(1000 * IDLE)
        soon = link.soonest(now)
        if soon is None:
            return self._apart()
        if soon < -AHEAD:
            # overdue: it may stand still, and is not asked any faster for that
            return self._apart()
        # its own ends make room: what takes it is told in the same answer
        return int(max(AHEAD if link.noting > link.noted else 0, min(1000 * IDLE, soon - AHEAD)))

    def _apart(self):
        """The wait of a busy minion of which no end can be foretold, ms: the more minions, the longer, within the second."""
        return int(1000 * min(IDLE, max(BUSY, len(self.links) / BEATS)))

    def leave(self, minion_id, give):
        """The minion leaves in good order: at once behind a drain, after a time where it never said that it drains."""
        if not self._acts():
            return self._elsewhere(give)
        link = self.links.get(minion_id)
        if link is not None and link.state != CLOSED:
            self.b.count['left'] += 1
            if link.drain and not link.left:
                self._close(link)
            else:
                self._serves_on(link)
        return give('ok', {})

    def _close(self, link):
        """It has served on since it said that it drains, and ends now: the link is closed on purpose."""
        if link.give is not None:
            link.give('ok', {})
            link.give = None
        link.turn(CLOSED)
        # what it may still hold dies with it, in a moment
        link.lapse = min(link.lapse or self.b.now, self.b.now + self.b.set.call.stop_grace_ms)

    def _serves_on(self, link):
        """It gets no start any more; holds that were given stand, and it goes on telling what ends."""
        link.left, link.drain = True, link.drain or self.b.now
        link.leaves = link.leaves or self.b.now + self.b.set.call.drain_ms
        self.look.add(link.mid)

    def _acts(self):
        return self.cell.takes and self.term == self.cell.replica.view and self._leased()

    def _leased(self):
        """Whether no other seat can hold a newer view yet: a majority answered a beat sent a moment ago."""
        replica = self.cell.replica
        return (
            replica.leadership is not None
            and self.b.now - replica.leadership.lease_start() < replica.settings.silence_ms * LEASE
        )

    def _elsewhere(self, give):
        board = self.b
        name = board.holders.get(self.cell.grp, ('', 0))[0]
        address = board.nodes.get(name, {}).get('calls', '') if name != board.me and name in board.links else ''
        if address:
            return give('elsewhere', {'address': address})
        return give('no_holder', {'retry_ms': board.set.view.silence_ms})

    # --- a beat
    def _take(self, link, account, now):
        gap, was = now - link.recv, link.state
        link.count, link.recv, link.doc = account['count'], now, account
        link.group, link.zone, link.labels = account['group'], account['zone'], account['labels']
        link.kind, link.rack = (list(link.labels) + ['', ''])[:2]
        link.room = account['cpu'], account['mem'], account['gpus']
        # reconciliation: what the minion says it runs needs no recovery any more
        link.timers = {}
        link.take_lists(account['running'], account['finished'], self.b.set.call.listed_ends)
        link.progress(now)
        if account['state'] == 'draining':
            link.drain = link.drain or now
        left = account.get('leaves_at_ms')
        if left is not None and account['state'] == 'draining':
            link.leaves = now + left
        elif not link.left:
            link.leaves = 0
        if was in (DISCONNECTED, RECOVERING):
            link.turn(REGISTERING)
            new = sum(end[0] > link.noted for end in account['finished'])
            # the gap, before the backlog of ends is taken in
            if was == RECOVERING or new:
                self.b.count['gaps'] += 1
                self.b.log('info', 'gap', minion=link.mid, outage_ms=gap, ends=new, running=len(link.running))
        box = self.mac.on.get(link.mid, {})
        link.gave = {key: r for key, r in link.gave.items() if key in box and self.mac.run_of(box[key], link.mid) == r}

    def _ends(self, link, account):
        """Orders the ends that are not noted yet; False when this seat can't."""
        new = [end for end in account['finished'] if end[0] > link.noting]
        if not new:
            return True
        top, term = max(end[0] for end in new), self.term

        def then(r):
            if r is None or term != self.term:
                return
            link.noted = max(link.noted, top)
            self.look.add(link.mid)

        items = [{'task': end[1], 'run': end[2], 'how': end[3], 'save': end[4]} for end in new]
        if not self.cell.order('y_end', {'at': self.cell.wall, 'mid': link.mid, 'items': items}, then):
            return False
        link.noting = top
        self.b.count['ends'] += len(new)
        for end in new:
            self.b.count[f'ends.{end[3]}'] += 1
        return True

    # --- an answer
    def _orders(self, link):
        """(starts, stops) to tell, and what was placed there but must not begin."""
        mac, minion_id = self.mac, link.mid
        start, stop, never = [], [[key, r] for key, r in self.strays(link)], []
        no = link.drain or link.zone in self.b.atlas.emptied or minion_id in mac.drains
        for key, task in mac.on.get(minion_id, {}).items():
            run, rep = mac.run_of(task, minion_id), link.running.get(key)
            off = task.stop or task.step.job.fate
            if rep is not None and rep[0] == run:
                if off:
                    stop.append([key, run])
            # ended there, perhaps ended, or given up by a change that is under way: no start may be told any more
            elif run in (link.ended.get(key), link.unlisted.get(key), link.gave.get(key)):
                continue
            elif off or no:
                if link.old.get(key) == run:
                    continue
                never.append({'task': key, 'run': run, 'mid': minion_id, 'how': 'never', 'save': ''})
            else:
                start.append([key, run, task.step.job.payload, task.save])
        return start, stop, never

    def strays(self, link):
        """What a minion may hold that is no run of ours any more: it is stopped, and takes room until it has ended."""
        mac, box = self.mac, self.mac.on.get(link.mid, {})
        return [(key, r) for key, r in link.held.items() if key not in box or mac.run_of(box[key], link.mid) != r]

    def _answer(self, link):
        start, stop, never = self._orders(link)
        # not in the minion's own list, and every earlier answer is spent: it never began there
        if never and self.cell.order('y_lapse', {'at': self.cell.wall, 'items': never, 'late': True}):
            link.gave.update((i['task'], i['run']) for i in never)
        late = self.b.now >= link.due
        if not (start or stop or late or link.drain) or (link.noting > link.noted and not late):
            return
        if not self._leased():
            give, link.give = link.give, None
            return self._elsewhere(give)
        give, link.give = link.give, None
        if link.state == REGISTERING:
            link.turn(REGISTERED)
        # what does not fit comes with the next answer
        start, stop = answer_size.shared(start, stop, int(self.b.set.call.answer_bytes * ANSWER))
        link.answered = self.b.now
        link.lapse = max(link.lapse, link.recv + int(self.hold_ms / DRIFT) + 1)
        self.b.count['starts'] += len(start)
        link.held.update((r[0], r[1]) for r in start)
        give(
            'ok',
            {
                'hold_ms': self.hold_ms,
                'seen': link.noted,
                'fence': self.term,
                'start': start,
                'stop': stop,
                'again_ms': max(LEAST, 1000 * len(self.links) // BEATS // 2) if not link.drain else 100,
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
        for minion_id in sorted(look):
            link = self.links.get(minion_id)
            if link is not None and link.give is not None:
                self._answer(link)
        self.cell.flush()

    # --- time
    def tick(self):
        board, replica = self.b, self.cell.replica
        term = replica.view if self.cell.leads else -1
        if term != self.term:
            self._turn(term)
        if term < 0:
            return
        while self.heap and self.heap[0][0] <= board.now:
            self.look.add(heapq.heappop(self.heap)[2])
        if board.now >= self.due:
            self.due = board.now + 50
            for link in list(self.links.values()):
                self._watch(link)

    def _turn(self, term):
        """A view begins or ends here."""
        for link in self.links.values():
            if link.give is not None:
                self._elsewhere(link.give)
        self._fresh()
        self.term = term
        if term < 0:
            return
        # the holds that the last leader gave are not known; its lease was over before anybody voted for this one, so
        # that no beat it answered came later than now
        far = self.b.now + int(self.hold_ms / DRIFT) + 1
        for minion_id in self.mac.on:
            link = self.links[minion_id] = Link(minion_id, self.b.now)
            link.lapse = link.bound = far
            link.old = {key: self.mac.run_of(task, minion_id) for key, task in self.mac.on[minion_id].items()}
            link.turn(RECOVERING)
            self._recover(link)

    def open(self, link):
        """Whether a start may be placed there now."""
        if link.state not in (REGISTERED, REGISTERING) or link.drain or link.leaves:
            return False
        return link.give is not None or self.b.now - link.answered < self.b.set.call.beat_ms * FRESH
