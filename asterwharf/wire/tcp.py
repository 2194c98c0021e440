"""Circuits' TCP server and client without an event of the library's for each read and write.

The library's own `connect` spins the loop until the peer answers or five seconds are over, each
read costs two events and two more turns of the loop, each write four calls into the kernel, and a
client that finds the kernel's buffer full loses what it was to write (docs/design/circuits.md).
Here the poller calls who owns the socket, and what is written goes to the kernel at once.
"""

import select
from collections import deque
from errno import EINPROGRESS, EISCONN, EMFILE, ENFILE, ENOBUFS, ENOMEM, EWOULDBLOCK
from socket import IPPROTO_TCP, SHUT_WR, SO_ERROR, SOL_SOCKET, TCP_NODELAY

from circuits import handler
from circuits.core.pollers import EPoll
from circuits.net.events import connected, unreachable
from circuits.net.sockets import TCPClient, TCPServer

USER_TIMEOUT = 18
FULL = (EMFILE, ENFILE, ENOBUFS, ENOMEM)
# connections taken in one go: a crowd must not keep the loop from what it has
CROWD = 100
HUNG = select.EPOLLHUP | select.EPOLLERR


class Poll(EPoll):
    """Calls the sources that want it (`direct`), fires the library's events for the others."""

    def __init__(self, *args, **kws):
        super().__init__(*args, **kws)
        # `over`: numbers of descriptors that were given up since the kernel was asked last
        self.direct, self.over = {}, set()

    def addReader(self, source, fd):
        if getattr(source, 'direct', False):
            self.direct[fd] = source
        super().addReader(source, fd)

    def discard(self, fd):
        self.direct.pop(fd, None)
        number = fd.fileno()
        super().discard(fd)
        self.over.add(number)
        self._map.pop(number, None)

    def _generate_events(self, event):
        self.over.clear()
        super()._generate_events(event)

    def _process(self, fileno, event):
        # what was told of a closed connection is nothing to the one that has its number now
        if fileno in self.over:
            return None
        fd = self._map.get(fileno)
        src = self.direct.get(fd)
        if src is None:
            return super()._process(fileno, event)
        if event & select.EPOLLIN:
            src.readable(fd)
        elif event & HUNG:
            return src.hung(fd)
        if event & select.EPOLLOUT and fd in self.direct:
            src.writable(fd)
        return None


def send(sock, data):
    """How much of it the kernel took; OSError where the connection is over."""
    try:
        return sock.send(data)
    except (BlockingIOError, InterruptedError):
        return 0


class Listener(TCPServer):
    """Accepts and reads for `own`: `came(sock)`, `got(sock, data)`, `ended(sock)` when the peer has
    nothing more to say, `gone(sock)` when the connection is closed, by whomever."""

    direct = True

    def __init__(self, bind, own, channel, bufsize=1 << 16):
        super().__init__(bind, bufsize=bufsize, channel=channel)
        self.own, self._clients, self._buffers, self.half, self.full = own, {}, {}, set(), False

    # --- what the poller calls
    def readable(self, sock):
        if sock is self._sock:
            return self._accept()
        try:
            data = sock.recv(self._bufsize)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            return self.cut(sock)
        return self.own.got(sock, data) if data else self.own.ended(sock)

    def writable(self, sock):
        buf = self._buffers.get(sock)
        try:
            while buf:
                n = send(sock, buf[0])
                if n < len(buf[0]):
                    # a view: a large piece that goes out in small parts is not copied for each
                    buf[0] = memoryview(buf[0])[n:]
                    return
                buf.popleft()
        except OSError:
            return self.cut(sock)
        self._buffers.pop(sock, None)
        if sock in self._closeq:
            return self.cut(sock)
        self._poller.removeWriter(sock)
        if sock in self.half:
            self.finish(sock)

    def hung(self, sock):
        self.cut(sock)

    # --- the same, where another poller fires the library's events
    def _read(self, sock):
        self.readable(sock)

    @handler('_write', priority=1)
    def _on_write(self, sock):
        self.writable(sock)

    def _close(self, sock):
        self.cut(sock)

    @handler('close')
    def close(self, sock=None):
        for s in [sock] if sock is not None else list(self._clients):
            self.shut(s)

    def _accept(self):
        for _ in range(CROWD):
            try:
                new, _ = self._sock.accept()
            except OSError as e:
                # without a free descriptor the listening socket would wake us for ever
                if e.errno in FULL and not self.full:
                    self.full = True
                    self._poller.discard(self._sock)
                return None
            new.setblocking(False)
            new.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            self._clients[new] = True
            self._poller.addReader(self, new)
            self.own.came(new)
        return None

    def again(self):
        """Listens again where descriptors had run out."""
        if self.full and self._sock is not None:
            self.full = False
            self._poller.addReader(self, self._sock)

    # --- what the owner calls
    def send(self, sock, data):
        """To the kernel at once; the poller sends what it does not take. False where the connection is over."""
        if sock not in self._clients:
            return False
        buf = self._buffers.get(sock)
        if buf:
            buf.append(data)
            return True
        try:
            n = send(sock, data)
        except OSError:
            self.cut(sock)
            return False
        if n < len(data):
            self._buffers[sock] = deque([memoryview(data)[n:]])
            self._poller.addWriter(self, sock)
        return True

    def deaf(self, sock):
        """Reads nothing more of this one."""
        self._poller.removeReader(sock)

    def shut(self, sock):
        """Closes once all that was written has gone out."""
        if sock not in self._clients:
            return
        if not self._buffers.get(sock):
            return self.cut(sock)
        if sock not in self._closeq:
            self._closeq.append(sock)

    def finish(self, sock):
        """Says that nothing more will be written, once all that was has gone out; goes on reading."""
        if sock not in self._clients:
            return
        if self._buffers.get(sock):
            self.half.add(sock)
            return
        try:
            sock.shutdown(SHUT_WR)
        except OSError:
            self.cut(sock)

    def cut(self, sock):
        """Closes now."""
        if self._clients.pop(sock, None) is None:
            return
        self._poller.discard(sock)
        self._buffers.pop(sock, None)
        self.half.discard(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
        sock.close()
        self.own.gone(sock)

    def deafen(self):
        """Takes the connections that wait, then no more."""
        if self._sock is None:
            return
        n = -1
        while n != len(self._clients):
            n = len(self._clients)
            self._accept()
        self._poller.discard(self._sock)
        self._sock.close()
        self._sock = None


class Dialer(TCPClient):
    """Fires `connected` or `unreachable`, without a turn spent in between.

    Where `made` and `hears` are set, they are called instead of `connected` and `read`: an event would come
    after what the peer has sent, or after its end.
    """

    def init(self, *args, **kws):
        super().init()
        self.going, self.hears, self.made = False, None, None

    @property
    def direct(self):
        return self.hears is not None

    @handler('connect', override=True)
    def connect(self, host, port, secure=False, **kws):
        self.host, self.port, self.going = host, port, True
        err = self._sock.connect_ex((host, port))
        if err not in (0, EINPROGRESS, EWOULDBLOCK, EISCONN):
            return self._fail()
        self._poller.addWriter(self, self._sock)
        return None

    @handler('_write', priority=2)
    def _on_ready(self, event, sock):
        if not self.going:
            return
        event.stop()
        if self._sock.getsockopt(SOL_SOCKET, SO_ERROR):
            return self._fail()
        self.going, self._connected = False, True
        self._poller.removeWriter(self._sock)
        self._poller.addReader(self, self._sock)
        if self.made:
            return self.made()
        self.fire(connected(self.host, self.port))

    @handler('_disconnect', priority=2)
    def _on_refused(self, event, sock):
        if self.going:
            event.stop()
            self._fail()

    def give_up(self):
        """Ends a dial that nobody has answered."""
        if self.going:
            self._fail()

    def _fail(self):
        self.going = False
        self._poller.discard(self._sock)
        self._sock.close()
        self.fire(unreachable(self.host, self.port))

    # --- what the poller calls
    def readable(self, sock):
        try:
            data = sock.recv(self._bufsize)
        except (BlockingIOError, InterruptedError):
            return None
        except OSError:
            data = b''
        return self.hears(data) if data else self._close()

    def writable(self, sock):
        self._pour()

    def hung(self, sock):
        self._close()

    def push(self, data):
        """Sends now what the kernel takes; the poller sends the rest."""
        if self._connected:
            self._buffer.append(data)
            self._pour()

    def _pour(self):
        buf = self._buffer
        try:
            while buf:
                n = send(self._sock, buf[0])
                if n < len(buf[0]):
                    buf[0] = memoryview(buf[0])[n:]
                    if not self._poller.isWriting(self._sock):
                        self._poller.addWriter(self, self._sock)
                    return
                buf.popleft()
        except OSError:
            return self._close()
        if self._closeflag:
            self._close()
        elif self._poller.isWriting(self._sock):
            self._poller.removeWriter(self._sock)

    @handler('_write', priority=1.5)
    def _on_writable(self, event, sock):
        # the library's own would lose what the kernel does not take
        event.stop()
        if self._connected:
            self._pour()

    def patience(self, ms):
        # the kernel gives a connection up when what was sent stays unacknowledged so long
        self._sock.setsockopt(IPPROTO_TCP, USER_TIMEOUT, ms)
