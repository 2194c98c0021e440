"""Callers that leave, on real sockets: what the lean listener knows of them, and who has their number next."""

import os
import socket

from test_lean import req, site  # noqa: F401  the fixture


def test_a_request_that_comes_with_its_connections_end_is_told_from_one_whose_caller_waits(site):  # noqa: F811
    loop, app, door, call = site
    for how in ('waits', 'end', 'reset', 'more'):
        c = call()
        # the process is not let read until all of it lies in the connection
        c.s.send(req('POST', '/later') + (req('GET', '/second') if how == 'more' else b''))
        if how == 'end':
            c.s.shutdown(socket.SHUT_WR)
        elif how == 'reset':
            c.s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
            c.s.close()
        seen = []
        take = app.take

        def looks(*args, seen=seen, take=take):
            seen.append(args[-1].look())
            take(*args)

        app.take = looks
        assert loop.until(lambda: seen or not door.lines)
        app.take = take
        # a reset leaves nothing to be read, or is seen by the look
        assert seen in (([True],) if how in ('waits', 'more') else ([False],) if how == 'end' else ([], [False]))
        while app.open:
            app.open.pop()(200, b'{}', {})
        if how != 'reset':
            assert c.answer()[0] == 200
            c.s.close()
            assert loop.until(lambda: not door.lines)


def test_a_caller_that_leaves_while_it_is_being_answered_is_known_to_have_left(site):  # noqa: F811
    loop, app, door, call = site
    c = call()
    c.send(req('GET', '/later'))
    give = app.open.pop()
    assert give.still_waiting()
    c.s.close()
    assert loop.until(lambda: not give.still_waiting())


def test_a_number_used_again_brings_a_new_caller_nothing_of_the_last_one(site):  # noqa: F811
    loop, app, door, call = site
    app.max_body = 1 << 24
    old, other = call(), call()
    old.send(req('GET', '/later'))
    give = app.open.pop()
    # it has closed its own half, and its large answer waits in our buffers
    old.s.shutdown(socket.SHUT_WR)
    loop.turn(0.05)
    give(200, b'x' * (1 << 24), {})
    [line] = [ln for ln in door.lines.values() if ln.ended]
    number = line.sock.fileno()
    take = app.take

    def drops(*args):
        # in one turn: another caller's request has the old connection closed, a new one comes, the old one's reset is told
        door.server.cut(line.sock)
        take(*args)

    app.take = drops
    other.s.send(req('GET', '/x'))
    new = socket.create_connection(('127.0.0.1', door.server.port))
    old.s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
    old.s.close()
    # the lowest free number must be the one of the connection that is closed in the turn
    filler = os.open(os.devnull, os.O_RDONLY)
    loop.turn(0.05)
    os.close(filler)
    assert number in [ln.sock.fileno() for ln in door.lines.values()], 'cut off, or the number was not used again'
    app.take = take
    new.send(req('GET', '/mine'))
    got = b''
    new.setblocking(False)

    def answered():
        nonlocal got
        try:
            got += new.recv(1 << 16)
        except BlockingIOError:
            pass
        return b'/mine' in got

    assert loop.until(answered)
