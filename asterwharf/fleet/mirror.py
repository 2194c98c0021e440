"""What a live fleet went through, replayed for the judge: who was there, who could reach whom, and since when.

The fleet tool notes each fault with its time; `Sight` reads this as it reads the simulated world.
"""

from asterwharf.sim.sight import Sight

# a process that was just started needs so long to be there; a machine under load takes its time
BOOT = 4000


class Place:
    """One process as the fleet tool treated it."""

    __slots__ = ('alive', 'alone', 'frozen', 'life', 'woke')

    def __init__(self):
        self.alive, self.frozen, self.alone, self.life, self.woke = False, False, False, 0, (0, '')


class Mirror:
    """The fleet's processes and cuts at the moment that is being replayed."""

    def __init__(self, live, obs):
        self.core, self.edges, self.tends = live.core, live.edges, live.tends
        self.w, self.t, self.loss, self.cuts = self, 0, 0.0, set()
        self.hosts = {n: Place() for n in live.core + live.edges + live.tends}
        self.obs, self.unseated, self.until, self.sight = obs, {}, {}, Sight(self)
        l = live.link
        obs.chain, obs.able, obs.asleep = self.sight.chain, self.able, self.asleep
        obs.redial = l['max_ms'] + l['auth_ms'] + 500 + live.view['silence_ms']

    # --- what Sight asks
    def on(self, n):
        h = self.hosts[n]
        return h.alive and not h.frozen and self.t >= self.until.get(n, 0)

    def seated(self, n, grp):
        return n not in self.unseated

    def owner(self, minion):
        return 'commons', tuple(self.core)

    def able(self, n):
        h = self.hosts[n]
        return h.woke if h.alive and not h.frozen else (None, '')

    def asleep(self, n):
        h = self.hosts[n]
        return h.frozen and not h.alone

    # --- what the fleet tool did
    def act(self, what, *args):
        getattr(self, '_' + what)(*args)
        self.sight.look()

    def _start(self, n):
        h = self.hosts[n]
        h.life += 1
        h.alive, h.frozen = True, False
        h.woke = (self.t + BOOT, 'start') if h.life > 1 else (self.t, '')
        self.until[n] = self.t + BOOT

    def _kill(self, n):
        self.hosts[n].alive = False

    def _leave(self, n):
        self.hosts[n].alive = False

    def _wipe(self, n):
        self.unseated[n] = True

    def _seated(self, n):
        self.unseated.pop(n, None)

    def _freeze(self, n, alone):
        h = self.hosts[n]
        h.frozen, h.alone = True, alone

    def _thaw(self, n):
        h = self.hosts[n]
        h.frozen, h.woke = False, (self.t, 'thaw')
        if n in self.tends and not h.alone:
            self.obs.woke(n)

    def _crash(self, n):
        self.obs.crashed(n)
        self.hosts[n].alive = False

    def _cut(self, a, b):
        self.cuts.add((a, b))

    def _heal(self):
        self.cuts.clear()
