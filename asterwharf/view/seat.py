"""One seat of a replicated group: viewstamped replication in the house manner. Pure.

A change is delivered when a majority of seats has it synced; all deliver in one
order. A change of view stops, trims what no majority can have, and goes on.
"""

import json

from asterwharf.view.log import Desk, Entry, Log
from asterwharf.view.rows import Rows
from asterwharf.view.tenure import Tenure
from asterwharf.wire.schema import since

LEARNER, SIBLING, SOUNDING, CANVASS, HOLDER = 'learner', 'sibling', 'sounding', 'canvass', 'holder'

# every allowed step between states; anything else is a fault of ours
STEPS = {
    LEARNER: {SIBLING},
    SIBLING: {SOUNDING, CANVASS, LEARNER},
    SOUNDING: {SIBLING, CANVASS, LEARNER, SOUNDING},
    CANVASS: {SIBLING, HOLDER, SOUNDING, LEARNER, CANVASS},
    HOLDER: {SIBLING, LEARNER},
}


class Seat(Rows):
    """Takes messages, ticks and sync notices; leaves messages, batches and deliveries."""

    __slots__ = ('asked', 'born', 'cfg', 'count', 'desk', 'due', 'grp', 'heard', 'holder', 'inc', 'log', 'mac', 'name', 'now',
                 'parts', 'peers', 'proved', 'rng', 'rows', 'since', 'state', 'ten', 'upto', 'view', 'vote', 'votes', 'waits',
                 'done', 'news', 'lag', 'sure', 'wall', 'zones')

    def __init__(self, grp, name, inc, cfg, rng, mac, saved, now):
        self.grp, self.name, self.inc, self.cfg, self.rng, self.mac, self.now = grp, name, inc, cfg, rng, mac, now
        self.view, self.vote, self.upto, self.holder, self.ten = 0, '', 0, '', None
        self.log, self.rows, self.votes, self.waits, self.sure = Log(), {}, set(), {}, 0
        self.peers, self.parts, self.done, self.news, self.asked = set(), [], [], [], 0
        # what was ordered once in a protocol's words, every seat could read
        self.proved, self.zones = 0, {}
        self.born = now
        # nobody was heard in this life yet: nothing stands against another's claim, and ours need not wait long
        self.state, self.since, self.heard, self.due, self.lag, self.wall = LEARNER, now, now - cfg.silence_ms, 0, 0, now
        self.count = {'views': 0, 'syncs': 0, 'sent': 0, 'handed': 0, 'trimmed': 0}
        if saved['meta']:
            self._restore(saved)
        self.desk = Desk(self.log.last)
        self._rest()

    def _restore(self, sav):
        m = sav['meta']
        self.view, self.vote, self.sure = m['view'], m['vote'], m.get('sure', 0)
        self.log = Log(m['cut'][0], m['cut'][1], m['rows'][0], m['rows'][1], m['seats'])
        self.rows = sav['rows']
        self.mac.load(self.rows)
        for _, raw in sav['log']:
            e = Entry.read(raw)
            if e.op > self.log.cut_op:
                self.log.add(e, kept=True)
                self._prove(e)
        self._prove_rows()
        # what was delivered is known only from the rows; the rest waits for a holder
        self.upto = self.log.rows_op
        if self.seated:
            self.state = SIBLING

    # --- seats and majorities
    @property
    def empty(self):
        return not self.log.seats

    @property
    def seated(self):
        return self.log.seats.get(self.name) == self.inc

    @property
    def changing(self):
        t = self.log.tabs[-1]
        return t.into if t.op > max(self.upto, self.sure) else ''

    def enough(self, who):
        """Whether `who` is a majority of the seats; a seat being changed never counts."""
        sts = set(self.log.seats)
        ned = len(sts) // 2 + 1
        return len(who & (sts - {self.changing})) >= ned

    def others(self):
        return [s for s in self.log.seats if s != self.name]

    # --- the one function for every change of state
    def turn(self, new, why):
        if new not in STEPS[self.state] and new != self.state:
            raise AssertionError(f'{self.grp}: {self.state} -> {new}')
        old, self.state = self.state, new
        if old == HOLDER and new != HOLDER:
            self._lose(why)
        if old != new:
            self.since = self.now
            self.news.append((old, new, self.view, why))

    def _lose(self, why):
        self.ten = None
        # the fate of what was not delivered yet is for the next holder to say
        self.done += [(t, None) for _, t in self.waits.values()]
        self.done += [(t, None) for t in self._reads()]
        self.waits = {}

    def _reads(self):
        return [] if self.ten is None else [t for t, _ in self.ten.reads]

    # --- founding: only when all have met and all are empty
    def found(self, seats):
        assert self.empty
        self.log = Log(seats=seats)
        self._mark()
        self.turn(SIBLING, 'founded')
        self._rest()

    # --- what is kept
    def _mark(self):
        g = self.log
        self.desk.page().meta = {'view': self.view, 'vote': self.vote, 'cut': [g.cut_op, g.cut_view],
                                 'rows': [g.rows_op, g.rows_view], 'seats': g.tabs[0].seats, 'sure': self.sure}

    def _prove(self, ent):
        if ent.kind == 'change':
            self.proved = max(self.proved, since(ent.body))

    def _prove_rows(self):
        self.proved = max([self.proved, *(since(r) for r in self.rows.values())])

    def _add(self, ent):
        self.log.add(ent)
        self._prove(ent)
        self.desk.page().log.append((ent.op, ent.raw()))

    def _trim(self, op):
        assert op > self.upto, 'a delivered change is never trimmed'
        self.log.trim(op)
        self.desk.cut(op)
        b = self.desk.page()
        b.trim = op if b.trim is None else min(b.trim, op)
        b.log = [r for r in b.log if r[0] < op]
        self.count['trimmed'] += 1

    def take(self):
        """(batch or None, messages, results): all that has come up since the last take."""
        if self.ten:
            self.ten.spread()
        b = self.desk.take(self.log.last)
        out, self.desk.out = self.desk.out, []
        dne, self.done = self.done, []
        self.count['sent'] += len(out)
        if b:
            self.count['syncs'] += 1
        return b, out, dne

    def synced(self, num, took, now):
        """The disk has batch `num`; `took` is how long the sync lasted."""
        self.now = now
        self.lag = (3 * self.lag + took) / 4
        self.desk.synced(num)
        if self.ten:
            self.ten.count()
        elif self.state == CANVASS:
            self._tally()

    # --- time
    def _rest(self):
        s = self.cfg.silence_ms
        # of a group that begins or begins again, the first to ask may hold; where one holds, it is heard before that
        far = 1 if self.heard > self.born else self.cfg.first_ratio
        self.due = self.now + int(s * far * (1 + self.rng.random() * self.cfg.spread_ratio))

    def tick(self, now, wall):
        self.now, self.wall = now, wall
        if self.ten:
            return self.ten.tick()
        if self.state == LEARNER:
            return self._learn()
        if now < self.due:
            return
        self._rest()
        # sounding first: a cut-off seat must not drive the view up
        self.turn(SOUNDING, 'silence')
        self.holder, self.votes = '', {self.name}
        for s in self.others():
            self.desk.say(s, 'sound', self._claim(self.view + 1))
        if self.enough(self.votes):
            self._canvass()

    def _claim(self, view):
        return {'grp': self.grp, 'view': view, 'op': self.log.last, 'stamp': self.log.last_view}

    def _learn(self):
        if self.now - self.asked < self.cfg.silence_ms * self.cfg.beat_ratio * 2:
            return
        self.asked = self.now
        for p in sorted(self.peers):
            self.desk.say(p, 'learn', {'grp': self.grp, 'inc': self.inc, 'op': -1 if self.empty else self.log.last})

    # --- a change of view
    def _newer(self, m):
        """Whether the claimant's log is at least as new and as long as ours."""
        return (m['stamp'], m['op']) >= (self.log.last_view, self.log.last)

    def on_sound(self, src, m):
        fit = self.now - self.heard >= self.cfg.silence_ms * 0.9 and self.state != HOLDER
        ok = self.state != LEARNER and m['view'] > self.view and fit and self._newer(m)
        self.desk.say(src, 'sounded', {'grp': self.grp, 'view': m['view'], 'ok': ok, 'inc': self.inc})

    def on_sounded(self, src, m):
        if self.state != SOUNDING or m['view'] != self.view + 1 or not m['ok'] or not self._known(src, m):
            return
        self.votes.add(src)
        if self.enough(self.votes):
            self._canvass()

    def _known(self, src, m):
        # a seat that lost its disk is another incarnation: its word counts for nothing yet
        return self.log.seats.get(src) == m['inc']

    def _canvass(self):
        self.view, self.vote, self.votes = self.view + 1, self.name, set()
        self._mark()
        self.turn(CANVASS, 'standing')
        self._rest()
        for s in self.others():
            self.desk.vow(s, 'canvass', self._claim(self.view))

    def on_canvass(self, src, m):
        if self.state == LEARNER:
            return
        if m['view'] > self.view:
            self._follow(m['view'], '')
        ok = m['view'] == self.view and self.vote in ('', src) and self.state == SIBLING and self._newer(m)
        if ok and not self.vote:
            self.vote = src
            self._mark()
        if ok:
            self._rest()
        self.desk.vow(src, 'backed', {'grp': self.grp, 'view': self.view, 'ok': ok, 'inc': self.inc})

    def on_backed(self, src, m):
        if m['view'] > self.view:
            return self._follow(m['view'], '')
        if self.state != CANVASS or m['view'] != self.view or not m['ok'] or not self._known(src, m):
            return
        self.votes.add(src)
        self._tally()

    def _tally(self):
        # our own vote counts only once it is on our disk
        own = {self.name} if self.desk.done >= self.desk.num and self.desk.cur is None else set()
        if self.state == CANVASS and own and self.enough(self.votes | own):
            self.turn(HOLDER, 'majority')
            self.holder = self.name
            self.count['views'] += 1
            self.ten = Tenure(self)
            self.ten.open()

    def _follow(self, view, src):
        """Into a newer view, with `src` as its holder where that is known."""
        if view > self.view:
            self.view, self.vote = view, ''
            self._mark()
        if self.state not in (LEARNER, SIBLING):
            self.turn(SIBLING, f'view {view}')
        self.holder = src
        self._rest()

    # --- following a holder
    def on_extend(self, src, m):
        if m['view'] < self.view or self.empty:
            # an empty seat asks by `learn`; an old holder learns of the new view
            return self._say_extended(src, m, False, -1 if self.empty else self.upto)
        if m['view'] > self.view or self.holder != src or self.state not in (LEARNER, SIBLING):
            self._follow(m['view'], src)
        self.heard = self.now
        self._rest()
        if m['prev'] > self.log.last:
            return self._say_extended(src, m, False, self.log.last)
        if m['prev'] > self.upto and self.log.view_at(m['prev']) != m['stamp']:
            return self._say_extended(src, m, False, self.upto)
        for d in m['entries']:
            if d['op'] <= self.upto:
                continue
            old = self.log.at(d['op'])
            if old and old.view == d['view']:
                continue
            if old:
                self._trim(d['op'])
            self._add(Entry(d['op'], d['view'], d['kind'], d['body']))
        top = m['prev'] + len(m['entries'])
        self.deliver(min(m['upto'], top))
        self._sit()
        self._say_extended(src, m, True, top)

    def _sit(self):
        if self.state == LEARNER and self.seated:
            self.turn(SIBLING, 'seated')
        elif self.state == SIBLING and not self.seated:
            self.turn(LEARNER, 'unseated')

    def _say_extended(self, src, m, ok, op):
        body = {'grp': self.grp, 'view': self.view, 'beat': m['beat'], 'ok': ok, 'op': op, 'inc': self.inc,
                'wall': self.wall, 'slow': self.slow}
        # liveness is told at once where the disk would hold it up; what is synced is told when it is
        if ok and op > self.desk.safe and self.lag > self.cfg.silence_ms * self.cfg.beat_ratio / 4:
            self.desk.say(src, 'extended', dict(body, op=min(self.desk.safe, op)))
            body['beat'] = 0
        self.desk.vow(src, 'extended', body)

    @property
    def slow(self):
        return self.lag > self.cfg.silence_ms * self.cfg.slow_sync_ratio

    def deliver(self, op):
        op = min(op, self.log.last)
        while self.upto < op:
            self.upto += 1
            e = self.log.at(self.upto)
            res = self.mac.apply(e.op, e.body) if e.kind == 'change' else None
            if e.kind == 'seats':
                # kept, or a restart would doubt a change of seats that is long delivered
                self.sure = e.op
                self._mark()
            w = self.waits.pop(e.op, None)
            if w is not None:
                # another view's entry may stand where ours would have stood
                self.done.append((w[1], (e.op, res) if w[0] == e.view else None))
        if self.upto - self.log.rows_op > self.cfg.keep_log:
            self._checkpoint()

    def on_snapped(self, src, m):
        if self.ten and m['view'] == self.view:
            self.ten.on_snapped(src, m)

    def on_extended(self, src, m):
        if m['view'] > self.view:
            return self._follow(m['view'], '')
        if self.ten and m['view'] == self.view:
            self.ten.on_extended(src, m)

    def on_learn(self, src, m):
        if self.ten:
            self.ten.on_learn(src, m)

    def on_succeed(self, src, m):
        # named by the holder: stand at once, without sounding
        if self.state == SIBLING and m['view'] == self.view and src == self.holder:
            self.count['handed'] += 1
            self._canvass()

    def hear(self, src, knd, m, now):
        self.now = now
        getattr(self, f'on_{knd}')(src, m)

    # --- what the host asks of it
    def propose(self, raw, tok):
        """Orders a change; False when this seat can't."""
        if self.ten is None or not self.ten.taking:
            return False
        e = Entry(self.log.last + 1, self.view, 'change', raw)
        self._add(e)
        self.waits[e.op] = (self.view, tok)
        return True

    def confirm(self, tok, soon=True):
        """Asks a majority whether this seat still holds; the result comes by `take`."""
        if self.ten is None:
            return False
        self.ten.ask(tok, soon)
        return True

    def hand_over(self):
        return self.ten.hand_over() if self.ten else False

    def change_seat(self, out, into, inc):
        body = json.dumps({'out': out, 'in': into, 'inc': inc}).encode()
        self._add(Entry(self.log.last + 1, self.view, 'seats', body))
