"""The world of one process: sockets, the disk, the clocks and the signals, on one circuits loop.

It carries out the effects of the node object; the simulator does the same in virtual time.
"""

import hmac
import os
import random
import signal as sigs
import sys

from circuits import BaseComponent, handler

from asterwharf.base import logs, settings
from asterwharf.clock.boot import boot_ms
from asterwharf.disk.store import Corrupt
from asterwharf.wire.links import Leg, Sides
from asterwharf.wire.tcp import Listener, Poll
from asterwharf.wire.trials import Trials

TICK = 0.02
SLOWEST = 100
# of the bound on silence: how long a dial may take; what was sent into a cut is sent again ever more seldom, a new dial at once
DIAL = 1.0
# of the bound on silence: how long a connection may have said nothing before its peer's new one takes its place. A live peer says its
# roll at least so often, and two dials at once meet within the time that a dial may take
HALF_OPEN = 2.0
# how often the settings file is looked at, in ms: it may change without a signal
LOOK = 1000


class Daemon(BaseComponent):
    """Drives one node object; a turn of the loop ends with one flush and at most one sync."""

    channel = 'wire'

    def init(self, node, store, over=None, path='', cuts='', load=settings.load, watch=False):
        """`load(path, over)` reads the settings file again: a Result of Settings; with `watch` also without a signal."""
        self.node, self.store, self.b, self.load = node, store, node.b, load
        self.conns, self.peers, self.again, self.dialled = {}, {}, True, {}
        self.over, self.path, self.trials = over or {}, path, Trials(cuts)
        st = self.b.set
        self.tick_ms = max(10, min(SLOWEST, int(st.view.silence_ms * TICK)))
        if node.b.role != 'trellis':
            self.tick_ms = min(SLOWEST, self.tick_ms * 2)
        self.due, self.code, self.end, self.parts = boot_ms(), 0, 0, []
        # while leaving: whether nothing is held here, and when that is looked at again
        self.free, self.hand = False, 0
        self.mark, self.look = self._stamp(), self.due + LOOK if watch else float('inf')
        Poll().register(self)
        self.srv = Listener(settings.address(st.bind), Sides(self), 'wire').register(self)

    # --- turns
    @handler('generate_events', channel='*', priority=10)
    def _turn(self, event):
        now = boot_ms()
        if now >= self.due:
            self._filter()
            self.node.tick(now, self.trials.wall())
            self.due, self.again = now + self.tick_ms, True
            self._sweep(now)
            if now >= self.look:
                self._look(now)
            if self.b.leaving:
                self._leave(now)
        if self.again:
            self._settle()
        event.reduce_time_left(max(0.0, (self.due - boot_ms()) / 1000))

    def _sweep(self, now):
        # a connection that never greets is not one of ours
        for c in [c for c in self.conns.values() if c.peer is None and now - c.born > self.b.set.link.auth_ms]:
            self.drop(c, 'no hello in time')
        for g in [g for g in self.dialled.values() if now - g.born > self.b.set.view.silence_ms * DIAL]:
            g.give_up()
        for p in self.parts:
            p.sweep()

    def _settle(self):
        self.again = False
        while True:
            out, said = self.node.flush()
            for lvl, evt, kws in said:
                logs.say(lvl, evt, **kws)
            if not out:
                return
            bats = []
            for e in out:
                if e[0] == 'send':
                    self._send(*e[1:])
                elif e[0] == 'write':
                    bats.append(e[1:])
                else:
                    self._carry(*e)
            # what was said goes to the kernel before the sync that may hold us up
            for c in list(self.peers.values()):
                c.push()
            if bats:
                self._sync(bats)

    def _sync(self, bats):
        beg = boot_ms()
        try:
            self.trials.drag()
            self.store.write(bats)
        except Corrupt as e:
            # what can't be synced must not be acknowledged; siblings take over what was held here
            logs.say('error', 'alarm', alarm='disk_trouble', code=501, why=str(e))
            os._exit(5)
        took = boot_ms() - beg
        self.b.count['syncs'] += 1
        self.b.count['sync_ms'] += took
        self.b.now, self.b.wall = boot_ms(), self.trials.wall()
        for c in self.node.ctl:
            for g, b in bats:
                if getattr(c, 'grp', None) == g and hasattr(c, 'synced'):
                    c.synced(b.num, took)

    def _carry(self, what, *args):
        if what == 'dial':
            return self.dial(*args)
        if what == 'hang':
            return self.hang(*args)
        for p in self.parts:
            if p.takes == what:
                return p.carry(*args)

    def wake(self):
        """Something outside the wire has changed the node: flush at the end of this turn."""
        self.again = True

    def at(self):
        """The node learns the time; what comes from outside the wire calls it first."""
        self.node.at(boot_ms(), self.trials.wall())
        self.again = True

    # --- messages
    def _send(self, dst, knd, doc):
        if dst == self.b.me:
            self.node.hear(dst, knd, doc, boot_ms(), self.trials.wall())
            return
        c = self.peers.get(dst)
        if c is not None:
            c.add(knd, doc)

    def heard(self, c, recs):
        """Records from connection `c`; the first must be a hello."""
        for knd, doc in recs:
            if c.peer is None:
                if knd != 'hello':
                    return self.drop(c, 'no hello')
                if not self._greet(c, doc):
                    return
                continue
            if c.peer in self.b.links:
                self.node.hear(c.peer, knd, doc, boot_ms(), self.trials.wall())
        self.again = True

    def _greet(self, c, doc):
        nam = doc['name']
        if nam == self.b.me or nam in self.trials.cut | self.trials.mute:
            self.drop(c, 'ourselves' if nam == self.b.me else 'cut')
            return False
        tok = self.b.set.token
        if tok and not c.out and doc['role'] != 'tend' and not hmac.compare_digest(doc['token'].encode(), tok.encode()):
            logs.say('warning', 'bad token', code=211, peer=nam)
            self.drop(c, 'bad token')
            return False
        c.peer = nam
        old = self.peers.get(nam)
        if old is not None and old is not c:
            keep = old if self._stays(old, nam, doc['inc']) else c
            lose = c if keep is old else old
            if keep is old:
                c.peer = None
                self.drop(lose, 'second connection')
                return False
            old.peer = None
            self.drop(old, 'replaced')
            # what was said into a half-open connection is lost, as with a process that has ended
            if self.b.links[nam]['inc'] != doc['inc'] or self._half_open(old):
                self.node.lost(nam, boot_ms(), self.trials.wall())
        self.peers[nam] = c
        c.patience(self.b.set.view.silence_ms * 3)
        if nam not in self.b.links:
            self.node.up(nam, doc, boot_ms(), self.trials.wall())
        return True

    def _stays(self, old, peer, incarnation):
        """Whether the connection that `peer` has stays when the same process greets on another one.

        Both ends must keep the same one of two dials at once: the one dialled by the lesser name. But a peer that
        dials long after the last word on the old one has lost that end of it; a cut may have swallowed its reset.
        """
        ours = self.b.me < peer
        return old.out == ours and incarnation == self.b.links[peer]['inc'] and not self._half_open(old)

    def _half_open(self, old):
        return boot_ms() - old.heard_at > self.b.set.view.silence_ms * HALF_OPEN

    def gone(self, c):
        """A connection has closed."""
        self.conns.pop(c.key, None)
        if c.peer is not None and self.peers.get(c.peer) is c:
            del self.peers[c.peer]
            self.node.lost(c.peer, boot_ms(), self.trials.wall())
        self.again = True

    def drop(self, c, why):
        if why not in ('second connection', 'replaced', 'hung up', 'ourselves'):
            logs.say('warning', 'connection dropped', peer=c.peer, why=why)
        c.close()
        self.gone(c)

    def hang(self, peer):
        c = self.peers.get(peer)
        if c is not None:
            c.push()
            self.drop(c, 'hung up')

    # --- connections
    def dial(self, addr):
        if addr in self.dialled or settings.address(addr) is None:
            return
        self.dialled[addr] = Leg(self, addr).register(self)

    def undialled(self, addr, ok):
        self.dialled.pop(addr, None)
        if not ok:
            for c in self.node.ctl:
                if hasattr(c, 'unreached'):
                    c.unreached(addr)
            self.again = True

    @handler('error')
    def _on_error(self, *args):
        # a reset or refused socket is told by its disconnect; here it is only counted
        self.b.count['socket.errors'] += 1

    @handler('exception', channel='*')
    def _on_exception(self, typ, val, trace, handler=None, fevent=None):
        # a fault of ours must be seen, and a half-done change of state must not be acted on
        logs.say(
            'error',
            'alarm',
            alarm='inner_fault',
            code=500,
            fault=f'{typ.__name__}: {val}',
            trace=trace,
            event=str(fevent)[:200],
        )
        if typ is not None and issubclass(typ, AssertionError):
            os._exit(70)

    def _filter(self):
        if self.trials.look():
            for n, c in list(self.peers.items()):
                c.cut(n in self.trials.cut, n in self.trials.cut or n in self.trials.mute)

    # --- signals
    @handler('signal', channel='*')
    def _on_signal(self, event, signo, stack):
        event.stop()
        if signo == sigs.SIGHUP:
            return self.reread()
        if self.b.leaving:
            return self.stop_now(0)
        # fitness turns false first, duties and open requests are seen to, then we go
        self.b.leaving, self.end = True, boot_ms() + self.b.set.leave_ms
        logs.say('info', 'leaving')

    def _leave(self, now):
        # duties are handed over at once, while callers are still seen to; where all leave together,
        # handing them round and round would only keep the groups from their work
        if not self.free or now >= self.hand:
            self.free, self.hand = self.idle(), now + self.b.set.view.silence_ms
        # every part is asked, also after one that is not idle
        done = all([p.idle() for p in self.parts]) and self.free and self.idle()  # noqa: C419
        if done or now >= self.end:
            if not done:
                self.cut_short()
            self.stop_now(0)

    def idle(self):
        return True

    def cut_short(self):
        """The time for leaving is over before all was idle."""

    def stop_now(self, code):
        self._settle()
        logs.say('info', 'left', counts=dict(self.b.count))
        self.code = code
        self.store.close()
        sys.stderr.flush()
        os._exit(code)

    def _stamp(self):
        """What tells one state of the settings file from another; None where there is none."""
        try:
            s = os.stat(self.path)
        except OSError:
            return None
        return s.st_mtime_ns, s.st_size, s.st_ino

    def _look(self, now):
        self.look = now + LOOK
        if self._stamp() not in (None, self.mark):
            self.reread()

    def reread(self):
        """The safe part of the settings file; a bad file is refused and the old one kept."""
        self.mark = self._stamp()
        res = self.load(self.path, self.over)
        if res.is_error():
            self.wake()
            self.b.clear('bad_settings')
            return self.b.alarm('bad_settings', lvl='error', code=213, details=res.error)
        self.b.clear('bad_settings')
        self.b.set, left = settings.reread(self.b.set, res.ok)
        logs.setup(self.b.me, self.b.set.log_level)
        logs.say('info', 'settings reread', needs_restart=left)


def run(daemon):
    """Runs the loop until a signal ends it."""
    sigs.signal(sigs.SIGHUP, daemon._signal_handler)
    sigs.signal(sigs.SIGPIPE, sigs.SIG_IGN)
    daemon.run()
    return daemon.code


def rng():
    return random.Random(os.urandom(16))
