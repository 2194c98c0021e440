"""HTTP requests over kept connections, and timers, on one circuits loop: what hollow minions and clients share."""

import heapq
import os
import socket
import sys

from circuits import BaseComponent, handler

from asterwharf.base.settings import address
from asterwharf.clock.boot import boot_ms
from asterwharf.wire.tcp import Poll


class Conn:
    """One connection; it carries one request at a time."""

    __slots__ = ('addr', 'buf', 'call', 'open', 'out', 'sock', 'wire')
    direct, channel = True, 'hollow'

    def __init__(self, wire, addr):
        self.wire, self.addr, self.buf, self.out, self.call, self.open = wire, addr, b'', b'', None, False
        s = self.sock = socket.socket()
        s.setblocking(False)
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        s.connect_ex(address(addr))
        wire.poll.addWriter(self, s)
        wire.poll.direct[s] = self

    def send(self, call, raw):
        self.call, self.out = call, raw
        if self.open:
            self._push()

    def _push(self):
        try:
            n = self.sock.send(self.out)
        except BlockingIOError:
            n = 0
        except OSError:
            return self.close()
        self.out = self.out[n:]
        if self.out:
            self.wire.poll.addWriter(self, self.sock)

    # --- what the poller calls
    def writable(self, sock):
        self.wire.poll.removeWriter(sock)
        if not self.open:
            if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return self.close()
            self.open = True
            self.wire.poll.addReader(self, sock)
        if self.out:
            self._push()

    def readable(self, sock):
        try:
            data = sock.recv(1 << 18)
        except BlockingIOError:
            return
        except OSError:
            data = b''
        if not data:
            return self.close()
        self.wire.got += len(data)
        self.buf += data
        head, sep, rest = self.buf.partition(b'\r\n\r\n')
        if not sep:
            return
        heads, need = {}, 0
        lines = head.split(b'\r\n')
        for ln in lines[1:]:
            k, _, v = ln.partition(b':')
            heads[k.strip().lower()] = v.strip()
        need = int(heads.get(b'content-length', b'0'))
        if len(rest) < need:
            return
        self.buf, call, self.call = b'', self.call, None
        if heads.get(b'connection', b'').lower() == b'close':
            self.close()
        else:
            self.wire.idle.setdefault(self.addr, []).append(self)
        if call:
            self.wire.answered(call, int(lines[0].split()[1]), heads, rest[:need])

    def hung(self, sock):
        self.close()

    def close(self):
        if self.sock is None:
            return
        self.wire.poll.discard(self.sock)
        self.sock.close()
        self.sock, call, self.call = None, self.call, None
        mine = self.wire.idle.get(self.addr, [])
        if self in mine:
            mine.remove(self)
        if call:
            self.wire.answered(call, 0, {}, b'')


class Wire(BaseComponent):
    """`request` calls `then(status, heads, body)` once; status 0 where there was no answer in time."""

    channel = 'hollow'

    def init(self):
        self.poll = Poll().register(self)
        self.idle, self.todo, self.n, self.put, self.got, self.calls = {}, [], 0, 0, 0, {}

    # --- time
    def after(self, ms, fn, *args):
        self.n += 1
        heapq.heappush(self.todo, (boot_ms() + ms, self.n, fn, args))

    @handler('generate_events', channel='*', priority=5)
    def _due(self, event):
        now = boot_ms()
        while self.todo and self.todo[0][0] <= now:
            _, _, fn, args = heapq.heappop(self.todo)
            fn(*args)
        event.reduce_time_left(max(0.0, (self.todo[0][0] - boot_ms()) / 1000) if self.todo else 0.2)

    @handler('exception', channel='*')
    def _on_exception(self, typ, val, trace, handler=None, fevent=None):
        # a fault of the stand-in must not pass for one of the system
        print(f'{typ.__name__}: {val}', *trace, sep='\n', file=sys.stderr, flush=True)
        os._exit(70)

    # --- requests
    def request(self, addr, method, path, body, then, ttl, heads=''):
        """A request to `addr` (IP:port); `ttl` in ms."""
        raw = (
            f'{method} {path} HTTP/1.1\r\nHost: {heads or addr}\r\nContent-Length: {len(body)}\r\n\r\n'.encode() + body
        )
        self.put += len(raw)
        pool = self.idle.get(addr)
        c = pool.pop() if pool else Conn(self, addr)
        self.n += 1
        call = self.n
        self.calls[call] = then, c
        self.after(ttl, self._late, call)
        c.send(call, raw)

    def answered(self, call, status, heads, body):
        got = self.calls.pop(call, None)
        if got:
            got[0](status, heads, body)

    def _late(self, call):
        got = self.calls.get(call)
        if got:
            # the answer that may still come is nobody's: the connection goes with it
            got[1].close()


class Datagrams:
    """JSON over UDP between the processes of one run, and from the command that started them."""

    __slots__ = ('poll', 'sock', 'then')
    direct, channel = True, 'hollow'

    def __init__(self, wire, addr, then):
        self.sock, self.then = socket.socket(socket.AF_INET, socket.SOCK_DGRAM), then
        self.sock.bind(address(addr))
        self.sock.setblocking(False)
        wire.poll.addReader(self, self.sock)

    def send(self, addr, raw):
        try:
            self.sock.sendto(raw, address(addr))
        except OSError:
            # as a network would, it loses what does not fit
            pass

    def readable(self, sock):
        for _ in range(500):
            try:
                raw = sock.recv(1 << 16)
            except OSError:
                return
            self.then(raw)

    def hung(self, sock):
        pass
