"""Beats that a cut connection or another path held up, and what they must not bring about."""

import pytest
from yard_cell import QUEUES, Cell


@pytest.fixture
def c():
    return Cell(QUEUES)


def account(m, count, state='ready', **over):
    return dict(m.fix, count=count, state=state, running=[], finished=[]) | over


def leave(c, mid):
    got = []
    c.mute.add(mid)
    c.tender.leave(mid, lambda code, body=None: got.append(code))
    assert got == ['ok']


@pytest.mark.parametrize('word', [{'state': 'draining'}, {'running': [['x.0.0.1', 1, '', 5]]}, {}])
def test_a_beat_that_comes_behind_its_minions_leave_does_not_bring_it_back(c, word):
    m = c.minion('m1')
    m.fix['state'] = 'draining'
    c.go(1500)
    leave(c, 'm1')
    got = []
    # sent before the leave, on a connection of its own
    c.tender.beat('m1', account(m, m.count + 1, **word), lambda code, body=None: got.append((code, body)))
    beg = c.now
    c.go(100)
    assert got == [('ok', {})] and c.tender.links['m1'].state == 'closed'
    # and its work is given up as soon as that of any minion that has left
    assert c.tender.links['m1'].lapse <= beg + c.st.call.stop_grace_ms


def test_a_process_that_begins_anew_under_the_same_identifier_is_taken(c):
    m = c.minion('m1')
    c.go(3000)
    leave(c, 'm1')
    m.count = 0
    c.mute.clear()
    c.go(1500)
    assert c.tender.links['m1'].state == 'registered' and c.tender.open(c.tender.links['m1'])


def test_an_older_beat_changes_nothing(c):
    m = c.minion('m1')
    c.go(1500)
    link, got = c.tender.links['m1'], []
    was, m.fix['cpu'] = link.room, 1
    c.tender.beat('m1', account(m, m.count - 1), lambda code, body=None: got.append((code, body)))
    assert got == [('ok', {})] and link.room == was and link.drain == 0
