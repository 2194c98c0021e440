"""Pairs of releases: the earlier wire and disk schema played against the present one."""

import pytest

from asterwharf.consensus.member import GroupMember
from asterwharf.sim import days, scenario_run, scenarios  # noqa: F401
from asterwharf.sim.fleet import Fleet
from asterwharf.wire.schema import PROTO, Alien


def test_a_change_the_older_seats_could_not_read_is_never_ordered(monkeypatch):
    # the roll-out itself is a scenario; here the guard is taken away, and an old seat meets a new record
    monkeypatch.setattr(GroupMember, 'floor', property(lambda s: PROTO))
    with pytest.raises(Alien):
        scenario_run.run('rolled_out', 1)


@pytest.mark.parametrize('proto', range(1, PROTO))
@pytest.mark.parametrize('old', ['t0', 'e0', 'm0'])
def test_one_older_process_serves_among_newer_ones(old, proto):
    f = Fleet(21)
    f.protos[old] = proto
    f.start()
    assert f.ready()
    for i in range(15):
        f.w.after(
            i * 100, f.call.submit, 'basin', f'j{i}', {'class': 'surge', 'tasks': [{'name': 'a', 'run': {'ms': 50}}]}
        )
    f.w.run(f.w.t + 2000)
    assert f.settle() and not f.obs.broken and f.obs.count['done'] == 15


def test_disks_of_the_older_release_are_read_by_this_one():
    f = Fleet(22, proto=1).start()
    assert f.ready()
    for i in range(120):
        f.w.after(
            i * 40, f.call.submit, 'basin', f'j{i}', {'class': 'surge', 'tasks': [{'name': 'a', 'run': {'ms': 50}}]}
        )
    f.w.run(f.w.t + 6000)
    assert f.settle() and f.member('t0', 'commons').replica.log.snapshot_index > 100
    kept = set(f.cell().jobs)
    for n in f.core:
        f.w.kill(n)
    f.proto = PROTO
    for n in f.core:
        f.w.start(n)
    assert f.w.until(lambda: f.holder('commons') and f.holder('core'), 20000)
    assert set(f.cell().jobs) == kept and f.member(f.holder('core'), 'core').mac.sequence == 1


@pytest.mark.parametrize(
    'scen',
    [
        'killed_while_seating',
        'snapshot_cut',
        'many_doors',
        'zone_fought',
        'redialled',
        'healed_midway',
        'moved_and_wiped',
        'agent_frozen_long',
    ],
)
@pytest.mark.parametrize('old', [PROTO - 2, PROTO - 1])
def test_an_older_core_node_edge_and_agent_stand_the_corner_cases_among_newer_ones(scen, old):
    olds = {'t1': old, 'e0': old, 'm0': old}
    r = scenario_run.run(scen, 5, olds=olds)
    # the rules that came with this release wait until every seat knows them
    late = {'started again after it ended done'}
    assert not set(r.why) - late, r.text()
    assert r.fleet.obs.count['kept'] >= 10
