"""What a replica has acknowledged stays with it, and it votes with all that it has: found by the model of a group."""

import random

from asterwharf.base.settings import View
from asterwharf.consensus.log import OPENING, Entry
from asterwharf.consensus.replica import Replica
from asterwharf.scheduler.cell import Cell
from asterwharf.wire import kinds  # noqa: F401

SILENCE = 1000
MEMBERS = dict.fromkeys('abc', 'first')


def restarted(entries, incarnation='first', members=MEMBERS, now=SILENCE * 10):
    """Replica `a`, begun long ago with this many entries of view 1 on its disk and none known as committed."""
    log = [(index, Entry(index, 1, OPENING).encode()) for index in range(1, entries + 1)]
    meta = {'view': 1, 'vote': '', 'cut': [0, 0], 'rows': [0, 0], 'seats': members}
    saved = {'meta': meta, 'log': log, 'rows': {}}
    replica = Replica('g', 'a', incarnation, View(silence_ms=SILENCE), random.Random(1), Cell(), saved, 0)
    replica.now = now
    return replica


def replies(replica, kind):
    """The messages of this kind that go out once all is synced, and the batch that was written before."""
    out = replica.take_output()
    messages = list(out.messages)
    if out.batch:
        replica.synced(out.batch.num, 0, replica.now)
        messages += replica.take_output().messages
    return [message.body for message in messages if message.kind == kind], out.batch


def snapshot(index, view):
    return {'grp': 'g', 'view': 2, 'op': index, 'stamp': view, 'seats': MEMBERS, 'part': 0, 'last': True, 'rows': []}


def test_a_snapshot_drops_nothing_that_follows_it_in_the_log():
    replica = restarted(5)
    replica.receive('b', 'install_snapshot', snapshot(3, 1), replica.now)
    got, batch = replies(replica, 'snapshot_reply')
    assert got == [{'grp': 'g', 'view': 2, 'op': 3, 'part': -1}]
    assert (replica.log.last, replica.commit_index) == (5, 3)
    assert not batch.wipe and batch.trim is None


def test_a_snapshot_replaces_a_log_that_differs_from_it():
    replica = restarted(5)
    replica.receive('b', 'install_snapshot', snapshot(3, 2), replica.now)
    _, batch = replies(replica, 'snapshot_reply')
    assert (replica.log.last, replica.commit_index) == (3, 3) and batch.wipe


def test_a_replica_votes_that_has_not_received_yet_that_it_is_a_member():
    # its place was given to the incarnation of its new disk by a change that it has not received
    replica = restarted(5, incarnation='second')
    request = {'grp': 'g', 'view': 2, 'op': 6, 'stamp': 1, 'appointed': False}
    replica.receive('b', 'pre_vote', request, replica.now)
    replica.receive('b', 'request_vote', request, replica.now)
    assert [r['ok'] for r in replies(replica, 'pre_vote_reply')[0]] == [True]
    replica.receive('c', 'request_vote', request, replica.now)
    votes = replies(replica, 'vote_reply')[0]
    assert [(v['ok'], v['inc']) for v in votes] == [(False, 'second')] and replica.vote == 'b'


def test_a_replica_without_a_log_does_not_vote():
    replica = restarted(0, incarnation='second', members={})
    replica.receive('b', 'request_vote', {'grp': 'g', 'view': 2, 'op': 6, 'stamp': 1, 'appointed': False}, replica.now)
    assert replies(replica, 'vote_reply')[0] == []
