"""The simulated world: virtual time, a seeded network, disks that lose what was not synced.

It drives the very node objects that the daemons drive; nothing is mocked but the world.
"""

import heapq
import random

from asterwharf.sim.hosts import Conn, Disk, Host
from asterwharf.sim.replica_watch import ReplicaWatch
from asterwharf.wire import kinds  # noqa: F401
from asterwharf.wire.schema import pack, speaks, unpack


def pair(a, b):
    return (a, b) if a < b else (b, a)


class World:
    """Hosts, links, cuts and time."""

    def __init__(self, seed, tick=50, base=1_700_000_000_000):
        self.rng = random.Random(seed)
        self.t, self.base, self.tickms, self.q, self.n = 0, base, tick, [], 0
        self.hosts, self.addrs, self.conns, self.cuts = {}, {}, {}, set()
        self.log, self.count, self.loss, self.dup, self.lag = [], {}, 0.0, 0.0, (1, 4)
        self.broke, self.sight = 3000, {'true': 0, 'false': 0}
        # told the name of each process that dies; syncs of all disks
        self.ended, self.syncs, self.replica_watch = [], 0, ReplicaWatch()

    # --- time
    def at(self, t, fn, *args):
        self.n += 1
        heapq.heappush(self.q, (t, self.n, fn, args))

    def after(self, ms, fn, *args):
        self.at(self.t + ms, fn, *args)

    def run(self, until):
        while self.q and self.q[0][0] <= until:
            t, _, fn, args = heapq.heappop(self.q)
            self.t = max(self.t, t)
            fn(*args)
        self.t = max(self.t, until)

    def until(self, cond, most, step=100):
        """Runs until `cond()` or `most` ms more have passed; whether it came true."""
        end = self.t + most
        while self.t < end:
            if cond():
                return True
            self.run(min(end, self.t + step))
        return bool(cond())

    def say(self, who, evt, **kws):
        self.log.append((self.t, who, evt, kws))

    # --- hosts
    def add(self, name, role, build):
        h = self.hosts[name] = Host(name, role, f'10.0.0.{len(self.hosts) + 1}:7000', build)
        h.skew = self.rng.randrange(10_000_000)
        h.disk = Disk(self._inc())
        self.addrs[h.addr] = name
        return h

    def _inc(self):
        return f'{self.rng.getrandbits(64):016x}'

    def readdress(self, name):
        """The machine comes back somewhere else."""
        h = self.hosts[name]
        self.addrs.pop(h.addr, None)
        self.n += 1
        h.addr = f'10.1.{self.n // 250 % 250}.{self.n % 250}:7000'
        self.addrs[h.addr] = name

    def clocks(self, h):
        return self.t + h.skew, self.base + self.t + h.wall

    def start(self, name):
        h = self.hosts[name]
        h.alive, h.frozen, h.pend, h.busy, h.heap, h.held = True, False, [], False, [], False
        h.woke = (self.t, 'start' if h.life else '')
        h.life += 1
        # only a disk remembers who it was; a process without one is a new incarnation each time
        if h.role == 'tend' or h.bare:
            h.disk = Disk(self._inc())
        inc = h.disk.inc
        h.node = h.build(h, inc, random.Random(self.rng.getrandbits(64)), *self.clocks(h))
        self.replica_watch.watch(name, h.node)
        self.say(name, 'start')
        self._tick(h, h.life)

    def kill(self, name):
        h = self.hosts[name]
        if not h.alive:
            return
        h.alive, h.node = False, None
        self.say(name, 'kill')
        for c in self.of(name):
            self._break(c)
        for fn in self.ended:
            fn(name)

    def wipe(self, name):
        """The disk is lost, with its incarnation; the process must be dead."""
        h = self.hosts[name]
        h.disk = Disk(self._inc())
        self.say(name, 'wipe')

    def freeze(self, name, alone=False):
        h = self.hosts[name]
        if h.alive and not h.frozen:
            h.frozen, h.alone = True, alone
            if h.minion is not None and not alone:
                h.minion.sleep()
            self.say(name, 'freeze')

    def thaw(self, name):
        h = self.hosts[name]
        if not h.alive or not h.frozen:
            return
        h.frozen, h.woke = False, (self.t, 'thaw')
        if h.held:
            return
        self.say(name, 'thaw')
        if h.minion is not None and not h.alone:
            h.minion.wake()
            h.minion.obs.woke(name)
        pend, h.pend = h.pend, []
        for fn, args in pend:
            self._do(h, fn, *args)

    def able(self, name):
        """Since when a process has been able to act without a break, and how it came to: '' at the beginning."""
        h = self.hosts[name]
        return h.woke if h.alive and not h.frozen else (None, '')

    def _do(self, h, fn, *args):
        """Lets the host's node act now, or when it thaws; carries out what it leaves."""
        if not h.alive:
            return
        # one thread: while it waits for a slow disk it does nothing else
        if h.frozen or h.held:
            h.pend.append((fn, args))
            return
        fn(*args)
        if h.alive and h.node is not None:
            self._effects(h)

    def ask(self, h, fn, *args):
        """Lets a request from outside act on the host's node: time is looked at first, as in the daemon's turn."""

        def act():
            h.node.at(*self.clocks(h))
            fn(*args)

        self._do(h, act)

    def _tick(self, h, life):
        if h.life != life or not h.alive:
            return
        # a frozen process misses its ticks; it does not get them all at once later
        if not h.frozen and not h.held:
            self._do(h, lambda: h.node.tick(*self.clocks(h)))
        self.after(self.tickms + self.rng.randrange(5), self._tick, h, life)

    def _effects(self, h):
        out, said = h.node.flush()
        for lvl, evt, kws in said:
            self.say(h.name, evt, **kws)
            if evt == 'alarm' and kws['alarm'] == 'node_out_of_sight':
                o = self.hosts[kws['about']]
                # a suspicion is false where the node was there to be heard
                real = not o.alive or o.frozen or self.cuts
                self.sight['true' if real else 'false'] += 1
        for e in out:
            getattr(self, '_e_' + e[0])(h, *e[1:])

    # --- effects
    def _e_send(self, h, dst, knd, doc):
        self.count[knd] = self.count.get(knd, 0) + 1
        if dst == h.name:
            # a process of an earlier release speaks so to itself, too
            raw = pack(knd, doc, speaks(knd, h.node.b.proto))
            return self.after(0, self._deliver, h.life, h, h.name, raw)
        c = self.link(h.name, dst)
        if c is None:
            return
        if self.loss and self.rng.random() < self.loss:
            return
        peer = h.node.b.links.get(dst)
        seq = speaks(knd, min(peer['proto'] if peer else 1, h.node.b.proto))
        if not seq:
            return
        raw = pack(knd, doc, seq)
        self._post(c, h.name, raw)
        if self.dup and self.rng.random() < self.dup:
            self._post(c, h.name, raw)

    def _post(self, c, src, raw):
        dst = c.other(src)
        if (src, dst) in self.cuts:
            # it lies in the sender's buffer until the cut heals or the connection breaks
            c.held[src].append(raw)
            self._stick(c)
            return
        at = max(self.t + self.rng.randint(*self.lag), c.last[src])
        c.last[src] = at
        self.at(at, self._arrive, c, src, raw)

    def _stick(self, c):
        if c.stuck is None:
            c.stuck = self.t
            self.after(self.broke, self._unstick, c, self.t)

    def _unstick(self, c, since):
        if c.open and c.stuck == since:
            self._break(c)

    def _arrive(self, c, src, raw):
        if not c.open:
            return
        h = self.hosts[c.other(src)]
        self._deliver(h.life, h, src, raw)

    def _deliver(self, life, h, src, raw):
        if h.life != life:
            return
        # an earlier release would drop what it can't read; ours must not send it such
        knd, doc = unpack(raw, h.node.b.proto if h.node else 99)

        def act():
            if src == h.name or src in h.node.b.links:
                h.node.hear(src, knd, doc, *self.clocks(h))

        self._do(h, act)

    def _e_write(self, h, grp, bat):
        # one sync after another; what comes up during one goes together into the next
        h.heap.append((grp, bat))
        if not h.busy:
            h.busy = True
            self.after(0, self._sync, h, h.life)

    def _sync(self, h, life):
        if h.life != life or not h.alive:
            return
        bats, h.heap, h.held = h.heap, [], h.slow > 0
        self.syncs += 1
        self.after(self.rng.randint(1, 4) + h.slow, self._synced, h, life, bats, self.t)

    def _synced(self, h, life, bats, beg):
        # what was not synced when the process died is gone
        if h.life != life or not h.alive:
            return
        if h.frozen:
            self.after(20, self._synced, h, life, bats, beg)
            return
        h.busy = h.held = False
        ill, h.ill = h.ill, ''
        if ill != 'before':
            for grp, bat in bats:
                h.disk.write(grp, bat)
        if ill:
            # as the daemon does when a sync fails: it leaves, and tells nobody anything more
            return self.kill(h.name)
        # all that waited while the thread did is one turn's work
        pend, h.pend = [(self._told, (h, bats, beg))] + h.pend, []
        for fn, args in pend:
            if h.alive and h.life == life:
                fn(*args)
        if h.alive and h.node is not None:
            self._effects(h)
        if h.heap and not h.busy:
            h.busy = True
            self._sync(h, life)

    def _told(self, h, bats, beg):
        h.node.b.now, h.node.b.wall = self.clocks(h)
        for grp, bat in bats:
            c = next((x for x in h.node.ctl if getattr(x, 'grp', '') == grp and hasattr(x, 'synced')), None)
            if c is not None:
                c.synced(bat.num, self.t - beg)

    def _e_dial(self, h, addr):
        dst = self.addrs.get(addr)
        self.after(self.rng.randint(*self.lag), self._dial, h, h.life, addr, dst)

    def _dial(self, h, life, addr, dst):
        if h.life != life or not h.alive or dst == h.name:
            return
        d = self.hosts.get(dst)
        cut = d is None or (h.name, dst) in self.cuts or (dst, h.name) in self.cuts
        if cut or not d.alive:
            wait = 1000 if cut else 0
            return self.after(wait, self._do, h, self._unreached, h, h.life, addr)
        if d.frozen:
            # the kernel takes the connection; its hello comes when the process wakes
            d.pend.append((self._dial, (h, life, addr, dst)))
            return
        if self.link(h.name, dst) is not None:
            return
        self.n += 1
        c = self.conns[pair(h.name, dst)] = Conn(self.n, h.name, dst)
        self._do(d, self._up, d, h.name, h.node.b.hello(), c)
        self._do(h, self._up, h, dst, d.node.b.hello(), c)

    def _unreached(self, h, life, addr):
        if h.life == life:
            for x in h.node.ctl:
                if hasattr(x, 'unreached'):
                    x.unreached(addr)

    def _up(self, h, peer, hello, c):
        if c.open:
            h.node.up(peer, hello, *self.clocks(h))

    def _e_hang(self, h, peer):
        c = self.link(h.name, peer)
        if c is not None:
            # what was said before the hanging up still arrives
            at = max(self.t + 1, c.last[h.name])
            self.at(at + 1, self._break, c)
            h.node.lost(peer, *self.clocks(h))
            self._effects(h)

    def _e_minion(self, h, verb, task, rnd, *more):
        if h.minion is not None:
            h.minion.ask(h, verb, task, rnd, *more)

    def tell(self, h, life, what, *args, **kws):
        """Brings the minion's word to the agent beside it."""
        if h.life != life or not h.alive:
            return

        def act():
            k = next(x for x in h.node.ctl if type(x).__name__ == 'Keeper')
            h.node.b.now, h.node.b.wall = self.clocks(h)
            k.minion(what, *args, **kws)

        self._do(h, act)

    # --- links
    def of(self, name):
        return [c for c in self.conns.values() if name in (c.a, c.b)]

    def link(self, a, b):
        return self.conns.get(pair(a, b))

    def _break(self, c):
        if not c.open:
            return
        c.open = False
        if self.conns.get(pair(c.a, c.b)) is c:
            del self.conns[pair(c.a, c.b)]
        for n in (c.a, c.b):
            h = self.hosts[n]
            if h.alive:
                self._do(h, self._lose, h, h.life, c.other(n))

    def _lose(self, h, life, peer):
        # a newer connection may stand already
        if h.life == life and self.link(h.name, peer) is None:
            h.node.lost(peer, *self.clocks(h))

    def cut(self, a, b, both=True):
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))
        self.say(a, 'cut', other=b, both=both)

    def part(self, xs, ys):
        for x in xs:
            for y in ys:
                self.cut(x, y)

    def heal(self):
        self.cuts.clear()
        self.say('', 'heal')
        self._flow()

    def mend(self, pairs):
        """Heals these directions only."""
        self.cuts.difference_update(pairs)
        self.say('', 'mend', pairs=len(pairs))
        self._flow()

    def _flow(self):
        for c in list(self.conns.values()):
            if c.stuck is None:
                continue
            for src in (c.a, c.b):
                if (src, c.other(src)) not in self.cuts:
                    raws, c.held[src] = c.held[src], []
                    for r in raws:
                        self._post(c, src, r)
            if not c.held[c.a] and not c.held[c.b]:
                c.stuck = None
