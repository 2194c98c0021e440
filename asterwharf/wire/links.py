"""The two sorts of connection a daemon has: one it accepted, one it dialled."""

from socket import IPPROTO_TCP

from circuits import BaseComponent, handler
from circuits.net.events import connect

from asterwharf.base import logs, settings
from asterwharf.clock.boot import boot_ms
from asterwharf.wire.frame import Cutter, frame
from asterwharf.wire.schema import Alien
from asterwharf.wire.tcp import USER_TIMEOUT, Dialer


class Link:
    """What both sorts share: frames out in one piece a turn, records in, the test filter."""

    out = False

    def setup(self, dmn, key):
        self.dmn, self.key, self.peer, self.cutter = dmn, key, None, Cutter()
        self.buf, self.cut_at, self.held, self.born, self.deaf, self.mute = [], 0, [], boot_ms(), False, False
        self.heard_at = self.born

    def hello(self):
        # who dials shows the token, an agent in its own `auth`; who is dialled shows it to nobody
        b = self.dmn.b
        self.add('hello', dict(b.hello(), token=b.set.token if self.out and b.role != 'tend' else ''))
        self.push()

    def add(self, knd, doc):
        # until it has greeted, a peer is spoken to as the oldest would be
        h = self.dmn.b.links.get(self.peer)
        self.buf.append(frame(knd, doc, h['proto'] if h else 1))

    def push(self):
        if self.buf and not self.mute:
            raw, self.buf = b''.join(self.buf), []
            self.raw(raw)
        elif self.cut_at and boot_ms() - self.cut_at > self.dmn.b.set.view.silence_ms * 3:
            self.dmn.drop(self, 'cut for long')

    def read(self, data):
        if self.deaf:
            return self.held.append(data)
        self.heard_at = boot_ms()
        try:
            recs = self.cutter.feed(data)
        except Alien as e:
            # a foreign or broken stream: its number, its end, and nothing changed
            logs.say('warning', 'bad frame', code=212, peer=self.peer, why=str(e))
            self.dmn.b.count['frames.alien'] += 1
            return self.dmn.drop(self, 'bad frame')
        self.dmn.heard(self, recs)

    def cut(self, deaf, mute):
        self.cut_at = self.cut_at or boot_ms() if deaf or mute else 0
        was, self.deaf, self.mute = self.deaf, deaf, mute
        if was and not deaf:
            held, self.held = b''.join(self.held), []
            if held:
                self.read(held)


class Side(Link):
    """A connection that was accepted."""

    def __init__(self, dmn, sock):
        self.setup(dmn, sock)
        self.sock = sock

    def raw(self, data):
        self.dmn.srv.send(self.sock, data)

    def patience(self, ms):
        self.sock.setsockopt(IPPROTO_TCP, USER_TIMEOUT, ms)

    def close(self):
        self.dmn.srv.shut(self.sock)


class Sides:
    """Hears the listening socket for the daemon."""

    __slots__ = ('dmn',)

    def __init__(self, dmn):
        self.dmn = dmn

    def came(self, sock):
        c = self.dmn.conns[sock] = Side(self.dmn, sock)
        c.patience(self.dmn.b.set.view.silence_ms * 3)
        c.hello()

    def got(self, sock, data):
        c = self.dmn.conns.get(sock)
        if c is not None:
            c.read(data)

    def ended(self, sock):
        self.dmn.srv.cut(sock)

    def gone(self, sock):
        c = self.dmn.conns.get(sock)
        if c is not None:
            self.dmn.gone(c)


class Leg(Link, BaseComponent):
    """A connection that we dial."""

    out = True
    nums = 0

    def __init__(self, dmn, addr):
        Leg.nums += 1
        BaseComponent.__init__(self, channel=f'leg{Leg.nums}')
        self.setup(dmn, self)
        self.addr, self.open = addr, False
        self.tcp = Dialer(channel=self.channel, bufsize=1 << 16).register(self)
        self.tcp.hears, self.tcp.made = self.read, self._made

    @handler('ready')
    def _on_ready(self, *args):
        self.fire(connect(*settings.address(self.addr)))

    def give_up(self):
        """The dial has taken too long."""
        self.tcp.give_up()

    def _made(self):
        self.open = True
        self.patience(self.dmn.b.set.view.silence_ms * 3)
        self.dmn.undialled(self.addr, True)
        self.hello()

    @handler('unreachable')
    def _on_unreachable(self, *args):
        self.dmn.undialled(self.addr, False)
        self.unregister()

    @handler('disconnected')
    def _on_disconnected(self):
        if self.open:
            self.open = False
            self.dmn.gone(self)
        self.unregister()

    @handler('error')
    def _on_error(self, *args):
        self.dmn.b.count['socket.errors'] += 1

    def raw(self, data):
        self.tcp.push(data)

    def patience(self, ms):
        self.tcp.patience(ms)

    def close(self):
        self.open = False
        self.tcp.close()
