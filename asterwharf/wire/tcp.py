"""Circuits' TCP client, with a connect that waits in the poller.

The library's own `connect` spins the loop until the peer answers or five seconds
are over (docs/design/circuits.md); here the poller tells when the socket is ready.
"""

from errno import EINPROGRESS, EISCONN, EWOULDBLOCK
from socket import IPPROTO_TCP, SO_ERROR, SOL_SOCKET

from circuits import handler
from circuits.net.events import connected, unreachable
from circuits.net.sockets import TCPClient

USER_TIMEOUT = 18


class Dialer(TCPClient):
    """Fires `connected` or `unreachable`, without a turn spent in between."""

    def init(self, *args, **kws):
        super().init()
        self.going = False

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
        self.fire(connected(self.host, self.port))

    @handler('_disconnect', priority=2)
    def _on_refused(self, event, sock):
        if self.going:
            event.stop()
            self._fail()

    def _fail(self):
        self.going = False
        self._poller.discard(self._sock)
        self._sock.close()
        self.fire(unreachable(self.host, self.port))

    def push(self, data):
        """Sends now what the kernel takes; the poller sends the rest."""
        if self._connected:
            self.write(data)
            while self._buffer:
                n = len(self._buffer)
                self._write(self._buffer.popleft())
                if len(self._buffer) >= n:
                    return
            if self._connected and self._poller.isWriting(self._sock):
                self._poller.removeWriter(self._sock)

    def patience(self, ms):
        # the kernel gives a connection up when what was sent stays unacknowledged so long
        self._sock.setsockopt(IPPROTO_TCP, USER_TIMEOUT, ms)
