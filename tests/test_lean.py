"""The lean listener and the sockets under it, on real sockets and one loop that the test turns."""

import json
import socket
from collections import Counter

import pytest
from circuits import BaseComponent
from circuits.core.events import generate_events

from asterwharf.door import lean
from asterwharf.door.lean import Lean
from asterwharf.wire import tcp
from asterwharf.wire.tcp import Poll


class App:
    """Echoes what it was asked; a path under /later is answered when the test says so."""

    max_body, max_head, stall_ms, idle_ms, leaving = 4000, 2000, 1000, 5000, False

    def __init__(self):
        self.count, self.asked, self.open = Counter(), [], []

    def trouble(self, code, why):
        return {'too_large': 413, 'inner': 500}.get(code, 400), json.dumps({'code': code, 'why': why}).encode(), {}

    def take(self, method, path, query, heads, body, give):
        self.asked.append((method, path, query, heads, body))
        if path.startswith('/later'):
            return self.open.append(give)
        if path == '/fault':
            raise RuntimeError('ours')
        give(200, json.dumps([method, path, query, body.decode('latin-1')]).encode(), {'X-Path': path})

    def idle(self):
        return True


class Loop:
    """A poller and whatever is registered, turned by hand."""

    def __init__(self):
        self.root = BaseComponent(channel='root')
        self.poll = Poll().register(self.root)

    def add(self, c):
        c.register(self.root)
        self.turn()
        return c

    def turn(self, wait=0.0):
        while len(self.root):
            self.root.flush()
        e = generate_events(self.root._lock, wait)
        self.poll._generate_events(e)
        while len(self.root):
            self.root.flush()

    def until(self, cond, most=2000):
        for _ in range(most):
            if cond():
                return True
            self.turn(0.005)
        return cond()


class Caller:
    def __init__(self, loop, port):
        self.loop, self.buf = loop, b''
        self.s = socket.create_connection(('127.0.0.1', port))
        self.s.setblocking(False)
        loop.turn(0.1)

    def send(self, raw):
        raw = memoryview(raw)
        while raw:
            try:
                raw = raw[self.s.send(raw) :]
            except BlockingIOError:
                pass
            self.loop.turn()

    def _more(self):
        self.loop.turn(0.002)
        try:
            got = self.s.recv(1 << 16)
        except BlockingIOError:
            return None
        except ConnectionResetError:
            return b''
        self.buf += got
        return got

    def answer(self):
        """(status, body, headers), or None where the connection ended."""
        for _ in range(3000):
            head, sep, rest = self.buf.partition(b'\r\n\r\n')
            if sep:
                rows = head.decode().split('\r\n')
                heads = dict(r.lower().split(': ', 1) for r in rows[1:])
                n = int(heads.get('content-length', 0))
                if len(rest) >= n:
                    self.buf = rest[n:]
                    return int(rows[0].split()[1]), rest[:n], heads
            if self._more() == b'':
                return None
        raise AssertionError('no answer')

    def ended(self):
        return any(self._more() == b'' for _ in range(300))


@pytest.fixture
def site():
    loop, app = Loop(), App()
    door = loop.add(Lean(('127.0.0.1', 0), app))
    port = door.server.port
    yield loop, app, door, lambda: Caller(loop, port)
    door.server.deafen()


def req(method, path, body=b'', *heads):
    rows = [f'{method} {path} HTTP/1.1', 'Host: x.example', *heads]
    if body:
        rows.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(rows) + '\r\n\r\n').encode() + body


def test_a_plain_request_reaches_the_app_whole_and_its_answer_comes_back(site):
    _, app, _, call = site
    c = call()
    c.send(req('POST', '/a/b?x=1', b'{"k":1}', 'X-Thing:  two words ', 'Accept: a', 'accept: b'))
    sts, body, heads = c.answer()
    assert sts == 200 and json.loads(body) == ['POST', '/a/b', 'x=1', '{"k":1}']
    assert heads['content-type'] == 'application/json' and heads['x-path'] == '/a/b' and 'connection' not in heads
    assert app.asked[0][3] == {'host': 'x.example', 'x-thing': 'two words', 'accept': 'a, b', 'content-length': '7'}


def test_requests_of_one_connection_are_answered_in_order_one_after_another(site):
    loop, app, door, call = site
    c = call()
    c.send(req('GET', '/later/1') + req('GET', '/2') + req('POST', '/later/3', b'abc') + req('GET', '/4'))
    assert [a[1] for a in app.asked] == ['/later/1'] and door.open == 1
    app.open.pop()(200, b'one')
    assert c.answer()[1] == b'one' and json.loads(c.answer()[1])[1] == '/2'
    assert [a[1] for a in app.asked] == ['/later/1', '/2', '/later/3']
    app.open.pop()(503, b'{}', {'Retry-After': '1'})
    assert c.answer()[0] == 503 and json.loads(c.answer()[1])[1] == '/4'


def test_thousands_of_requests_in_one_piece_go_one_by_one_without_depth(site):
    loop, app, _, call = site
    c = call()
    c.send(req('GET', '/n') * 3000)
    assert all(c.answer()[0] == 200 for _ in range(3000)) and len(app.asked) == 3000


def test_a_request_may_come_byte_by_byte(site):
    c = site[3]()
    for b in req('POST', '/slow', b'body'):
        c.send(bytes([b]))
    assert json.loads(c.answer()[1]) == ['POST', '/slow', '', 'body']


@pytest.mark.parametrize('cut', range(0, 60, 3))
def test_chunks_may_be_cut_anywhere_and_what_follows_is_the_next_request(site, cut):
    c = site[3]()
    body = b'4;ext=1\r\nabcd\r\nA\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n'
    raw = b'POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    c.send(raw + body[:cut])
    c.send(body[cut:] + req('GET', '/next'))
    assert json.loads(c.answer()[1])[3] == 'abcd0123456789' and json.loads(c.answer()[1])[1] == '/next'


def test_a_caller_that_asks_first_is_told_to_go_on(site):
    c = site[3]()
    c.send(b'POST /e HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n')
    assert c.answer()[0] == 100
    c.send(b'abc')
    assert json.loads(c.answer()[1])[3] == 'abc'


def test_older_callers_and_whole_addresses_go_through_the_librarys_parser(site):
    c = site[3]()
    c.send(b'GET http://h.example/whole?q=2 HTTP/1.1\r\nHost: h.example\r\nX-Fold: a\r\n b\r\n\r\n')
    assert json.loads(c.answer()[1])[:3] == ['GET', '/whole', 'q=2'] and site[1].asked[0][3]['x-fold'] == 'a b'
    c.send(b'GET /old HTTP/1.0\r\n\r\n')
    assert c.answer()[2]['connection'] == 'close' and c.ended()


@pytest.mark.parametrize(
    'raw, status',
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: x:port\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: x\r\nBad Name: 1\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n', 400),
        (b'GET /\\x0d\\x0aX: 1 HTTP/1.1 \r\nHost: x\r\n\r\n', 400),
        (b'GET /' + b'a' * 3000, 400),
        (b'GET / HTTP/1.1\r\nHost: x\r\nX: ' + b'a' * 3000 + b'\r\n\r\n', 400),
        (b'GET /#part HTTP/1.1\r\nHost: x\r\n\r\n', 400),
        (b'GET / HTTP/9\r\nHost: x\r\n\r\n', 400),
        (req('POST', '/', b'', 'Content-Length: -4'), 400),
        (req('POST', '/', b'', 'Content-Length: \xb2'), 400),
        (req('POST', '/', b'', 'Content-Length: 1', 'Content-Length: 1'), 400),
        (req('POST', '/', b'', 'Content-Length: 4001'), 413),
        (req('POST', '/', b'', 'Content-Length: 3', 'Transfer-Encoding: chunked'), 400),
        (req('POST', '/', b'', 'Transfer-Encoding: gzip, chunked'), 400),
        (req('POST', '/', b'', 'Transfer-Encoding: chunked') + b'zz\r\n', 400),
        (req('POST', '/', b'', 'Transfer-Encoding: chunked') + b'-1\r\n\r\n', 400),
        (req('POST', '/', b'', 'Transfer-Encoding: chunked') + b'2\r\nabcd\r\n', 400),
        (req('POST', '/', b'', 'Transfer-Encoding: chunked') + (b'7d0\r\n' + b'a' * 2000 + b'\r\n') * 3, 413),
        (bytes(range(256)) + b'\r\n\r\n', 400),
    ],
)
def test_what_cant_be_read_gets_its_number_and_ends_only_its_own_connection(site, raw, status):
    loop, app, door, call = site
    good, c = call(), call()
    c.send(raw)
    sts, body, heads = c.answer()
    assert sts == status and heads['connection'] == 'close' and json.loads(body)['code'] and c.ended()
    assert not app.asked
    good.send(req('GET', '/still'))
    assert good.answer()[0] == 200


def test_a_refusal_arrives_though_the_body_is_still_being_sent(site):
    loop, app, door, call = site
    c = call()
    c.send(req('POST', '/', b'', 'Content-Length: 3000000'))
    for _ in range(50):
        c.send(b'x' * 20000)
    assert c.answer()[0] == 413 and c.ended() and not app.asked


def test_a_fault_of_ours_is_told_and_the_connection_goes_on(site):
    c = site[3]()
    c.send(req('GET', '/fault') + req('GET', '/after'))
    assert c.answer()[0] == 500 and c.answer()[0] == 200


def test_the_answer_for_a_caller_that_has_gone_harms_nobody(site):
    loop, app, door, call = site
    c = call()
    c.send(req('GET', '/later'))
    # with a word unread at its end the connection is reset, not closed
    c.s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
    c.s.close()
    assert loop.until(lambda: not door.lines) and app.count['callers.gone'] == 1
    app.open.pop()(200, b'{}', {})
    loop.turn()


def test_a_caller_that_closed_only_its_own_half_still_gets_its_answers(site):
    loop, app, door, call = site
    c = call()
    c.send(req('GET', '/later') + req('GET', '/second'))
    c.s.shutdown(socket.SHUT_WR)
    loop.turn(0.05)
    app.open.pop()(200, b'first', {})
    assert c.answer()[1] == b'first' and json.loads(c.answer()[1])[1] == '/second' and c.ended()
    assert not door.lines


def test_an_answer_is_given_once(site):
    loop, app, _, call = site
    c = call()
    c.send(req('GET', '/later') + req('GET', '/later'))
    give = app.open.pop()
    give(200, b'first', {})
    give(200, b'again', {})
    assert c.answer()[1] == b'first' and len(app.open) == 1
    app.open.pop()(200, b'second', {})
    assert c.answer()[1] == b'second'


@pytest.mark.parametrize('closes', ['sweep', 'hush'])
def test_a_request_that_lies_unread_in_an_idle_connection_is_answered_before_it_is_closed(site, monkeypatch, closes):
    """Guards against LOST: the connection was reset under a request that had arrived."""
    loop, app, door, call = site
    now = [lean.boot_ms()]
    monkeypatch.setattr(lean, 'boot_ms', lambda: now[0])
    idle, quiet = call(), call()
    for caller in (idle, quiet):
        caller.send(req('GET', '/x'))
        assert caller.answer()[0] == 200
    now[0] += app.idle_ms + 1
    idle.s.sendall(req('GET', '/y'))
    getattr(door, closes)()
    assert idle.answer()[0] == 200
    assert quiet.ended()


def test_slow_and_idle_callers_give_their_place_back(site, monkeypatch):
    loop, app, door, call = site
    now = [lean.boot_ms()]
    monkeypatch.setattr(lean, 'boot_ms', lambda: now[0])
    slow, idle, busy = call(), call(), call()
    slow.send(b'GET /sl')
    idle.send(req('GET', '/x'))
    assert idle.answer()[0] == 200
    busy.send(req('GET', '/later'))
    now[0] += 1001
    door.sweep()
    assert slow.answer()[0] == 400 and slow.ended()
    now[0] += 4000
    door.sweep()
    assert idle.ended()
    # one that waits for its answer is neither
    now[0] += 10**6
    door.sweep()
    app.open.pop()(200, b'late', {})
    assert busy.answer()[1] == b'late'


def test_while_leaving_each_answer_is_the_last_and_the_silent_are_closed(site, monkeypatch):
    loop, app, door, call = site
    a, b, waiting = call(), call(), call()
    a.send(req('GET', '/later'))
    app.leaving = True
    # one that has connected but was not taken yet is taken all the same
    late = socket.create_connection(('127.0.0.1', door.server.port))
    door.deafen()
    assert door.callers == 4
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(late.getpeername())
    app.open.pop()(200, b'bye', {})
    assert a.answer()[2]['connection'] == 'close' and a.ended()
    b.send(req('GET', '/last'))
    assert b.answer()[2]['connection'] == 'close'
    was = lean.boot_ms()
    monkeypatch.setattr(lean, 'boot_ms', lambda: was + lean.QUIET + 1000)
    door.hush()
    assert waiting.ended() and door.callers == 0
    late.close()


def test_a_long_answer_arrives_whole_at_a_slow_reader_and_its_order_holds(site):
    loop, app, door, call = site
    c = call()
    c.send(req('GET', '/later'))
    big = bytes(range(256)) * 40000
    app.open.pop()(200, big, {})
    c.send(req('GET', '/next'))
    assert c.answer()[1] == big and json.loads(c.answer()[1])[1] == '/next'


def test_what_a_path_holds_brings_no_lines_of_its_own():
    raw = lean.answer(307, b'{}', {'Location': 'http://a/\r\nX-Evil: 1', 'X-Good': 'yes'}, True, False)
    assert b'Evil' not in raw and b'X-Good: yes\r\n' in raw and raw.endswith(b'\r\n\r\n{}')


def test_without_a_free_descriptor_the_listener_waits_for_one(site, monkeypatch):
    loop, app, door, call = site
    first = call()

    class Full:
        """The listening socket of a process that may open no more files."""

        def __init__(self, s):
            self.s, self.left = s, 1

        def accept(self):
            if self.left:
                self.left -= 1
                raise OSError(tcp.EMFILE, 'full')
            return self.s.accept()

        def __getattr__(self, k):
            return getattr(self.s, k)

    real = door.server._sock
    loop.poll.discard(real)
    ful = door.server._sock = Full(real)
    door.server._poller.addReader(door.server, ful)
    door.server._accept()
    assert door.server.full and ful not in loop.poll.direct
    # one connection goes, and it listens again
    first.s.close()
    assert loop.until(lambda: not door.server.full) and ful in loop.poll.direct
    loop.poll.discard(ful)
    door.server._sock = real
    loop.poll.addReader(door.server, real)
    c = call()
    c.send(req('GET', '/x'))
    assert c.answer()[0] == 200
