"""Whether work that could run does: for 3 s a job has had nothing running while there was room for it twice over."""

from asterwharf.sim.yard_sight import IN

IDLE, EVERY = 3000, 500
# after a hold is over: until the system has looked, with its clocks 2% slow
KNOWN = 300


class Room:
    """The LOST rule about jobs that stand still; part of the observer.

    While a minion that is gone may still hold a job's run, or one out of reach has ended it unheard, the rule is not called
    broken (TWICE forbids the start); such
    jobs are counted in `idle`, since the users' page doesn't name this excuse.
    """

    __slots__ = ('due', 'net', 'obs', 'seen', 'watch')

    def __init__(self, obs):
        self.obs, self.seen, self.watch, self.due, self.net = obs, {}, {}, 0, None

    def known(self, m):
        if m.state == 'ready':
            self.seen.setdefault(m.id, self.obs.w.t)

    def job(self, tld):
        self.watch[tld.job.id] = tld

    def look(self):
        o = self.obs
        if o.w.t < self.due:
            return
        self.due = o.w.t + EVERY
        fit = o.sight.settled() and any(o.sight.level(n) == IN for n in o.sight.core)
        halls = {}
        for i, t in list(self.watch.items()):
            if t.final or t.cancel is not None:
                del self.watch[i]
                continue
            if t.live or t.accepted is None or not fit or not self._stands(t, halls):
                t.stuck = t.lone = None
                continue
            # a minion that is gone may have held its run until now: idle all the same, though nobody could know
            t.lone = t.lone or o.w.t
            if o.w.t - t.lone >= IDLE:
                o.idle.add(i)
            if o.w.t < t.held + KNOWN or self._flies(i) or self._unheard(i):
                t.stuck = None
            elif t.stuck is None:
                t.stuck = o.w.t
            elif o.w.t - t.stuck >= IDLE:
                o.no('LOST', what='nothing runs though there is room', job=i, idle=o.w.t - t.stuck)

    def _flies(self, jid):
        """Whether a start of the job was told to a minion that was gone or out of reach by then, and may yet be held there."""
        o = self.obs
        for m, node, at, till in o.flying.get(jid, {}).values():
            away = not m.up or m.machine in self.net.no_in | self.net.no_out
            if o.w.t < till + KNOWN and (
                away or max(o.sight.hit.get(m.machine, 0), o.sight.hit.get(node, 0)) > at - o.bounds.in_touch_ms
            ):
                return True
        return False

    def _unheard(self, jid):
        """Whether a run of the job has ended on a minion out of reach that could not tell of it yet: its hold is not over."""
        o = self.obs
        for m in o.minions.values():
            if m.up and m.held() > 0 and m.machine in self.net.no_in | self.net.no_out:
                if any(r.job is not None and r.job.id == jid and not r.void for r in o.ended[m.id].values()):
                    o.jobs[jid].held = max(o.jobs[jid].held, o.w.t + m.held())
                    return True
        return False

    def turn(self, t):
        """(step, members) of a task or gang whose turn has come, or None."""
        o, j = self.obs, t.job
        # what has failed for good has no more turns, though its client may not have been told yet
        if t.starts and o.failed(j):
            return None
        for k in range(j.rounds):
            if j.times and j.due(k) > o.wall():
                continue
            for s, sp in enumerate(j.steps):
                if o.done(j, k, s) or not all(o.done(j, k, a) for a in sp.get('after', ())):
                    continue
                if sp.get('together'):
                    return (sp, sp.get('count', 1)) if o.fails(j, k, s, 0) < j.tries else None
                for i in range(sp.get('count', 1)):
                    if (j.id, k, s, i) not in t.done_at and (sp.get('lasts') or o.fails(j, k, s, i) < j.tries):
                        return sp, 1
        return None

    def _stands(self, t, halls):
        got = self.turn(t)
        if got is None:
            return False
        sp, n = got
        grp = t.job.group
        if grp not in halls:
            halls[grp] = self._hall(grp)
        hall, used = halls[grp]
        return used < 0.5 and self._fits(sp, hall) >= 2 * n

    def _hall(self, grp):
        """([(minion, its free room)], the part of the service's room that is in use)."""
        o, rows, now = self.obs, [], self.obs.w.t
        tot, use = [0, 0, 0], [0, 0, 0]
        for m in o.minions.values():
            if m.group != grp or not m.up:
                continue
            free, s = m.room(), m.shape
            for i, (a, f) in enumerate(zip((s.cpu, s.mem, s.gpus), free)):
                tot[i], use[i] = tot[i] + a, use[i] + a - f
            sick = m.hang or m.errors or m.slow > 1 or m.machine in self.net.no_in | self.net.no_out
            fresh = (
                now - self.seen.get(m.id, now) < IDLE
                or now - o.sight.hit.get(m.machine, -1 << 40) < o.bounds.in_touch_ms
            )
            if m.state == 'ready' and not sick and not fresh and m.zone not in o.zones:
                rows.append((m, free))
        return rows, max((u / t for u, t in zip(use, tot) if t), default=1.0)

    def _fits(self, sp, hall):
        """How many of the step's tasks there is room for."""
        n = 0
        for m, free in hall:
            if sp.get('label') and sp['label'] not in (m.shape.kind, m.rack):
                continue
            x = min(
                (f // w for f, w in zip(free, (sp.get('cpu', 0), sp.get('mem', 0), sp.get('gpus', 0))) if w),
                default=1000,
            )
            n += max(0, min(x, sp.get('apart') or x))
        return n
