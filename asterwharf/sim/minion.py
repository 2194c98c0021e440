"""A simulated minion: it starts and stops tasks and tells what has ended, and may do so badly."""


class Work:
    """One round that the minion has: running until `end`, held with `left` ms to go, or asleep with `nap` ms."""

    __slots__ = ('end', 'left', 'nap', 'need', 'ok', 'round')

    def __init__(self, rnd, need, ok, end):
        self.round, self.need, self.ok, self.end, self.left, self.nap = rnd, need, ok, end, None, None


class SimMinion:
    """Runs on a host beside an agent; a host's crash takes its work with it."""

    __slots__ = ('boot', 'down', 'drains', 'holds', 'host', 'name', 'obs', 'over', 'quiet', 'run', 'size', 'slow', 'w')

    def __init__(self, w, host, size, obs, holds=True):
        self.w, self.host, self.name, self.size, self.obs, self.holds = w, host, host.name, size, obs, holds
        self.run, self.over, self.drains, self.slow, self.quiet, self.down = {}, {}, False, 1, False, False
        self.boot = f'{w.rng.getrandbits(32):08x}'
        obs.minions[self.name] = self

    def crash(self):
        """The machine is gone, and its work with it."""
        self.obs.crashed(self.name)
        for k, x in list(self.run.items()):
            self.obs.ended(k, x.round, self.name, 'crash')
        self.run, self.over = {}, {}
        self.boot = f'{self.w.rng.getrandbits(32):08x}'

    def sleep(self):
        """The machine freezes, and its work with it."""
        for x in self.run.values():
            if x.left is None:
                x.nap, x.end = max(1, x.end - self.w.t), -1

    def wake(self):
        for task, x in self.run.items():
            if x.nap is not None:
                x.end, x.nap = self.w.t + x.nap, None
                self.w.after(x.end - self.w.t, self._end, task, x, x.end)

    def greet(self, h):
        self.w.tell(h, h.life, 'boot', boot=self.boot, holds=self.holds)
        self.w.tell(h, h.life, 'drain', on=self.drains)
        # an agent that begins anew is told again what has ended
        for (k, r), (ok, why) in list(self.over.items()):
            self.w.tell(h, h.life, 'ended', k, r, ok=ok, why=why)

    def drain(self, on):
        self.drains = on
        self.obs.drained(self.name, on)
        self.w.tell(self.host, self.host.life, 'drain', on=on)

    def ask(self, h, verb, task, rnd, need=None, run=None):
        self.w.after(self.w.rng.randint(1, 5), self._ask, h, h.life, verb, task, rnd, need, run)

    def _ask(self, h, life, verb, task, rnd, need, run):
        if h.life != life or not h.alive:
            return
        if h.frozen and not h.alone:
            h.pend.append((self._ask, (h, life, verb, task, rnd, need, run)))
            return
        getattr(self, '_' + verb)(h, task, rnd, need, run or {})

    def _start(self, h, task, rnd, need, run):
        old = self.run.get(task)
        if old and old.round == rnd:
            return self.w.tell(h, h.life, 'started', task, rnd, boot=self.boot)
        if (task, rnd) in self.over:
            ok, why = self.over[task, rnd]
            return self.w.tell(h, h.life, 'ended', task, rnd, ok=ok, why=why)
        ms = int(run.get('ms', 200) * self.slow)
        ok = rnd > run.get('fail', 0)
        if self.quiet:
            # fails everything it is given, and quickly, while claiming health
            ms, ok = 5, False
        x = self.run[task] = Work(rnd, need, ok, self.w.t + ms)
        self.obs.started(task, rnd, self.name)
        self.w.tell(h, h.life, 'started', task, rnd, boot=self.boot)
        self.w.after(ms, self._end, task, x, x.end)

    def _hold(self, h, task, rnd, on, run):
        x = self.run.get(task)
        if x is None or x.round != rnd:
            ok, why = self.over.get((task, rnd), (False, 'stopped'))
            if why == 'stopped':
                return self.w.tell(h, h.life, 'stopped', task, rnd)
            return self.w.tell(h, h.life, 'ended', task, rnd, ok=ok, why=why)
        if on and x.left is None:
            x.left, x.end = max(1, x.end - self.w.t), -1
            self.obs.held(task, rnd, self.name)
        elif not on and x.left is not None:
            x.end, x.left = self.w.t + x.left, None
            self.obs.resumed(task, rnd, self.name)
            self.w.after(x.end - self.w.t, self._end, task, x, x.end)
        self.w.tell(h, h.life, 'held' if on else 'resumed', task, rnd)

    def _end(self, task, x, end):
        # crashed, stopped or held meanwhile
        if self.run.get(task) is not x or x.end != end:
            return
        rnd = x.round
        del self.run[task]
        why = '' if x.ok else 'exit 1'
        self.over[task, rnd] = (x.ok, why)
        self.obs.ended(task, rnd, self.name, 'done' if x.ok else 'failed')
        self.w.tell(self.host, self.host.life, 'ended', task, rnd, ok=x.ok, why=why)

    def _stop(self, h, task, rnd, need, run):
        cur = self.run.get(task)
        if cur and cur.round == rnd:
            del self.run[task]
            self.over[task, rnd] = (False, 'stopped')
            self.obs.ended(task, rnd, self.name, 'stopped')
            return self.w.tell(h, h.life, 'stopped', task, rnd)
        got = self.over.get((task, rnd))
        if got and got[1] != 'stopped':
            return self.w.tell(h, h.life, 'ended', task, rnd, ok=got[0], why=got[1])
        self.w.tell(h, h.life, 'stopped', task, rnd)
