"""Where nodes take calls, told from node to node; and the room of a data folder."""

import random

import pytest

from asterwharf.base.board import Board
from asterwharf.base.settings import Settings
from asterwharf.consensus.outbox import WriteBatch
from asterwharf.disk.store import Corrupt, Store
from asterwharf.ring.meet import Meet
from asterwharf.sim.fleet import Fleet


# --- where minions call in, from node to node
def test_every_node_learns_where_each_takes_calls_also_past_an_older_greeting():
    f = Fleet(6, core=3, edges=1, minions=1, calls='10.0.0.9:80').start()
    assert f.w.until(lambda: f.holder('core'), 20000)
    f.w.run(f.w.t + 3000)
    for n in f.core:
        b = f.w.hosts[n].node.b
        assert {m: b.nodes[m]['calls'] for m in f.core} == dict.fromkeys(f.core, '10.0.0.9:80')
        # who greets in the words of the first release says nothing of it, and is remembered
        peer = next(m for m in f.core if m != n)
        b.links[peer] = dict(b.links[peer], calls='')
        meet = next(c for c in f.w.hosts[n].node.ctl if type(c).__name__ == 'Meet')
        meet._learn(b.links[peer])
        assert b.nodes[peer]['calls'] == '10.0.0.9:80'


def test_rows_of_all_nodes_are_told_when_they_change_and_seldom_else():
    b = Board(Settings(name='c', bind='10.0.0.1:1', seeds=['10.0.0.2:1']), 'trellis', 'i', random.Random(1))
    m, pace = Meet(b), b.set.view.silence_ms
    b.links = {'e': {'role': 'furrow', 'addr': '10.0.0.9:1', 'inc': 'x'}}

    def ticks(ms):
        """What was told to the edge meanwhile: for each word the names in it."""
        b.out, end = [], b.now + ms
        while b.now < end:
            b.now += 20
            m.tick()
        return [
            sorted(r['name'] for r in d['node'])
            for _, dst, knd, d in (e for e in b.out if e[0] == 'send')
            if knd == 'roll'
        ]

    assert ticks(20) == [['c']]
    # words without rows go on as they did
    quiet = ticks(pace * 6)
    assert 2 <= len(quiet) <= 4 and not any(quiet)
    # of many that come in a short time all are told, in few words
    for i in range(20):
        m._learn(
            {
                'name': f'n{i:02}',
                'role': 'furrow',
                'addr': f'10.0.1.{i}:1',
                'zone': 'z',
                'http': '',
                'calls': '',
                'inc': str(i),
            }
        )
        b.out, was = [], b.out
        got = ticks(20)
        b.out = was + b.out
        if i == 0:
            assert got == [['c', 'n00']]
    whole = [w for w in ticks(int(pace * 0.6)) if w]
    assert len(whole) in (1, 2) and len(whole[-1]) == 21
    # a holder is told at once, without the rows
    b.holders['core'] = ('c', 2)
    assert ticks(20) == [[]]
    # and now and then all is told again, whatever was lost
    assert [len(w) for w in ticks(pace * 9) if w] == [21]


def test_a_data_folder_stays_within_its_room_and_keeps_what_was_synced(tmp_path):
    sto, n = Store(str(tmp_path / 'd'), 1), 0
    with pytest.raises(Corrupt):
        for n in range(200):
            page = WriteBatch(n)
            page.rows = {f'r{n}': bytes(20000)}
            sto.write([('core', page)])
    sto.close()
    assert 20 < n < 60 and (tmp_path / 'd/data.mdb').stat().st_size <= 1 << 20
    assert sorted(p.name for p in (tmp_path / 'd').iterdir()) == ['data.mdb']
    assert sorted(Store(str(tmp_path / 'd'), 2).load('core')['rows']) == sorted(f'r{i}' for i in range(n))
