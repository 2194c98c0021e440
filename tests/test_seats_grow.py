"""A group that was founded by three grows to the seats it shall have, and a lost seat stays in its zone."""

from dataclasses import replace

from asterwharf.sim.fleet import VIEW, Fleet

JOB = {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 1, 'run': {'ms': 50}}]}


def grown(core=5, seats=5, seed=7, lost=30.0, late=()):
    f = Fleet(seed, core=core, edges=2, minions=2, view=replace(VIEW, seats=seats, lost_ratio=lost))
    founders = [f.w.hosts[n].addr for n in f.core[:3]]
    for n in f.core:
        h = f.w.hosts[n]
        was = h.build

        def build(h, inc, rng, now, wall, was=was):
            nod = was(h, inc, rng, now, wall)
            nod.b.set = replace(nod.b.set, founders=founders, core_size=3)
            return nod

        h.build = build
    every, f.core = f.core, [n for n in f.core if n not in late]
    f.start()
    f.core = every
    return f


def table(f, grp):
    h = f.holder(grp)
    return sorted(f.member(h, grp).replica.log.members) if h else []


def whole(f, want):
    return f.w.until(lambda: all(table(f, g) == want for g in ('core', 'commons')), 15000)


def test_a_group_of_three_grows_to_five_and_bears_two_losses():
    f = grown()
    assert whole(f, f.core) and f.ready()
    f.call.submit('basin', 'before', JOB)
    assert f.w.until(lambda: f.obs.count['done'] == 1, 20000)
    for n in [f.holder('commons'), next(n for n in f.core if n != f.holder('commons'))]:
        f.w.kill(n)
    f.call.submit('basin', 'after', JOB)
    assert f.w.until(lambda: f.obs.count['done'] == 2, 20000) and not f.obs.broken


def test_it_grows_where_fewest_seats_are_and_no_further_than_it_shall():
    # zones z1 z2 z3 z1 z2 z3: of the three newcomers two get seats, in two zones
    f = grown(core=6, seats=5)
    assert f.w.until(lambda: all(len(table(f, g)) == 5 for g in ('core', 'commons')), 15000)
    f.w.run(f.w.t + 5000)
    for g in ('core', 'commons'):
        zones = [f.w.hosts[n].node.b.zone for n in table(f, g)]
        assert len(zones) == 5 and sorted(zones.count(z) for z in set(zones)) == [1, 2, 2]


def test_a_seat_is_not_added_while_another_is_missing():
    f = grown(late=('t3', 't4'))
    assert whole(f, f.core[:3])
    f.w.kill('t1')
    f.w.start('t3')
    f.w.run(f.w.t + 4000)
    # the two that are left still agree
    assert all(table(f, g) == f.core[:3] for g in ('core', 'commons'))
    f.w.start('t1')
    f.w.start('t4')
    assert whole(f, f.core)


def test_a_lost_seat_goes_to_a_newcomer_of_its_own_zone_first():
    # t3 is in the zone of t0, t4 in the zone of t1; three seats are wanted, two machines stand by
    f = grown(seats=3, lost=5.0)
    assert whole(f, ['t0', 't1', 't2'])
    f.w.kill('t1')
    assert whole(f, ['t0', 't2', 't4'])


def test_what_was_grown_survives_a_restart_of_all_and_the_loss_of_two_disks():
    f = grown(seed=9)
    assert whole(f, f.core) and f.ready()
    f.call.submit('basin', 'kept', JOB)
    assert f.w.until(lambda: f.obs.count['done'] == 1, 20000)
    for n in f.core:
        f.w.kill(n)
    for n in ('t0', 't3'):
        f.w.wipe(n)
    for n in f.core:
        f.w.start(n)
    assert f.w.until(lambda: f.holder('commons') and 'basin/kept' in f.cell().jobs, 20000)
    assert whole(f, f.core) and not f.obs.broken
