"""The agent's tasks: the orders it passed on and the endings not yet told. Pure.

The minion sends no in-flight list, so the agent derives it from these two.
"""

from asterwharf.base.board import Controller
from asterwharf.link.agent import REGISTERED

STARTING, RUNNING, HOLDING, HELD, RESUMING, STOPPING = 'starting', 'running', 'holding', 'held', 'resuming', 'stopping'
STEPS = {
    STARTING: {RUNNING, STOPPING},
    RUNNING: {HOLDING, STOPPING},
    HOLDING: {HELD, STOPPING},
    HELD: {RESUMING, STOPPING},
    RESUMING: {RUNNING, STOPPING},
    STOPPING: set(),
}
TOMBS = 5000
# of the time that stopping may take: how long the minion has to confirm a hold before it is told to stop
PATIENCE = 0.4


class Hold:
    """One round of a task that the minion may be running."""

    __slots__ = ('at', 'boot', 'due', 'keep', 'need', 'open', 'round', 'state', 'task', 'why')

    def __init__(self, task, rnd, state, need):
        self.task, self.round, self.state, self.why, self.due, self.at = task, rnd, state, '', 0, 0
        # a start that the minion has not answered yet
        self.open = state == STARTING
        self.need = (need or {}).get('cores', 0), (need or {}).get('gpus', 0), (need or {}).get('mem', 0)
        self.boot, self.keep = (need or {}).get('boot', ''), bool((need or {}).get('keep'))

    def turn(self, new):
        if new != self.state and new not in STEPS[self.state]:
            raise AssertionError(f'{self.task}: {self.state} -> {new}')
        self.state = new


class Keeper(Controller):
    """Refuses older rounds, stale orders and what does not fit; tells endings until they are delivered."""

    __slots__ = (
        'absent',
        'agent',
        'boot',
        'can',
        'drain',
        'early',
        'holds',
        'n',
        'opdrain',
        'outbox',
        'size',
        'told',
        'tombs',
    )
    hears = ('order', 'statused')

    def __init__(self, b, agent, size):
        super().__init__(b)
        self.agent, agent.keeper = agent, self
        self.size, self.holds, self.tombs, self.outbox, self.told, self.early = size, {}, {}, {}, {}, {}
        self.n, self.drain, self.opdrain, self.boot, self.absent, self.can = 0, False, False, '', 0, False

    def room(self):
        return {'cores': float(self.size[0]), 'gpus': int(self.size[1]), 'mem': int(self.size[2])}

    def inflight(self):
        got = {(h.task, h.round) for h in self.holds.values()}
        got |= {(i['task'], i['round']) for i in self.outbox.values()}
        return [{'task': t, 'round': r} for t, r in sorted(got)]

    # --- telling
    def tell(self, task, rnd, what, why=''):
        self.n += 1
        if what != 'started':
            # the ending stands for all that was told of this round before
            self.outbox = {n: i for n, i in self.outbox.items() if (i['task'], i['round']) != (task, rnd)}
        self.outbox[self.n] = {'n': self.n, 'task': task, 'round': rnd, 'what': what, 'why': why, 'at': self.b.wall}

    def end(self, h, what, why=''):
        self.holds.pop(h.task, None)
        self._bury(h.task, h.round)
        self.tell(h.task, h.round, what, why)

    def _bury(self, task, rnd):
        self.tombs[task] = max(self.tombs.pop(task, 0), rnd)
        # a round this old can't be ordered any more: an order's age is bounded
        while len(self.tombs) > TOMBS:
            del self.tombs[next(iter(self.tombs))]

    def flush(self):
        a, b = self.agent, self.b
        if a.state != REGISTERED or not self.outbox:
            return
        again = a.terms['fresh_ms'] * 2
        items = [i for n, i in self.outbox.items() if b.now - self.told.get(n, -1 << 40) >= again]
        if items:
            self.told.update((i['n'], b.now) for i in items)
            b.send(a.edge, 'status', minion=b.me, link=a.link, stamp=b.now, items=items)

    def on_statused(self, src, d):
        for n in d['n']:
            self.outbox.pop(int(n), None)
            self.told.pop(int(n), None)

    # --- orders
    def on_order(self, src, d):
        a = self.agent
        if src != a.edge or a.state != REGISTERED or d['link'] != a.link:
            return
        if d['what'] == 'stop':
            return self._stop(d['task'], d['round'])
        h = self.holds.get(d['task'])
        if h and h.round == d['round']:
            # ordered again: told again, never started again
            if h.state in (RUNNING, RESUMING) and not any(i['task'] == h.task for i in self.outbox.values()):
                self.tell(h.task, h.round, 'started', self.boot)
            return
        why = self._no(d, h)
        if why:
            self.b.count['refused'] += 1
            self.agent.event('refused', f'{d["task"]} round {d["round"]}: {why}')
            # what ended before keeps the ending it was told with
            if d['round'] > self.tombs.get(d['task'], 0):
                self._bury(d['task'], d['round'])
                self.tell(d['task'], d['round'], 'refused', why)
            return
        h = self.holds[d['task']] = Hold(d['task'], d['round'], STARTING, d['need'])
        self.b.do('minion', 'start', h.task, h.round, d['need'], d['run'])

    def _no(self, d, h):
        """'' or why this start is refused."""
        a, b = self.agent, self.b
        if d['round'] <= self.tombs.get(d['task'], 0):
            return 'round is over'
        if h:
            if d['round'] > h.round:
                self._stop(h.task, h.round)
            return 'another round is still here'
        if b.now - d['stamp'] > a.terms['fresh_ms'] * 2:
            return 'order is stale'
        if a.fenced:
            return 'tenure is over'
        if self.drain or self.opdrain:
            return 'draining'
        if self.absent:
            return 'the minion is absent'
        if d['sequence'] < a.sequence:
            return 'older configuration'
        if a.emptied and d['sequence'] == a.sequence:
            return 'zone is emptied'
        ned = d['need'] or {}
        for i, k in enumerate(('cores', 'gpus', 'mem')):
            if sum(x.need[i] for x in self.holds.values()) + ned.get(k, 0) > self.size[i] + 1e-9:
                return f'no room: {k}'
        return ''

    def _stop(self, task, rnd):
        h = self.holds.get(task)
        if h is None or h.round != rnd:
            if any(i['task'] == task and i['round'] == rnd for i in self.outbox.values()):
                return
            if h is not None and h.round > rnd or self.tombs.get(task, 0) >= rnd:
                # no memory of its ending, only that it is over
                return self.tell(task, rnd, 'stopped', 'over')
            # not known here, but the minion may run it: an agent can lose its memory
            h = self.holds[task] = Hold(task, rnd, STOPPING, None)
        self._halt(h, '')

    def _halt(self, h, why):
        first = h.state != STOPPING
        h.why = h.why or why
        # from now on this round never starts here
        self._bury(h.task, h.round)
        h.turn(STOPPING)
        # a stop must not overtake the start on its way to the minion
        if h.open:
            return
        if first or self.b.now >= h.due:
            h.due = self.b.now + max(200, self.agent.terms['fresh_ms'])
            self.b.do('minion', 'stop', h.task, h.round)

    def reconcile(self, record):
        """What the ack says of us: adopt what we forgot, stop what is not wanted any more."""
        for r in record:
            h = self.holds.get(r['task'])
            if r['want'] == 'stop':
                self._stop(r['task'], r['round'])
            elif h is None and self.tombs.get(r['task'], 0) < r['round']:
                # it may be held, or ended, or gone: the minion is asked to let it go on, which starts nothing
                h = self.holds[r['task']] = Hold(r['task'], r['round'], RESUMING, r['need'])
                # it may have ended while no agent was there to hear it
                end = self.early.pop((h.task, h.round), None)
                if end:
                    self._m_ended(h, end)

    # --- time
    def tick(self):
        a, b = self.agent, self.b
        for h in list(self.holds.values()):
            if a.fenced and not h.keep:
                self._fence(h)
            elif h.state == HELD and a.state == REGISTERED and a.okd > h.at:
                # answered since it was held, and the record did not have it stopped: no newer round can exist
                self._resume(h)
            elif h.state == RESUMING and b.now >= h.due:
                self._resume(h)
            elif h.state == HOLDING and b.now >= h.due:
                self._halt(h, 'fenced')
        # nobody listens where the minion was, for a whole tenure: its work went with it
        gone = self.absent and b.now - self.absent > a.terms['tenure_ms']
        for h in list(self.holds.values()):
            if gone:
                self.end(h, 'lost', 'the minion is absent')
            elif h.state == STOPPING and b.now >= h.due:
                self._halt(h, h.why)
            # adopted from before the minion began anew
            elif h.boot and self.boot and h.boot != self.boot and h.state in (RUNNING, HOLDING, HELD, RESUMING):
                self.end(h, 'lost', 'the minion began anew')
        if self.drain and not self.holds and not self.outbox and a.state == REGISTERED:
            a.close('drained')

    def _fence(self, h):
        """The tenure is over: what can be held runs nowhere from now on, and may go on if the link is back in time."""
        if h.state in (STOPPING, HELD):
            return
        b = self.b
        if h.state == RUNNING and self.can:
            b.count['held'] += 1
            h.turn(HOLDING)
            l = b.set.link
            h.at, h.due = b.now, b.now + int(l.grace_ms * l.stop_ratio * PATIENCE)
            return b.do('minion', 'hold', h.task, h.round, True)
        # a start or a going-on that was not answered yet, or a hold that was not confirmed
        if h.state != HOLDING or b.now >= h.due:
            b.count['fenced'] += 1
            self._halt(h, 'fenced')

    def _resume(self, h):
        if h.state == HELD:
            self.b.count['resumed'] += 1
            h.turn(RESUMING)
        elif not self.can:
            # adopted beside a minion that can't hold: it runs, or has ended, and its ending tells
            return h.turn(RUNNING) if self.boot else None
        h.due = self.b.now + max(200, self.agent.terms['fresh_ms'])
        self.b.do('minion', 'hold', h.task, h.round, False)

    # --- what the minion says
    def minion(self, what, task='', rnd=0, **kws):
        """One entry for all news from the minion's adapter."""
        if what == 'absent':
            self.absent = self.absent or self.b.now
            return
        self.absent = 0
        if what == 'boot':
            self.can = bool(kws.get('holds'))
            self._booted(kws['boot'])
        elif what == 'drain':
            self._drain(kws['on'])
        elif what == 'line':
            self.agent.line(kws['text'])
        else:
            h = self.holds.get(task)
            if h is not None and h.round == rnd:
                getattr(self, f'_m_{what}')(h, kws)
            elif what == 'ended' and rnd > self.tombs.get(task, 0):
                # an ending of a round we do not know yet: the ack may still tell us that it is ours
                self.early[task, rnd] = kws
                while len(self.early) > TOMBS:
                    del self.early[next(iter(self.early))]

    def _booted(self, boot):
        # a minion that began anew has nothing of what ran before
        if self.boot and boot != self.boot:
            for h in list(self.holds.values()):
                if h.state != STARTING:
                    self.end(h, 'lost', 'the minion began anew')
        self.boot = boot

    def _drain(self, on):
        if on == self.drain:
            return
        self.drain = on
        a = self.agent
        if a.state == REGISTERED:
            self.b.send(a.edge, 'drain', minion=self.b.me, link=a.link, on=on, stamp=self.b.now)
        if not on and a.bye:
            a.reopen()

    def told_drain(self, on):
        self.opdrain = on

    def _m_started(self, h, kws):
        h.open = False
        if h.state == STARTING:
            h.turn(RUNNING)
            h.boot = kws.get('boot', self.boot)
            self.tell(h.task, h.round, 'started', h.boot)

    def _m_refused(self, h, kws):
        h.open = False
        if h.state == STARTING:
            self.end(h, 'refused', kws.get('why', ''))
        elif h.state == STOPPING:
            self.end(h, h.why or 'stopped')

    def _m_unsure(self, h, kws):
        # neither started nor not: it is stopped before anyone may start it elsewhere
        h.open = False
        if h.state == STARTING:
            self._halt(h, 'stopped')

    def _m_stopped(self, h, kws):
        if h.state == STOPPING:
            self.end(h, h.why or 'stopped')
        elif h.state in (HOLDING, RESUMING):
            # the minion knows nothing of it any more
            self.end(h, 'lost', 'the minion does not know it')

    def _m_held(self, h, kws):
        if h.state == HOLDING:
            # from when it was asked, not from when it was told: an answer before that shows nothing
            h.turn(HELD)

    def _m_resumed(self, h, kws):
        if h.state == RESUMING:
            h.turn(RUNNING)

    def _m_ended(self, h, kws):
        self.end(h, 'done' if kws['ok'] else 'failed', kws.get('why', ''))
