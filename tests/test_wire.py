"""The wire: older schemas against the present ones, and streams that are no frames of ours."""

import random

import pytest

from asterwharf.wire import (
    kinds,  # noqa: F401
    schema,
)
from asterwharf.wire.frame import LEN, Cutter, frame
from asterwharf.wire.schema import Alien, pack, unpack


@pytest.fixture
def grown():
    """A kind that has grown a field, a list and a nested field since its first release."""
    schema.kind(
        9001,
        'grown',
        {'a': 's', 'rows': [{'x': 'l'}]},
        {'a': 's', 'rows': [{'x': 'l', 'y': 's'}], 'more': 'S', 'doc': 'j', 'on': 'b'},
    )
    yield
    del schema.KINDS['grown'], schema.IDS[9001]


def test_an_older_writer_is_read_with_defaults(grown):
    old = pack('grown', {'a': 'q', 'rows': [{'x': 3}]}, seq=1)
    assert unpack(old) == ('grown', {'a': 'q', 'rows': [{'x': 3, 'y': ''}], 'more': [], 'doc': None, 'on': False})


def test_a_newer_writer_can_speak_the_older_sequence(grown):
    raw = pack('grown', {'a': 'q', 'rows': [{'x': 3, 'y': 'new'}], 'more': ['m'], 'on': True}, seq=1)
    assert unpack(raw)[1]['rows'] == [{'x': 3, 'y': ''}]


def test_an_unknown_sequence_is_alien(grown):
    raw = bytearray(pack('grown', {'a': 'q'}))
    raw[2] = 7
    with pytest.raises(Alien, match='unknown sequence 7'):
        unpack(bytes(raw))


def test_frames_cut_anywhere_come_out_whole():
    docs = [{'grp': 'g', 'view': i, 'ok': bool(i % 2), 'inc': 'x' * i} for i in range(50)]
    raw = b''.join(frame('pre_vote_reply', d) for d in docs)
    r, cut, got = random.Random(1), Cutter(), []
    while raw:
        n = r.randint(1, 40)
        got += cut.feed(raw[:n])
        raw = raw[n:]
    assert [d for _, d in got] == docs


@pytest.mark.parametrize(
    'raw',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        LEN.pack(3) + b'abc',
        LEN.pack(5) + b'\x00\x0bZZZ',
        LEN.pack(1 << 31),
        LEN.pack(4) + b'\x00\x0b\x01\xff',
    ],
)
def test_foreign_streams_are_alien(raw):
    with pytest.raises(Alien):
        Cutter().feed(raw)


def test_noise_never_gets_through_as_a_fault_of_ours():
    r = random.Random(7)
    for _ in range(3000):
        raw = bytearray(
            frame(
                'append',
                {'grp': 'core', 'view': 3, 'entries': [{'op': 1, 'view': 1, 'kind': 'change', 'body': b'abc'}]},
            )
        )
        for _ in range(r.randint(1, 4)):
            raw[r.randrange(4, len(raw))] = r.randrange(256)
        try:
            Cutter().feed(bytes(raw))
        except Alien:
            pass
