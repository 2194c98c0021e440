"""The queues document and emptied zones in a whole fleet: who wins, what is read back, how they reach every node."""

import json

import pytest
from test_queues import GROUP, doc, queue

from asterwharf.base.settings import View
from asterwharf.scheduler import queues
from asterwharf.scheduler.request_router import RequestRouter
from asterwharf.sim.fleet import Fleet
from asterwharf.wire.schema import PROTO


def fleet(seed=1, **kws):
    f = Fleet(seed, minions=0, edges=2, **kws).start()
    assert f.ready()
    return f


def send(f, op, at='e0', **args):
    """An order at one node; the answers come into the list."""
    got, h = [], f.w.hosts[at]

    def act():
        h.node.b.now, h.node.b.wall = f.w.clocks(h)
        h.node.find(RequestRouter).start(op, 'core', args, lambda code, body: got.append((code, body)))

    f.w._do(h, act)
    return got


def ask(f, op, at='e0', **args):
    got = send(f, op, at, **args)
    assert f.w.until(lambda: got, 15000, 20)
    return got[0]


def put(f, d, base, at='e0'):
    return ask(f, 'queues_put', at, doc=d, base=base, by='op')


def insist(f, op, at=('e0', 'e1'), **args):
    """As an operator does: the same order again, at any node, until the answer is clear."""
    for i in range(30):
        code, body = ask(f, op, at[i % len(at)], **args)
        if code not in ('unsure', 'no_holder'):
            return code, body
        f.w.run(f.w.t + 300)
    raise AssertionError('no clear answer')


def numbers(f):
    return {n: f.node(n).b.atlas.number for n in f.core + f.edges if f.node(n)}


def test_orders_that_are_no_orders_are_refused_and_harm_nobody():
    f = fleet()
    for base in (None, '0', -1, True, 1 << 70, 1.0):
        assert put(f, doc(1), base)[0] == 'bad_field'
    for d in (None, 3, 'x', [], {}, doc(1, queues=[queue(1, timeout_ms=0)])):
        assert put(f, d, 0)[0] == 'bad_config'
    for more in (
        {},
        {'number': 2, 'set': 3},
        {'number': 2, 'set': {'queues': [{}]}},
        {'number': 2, 'drop': {'queues': [1]}},
        {'number': 2, 'set': {'limits': []}},
        {'number': 2, 'set': {'queues': [queue(1), queue(1)], 'groups': [GROUP]}},
    ):
        assert ask(f, 'queues_change', base=0, **more)[0] == 'bad_config', more
    for more in (
        {},
        {'zone': 'z1'},
        {'zone': 'a b', 'emptied': True},
        {'zone': 'z1', 'emptied': 1},
        {'zone': [], 'emptied': True},
    ):
        assert ask(f, 'zone_set', **more)[0] == 'bad_field'
    assert set(numbers(f).values()) == {0} and put(f, doc(1), 0) == ('ok', {'number': 1})


def watched(f):
    """Every time a process went back to an older document within its life; and which documents were in force."""
    seen, back, docs = {}, [], {}

    def look():
        for n, num in numbers(f).items():
            key = n, f.w.hosts[n].life
            if num < seen.get(key, 0):
                back.append((f.w.t, n, num, seen[key]))
            if num and seen.get(key) != num:
                docs.setdefault(num, set()).add(json.dumps(f.node(n).b.atlas.queues.doc))
            seen[key] = num
        f.w.after(20, look)

    look()
    return back, docs


class Operator:
    """Sends documents and changes on top of the newest it knows, each again unchanged until the answer is clear."""

    def __init__(self, f, name, told):
        self.f, self.name, self.told, self.n, self.on = f, name, told, 0, True

    def begin(self, base):
        if not self.on:
            return None
        self.n += 1
        num, mark = base + self.f.w.rng.randint(1, 5), f'{self.name}{self.n}'
        if self.f.w.rng.random() < 0.5 and base:
            args = {'number': num, 'set': {'queues': [queue(99, kind=mark)]}, 'drop': {'queues': ['q0']}}
            return self.send('queues_change', args, base, num, mark)
        return self.send('queues_put', {'doc': doc(num, 2, queues=[queue(99, kind=mark)])}, base, num, mark)

    def send(self, op, args, base, num, mark):
        def then(code, body):
            if code in (None, 'unsure', 'no_holder'):
                return self.f.w.after(300, self.send, op, args, base, num, mark)
            self.told.append((code, base, num, mark))
            top = max([n for c, _, n, _ in self.told if c == 'ok'] + [body['number'] if code == 'stale' else 0])
            self.f.w.after(self.f.w.rng.randint(100, 1500), self.begin, top)

        self.f.call._call(op, 'core', dict(args, base=base, by=self.name), then)
        if self.f.w.rng.random() < 0.3:
            self.f.w.after(self.f.w.rng.randint(4, 16), self.strike)

    def strike(self):
        """The holder dies while the order is under way."""
        n = self.f.holder('core')
        if n and all(self.f.w.hosts[x].alive for x in self.f.core):
            self.f.w.kill(n)
            self.f.w.after(1000, lambda: self.f.w.hosts[n].alive or self.f.w.start(n))


# --- who wins, what is remembered, what is read back
def test_of_two_on_one_base_one_wins_and_a_repeat_is_answered_as_the_first_was():
    f = fleet(2)
    assert put(f, doc(1), 0)[0] == 'ok'
    one, two = send(f, 'queues_put', 'e0', doc=doc(4), base=1), send(f, 'queues_put', 'e1', doc=doc(3, 5), base=1)
    assert f.w.until(lambda: one and two, 15000)
    assert sorted(g[0][0] for g in (one, two)) == ['ok', 'stale']
    won, base = (doc(4), 1) if one[0][0] == 'ok' else (doc(3, 5), 1)
    lost = doc(3, 5) if one[0][0] == 'ok' else doc(4)
    assert ask(f, 'queues_get')[1]['doc'] == won
    assert put(f, doc(9), won['number'])[0] == 'ok'
    # whatever came since
    assert put(f, won, base, 'e1') == ('ok', {'number': won['number']})
    assert put(f, lost, base) == ('stale', {'number': 9})
    # on another base it is another order, and its number is not above the one in force
    assert put(f, doc(9), 9)[0] == 'bad_config' and ask(f, 'queues_get')[1]['doc'] == doc(9)


def test_a_document_repeated_after_silence_is_taken_once():
    for seed in range(5):
        f = fleet(20 + seed)
        assert put(f, doc(1), 0)[0] == 'ok'
        got = send(f, 'queues_put', 'e0', doc=doc(7), base=1)
        f.w.run(f.w.t + f.w.rng.randint(1, 12))
        f.crash(f.holder('core'))
        # the operator waits a second, then sends it again elsewhere
        f.w.run(f.w.t + 1000)
        assert insist(f, 'queues_put', doc=doc(7), base=1, by='op') == ('ok', {'number': 7}), seed
        assert insist(f, 'queues_get')[1]['number'] == 7 and (not got or got[0][0] in ('ok', 'unsure'))


def test_a_deposed_holder_refuses_nothing():
    f = fleet(4)
    assert put(f, doc(1), 0)[0] == 'ok'
    old = f.holder('core')
    f.w.part([old], [n for n in f.core + f.edges if n != old])
    # it does not know yet that it is alone, and must not judge by what it has
    got = send(f, 'queues_put', old, doc=doc(6), base=5)
    assert f.w.until(lambda: f.holder('core') != old, 15000)
    assert insist(f, 'queues_put', doc=doc(5), base=1, by='')[0] == 'ok'
    assert f.w.until(lambda: got, 15000) and got[0][0] in ('unsure', 'no_holder'), got
    f.w.heal()
    assert insist(f, 'queues_put', doc=doc(6), base=5) == ('ok', {'number': 6})


def test_a_refusal_says_nothing_of_an_earlier_sending():
    f = fleet(5)
    fer, got = f.node('e0').find(RequestRouter), []
    for code in ('stale', 'bad_config'):
        fer.start('queues_put', 'core', {}, lambda c, b: got.append(c))
        t = list(fer.pending.values())[-1]
        t.unsure = True
        [(attempt, node)] = t.open.items()
        fer.on_response(node, {'id': attempt, 'code': code, 'body': {}, 'hint': ''})
    assert got == ['unsure', 'unsure']


def test_it_is_read_back_exactly_as_it_was_sent():
    f = fleet(6)
    odd = {'b': [1, 2.50, -0.0, 1e300, 10**40, None, True, {'ü': '\ud800', 'z': {}, 'a': []}], 'a': ''}
    d = {
        'more': odd,
        'limits': {'more': odd, 'idle_ms': 5},
        'number': 77,
        'groups': [{'more': odd, 'name': 'g'}],
        'queues': [
            {'more': odd, 'prefix': '/a', 'name': 'ä', 'host': 'h', 'group': 'g', 'stretch': 2},
            queue(1, group='g'),
        ],
    }
    assert put(f, d, 0) == ('ok', {'number': 77})
    code, got = ask(f, 'queues_get', 'e1')
    assert code == 'ok' and got['number'] == 77 and got['by'] == 'op' and got['at'] > 0
    # also the order of the fields, and the difference between 2 and 2.0
    assert json.dumps(got['doc']) == json.dumps(d)
    assert f.w.until(lambda: set(numbers(f).values()) == {77}, 5000)
    assert json.dumps(f.node('e1').b.atlas.queues.doc) == json.dumps(d)
    assert ask(f, 'queues_get', known=77) == ('no_news', {'number': 77})


def test_a_change_is_checked_as_a_whole_and_is_idempotent():
    f = fleet(7)
    one = {'base': 0, 'number': 2, 'set': {'queues': [queue(0)], 'groups': [GROUP]}, 'by': 'op'}
    assert ask(f, 'queues_change', **one) == ('ok', {'number': 2})
    code, got = ask(f, 'queues_change', base=2, number=3, drop={'groups': ['fit']})
    assert code == 'bad_config' and got['details'] == ["queues[0].group: no group 'fit'"]
    assert ask(f, 'queues_change', base=2, number=2, drop={})[0] == 'bad_config'
    two, three = ({'base': 2, 'number': n, 'set': {'queues': [queue(n)]}} for n in (4, 5))
    a, b = send(f, 'queues_change', 'e0', **two), send(f, 'queues_change', 'e1', **three)
    assert f.w.until(lambda: a and b, 15000) and sorted((a[0][0], b[0][0])) == ['ok', 'stale']
    won = two if a[0][0] == 'ok' else three
    assert ask(f, 'queues_change', base=won['number'], number=9, drop={'queues': ['q0']})[0] == 'ok'
    assert ask(f, 'queues_change', **one) == ('ok', {'number': 2})
    assert ask(f, 'queues_change', **won) == ('ok', {'number': won['number']})
    assert ask(f, 'queues_get')[1]['doc'] == {'number': 9, 'queues': [queue(won['number'])], 'groups': [GROUP]}


def test_it_survives_restarts_snapshots_and_wiped_disks():
    f = fleet(9, view=View(keep_log=10, chunk=2000))
    for i in range(30):
        assert put(f, doc(i + 1, 20), i)[0] == 'ok'
    assert ask(f, 'zone_set', zone='z2', emptied=True)[0] == 'ok'
    assert f.member(f.holder('core'), 'core').replica.log.snapshot_index > 10
    for n in f.core:
        f.w.kill(n)
    for n in f.core:
        f.w.start(n)
    assert insist(f, 'queues_get')[1]['doc'] == doc(30, 20)
    assert insist(f, 'queues_put', doc=doc(3, 20), base=2, by='op') == ('ok', {'number': 3})
    for _ in range(3):
        n = f.holder('core')
        f.w.kill(n)
        f.w.wipe(n)
        f.w.start(n)
        assert f.w.until(
            lambda: all(
                f.holder(g)
                and f.member(n, g).replica.is_member
                and not any(f.member(x, g).replica.changing for x in f.core)
                for g in ('core', 'commons')
            ),
            20000,
        )
    assert insist(f, 'queues_get')[1]['doc'] == doc(30, 20)
    assert insist(f, 'queues_put', doc=doc(5, 20), base=4, by='op') == ('ok', {'number': 5})
    assert f.w.until(
        lambda: set(numbers(f).values()) == {30} and all(f.node(n).b.atlas.emptied == {'z2'} for n in f.core + f.edges),
        9000,
    )


def test_a_large_document_is_checked_in_slices():
    sizes = list(queues.checking(doc(1, 2 * queues.SLICE + 5)))
    assert sizes == [queues.SLICE] * 2
    f = fleet(10, view=View(chunk=20000))
    assert put(f, doc(1, 2000), 0)[0] == 'ok' and ask(f, 'queues_get')[1]['doc'] == doc(1, 2000)


# --- how it reaches the nodes
def test_news_reach_every_node_soon_and_nobody_goes_back():
    f = fleet(11)
    back, _ = watched(f)
    for i in range(4):
        assert put(f, doc(i + 1), i, f'e{i % 2}')[0] == 'ok'
        assert f.w.until(lambda: set(numbers(f).values()) == {i + 1}, 1000), numbers(f)
    # one edge has lost its link to the holder; the other all to the core, and has it from the first, by the digests
    f.w.part(['e0'], f.core)
    f.w.cut('e1', f.holder('core'))
    assert insist(f, 'queues_put', f.core, doc=doc(9), base=4)[0] == 'ok'
    assert f.w.until(lambda: f.node('e1').b.atlas.number == 9, 2000)
    assert f.w.until(lambda: f.node('e0').b.atlas.number == 9, 15000)
    f.w.heal()
    for n in list(f.core):
        f.crash(n)
        f.w.run(f.w.t + 500)
        f.w.start(n)
        f.w.run(f.w.t + 4000)
    assert insist(f, 'queues_put', doc=doc(12), base=9)[0] == 'ok'
    assert f.w.until(lambda: set(numbers(f).values()) == {12}, 5000) and not back, back


@pytest.mark.parametrize('seed', range(4))
def test_two_operators_among_faults_lose_and_double_nothing(seed):
    f, told = fleet(40 + seed), []
    (back, docs), rng = watched(f), f.w.rng
    ops = [Operator(f, n, told) for n in ('a', 'b')]
    for o in ops:
        o.begin(0)
    for _ in range(12):
        f.w.run(f.w.t + rng.randint(500, 2500))
        n, how = rng.choice([*f.core, f.holder('core') or f.core[0]]), rng.choice(('kill', 'cut', 'freeze', 'power'))
        if how == 'cut':
            f.w.part([n], [x for x in f.core + f.edges if x != n])
        elif how == 'freeze':
            f.w.freeze(n)
        else:
            for x in [n] if how == 'kill' else f.core:
                f.w.kill(x)
        f.w.run(f.w.t + rng.randint(100, 4000))
        f.w.heal()
        for x in f.core:
            f.w.thaw(x)
            if not f.w.hosts[x].alive:
                f.w.start(x)
    f.w.run(f.w.t + 8000)
    ok = {m: (b, n) for c, b, n, m in told if c == 'ok'}
    assert len(ok) > 8 and len({b for b, _ in ok.values()}) == len(ok), 'two were accepted on one base'
    assert {c for c, *_ in told} <= {'ok', 'stale'} and not back, back
    assert all(len(d) == 1 for d in docs.values())
    seen = {json.loads(d)['queues'][-1]['kind'] for (d,) in docs.values()}
    assert not seen & {m for c, _, _, m in told if c != 'ok'}, 'a refused one was in force'
    # then they stop, and what is read back is the newest accepted one, whole
    for o in ops:
        o.on = False
    f.w.run(f.w.t + 8000)
    got = insist(f, 'queues_get')[1]
    mark, num = got['doc']['queues'][-1]['kind'], got['number']
    last = max(((c, n, m) for c, _, n, m in told if c == 'ok'), key=lambda r: r[1])
    assert (num, mark) == last[1:] and got['doc']['number'] == num and set(numbers(f).values()) == {num}


def test_an_emptied_zone_reaches_every_node_and_is_taken_back():
    f = fleet(12)

    def everywhere(*zones):
        return f.w.until(lambda: all(f.node(n).b.atlas.emptied == set(zones) for n in f.core + f.edges), 1000)

    for _ in range(2):
        assert ask(f, 'zone_set', zone='z1', emptied=True) == ('ok', {'zone': 'z1', 'emptied': True})
        assert everywhere('z1')
    assert ask(f, 'zone_set', 'e1', zone='z3', emptied=True)[0] == 'ok' and everywhere('z1', 'z3')
    code, got = ask(f, 'emptied')
    assert code == 'ok' and [r['zone'] for r in got['zones']] == ['z1', 'z3'] and got['zones'][0]['since'] > 0
    for _ in range(2):
        assert ask(f, 'zone_set', zone='z1', emptied=False)[0] == 'ok' and everywhere('z3')


@pytest.mark.parametrize('old', ['t0', 't1', 't2'])
def test_nothing_is_taken_while_a_seat_could_not_read_it(old):
    # the last protocol that knows no such orders
    f = fleet(13, olds={old: 3})
    assert put(f, doc(1), 0)[0] == 'no_holder' and ask(f, 'zone_set', zone='z1', emptied=True)[0] == 'no_holder'
    assert ask(f, 'queues_get') == ('ok', {'number': 0, 'by': '', 'at': 0, 'doc': {}})
    f.w.kill(old)
    f.protos[old] = PROTO
    f.w.start(old)
    assert (
        insist(f, 'queues_put', doc=doc(1), base=0)[0] == 'ok'
        and insist(f, 'zone_set', zone='z1', emptied=True)[0] == 'ok'
    )


@pytest.mark.parametrize('old', [PROTO - 2, PROTO - 1])
def test_an_edge_of_an_older_release_serves_on_beside_it(old):
    f = fleet(14, olds={'e1': old})
    assert put(f, doc(1), 0, 'e1')[0] == 'ok' and ask(f, 'queues_get', 'e1')[1]['doc'] == doc(1)
