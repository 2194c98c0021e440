"""Requests between nodes: whose answer counts, what is sent again, and what is too old to be carried out."""

import random

import pytest

from asterwharf.base.board import Board
from asterwharf.base.settings import Settings
from asterwharf.scheduler.atlas import Atlas
from asterwharf.scheduler.request_router import CLOCKED, RequestRouter
from asterwharf.sim.fleet import Fleet
from asterwharf.wire.schema import PROTO

# how long an operator's request is worth anything to it, in ms
PATIENCE = 950


# --- one router, and nodes that the test speaks for
class Routed:
    """An edge that is connected with three core nodes, of which t0 leads the core group."""

    def __init__(self, **links):
        st = Settings(name='e0', bind='10.0.0.9:1', seeds=['10.0.0.1:1'])
        self.board = Board(st, 'furrow', 'inc', random.Random(1), 5000, 1_700_000_005_000)
        self.board.atlas, self.board.proto = Atlas(), PROTO
        self.router, self.answers = RequestRouter(self.board), []
        self.board.holders['core'] = ('t0', 1)
        for name in ('t0', 't1', 't2'):
            self.connect(name)

    def connect(self, name, clock=100_000):
        """The connection stands and the peer has told its clock (ms)."""
        self.board.links[name] = {'name': name, 'role': 'trellis', 'proto': PROTO}
        self.router.up(name)
        self.router.on_roll(name, {'clock': clock, 'node': [], 'holders': {}})

    def start(self, op, caller=None, **args):
        self.router.start(op, 'core', args, lambda *answer: self.answers.append(answer), PATIENCE, caller)
        return self.sent()

    def sent(self):
        """(node, message) of the requests that went out since the last look."""
        out = [(e[1], e[3]) for e in self.board.out if e[0] == 'send' and e[2] == 'request']
        self.board.out.clear()
        return out

    def answer(self, src, request, code, body=None, hint=''):
        self.router.on_response(src, {'id': request['id'], 'code': code, 'body': body, 'hint': hint})
        return self.sent()

    def run(self, ms):
        out = []
        for _ in range(0, ms, 20):
            self.board.now += 20
            self.router.tick()
            out += self.sent()
        return out

    def lose(self, name):
        del self.board.links[name]
        self.router.lost(name)


ZONE = {'zone': 'z1', 'emptied': True}


def test_a_late_answer_of_an_earlier_attempt_sends_nothing_again():
    r = Routed()
    [(first, request)] = r.start('y_submit', id='a')
    r.lose(first)
    [(second, _)] = r.run(40)
    assert second != first
    r.connect(first)
    # the first node's word comes late, while the second may be carrying the request out
    assert r.answer(first, request, 'no_holder', hint='t2') == []
    assert not r.answers


def test_a_refusal_is_unsure_while_another_attempt_may_have_been_taken_and_sure_once_it_is_known_not_to():
    for late, outcome in ((False, 'unsure'), (True, 'overload')):
        r = Routed()
        [(first, request)] = r.start('y_submit', id='a')
        r.lose(first)
        [(second, other)] = r.run(40)
        if late:
            r.connect(first)
            r.answer(first, request, 'no_holder')
        r.answer(second, other, 'overload', {'retry_ms': 1000})
        assert [code for code, _ in r.answers] == [outcome]


def test_an_answer_counts_only_from_the_node_that_was_asked():
    r = Routed()
    [(node, request)] = r.start('y_submit', id='a')
    other = next(n for n in r.board.links if n != node)
    r.answer(other, request, 'taken')
    assert not r.answers
    r.answer(node, request, 'taken')
    r.answer(node, request, 'same')
    assert [code for code, _ in r.answers] == ['taken']


@pytest.mark.parametrize('trouble', ['silence', 'reset', 'unsure', 'new leader'])
@pytest.mark.parametrize('op', ['zone_set', 'drain', 'gone', 'replace'])
def test_what_may_not_be_repeated_is_never_sent_twice(op, trouble):
    r = Routed()
    [(node, request)] = r.start(op, **ZONE)
    sent = []
    if trouble == 'reset':
        r.lose(node)
    elif trouble == 'unsure':
        sent = r.answer(node, request, 'unsure', {'retry_ms': 1000})
    elif trouble == 'new leader':
        r.board.holders['core'] = ('t1', 2)
    assert sent + r.run(PATIENCE + 40) == []
    assert [code for code, _ in r.answers] == ['unsure']


def test_what_was_surely_not_taken_goes_on_to_the_next_node():
    r = Routed()
    [(node, request)] = r.start('zone_set', **ZONE)
    [(other, again)] = r.answer(node, request, 'no_holder', hint='t2')
    assert other == 't2' and again['id'] != request['id']
    r.answer(other, again, 'ok', ZONE)
    assert r.answers == [('ok', ZONE)]


def test_a_request_is_stamped_with_the_clock_of_the_node_it_goes_to():
    r = Routed()
    [(_, request)] = r.start('y_submit', id='a')
    # never later than the caller waits, by the receiver's own clock
    assert request['deadline'] == 100_000 + PATIENCE
    r = Routed()
    r.run(300)
    [(_, request)] = r.start('zone_set', **ZONE)
    assert 100_300 < request['deadline'] < 100_300 + PATIENCE


def test_what_arrived_too_late_is_sent_anew_while_its_caller_waits():
    r = Routed()
    [(node, request)] = r.start('zone_set', **ZONE)
    [(same, again)] = r.answer(node, request, 'late', {'clock': 107_000})
    assert same == node and again['deadline'] > 107_000
    r.run(PATIENCE)
    assert [code for code, _ in r.answers] == ['unsure']


def test_nothing_is_sent_to_a_node_whose_clock_is_not_known():
    r = Routed()
    r.lose('t0')
    r.board.links['t0'] = {'name': 't0', 'role': 'trellis', 'proto': PROTO}
    r.board.holders['core'] = ('t0', 2)
    [(node, _)] = r.start('y_submit', id='a')
    assert node != 't0'
    # an earlier release tells no clock and knows no deadline
    r.board.links['t0']['proto'] = CLOCKED - 1
    [(node, request)] = r.start('y_submit', id='b')
    assert node == 't0' and not request['deadline']


def test_nothing_is_sent_again_for_a_caller_that_has_gone():
    r, waits = Routed(), [True]
    [(node, _)] = r.start('y_submit', caller=lambda: waits[0], id='a')
    waits[0] = False
    r.lose(node)
    assert r.run(PATIENCE) == [] and [code for code, _ in r.answers] == ['unsure']


def test_an_order_without_identity_waits_a_moment_for_its_callers_end():
    for stays in (True, False):
        r, waits = Routed(), [True]
        assert r.start('zone_set', caller=lambda w=waits: w[0], **ZONE) == []
        waits[0] = stays
        assert len(r.run(100)) == stays
        # nothing has gone out for the one that has left
        assert [code for code, _ in r.answers] == ([] if stays else ['no_holder'])


# --- the whole fleet
def fleet(seed=1):
    f = Fleet(seed, minions=0, edges=2).start()
    assert f.ready()
    return f


def send(f, op, at, **args):
    """A request at one node, as its door would hand it in; the answers come into the list."""
    got, h = [], f.w.hosts[at]

    def act():
        h.node.b.now, h.node.b.wall = f.w.clocks(h)
        h.node.find(RequestRouter).start(op, 'core', args, lambda code, body: got.append(code), PATIENCE)

    f.w._do(h, act)
    return got


def insist(f, op, nodes, **args):
    """As an operator does: on to another node after a second of silence or an unclear answer."""
    for i in range(20):
        got = send(f, op, nodes[i % len(nodes)], **args)
        if f.w.until(lambda got=got: got, 1000, 20) and got[0] == 'ok':
            return
    raise AssertionError('never acknowledged')


@pytest.mark.parametrize('seed', range(4))
def test_a_begin_held_up_in_a_cut_connection_does_not_undo_an_acknowledged_finish(seed):
    f = fleet(seed)
    leader = f.holder('core')
    f.w.cut('e0', leader)
    lost = send(f, 'zone_set', 'e0', zone='z1', emptied=True)
    f.w.run(f.w.t + 1000)
    insist(f, 'zone_set', ['e1'], zone='z1', emptied=True)
    insist(f, 'zone_set', ['e1'], zone='z1', emptied=False)
    f.w.heal()
    f.w.run(f.w.t + 3000)
    assert lost in ([], ['unsure'])
    assert not f.member(f.holder('core'), 'core').mac.atlas.emptied


def test_an_answer_for_a_process_that_died_is_not_taken_for_its_successors():
    f = fleet(3)
    leader = f.holder('core')
    asker, third = (n for n in f.core if n != leader)
    f.w.kill(third)
    send(f, 'zone_set', asker, zone='z1', emptied=True)
    # the order is with the leader, and can't be delivered without the one that asked
    assert f.w.until(lambda: f.member(leader, 'core').replica.pending, 100, 1)
    f.w.kill(asker)
    f.w.start(asker)
    # the first request of the new life, given before any connection stands
    got, h = [], f.w.hosts[asker]
    f.w._do(h, lambda: h.node.find(RequestRouter).start('emptied', 'core', {}, lambda c, b: got.append((c, b))))
    assert f.w.until(lambda: got, 8000, 10)
    assert got[0][0] in ('ok', 'no_holder', 'unsure') and (got[0][0] != 'ok' or 'zones' in got[0][1])
