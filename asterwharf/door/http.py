"""HTTP/1.1 by circuits.web, with what it lacks for long-lived connections put right.

Found in circuits 3.2.5 (docs/design/circuits.md): a second request that arrives while
the first is being answered is parsed into the first; bytes behind a body are swallowed
with it; a broken chunk waits for ever; a body's size is not bounded; handlers' faults
show tracebacks to the caller. Here each connection is one line of requests, in order.
"""

from io import BytesIO

from circuits import BaseComponent, handler
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer
from circuits.web.events import response
from circuits.web.http import HTTP
from circuits.web.parsers import HttpParser
from circuits.web.wrappers import Request, Response

from asterwharf.clock.boot import boot_ms

HEADS = 65536


class Line:
    """One connection: the request being read, whether one is being answered, what came behind it."""

    __slots__ = ('at', 'busy', 'cont', 'parser', 'rest', 'size', 'sock')

    def __init__(self, sock):
        self.sock, self.busy, self.rest = sock, False, b''
        self.reset()

    def reset(self):
        self.parser, self.size, self.cont, self.at = None, 0, False, boot_ms()


class Reply:
    """The answer to one request, given by a call: (status, body, headers), once."""

    __slots__ = ('_http', '_line', '_response')

    def __init__(self, http, line, response):
        self._http, self._line, self._response = http, line, response

    def __call__(self, status, raw, heads):
        self._http.answer(self._line, self._response, status, raw, heads)

    def still_waiting(self):
        """Whether the connection still stands, as far as is known."""
        return self._http.lines.get(self._line.sock) is self._line


class Http(HTTP):
    """circuits.web's protocol component, reading one request at a time from each connection."""

    def __init__(self, server, app):
        super().__init__(server, channel='web')
        self.app, self.lines = app, {}

    @handler('read', override=True)
    def _on_read(self, sock, data):
        ln = self.lines.get(sock)
        if ln is None:
            ln = self.lines[sock] = Line(sock)
        if not ln.rest and ln.parser is None:
            # a request begins now, however long the connection was idle before
            ln.at = boot_ms()
        ln.rest += data
        # a caller that sends on and on while one request is answered is held to what one body may be
        if ln.busy and len(ln.rest) > self.app.max_body + HEADS:
            return self.fire(close(sock))
        if not ln.busy:
            self._feed(ln)
        return None

    def _feed(self, ln):
        if ln.parser is None:
            ln.rest = ln.rest.lstrip(b'\r\n')
            if not ln.rest:
                return
            # the library's parser keeps a line whole only when it has it whole
            end = ln.rest.find(b'\r\n\r\n')
            if end < 0:
                if len(ln.rest) > HEADS:
                    self._bad(ln, 'bad_http', 'the header is too long')
                return
            ln.parser, ln.at = HttpParser(0, False), boot_ms()
        data, ln.rest = ln.rest, b''
        ln.size += len(data)
        p = ln.parser
        try:
            p.execute(data, len(data))
        except Exception as e:
            return self._bad(ln, 'bad_http', type(e).__name__)
        if p.errno is not None or not p.is_headers_complete():
            return self._bad(ln, 'bad_http', p.errstr or 'malformed')
        self._body(ln, p)

    def _body(self, ln, p):
        hdr, most = p.get_headers(), self.app.max_body
        chk = hdr.get('Transfer-Encoding', '').lower() == 'chunked'
        raw = hdr.get('Content-Length')
        if raw is not None and (chk or not raw.isdigit()):
            return self._bad(ln, 'bad_http', 'Content-Length')
        n = int(raw or 0)
        if n > most or (chk and ln.size > most + HEADS):
            return self._bad(ln, 'too_large', f'at most {most} bytes')
        if (n or chk) and not p.is_message_complete():
            if hdr.get('Expect', '').lower() == '100-continue' and not ln.cont:
                ln.cont = True
                self.fire(write(ln.sock, b'HTTP/1.1 100 Continue\r\n\r\n'))
            return
        body = p.recv_body()
        if chk:
            # what stands behind the last chunk belongs to the next request
            tail = b''.join(p._buf)
            ln.rest = tail[tail.find(b'\r\n\r\n') + 4 :] if b'\r\n\r\n' in tail else b''
        else:
            body, ln.rest = body[:n], body[n:]
        self._request(ln, p, hdr, body)

    def _request(self, ln, p, hdr, body):
        ln.busy, keep = True, p.should_keep_alive()
        try:
            req = Request(
                ln.sock,
                p.get_method(),
                p.get_scheme() or 'http',
                p.get_path(),
                p.get_version(),
                p.get_query_string(),
                headers=hdr,
                server=self._server,
            )
        except Exception:
            # a Host that is no host, a peer that has gone
            return self._bad(ln, 'bad_http', 'Host')
        if p.get_version() >= (1, 1) and not hdr.get('Host'):
            return self._bad(ln, 'bad_http', 'no Host')
        req.body = BytesIO(body)
        res = Response(req)
        res.protocol = 'HTTP/1.1'
        res.close = not keep
        ln.reset()
        ln.busy = True
        self.app.take(req.method, req.path, req.qs, hdr, body, Reply(self, ln, res))

    def _bad(self, ln, code, why):
        """A message that can't be read ends its connection, with a numbered code first."""
        sts, raw, hds = self.app.trouble(code, why)
        head = (
            f'HTTP/1.1 {sts} Refused\r\nConnection: close\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(raw)}\r\n\r\n'
        )
        ln.busy = True
        self.fire(write(ln.sock, head.encode() + raw))
        self.fire(close(ln.sock))

    def answer(self, ln, res, status, raw, heads):
        if self.lines.get(ln.sock) is not ln:
            # the caller has gone; what it asked for has been done all the same
            self.app.count['callers.gone'] += 1
            return
        res.status, res.body = status, raw
        res.headers['Content-Type'] = 'application/json'
        for k, v in heads.items():
            res.headers[k] = v
        if self.app.leaving:
            res.close = True
        self.fire(response(res))
        ln.busy = False
        ln.at = boot_ms()
        if ln.rest and not res.close:
            self._feed(ln)

    @handler('disconnect', override=True)
    def _on_disconnect(self, sock):
        self.lines.pop(sock, None)

    def sweep(self):
        """Requests that were begun and never finished give their connection back."""
        now = boot_ms()
        for ln in list(self.lines.values()):
            if not ln.busy and (ln.parser is not None or ln.rest) and now - ln.at > self.app.stall_ms:
                self._bad(ln, 'bad_http', 'the request did not come to its end')

    @property
    def open(self):
        return sum(ln.busy or bool(ln.rest) or ln.parser is not None for ln in self.lines.values())


class Door(BaseComponent):
    """The listening side: circuits' TCP server and the protocol above."""

    channel = 'web'
    display_banner = False
    secure = False
    takes = 'door'

    def init(self, addr, app):
        self.app = app
        self.server = TCPServer(addr, bufsize=1 << 18, channel='web').register(self)
        self.http = Http(self, app).register(self)
        app.door = self

    @property
    def host(self):
        return self.server.host or ''

    @property
    def port(self):
        return self.server.port or 0

    @handler('connect')
    def _on_connect(self, *args):
        """A caller has come; its line begins with its first byte."""

    @handler('error')
    def _on_error(self, *args):
        self.app.count['caller.errors'] += 1

    def idle(self):
        return self.app.idle()

    def sweep(self):
        self.http.sweep()

    @property
    def callers(self):
        """Connections that still stand, idle ones too."""
        return len(self.server._clients)

    def deafen(self):
        """Takes the connections that wait, then no more."""
        s = self.server
        if s._sock is None:
            return
        for _ in range(1000):
            n = len(s._clients)
            list(s._accept() or ())
            if len(s._clients) == n:
                break
        s._poller.discard(s._sock)
        s._sock.close()
        s._sock = None
