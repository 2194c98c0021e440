"""Accepted orders are remembered for days of hundreds of changes, one row each, and are never refused when repeated."""

import json

import pytest
from test_queues import doc, queue
from test_queues_fleet import ask, fleet, insist, put, send

from asterwharf.base.settings import View
from asterwharf.scheduler import queues
from asterwharf.scheduler.configuration import order_digest
from asterwharf.scheduler.configuration.accepted_orders import LEGACY_KEPT, LEGACY_ROW, ORDERS_KEPT, AcceptedOrders
from asterwharf.scheduler.configuration.state_machine import ConfigurationStateMachine
from asterwharf.wire.schema import PROTO, Alien, pack, unpack

# the last protocol that knows nothing of rows for single orders
BEFORE = 4


def accept(core, op, number, base):
    return core.apply(
        op,
        pack(
            'c_queues',
            {
                'number': number,
                'base': base,
                'by': 'op',
                'at': op,
                'sum': f's{number}',
                'doc': queues.squeeze(json.dumps(doc(number, 1))),
            },
        ),
    )


def core_with(last, floor=PROTO):
    core = ConfigurationStateMachine()
    core.floor = floor
    for n in range(1, last + 1):
        assert accept(core, n, n, n - 1).accepted
    return core


# --- the memory alone
def test_a_day_of_a_thousand_changes_is_remembered_through_its_rows():
    core = core_with(1000)
    restarted = ConfigurationStateMachine()
    restarted.load(core.delta())
    for c in (core, restarted):
        for n in (1, 2, 500, 1000):
            got = accept(c, 2000 + n, n, n - 1)
            assert got.accepted and got.number == n
        assert c.number == 1000 and accept(c, 5000, 2000, 7).stale


def test_one_change_writes_its_own_row_and_no_other():
    core = core_with(900)
    core.delta()
    for n in range(901, 911):
        accept(core, n, n, n - 1)
        rows = core.delta()
        assert set(rows) == {'queues', f'order:s{n}'} and len(rows[f'order:s{n}']) < 40
    # a repeat and a refusal write nothing
    accept(core, 2000, 5, 4)
    accept(core, 2001, 9999, 4)
    assert not core.delta()


def test_the_oldest_are_dropped_beyond_the_bound_one_by_one():
    orders = AcceptedOrders()
    for n in range(ORDERS_KEPT):
        orders.add(f's{n}', n, n)
    orders.changes(PROTO)
    orders.add('new', ORDERS_KEPT, ORDERS_KEPT)
    rows = orders.changes(PROTO)
    assert set(rows) == {'order:s0', 'order:new'} and rows['order:s0'] is None
    assert len(orders) == ORDERS_KEPT and orders.number('s0') is None and orders.number('s1') == 1


def test_the_order_of_dropping_survives_the_rows():
    orders = AcceptedOrders()
    # digests that sort the other way round than the orders were accepted
    for n in range(20):
        orders.add(f's{99 - n}', n + 1, n + 1)
    again = AcceptedOrders()
    again.load(dict(sorted(orders.changes(PROTO).items())))
    assert list(again.digests()) == list(orders.digests())


def test_what_was_dropped_before_it_was_ever_written_leaves_no_row():
    orders = AcceptedOrders()
    for n in range(ORDERS_KEPT + 5):
        orders.add(f's{n}', n, n)
    rows = orders.changes(PROTO)
    assert all(rows[f'order:s{n}'] is None for n in range(5)) and len(rows) == ORDERS_KEPT + 5


# --- releases
def test_the_row_of_an_earlier_release_is_read_and_replaced_by_single_rows():
    old = {LEGACY_ROW: pack('r_taken', {'rows': [{'sum': f's{n}', 'number': n} for n in range(5, 1, -1)]})}
    core = ConfigurationStateMachine()
    core.load(old)
    assert accept(core, 10, 3, 1).number == 3
    rows = core.delta()
    assert rows[LEGACY_ROW] is None and {k for k in rows if k != LEGACY_ROW} == {f'order:s{n}' for n in (2, 3, 4, 5)}
    again = ConfigurationStateMachine()
    again.load({k: v for k, v in rows.items() if v is not None})
    # the order in which they were accepted is kept too
    assert list(again.accepted.digests()) == ['s5', 's4', 's3', 's2']
    assert not again.delta()


def test_while_a_replica_of_an_earlier_release_is_there_its_one_row_is_written():
    core = core_with(LEGACY_KEPT + 20, floor=BEFORE)
    rows = core.delta()
    assert set(rows) == {'queues', LEGACY_ROW}
    assert len(unpack(rows[LEGACY_ROW], BEFORE)[1]['rows']) == LEGACY_KEPT
    for raw in rows.values():
        assert unpack(raw, BEFORE)
    # all know the new rows: what is remembered is written once
    core.floor = PROTO
    rows = core.delta()
    assert rows.pop(LEGACY_ROW) is None and len(rows) == LEGACY_KEPT + 20
    assert not core.delta()
    with pytest.raises(Alien):
        unpack(rows['order:s1'], BEFORE)


@pytest.mark.parametrize('old', ['t0', 't1', 't2'])
def test_a_replica_of_an_earlier_release_takes_part_and_nothing_is_forgotten(old):
    f = fleet(31, olds={old: BEFORE}, view=View(keep_log=10, chunk=2000))
    for n in range(1, 26):
        assert insist(f, 'queues_put', doc=doc(n), base=n - 1)[0] == 'ok'
    assert insist(f, 'queues_put', doc=doc(3), base=2) == ('ok', {'number': 3})
    f.w.kill(old)
    f.protos[old] = PROTO
    f.w.start(old)
    assert insist(f, 'queues_put', doc=doc(26), base=25)[0] == 'ok'
    for n in range(27, 60):
        assert insist(f, 'queues_put', doc=doc(n), base=n - 1)[0] == 'ok'
    for n in f.core:
        f.w.kill(n)
    for n in f.core:
        f.w.start(n)
    for n in (1, 3, 25, 26, 59):
        assert insist(f, 'queues_put', doc=doc(n), base=n - 1) == ('ok', {'number': n})


# --- in a fleet
def test_every_order_of_a_long_day_is_acknowledged_again():
    f = fleet(32, view=View(keep_log=40, chunk=4000))
    for n in range(1, 151):
        assert put(f, doc(n, 1), n - 1)[0] == 'ok'
    for n in f.core:
        f.w.kill(n)
    for n in f.core:
        f.w.start(n)
    for n in range(1, 151, 7):
        assert insist(f, 'queues_put', doc=doc(n, 1), base=n - 1) == ('ok', {'number': n})
    # and by a replica that has them from a snapshot
    lost = f.holder('core')
    f.w.kill(lost)
    f.w.wipe(lost)
    f.w.start(lost)

    def caught_up():
        group, other = f.member(lost, 'core'), f.member(f.holder('core'), 'core') if f.holder('core') else None
        return (
            group
            and other
            and group.replica.is_member
            and len(group.mac.accepted) >= 150
            and group.mac.accepted.digests() == other.mac.accepted.digests()
        )

    assert f.w.until(caught_up, 30000)
    assert insist(f, 'queues_get')[1]['number'] == 150


def test_named_changes_are_acknowledged_again_after_newer_versions():
    f = fleet(33)
    assert put(f, doc(1), 0)[0] == 'ok'
    changes = [{'base': n, 'number': n + 1, 'set': {'queues': [queue(90 + n)]}, 'drop': {}} for n in range(1, 4)]
    for c in changes:
        assert ask(f, 'queues_change', **c)[0] == 'ok'
    for c in changes:
        assert ask(f, 'queues_change', 'e1', **c) == ('ok', {'number': c['number']})
    # a whole document brings its number back, and is another order than the change with the same outcome
    whole = ask(f, 'queues_get')[1]['doc']
    assert put(f, whole, 3)[0] == 'stale'


def test_one_number_and_two_contents_on_one_base():
    f = fleet(36)
    assert put(f, doc(1), 0)[0] == 'ok'
    one, two = doc(5, 2), doc(5, 4)
    got = [send(f, 'queues_put', at, doc=d, base=1) for at, d in (('e0', one), ('e1', two))]
    assert f.w.until(lambda: all(got), 15000)
    codes = [g[0][0] for g in got]
    assert sorted(codes) == ['ok', 'stale']
    won, lost = (one, two) if codes[0] == 'ok' else (two, one)
    assert ask(f, 'queues_get')[1]['doc'] == won
    assert put(f, lost, 1)[0] == 'stale' and put(f, won, 1) == ('ok', {'number': 5})
    # the same content on another base is another order; its number isn't above that base
    assert put(f, won, 5)[0] == 'bad_config'


def test_a_repeat_in_parallel_with_its_first_copy_is_accepted_once():
    for seed in range(4):
        f = fleet(40 + seed)
        assert put(f, doc(1), 0)[0] == 'ok'
        got = [send(f, 'queues_put', at, doc=doc(2), base=1) for at in ('e0', 'e1', 't0', 't1', 't2')]
        assert f.w.until(lambda got=got: all(got), 15000)
        assert all(g[0] == ('ok', {'number': 2}) for g in got), got
        assert insist(f, 'queues_put', doc=doc(2), base=1) == ('ok', {'number': 2})


def test_an_accepted_order_repeated_while_a_newer_one_is_under_way():
    f = fleet(45)
    assert put(f, doc(1), 0)[0] == 'ok'
    newer, repeat = send(f, 'queues_put', 'e0', doc=doc(2), base=1), send(f, 'queues_put', 'e1', doc=doc(1), base=0)
    assert f.w.until(lambda: newer and repeat, 15000)
    assert newer[0][0] == 'ok' and repeat[0] == ('ok', {'number': 1})


def test_an_acknowledgement_lost_with_its_leader_is_given_by_the_next():
    for seed in range(6):
        f = fleet(50 + seed)
        assert put(f, doc(1), 0)[0] == 'ok'
        got = send(f, 'queues_put', 'e0', doc=doc(7), base=1)
        leader = f.member(f.holder('core'), 'core')
        name = f.holder('core')
        # the entry is committed, and the leader dies before anybody hears of it
        assert f.w.until(lambda: leader.replica.log.last > leader.replica.commit_index or got, 3000, 1)
        f.w.run(f.w.t + seed)
        f.w.kill(name)
        assert insist(f, 'queues_put', doc=doc(7), base=1) == ('ok', {'number': 7})
        assert put(f, doc(8), 7)[0] == 'ok'
        assert insist(f, 'queues_put', at=('e1', 'e0'), doc=doc(7), base=1) == ('ok', {'number': 7})


def test_a_mistake_stays_a_mistake_and_is_accepted_once_mended():
    f = fleet(60)
    assert put(f, doc(1), 0)[0] == 'ok'
    bad = doc(2, queues=[queue(1, group='nobody')])
    for _ in range(2):
        assert put(f, bad, 1)[0] == 'bad_config'
    assert put(f, doc(2), 1)[0] == 'ok'
    # where it is invalid as well, either answer will do; it is never accepted
    assert put(f, bad, 1)[0] in ('stale', 'bad_config')


def test_large_documents_are_acknowledged_again():
    f = fleet(61, view=View(chunk=20000))
    assert put(f, doc(1, 4000), 0)[0] == 'ok' and put(f, doc(2, 4000), 1)[0] == 'ok'
    assert put(f, doc(1, 4000), 0, 'e1') == ('ok', {'number': 1})


def test_eight_orders_at_once_have_one_winner_and_all_end_clearly():
    f = fleet(62)
    assert put(f, doc(1), 0)[0] == 'ok'
    orders = [doc(2 + n % 3, 2 + n) for n in range(8)]
    got = [send(f, 'queues_put', f'e{n % 2}', doc=d, base=1) for n, d in enumerate(orders)]
    assert f.w.until(lambda: all(got), 15000)
    clear = [insist(f, 'queues_put', doc=d, base=1) for d in orders]
    assert sorted(c for c, _ in clear) == ['ok'] + ['stale'] * 7
    assert ask(f, 'queues_get')[1]['doc'] == orders[[c for c, _ in clear].index('ok')]


def test_evacuations_are_acknowledged_again_also_by_the_next_leader():
    f = fleet(63)
    assert ask(f, 'zone_set', zone='z1', emptied=True) == ('ok', {'zone': 'z1', 'emptied': True})
    since = ask(f, 'emptied')[1]['zones'][0]['since']
    f.crash(f.holder('core'))
    for _ in range(2):
        assert insist(f, 'zone_set', zone='z1', emptied=True) == ('ok', {'zone': 'z1', 'emptied': True})
    assert insist(f, 'emptied')[1]['zones'] == [{'zone': 'z1', 'since': since}]
    for _ in range(2):
        assert insist(f, 'zone_set', zone='z1', emptied=False) == ('ok', {'zone': 'z1', 'emptied': False})


# --- what makes two orders the same
def test_the_same_content_on_the_same_base_is_the_same_order():
    f = fleet(34)
    d = doc(1, more={'a': 1, 'b': {'x': 1, 'y': 2}})
    other = json.loads(json.dumps(d, sort_keys=True, indent=4))
    assert list(other) != list(d) and other == d
    assert put(f, d, 0) == ('ok', {'number': 1})
    assert put(f, doc(2), 1)[0] == 'ok'
    assert put(f, other, 0, 'e1') == ('ok', {'number': 1})
    # lists have an order, and a number written otherwise is other content
    swapped = dict(d, queues=d['queues'][::-1])
    assert put(f, swapped, 0)[0] == 'stale'
    one, two = (
        {'base': 2, 'number': 3, 'set': s, 'drop': {}}
        for s in ({'queues': [queue(1)], 'groups': []}, {'groups': [], 'queues': [queue(1)]})
    )
    assert ask(f, 'queues_change', **one) == ask(f, 'queues_change', **two) == ('ok', {'number': 3})


def test_an_order_that_an_earlier_release_accepted_is_known_by_its_digest_too():
    f = fleet(35, olds={'t0': BEFORE, 't1': BEFORE, 't2': BEFORE})
    d = {'queues': [queue(1)], 'number': 1, 'groups': doc(1)['groups']}
    assert put(f, d, 0)[0] == 'ok' and put(f, doc(2), 1)[0] == 'ok'
    leader = f.holder('core')
    assert list(f.member(leader, 'core').mac.accepted.digests())[0] == order_digest.plain_digest(
        0, json.dumps(d, separators=(',', ':'))
    )
    for n in f.core:
        f.w.kill(n)
        f.protos[n] = PROTO
        f.w.start(n)
        f.w.run(f.w.t + 4000)
    assert insist(f, 'queues_put', doc=d, base=0) == ('ok', {'number': 1})


# --- an unconfirmed replica refuses nothing
def test_a_deposed_leader_calls_nothing_invalid():
    f = fleet(64)
    assert put(f, doc(1), 0)[0] == 'ok'
    old = f.holder('core')
    f.w.part([old], [n for n in f.core + f.edges if n != old])
    bad = doc(2, queues=[queue(1, group='nobody')])
    got = send(f, 'queues_put', old, doc=bad, base=1)
    f.w.run(f.w.t + 20)
    assert not got
    assert f.w.until(lambda: got, 15000) and got[0][0] in ('unsure', 'no_holder')


def test_a_deposed_leader_calls_no_accepted_change_invalid():
    f = fleet(65)
    assert put(f, doc(1), 0)[0] == 'ok'
    old = f.holder('core')
    f.w.part([old], [n for n in f.core + f.edges if n != old])
    # what it has of version 1 says nothing of the order that builds on version 3
    change = {'base': 3, 'number': 4, 'set': {}, 'drop': {'queues': ['q2']}}
    got = send(f, 'queues_change', old, **change)
    assert f.w.until(lambda: f.holder('core') not in ('', old), 15000)
    assert insist(f, 'queues_put', doc=doc(3), base=1)[0] == 'ok' and insist(f, 'queues_change', **change)[0] == 'ok'
    f.w.heal()
    assert f.w.until(lambda: got, 15000) and got[0] in (('ok', {'number': 4}), ('unsure', {'retry_ms': 1000}))
    assert insist(f, 'queues_change', at=(old,), **change) == ('ok', {'number': 4})


# --- the own interface's configuration
def configuration(f, note):
    return dict(ask(f, 'config_get')[1]['config'], note=note)


def test_a_configuration_of_the_own_interface_is_acknowledged_again():
    f = fleet(66)
    base = ask(f, 'config_get')[1]['sequence']
    first, rival, second = (configuration(f, n) for n in ('first', 'rival', 'second'))
    assert ask(f, 'config_put', base=base, config=first) == ('ok', {'sequence': base + 1})
    assert ask(f, 'config_put', base=base, config=rival)[0] == 'stale'
    assert ask(f, 'config_put', base=base + 1, config=second) == ('ok', {'sequence': base + 2})
    again = json.loads(json.dumps(first, sort_keys=True))
    assert ask(f, 'config_put', 'e1', base=base, config=again) == ('ok', {'sequence': base + 1})
    for n in f.core:
        f.w.kill(n)
    for n in f.core:
        f.w.start(n)
    assert insist(f, 'config_put', base=base, config=first) == ('ok', {'sequence': base + 1})
    assert insist(f, 'config_get')[1]['config'] == second
    # by another operator it is a rival, on another base it is another order
    assert ask(f, 'config_put', base=base, config=first, by='another')[0] == 'stale'
    assert ask(f, 'config_put', base=base + 2, config=first) == ('ok', {'sequence': base + 3})


def test_a_configuration_whose_answer_was_lost_with_its_leader_is_acknowledged_again():
    for seed in range(3):
        f = fleet(70 + seed)
        base, new = ask(f, 'config_get')[1]['sequence'], configuration(f, 'new')
        send(f, 'config_put', 'e0', base=base, config=new)
        f.w.run(f.w.t + 4 + seed * 4)
        f.crash(f.holder('core'))
        assert insist(f, 'config_put', base=base, config=new) == ('ok', {'sequence': base + 1}), seed


def test_a_deposed_leader_refuses_no_configuration():
    f = fleet(75)
    base, old = ask(f, 'config_get')[1]['sequence'], f.holder('core')
    bad = dict(configuration(f, 'bad'), cells={'x': {'seats': ['nobody'], 'tenants': []}})
    f.w.part([old], [n for n in f.core + f.edges if n != old])
    got = send(f, 'config_put', old, base=base, config=bad)
    f.w.run(f.w.t + 20)
    assert not got
    f.w.heal()
    assert insist(f, 'config_put', base=base, config=bad)[0] == 'bad_config'


def test_while_a_replica_of_an_earlier_release_is_there_a_configuration_is_taken_as_before():
    f = fleet(76, olds={'t1': BEFORE})
    base, new = ask(f, 'config_get')[1]['sequence'], configuration(f, 'new')
    assert ask(f, 'config_put', base=base, config=new) == ('ok', {'sequence': base + 1})
    assert ask(f, 'config_put', base=base, config=new)[0] == 'stale'
