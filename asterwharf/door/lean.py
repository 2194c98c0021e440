"""A lean HTTP/1.1 listener: circuits' server, its parser behind a short way for plain requests, no events.

What `door/http.py` does for operators and callers with the library's request and response objects, this does
for crowds: each connection is one line of requests, answered one after another in order; answers go to the
kernel as soon as they are given. `app` has

    take(method, path, query, headers, body, give)   headers by lower-case name; `give` is a Reply: called once, any time later
    trouble(code, why) -> (status, raw, heads)       a numbered refusal of what can't be read
    max_body, max_head (bytes), stall_ms (a request's longest way in), idle_ms (0: for ever), leaving, idle(), count
"""

from circuits import BaseComponent

from asterwharf.base import logs
from asterwharf.clock.boot import boot_ms
from asterwharf.door.messages import CHUNK, SIZE, Bad, answer, parsed, plain
from asterwharf.wire.tcp import Listener

# of the longest way in: how long what comes behind a refusal is still read, so that the refusal arrives
LINGER = 0.25
# in ms: how often lines are looked over; how long one must be silent to be closed while leaving
SWEEP, QUIET = 200, 100


class Line:
    """One connection: what has come, the request being read, whether one is being answered."""

    __slots__ = (
        'at',
        'begun',
        'busy',
        'chunks',
        'ended',
        'feeding',
        'keep',
        'need',
        'over',
        'req',
        'rest',
        'sock',
        'turn',
    )

    def __init__(self, sock, now):
        self.sock, self.at, self.rest, self.turn = sock, now, b'', 0
        # `over`: a refusal was said, the rest is only read away; `ended`: the peer has said all it had to say
        self.busy = self.feeding = self.over = self.ended = self.begun = False
        self.fresh()

    def fresh(self):
        # `req`: (method, path, query, headers) of a request whose body is still coming
        self.req, self.need, self.chunks, self.keep = None, 0, None, True

    @property
    def idle(self):
        return not (self.busy or self.rest or self.req or self.over)


class Reply:
    """The answer to one request, given by a call: (status, body, headers), once, any time later."""

    __slots__ = ('_bare', '_door', '_keep', '_line', '_turn')

    def __init__(self, door, line, bare):
        self._door, self._line, self._turn, self._keep, self._bare = door, line, line.turn, line.keep, bare

    def __call__(self, status, raw, heads=None):
        self._door.answer(self._line, self._turn, self._keep, self._bare, status, raw, heads)

    def still_waiting(self):
        """Whether the caller has neither closed its side of the connection nor broken it off, as far as is known."""
        return not self._line.ended and self._door.lines.get(self._line.sock) is self._line

    def look(self):
        """The same, after all that lies in the connection has been read: what was held up in a cut comes with its end."""
        while self.still_waiting() and self._door.read_more(self._line):
            pass
        return self.still_waiting()


class Lean(BaseComponent):
    """The listening side, one of the daemon's parts."""

    channel = 'lean'
    takes = 'lean'
    nums = 0

    def __init__(self, addr, app):
        Lean.nums += 1
        super().__init__(channel=f'lean{Lean.nums}')
        self.app, self.lines, self.due, app.door = app, {}, 0, self
        self.server = Listener(addr, self, self.channel, bufsize=1 << 15).register(self)

    # --- what the listener calls
    def came(self, sock):
        self.lines[sock] = Line(sock, boot_ms())

    def got(self, sock, data):
        ln = self.lines.get(sock)
        if ln is None or ln.over:
            return
        if not ln.begun:
            # a request begins now, however long the connection was idle before
            ln.begun, ln.at = True, boot_ms()
        ln.rest = ln.rest + data if ln.rest else data
        # a caller that sends on and on while one request is answered is held to what one request may be
        if ln.busy:
            if len(ln.rest) > self.app.max_body + self.app.max_head:
                self.server.cut(sock)
            return
        self._feed(ln)

    def ended(self, sock):
        ln = self.lines.get(sock)
        if ln is None:
            return self.server.cut(sock)
        # it may only have closed its own half: what is being answered still gets its answer
        ln.ended = True
        self.server.deaf(sock)
        if not ln.busy:
            self.server.shut(sock)

    def gone(self, sock):
        ln = self.lines.pop(sock, None)
        if ln is not None and ln.busy:
            # what it asked for has been done all the same
            self.app.count['callers.gone'] += 1
        self.server.again()

    # --- requests
    def _feed(self, ln):
        """Takes requests from what has come, until one waits for its answer or for more to come."""
        if ln.feeding:
            return
        ln.feeding = True
        try:
            while not ln.busy and not ln.over and ln.sock in self.lines and self._next(ln):
                pass
        except Bad as e:
            self._bad(ln, *e.args)
        finally:
            ln.feeding = False
        if ln.ended and not ln.busy:
            self.server.shut(ln.sock)

    def _next(self, ln):
        if ln.req is None and not self._head(ln):
            return False
        body = self._body(ln)
        if body is None:
            return False
        method, path, query, heads = ln.req
        give = Reply(self, ln, method == 'HEAD')
        ln.fresh()
        ln.busy = True
        try:
            self.app.take(method, path, query, heads, body, give)
        except Exception as e:
            # a fault of ours must not cut the caller off
            logs.say('error', 'alarm', alarm='inner_fault', code=500, fault=f'{type(e).__name__}: {e}', path=path)
            give(*self.app.trouble('inner', ''))
        return True

    def _head(self, ln):
        raw = ln.rest
        if raw[:1] in (b'\r', b'\n'):
            raw = ln.rest = raw.lstrip(b'\r\n')
        i = raw.find(b'\r\n\r\n')
        if i > self.app.max_head or (i < 0 and len(raw) > self.app.max_head):
            raise Bad('bad_http', 'the header is too long')
        if i < 0:
            if not raw:
                ln.begun = False
            return False
        ln.rest = raw[i + 4 :]
        req = plain(raw[:i]) or parsed(raw[:i])
        ln.req, ln.keep = req[:4], req[4]
        self._size(ln, req[3])
        return True

    def _size(self, ln, heads):
        siz, enc = heads.get('content-length'), heads.get('transfer-encoding')
        if enc is not None:
            if siz is not None or enc.lower() != 'chunked':
                raise Bad('bad_http', 'Transfer-Encoding')
            ln.chunks = []
        elif siz is not None:
            if not SIZE.match(siz):
                raise Bad('bad_http', 'Content-Length')
            ln.need = int(siz)
            if ln.need > self.app.max_body:
                raise Bad('too_large', f'at most {self.app.max_body} bytes')
        # a caller that asks first is told to go on
        if heads.get('expect', '').lower() == '100-continue' and not ln.rest and (ln.need or ln.chunks is not None):
            self.server.send(ln.sock, b'HTTP/1.1 100 Continue\r\n\r\n')

    def _body(self, ln):
        """The whole body, or None while some of it has not come."""
        if ln.chunks is not None:
            return self._unchunk(ln)
        n = ln.need
        if not n:
            return b''
        if len(ln.rest) < n:
            return None
        body, ln.rest = ln.rest[:n], ln.rest[n:]
        return body

    def _unchunk(self, ln):
        raw, at, most = ln.rest, 0, self.app.max_body
        while True:
            i = raw.find(b'\r\n', at)
            if i < 0:
                if len(raw) - at > self.app.max_head:
                    raise Bad('bad_http', 'chunk')
                break
            m = CHUNK.match(raw[at:i])
            if not m:
                raise Bad('bad_http', 'chunk')
            n = int(m[1], 16)
            if not n:
                if self._trailer(ln, raw, at, i):
                    return b''.join(ln.chunks)
                break
            if ln.need + n > most:
                raise Bad('too_large', f'at most {most} bytes')
            end = i + 2 + n
            if len(raw) < end + 2:
                break
            if raw[end : end + 2] != b'\r\n':
                raise Bad('bad_http', 'chunk')
            ln.chunks.append(raw[i + 2 : end])
            ln.need, at = ln.need + n, end + 2
        ln.rest = raw[at:]
        return None

    def _trailer(self, ln, raw, at, i):
        """After the last chunk come fields that nobody wants, then an empty line: whether it is there."""
        j = i if raw[i : i + 4] == b'\r\n\r\n' else raw.find(b'\r\n\r\n', i)
        if j >= 0:
            ln.rest = raw[j + 4 :]
        elif len(raw) - at > self.app.max_head:
            raise Bad('bad_http', 'trailer')
        return j >= 0

    # --- answers
    def read_more(self, ln):
        """Reads what has come behind the request that is being answered; False where there was nothing."""
        size = len(ln.rest)
        self.server.readable(ln.sock)
        return len(ln.rest) > size

    def answer(self, ln, turn, keep, bare, status, raw, heads=None):
        if ln.turn != turn or not ln.busy:
            return
        ln.turn += 1
        if self.lines.get(ln.sock) is not ln:
            return
        keep = keep and not self.app.leaving
        ln.busy, ln.at, ln.begun = False, boot_ms(), bool(ln.rest)
        self.server.send(ln.sock, answer(status, raw, heads, keep, bare))
        if not keep:
            # what came behind it is not read any more
            ln.over = True
            return self._end(ln)
        if ln.rest or ln.ended:
            self._feed(ln)

    def _bad(self, ln, code, why):
        """A message that can't be read ends its connection, with a numbered code first."""
        status, raw, heads = self.app.trouble(code, why)
        self.app.count['requests.bad'] += 1
        ln.over, ln.at = True, boot_ms()
        self.server.send(ln.sock, answer(status, raw, heads, False, False))
        self._end(ln)

    def _end(self, ln):
        """Closes so that the answer arrives: bytes left unread would have the kernel reset the connection."""
        ln.rest, ln.req = b'', None
        if ln.sock not in self.lines:
            return
        if ln.ended:
            return self.server.shut(ln.sock)
        self.server.finish(ln.sock)

    # --- time
    def sweep(self):
        """Requests that were begun and never finished, and connections idle for long, give their place back."""
        now = boot_ms()
        if now < self.due:
            return
        self.due = now + SWEEP
        stall, idle = self.app.stall_ms, self.app.idle_ms
        for ln in list(self.lines.values()):
            old = now - ln.at
            if ln.busy:
                continue
            if ln.over:
                if old > stall * LINGER:
                    self.server.cut(ln.sock)
            elif ln.begun:
                if old > stall:
                    self._bad(ln, 'bad_http', 'the request did not come to its end')
            elif idle and old > idle and not self._has_more(ln):
                self.server.cut(ln.sock)

    def _has_more(self, ln):
        """Takes in what lies unread in an idle connection; whether it is idle no longer, or closed by its peer."""
        turn = ln.turn
        self.server.readable(ln.sock)
        return self.lines.get(ln.sock) is not ln or ln.turn != turn or not ln.idle

    # --- leaving
    def idle(self):
        return self.app.idle()

    def carry(self, *args):
        """Nothing is carried for the node."""

    @property
    def open(self):
        """Requests that are being read or answered."""
        return sum(ln.busy or ln.begun for ln in self.lines.values())

    @property
    def callers(self):
        """Connections that still stand, idle ones too, and those on which an answer is still going out."""
        return sum(not ln.over or ln.sock in self.server._buffers for ln in self.lines.values())

    def deafen(self):
        """Takes the connections that wait, then no more."""
        self.server.deafen()

    def hush(self):
        """Closes the connections on which nothing is asked or said."""
        now = boot_ms()
        for ln in list(self.lines.values()):
            if ln.idle and now - ln.at > QUIET and not self._has_more(ln):
                self.server.shut(ln.sock)
