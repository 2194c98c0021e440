"""The sockets under the wire and the listeners: what the kernel does not take, and dials that nobody answers."""

import socket

from circuits import BaseComponent, handler
from test_lean import Loop

from asterwharf.wire.tcp import Dialer, Listener


class Sink:
    """Owns a listener that takes everything in, when it is allowed to."""

    def __init__(self):
        self.socks, self.raw = [], b''

    def came(self, sock):
        self.socks.append(sock)

    def got(self, sock, data):
        self.raw += data

    def ended(self, sock):
        pass

    def gone(self, sock):
        pass


def test_a_dialler_loses_nothing_when_the_kernel_takes_no_more():
    loop, sink = Loop(), Sink()
    lis = loop.add(Listener(('127.0.0.1', 0), sink, 'sink'))
    cli = Dialer(channel='cli')
    cli.hears = lambda data: None
    loop.add(cli)
    cli.connect('127.0.0.1', lis.port)
    assert loop.until(lambda: cli._connected and sink.socks)
    loop.poll.removeReader(sink.socks[0])
    want = b''
    for i in range(200):
        piece = bytes([i]) * 100000
        want += piece
        cli.push(piece)
    assert cli._buffer, 'the kernel took it all: send more'
    loop.poll.addReader(lis, sink.socks[0])
    assert loop.until(lambda: len(sink.raw) >= len(want)) and sink.raw == want
    assert not loop.poll.isWriting(cli._sock)
    lis.deafen()


def test_a_dial_that_nobody_answers_is_given_up_and_told_once():
    loop, told = Loop(), []

    class Hears(BaseComponent):
        channel = 'cli'

        @handler('unreachable')
        def _on_unreachable(self, *args):
            told.append(args)

    # a listener that accepts nobody: once its queue is full, whoever dials waits for an answer
    with socket.create_server(('127.0.0.1', 0), backlog=0) as srv:
        full = [socket.socket() for _ in range(4)]
        for s in full:
            s.setblocking(False)
            s.connect_ex(srv.getsockname())
        loop.add(Hears())
        cli = loop.add(Dialer(channel='cli'))
        cli.connect(*srv.getsockname())
        loop.turn(0.05)
        assert cli.going and not told
        cli.give_up()
        cli.give_up()
        loop.turn()
        assert len(told) == 1 and not cli.going and cli._sock.fileno() == -1
        for s in full:
            s.close()


def test_a_connection_is_told_before_what_the_peer_sent_and_before_its_end():
    loop, told = Loop(), []
    with socket.create_server(('127.0.0.1', 0)) as srv:
        cli = Dialer(channel='cli')
        cli.hears, cli.made = told.append, lambda: told.append('made')
        loop.add(cli)
        cli.connect(*srv.getsockname())
        peer, _ = srv.accept()
        peer.send(b'hello')
        peer.close()
        assert loop.until(lambda: not cli._connected and not cli.going) and told == ['made', b'hello']
