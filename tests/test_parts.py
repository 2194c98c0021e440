"""Smaller parts: history, digests, the ring, forgetting, fairness."""

from asterwharf.disk.history import History
from asterwharf.mend.ranges import differing, sums
from asterwharf.ring.watch import watchers
from asterwharf.scheduler.atlas import Atlas
from asterwharf.sim.fleet import Fleet

SMALL = {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 1, 'run': {'ms': 20}}]}


def test_history_keeps_lists_and_brings_back(tmp_path):
    said = []
    h = History(str(tmp_path / 'h'), lambda *a, **k: said.append(k))
    for i in range(1, 5):
        h.record(i, f'op{i}', i * 1000, {'note': str(i)})
    h.record(2, 'late', 0, {'note': 'older'})
    assert [r['sequence'] for r in h.log(3)] == [4, 3, 2] and h.show(2) == {'note': '2'} and h.show(9) is None
    again = History(str(tmp_path / 'h'), lambda *a, **k: said.append(k))
    assert again.log(9) == h.log(9) and not said
    # the same configurations give the same identifiers on another node
    other = History(str(tmp_path / 'o'), lambda *a, **k: said.append(k))
    for i in range(1, 5):
        other.record(i, f'op{i}', i * 1000, {'note': str(i)})
    assert other.log(9) == h.log(9)


def test_a_broken_history_is_begun_anew_and_said(tmp_path):
    said = []
    h = History(str(tmp_path / 'h'), lambda *a, **k: said.append(k['alarm']))
    h.record(1, 'op', 1000, {'note': '1'})
    for p in (tmp_path / 'h' / 'objects').rglob('*'):
        if p.is_file():
            p.chmod(0o600)
            p.write_bytes(b'garbage')
    h = History(str(tmp_path / 'h'), lambda *a, **k: said.append(k['alarm']))
    assert said == ['history_lost'] and h.log(9) == []
    h.record(2, 'op', 2000, {'note': '2'})
    assert [r['sequence'] for r in h.log(9)] == [2]


def test_digests_find_just_the_ranges_that_differ():
    a = {f'own:minion:m{i}': (i, b'commons') for i in range(200)}
    b = dict(a, **{'own:minion:m7': (999, b'north.3')})
    b.pop('own:minion:m9')
    assert sums(a) == sums(dict(reversed(list(a.items()))))
    got = differing(b, sums(a))
    assert 'own:minion:m7' in got and len(got) < 60 and differing(a, sums(a)) == {}
    x, y = Atlas(), Atlas()
    x.merge([(k, *r) for k, r in a.items()])
    y.merge([(k, *r) for k, r in b.items()])
    assert x.merge([(k, *r) for k, r in y.rows.items()]) and x.own['minion:m7'] == 'north.3' and 'minion:m9' in x.own
    # the older never comes back
    assert not x.merge([('own:minion:m7', 7, b'commons')])


def test_a_cut_off_edge_is_mended_from_its_sibling():
    f = Fleet(31, edges=3, minions=1).start()
    assert f.ready()
    f.w.part(['e0'], f.core)
    f.w.run(f.w.t + 4000)
    f.call.edges = ['e1']
    f.call.configure(lambda d: dict(d, note='newer'))
    # it hears of the change from an edge that does reach the core
    assert f.w.until(lambda: f.seq('e0') == 2, 30000) and f.w.cuts


def test_watchers_are_few_and_every_node_has_some():
    names = [f'n{i}' for i in range(12)]
    got = {n: watchers(n, names) for n in names}
    assert all(len(set(w)) == 3 and n not in w for n, w in got.items())
    # one node more moves few of them
    more = {n: watchers(n, names + ['x']) for n in names}
    assert sum(got[n] != more[n] for n in names) <= 4


def test_one_watcher_alone_convicts_nobody_two_do_and_it_is_taken_back():
    f = Fleet(32, edges=3, minions=0).start()
    assert f.ready()

    def sight(n):
        nod = f.node('t0' if n != 't0' else 't1')
        return next(c for c in nod.ctl if hasattr(c, 'sight')).sight.get(n, False)

    ws = watchers('e0', f.core + f.edges)
    f.w.cut('e0', ws[0])
    f.w.run(f.w.t + 15000)
    assert not sight('e0')
    f.w.heal()
    f.w.kill('e0')
    assert f.w.until(lambda: sight('e0'), 20000)
    f.w.start('e0')
    assert f.w.until(lambda: not sight('e0'), 20000)


def test_ended_jobs_are_forgotten_in_bounds_and_their_identifiers_marked():
    f = Fleet(33, minions=3, kept_jobs=20).start()
    assert f.ready()
    for i in range(60):
        f.w.after(i * 30, f.call.submit, 'basin', f'j{i}', SMALL)
    f.w.run(f.w.t + 4000)
    assert f.settle() and f.w.until(lambda: len(f.cell().jobs) <= 20, 20000)
    box = []
    f.call._call('submit', 'cell', {'tenant': 'basin', 'id': 'j0', 'spec': SMALL}, lambda c, b: box.append(c))
    f.call._call('job', 'cell', {'tenant': 'basin', 'id': 'j0'}, lambda c, b: box.append(c))
    f.w.run(f.w.t + 1000)
    assert box == ['forgotten', 'forgotten']


def test_tenants_share_by_weight_when_room_is_short():
    f = Fleet(34, minions=2).start()
    assert f.ready()
    f.call.configure(lambda d: dict(d, tenants={'basin': {'weight': 3.0}, 'sweeps': {'weight': 1.0}}))
    f.w.run(f.w.t + 2000)
    for i in range(120):
        for ten in ('basin', 'sweeps'):
            f.w.after(i, f.call.submit, ten, f'{ten}{i}', {'tasks': [{'name': 'a', 'cores': 4, 'run': {'ms': 1000}}]})
    f.w.run(f.w.t + 5500)
    n = {ten: sum(len(s) for k, s in f.obs.starts.items() if k.startswith(ten + '/')) for ten in ('basin', 'sweeps')}
    assert n['sweeps'] >= 10 and 2.0 < n['basin'] / n['sweeps'] < 4.0


def test_a_full_buffer_refuses_at_once_with_the_time_to_come_again():
    f = Fleet(35, minions=1, request_limit=5).start()
    assert f.ready()
    got, beg = [], f.w.t
    nod = f.node('e0')
    fer = next(c for c in nod.ctl if type(c).__name__ == 'RequestRouter')
    for i in range(40):
        fer.start(
            'submit', 'cell', {'tenant': 'basin', 'id': f'b{i}', 'spec': SMALL}, lambda c, b: got.append((c, b, f.w.t))
        )
    assert [c for c, _, _ in got] == ['overload'] * 35 and all(b['retry_ms'] > 0 and t == beg for _, b, t in got)


def test_an_agent_whose_edge_holds_its_cell_registers_once():
    f = Fleet(36, edges=1, minions=2).start()
    assert f.ready()
    # every link is at the one edge, which also holds the cell
    f.call.configure(
        lambda d: dict(d, cells={'own': {'tenants': ['basin'], 'zones': ['z1', 'z2', 'z3'], 'seats': ['e0']}})
    )
    assert f.w.until(lambda: f.gid('own') and f.holder(f.gid('own')) == 'e0', 20000)
    mac = f.member('e0', f.gid('own')).mac
    assert f.w.until(lambda: len(mac.minions) == 2 and all(m.up for m in mac.minions.values()), 20000)
    f.w.run(f.w.t + 10000)
    assert [(m.link, m.edge, m.up) for m in mac.minions.values()] == [(1, 'e0', True)] * 2
    f.call.submit('basin', 'j', SMALL)
    f.w.run(f.w.t + 2000)
    assert f.settle() and f.obs.final == {'basin/j': 'done'}


def test_a_forgotten_identifier_is_still_forgotten_after_its_tenant_moved():
    from asterwharf.sim import cells

    f = Fleet(41, edges=6, minions=6, kept_ms=1500).start()
    assert f.ready()
    f.call.submit('basin', 'old', SMALL)
    assert f.w.until(lambda: f.obs.kept, 5000) and f.settle(10000)
    assert f.w.until(lambda: 'basin/old' not in f.cell().jobs, 20000)
    f.call.configure(cells.cells(north=cells.NORTH))
    assert cells.seated(f)
    assert f.w.until(lambda: 'tenant:basin' in f.node(f.holder('core')).b.atlas.own and not f.cell().parcels, 30000)
    box = []
    f.call._call('job', 'cell', {'tenant': 'basin', 'id': 'old'}, lambda c, b: box.append(c))
    assert f.w.until(lambda: box, 9000) and box == ['forgotten']
    # and it can't be taken anew
    f.call._call('submit', 'cell', {'tenant': 'basin', 'id': 'old', 'spec': SMALL}, lambda c, b: box.append(c))
    assert f.w.until(lambda: len(box) == 2, 9000) and box[1] == 'forgotten'
