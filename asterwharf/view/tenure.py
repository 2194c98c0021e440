"""What a seat does while it holds the view: orders, spreads, counts, confirms, hands over. Pure."""

from asterwharf.view.log import Entry

# beats whose time of sending is kept; of the silence bound: how long a newcomer from another zone waits for a lost seat
KEPT, APART = 64, 30.0


class Way:
    """How far one sibling has come."""

    __slots__ = ('ack', 'beat', 'flew', 'heard', 'inc', 'nxt', 'off', 'part', 'sent', 'slow', 'snap')

    def __init__(self, now, nxt, inc):
        self.ack, self.beat, self.heard, self.nxt, self.inc = 0, 0, now, nxt, inc
        self.off, self.slow, self.snap, self.part, self.sent, self.flew = None, False, None, 0, 0, 0


class Tenure:
    """Lives from the majority that gave it to the silence or the view that ends it."""

    __slots__ = (
        'beat',
        'flown',
        'heir',
        'heir_at',
        'last_beat',
        'opened',
        'reads',
        'seat',
        'slows',
        'taking',
        'urgent',
        'ways',
        'wishes',
    )

    def __init__(self, seat):
        self.seat, self.beat, self.last_beat, self.reads, self.urgent = seat, 0, -1 << 40, [], False
        self.opened, self.taking, self.heir, self.heir_at, self.slows = 0, True, '', 0, 0
        # beat -> when it was sent, for what a majority has answered
        self.flown = {}
        # an operator's word: the seat out of sight -> the newcomer that takes it
        self.wishes = {}
        self.ways = {s: Way(seat.now, seat.log.last + 1, seat.log.seats[s]) for s in seat.others()}

    def open(self):
        # only an entry of its own view tells a holder what is delivered of the older ones
        s = self.seat
        self.opened = s.log.last + 1
        s._add(Entry(self.opened, s.view, 'open'))
        self.urgent = True

    @property
    def ready(self):
        return self.seat.upto >= self.opened

    def _ms(self, ratio):
        return self.seat.cfg.silence_ms * ratio

    # --- time
    def tick(self):
        s = self.seat
        near = {n for n, w in self.ways.items() if s.now - w.heard < s.cfg.silence_ms and w.inc == s.log.seats.get(n)}
        # without a majority in hearing this seat must neither order nor confirm
        if not s.enough(near | {s.name}) and s.now - s.since >= s.cfg.silence_ms:
            s.holder = ''
            s._rest()
            return s.turn('sibling', 'no majority in hearing')
        if s.now - self.last_beat >= self._ms(s.cfg.beat_ratio):
            self.urgent = True
        if self.heir and s.now - self.heir_at > s.cfg.silence_ms:
            self.heir, self.taking = '', True
        self._reseat()
        self._relieve()

    def _relieve(self):
        """A holder whose disk is slow hands over to a sibling whose disk is not."""
        s = self.seat
        self.slows = self.slows + 1 if s.slow else 0
        if self.slows >= 5 and not self.heir and self._heirs(False):
            self.hand_over()

    # --- spreading
    def spread(self):
        """Sends each sibling what it lacks; called once a turn, so a turn's changes go together."""
        s = self.seat
        if self.urgent:
            self.beat += 1
            self.last_beat = self.flown[self.beat] = s.now
            self.flown.pop(self.beat - KEPT, None)
        for n, w in self.ways.items():
            if w.snap is not None:
                if self.urgent and s.now - w.sent > s.cfg.silence_ms:
                    self._send_part(n, w)
                self._extend(n, w, []) if self.urgent else None
                continue
            if w.nxt <= s.log.cut_op or (w.nxt <= s.log.rows_op and s.log.view_at(w.nxt - 1) is None):
                self._start_snap(n, w)
                continue
            # what has flown for long without a word is sent again
            if w.nxt > w.ack + 1 and s.now - w.flew > s.cfg.silence_ms * 0.5 and w.ack >= s.log.cut_op and w.ack:
                w.nxt = w.ack + 1
            ents = s.log.slice(w.nxt, s.cfg.chunk) if w.nxt <= s.log.last else []
            if ents or self.urgent:
                self._extend(n, w, ents)
        self.urgent = False

    def _extend(self, n, w, ents):
        s = self.seat
        prv = ents[0].op - 1 if ents else min(w.nxt - 1, s.log.last)
        vw = s.log.view_at(prv)
        if vw is None:
            # nothing to match on: a bare beat that claims nothing
            prv, vw = 0, 0
        if ents:
            w.nxt, w.flew = ents[-1].op + 1, s.now
        s.desk.say(
            n,
            'extend',
            {
                'grp': s.grp,
                'view': s.view,
                'beat': self.beat,
                'prev': prv,
                'stamp': vw,
                'upto': s.upto,
                'entries': [e.dump() for e in ents],
            },
        )

    def _start_snap(self, n, w):
        s = self.seat
        # the rows of the last checkpoint, frozen for this transfer
        w.snap = (s.log.rows_op, s.log.rows_view, dict(s.log.tabs[0].seats), list(s.rows.items()), [0])
        w.part = 0
        self._send_part(n, w)

    def _send_part(self, n, w):
        s = self.seat
        op, vw, sts, rows, cut = w.snap
        i, siz, out = cut[w.part], 0, []
        while i < len(rows) and (not out or siz < s.cfg.chunk):
            out.append({'k': rows[i][0], 'v': rows[i][1]})
            siz += len(rows[i][1])
            i += 1
        if w.part + 1 == len(cut):
            cut.append(i)
        w.sent = s.now
        s.desk.say(
            n,
            'snap',
            {
                'grp': s.grp,
                'view': s.view,
                'op': op,
                'stamp': vw,
                'seats': sts,
                'part': w.part,
                'last': i >= len(rows),
                'rows': out,
            },
        )

    def on_snapped(self, src, m):
        w = self.ways.get(src)
        if w is None or w.snap is None or m['op'] != w.snap[0]:
            return
        w.heard = self.seat.now
        if m['part'] == -1:
            w.nxt, w.snap = m['op'] + 1, None
        elif m['part'] == w.part:
            w.part += 1
            self._send_part(src, w)

    # --- counting
    def on_extended(self, src, m):
        s = self.seat
        w = self.ways.get(src)
        if w is None or m['inc'] != w.inc:
            return
        w.heard, w.slow = s.now, m['slow']
        w.off = m['wall'] - s.now
        w.beat = max(w.beat, m['beat'])
        if not m['ok']:
            # an empty seat is brought up by a snapshot, which its `learn` asks for
            if m['op'] >= 0 and w.snap is None:
                w.nxt = min(w.nxt, m['op'] + 1)
                w.ack = min(w.ack, m['op'])
        elif m['op'] > w.ack:
            w.ack = m['op']
            w.nxt = max(w.nxt, w.ack + 1)
        self.count()
        self._pass_on()

    def count(self):
        """Delivers what a majority has synced, and answers the reads a majority confirmed."""
        s = self.seat
        while True:
            old = s.upto
            for op in sorted({w.ack for w in self.ways.values()} | {s.desk.safe}, reverse=True):
                if op <= s.upto:
                    break
                # only entries of this view are counted; the older go with them
                if s.log.view_at(op) == s.view and s.enough(self._have(op)):
                    s.deliver(op)
                    break
            if s.upto == old:
                break
            # a seat change that was just delivered changes who counts for the rest; of anything else the siblings
            # learn that it is delivered with the next entries or the next beat
            was = dict(s.log.seats)
            self._sync_ways()
            self.urgent = self.urgent or was != s.log.seats or s.log.tabs[-1].op > old
        self._answer()

    def _have(self, op):
        s = self.seat
        got = {n for n, w in self.ways.items() if w.ack >= op and w.inc == s.log.seats.get(n)}
        return got | {s.name} if s.desk.safe >= op else got

    def _answer(self):
        s = self.seat
        if not self.reads or not self.ready:
            return
        out = []
        for tok, bt in self.reads:
            got = {n for n, w in self.ways.items() if w.beat >= bt and w.inc == s.log.seats.get(n)}
            if s.enough(got | {s.name}):
                s.done.append((tok, (s.upto, None)))
            else:
                out.append((tok, bt))
        self.reads = out

    def lease(self):
        """When the newest beat that a majority has answered was sent: no other seat was backed before that."""
        s = self.seat
        if self.heir:
            # the one that was named may hold at any moment
            return -1 << 40
        if len(s.log.seats) == 1:
            return s.now
        for bt in sorted({w.beat for w in self.ways.values()}, reverse=True):
            got = {n for n, w in self.ways.items() if w.beat >= bt and w.inc == s.log.seats.get(n)}
            if s.enough(got | {s.name}):
                return self.flown.get(bt, -1 << 40)
        return -1 << 40

    def ask(self, tok, soon=True):
        # the beat that will confirm it has not been sent yet
        self.reads.append((tok, self.beat + 1))
        self.urgent = self.urgent or soon
        if len(self.seat.log.seats) == 1:
            self._answer()

    # --- learners and seats
    def on_learn(self, src, m):
        s = self.seat
        w = self.ways.get(src)
        if w is None or w.inc != m['inc']:
            w = self.ways[src] = Way(s.now, 0, m['inc'])
        w.heard = s.now
        if m['op'] < 0 and w.snap is None:
            w.nxt, w.ack = 0, 0
        elif w.nxt == 0 and w.snap is None and m['op'] >= 0:
            w.nxt = min(m['op'], s.log.last) + 1

    def _reseat(self):
        """One seat at a time: a learner that has caught up takes its own old seat, or one out of sight."""
        s = self.seat
        if s.changing or not self.ready:
            return
        for n, w in self.ways.items():
            if s.log.seats.get(n) == w.inc or w.snap is not None or not w.ack:
                continue
            if s.log.last - w.ack > 50 or s.now - w.heard > s.cfg.silence_ms:
                continue
            out = n if n in s.log.seats else self._wished(n) or self._lost(n)
            if out or self._grows(n):
                s.change_seat(out, n, w.inc)
                self.urgent = True
                return

    def _held(self, zone):
        """How many seats a zone has."""
        return sum(self.seat.zones.get(n, '') == zone for n in self.seat.log.seats)

    def _grows(self, new):
        """Whether a newcomer gets a seat of its own: the group was founded smaller than it shall be."""
        s = self.seat
        if len(s.log.seats) >= s.cfg.seats:
            return False
        # until it is delivered the new seat counts for nobody: not a moment for it when another is missing
        if any(not self._fresh(n) for n in s.others()):
            return False
        # seats lie apart: first where there are fewest
        free = [
            n for n, w in self.ways.items() if n not in s.log.seats and w.ack and s.now - w.heard < s.cfg.silence_ms
        ]
        zone = s.zones.get
        return self._held(zone(new, '')) == min(self._held(zone(n, '')) for n in free)

    def _fresh(self, n):
        w = self.ways.get(n)
        near = n in self.seat.peers and w is not None and self.seat.now - w.heard < self.seat.cfg.silence_ms / 2
        return near and w.inc == self.seat.log.seats.get(n)

    def sees(self, n):
        """Whether a seat was heard a moment ago."""
        w = self.ways.get(n)
        return w is not None and self.seat.now - w.heard < self.seat.cfg.silence_ms * 2

    def _wished(self, new):
        # one that is back in sight keeps its seat, whatever was said of it
        return next(
            (o for o, n in self.wishes.items() if n == new and o in self.seat.log.seats and not self.sees(o)), ''
        )

    def replace(self, old, new, sure=False):
        """An operator's word that `new` takes the seat of `old`: the name of a result code."""
        sts = self.seat.log.seats
        if new in sts and old not in sts:
            return 'ok' if not self.seat.changing else 'under_way'
        if old not in sts or new in sts:
            return 'unknown_seat'
        if old == self.seat.name or self.sees(old):
            return 'in_sight'
        if new not in self.ways:
            return 'not_there'
        # the core's holder decides between rivals, the commons' follows its word
        if sure:
            self.wishes[old] = new
        if self.wishes.setdefault(old, new) != new:
            return 'promised'
        return 'under_way'

    def _lost(self, new):
        """The seat out of sight that a newcomer may take, or ''."""
        s = self.seat
        far = s.cfg.lost_ratio
        old = {n: self.ways[n].heard if n in self.ways else -1 for n in s.others()}
        zone = s.zones.get
        # in another zone it takes longer: the loss of one zone must leave a majority
        old = {
            n: at
            for n, at in old.items()
            if s.now - at > s.cfg.silence_ms * (far if zone(n) == zone(new) or zone(n) is None else max(far, APART))
        }
        # who was not heard for longest: another may only be on its way back
        return min(old, key=lambda n: (old[n], n)) if old else ''

    def _sync_ways(self):
        s = self.seat
        for n in list(self.ways):
            if n not in s.log.seats and s.now - self.ways[n].heard > s.cfg.silence_ms * 5:
                del self.ways[n]
        if s.name not in s.log.seats:
            s.turn('learner', 'unseated')

    # --- handing over
    def _heirs(self, slow):
        s = self.seat
        return sorted(
            (
                n
                for n, w in self.ways.items()
                if w.inc == s.log.seats.get(n) and s.now - w.heard < s.cfg.silence_ms and (slow or not w.slow)
            ),
            key=lambda n: (self.ways[n].slow, -self.ways[n].ack, n),
        )

    def hand_over(self):
        """Names the sibling that is furthest; True when there is one."""
        s = self.seat
        hrs = self._heirs(True)
        if not hrs or not self.ready:
            return False
        self.heir, self.heir_at, self.taking, self.urgent = hrs[0], s.now, False, True
        self._pass_on()
        return True

    def _pass_on(self):
        s = self.seat
        w = self.ways.get(self.heir) if self.heir else None
        # it must have all there is, or its siblings would not back it
        if w is not None and w.ack >= s.log.last:
            s.desk.say(self.heir, 'succeed', {'grp': s.grp, 'view': s.view})

    def median_wall(self):
        """The wall clock by the median of the seats, so that one jumped clock is outvoted."""
        s = self.seat
        offs = sorted(
            [s.wall - s.now] + [w.off for n, w in self.ways.items() if w.off is not None and n in s.log.seats]
        )
        return s.now + offs[(len(offs) - 1) // 2]
