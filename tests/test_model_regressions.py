"""Faults that the model found, each brought about by hand on one or two replicas."""

import random

from asterwharf.sim.model import adapter
from asterwharf.sim.model.register import Register, order

MEMBERS = {'a': 'a#0', 'b': 'b#0', 'c': 'c#0'}


class One:
    """One founded replica and what it says; every batch is synced at once."""

    def __init__(self, name='a'):
        self.disk, self.now, self.said = adapter.new_disk(f'{name}#0'), 10_000, []
        self.replica = adapter.Replica(
            name, self.disk, adapter.settings(keep_log=100), random.Random(1), Register(), self.now
        )
        self.replica.found(MEMBERS)
        self.settle()

    def settle(self):
        while True:
            batch, messages, _ = self.replica.take()
            self.said += messages
            if batch is None and not messages:
                return
            if batch is not None:
                adapter.write(self.disk, batch)
                self.replica.synced(batch.num, 0, self.now)

    def hear(self, sender, kind, **body):
        """What it says to this one message."""
        self.said = []
        self.replica.hear(sender, kind, {'grp': adapter.GROUP, **body}, self.now)
        self.settle()
        return [(m.to, m.kind, m.body) for m in self.said]

    def append(self, sender, view, count, commit=0, beat=1, first=1):
        entries = [
            {'op': i, 'view': view, 'kind': 'change', 'body': order(i, 0, i)} for i in range(first, first + count)
        ]
        stamp = view if first > 1 else 0
        return self.hear(
            sender, 'append', view=view, beat=beat, prev=first - 1, stamp=stamp, upto=commit, entries=entries
        )


def test_an_answer_to_an_older_view_answers_no_heartbeat_of_this_one():
    one = One()
    one.append('b', 5, 1)
    (_, kind, body), *_ = one.append('b', 4, 1, beat=17)
    assert kind == 'append_reply' and not body['ok']
    # `view` is the replica's own: in it nobody sent a heartbeat 17
    assert body['view'] == 5 and body['beat'] == 0


def test_a_pre_vote_in_a_view_that_is_over_hears_of_the_newer_one():
    one = One()
    one.append('b', 7, 1)
    one.now += 5000
    one.replica.tick(one.now, one.now, [])
    one.settle()
    # the candidate's log is newer, but it is still in view 6: without this answer it would ask for 7 for ever
    said = one.hear('c', 'pre_vote', view=7, op=9, stamp=7)
    assert any(body.get('view', 0) >= 7 and not body['ok'] and kind == 'vote_reply' for _, kind, body in said)


def test_a_snapshot_keeps_the_acknowledged_entries_after_it():
    one = One()
    replies = one.append('b', 1, 10, commit=2)
    assert replies[-1][2]['ok'] and replies[-1][2]['op'] == 10
    rows = [{'k': 'state', 'v': b'\xff\xff\xff\xff[6, "x", 6]'}]
    one.hear('b', 'install_snapshot', view=1, op=6, stamp=1, seats=MEMBERS, part=0, last=True, rows=rows)
    # it said that it has them: they stay in its log and on its disk
    assert one.replica.last == 10 and one.replica.commit == 6
    for index in range(7, 11):
        assert adapter.on_disk(one.disk, index, one.replica.raw(index))
