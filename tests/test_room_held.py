"""Room that is held for a bundle of the agents' cell which has waited long."""

from types import SimpleNamespace

from asterwharf.scheduler.evict import hold_room


def room(name, slack, cores=8):
    return SimpleNamespace(m=SimpleNamespace(name=name, cores=cores, gpus=0, mem=64), slack=slack)


def task(key, cores=8):
    return SimpleNamespace(key=key, cores=cores, gpus=0, mem=1)


def placer():
    return SimpleNamespace(kept=('', frozenset()), allowed=lambda task, minion, config: '')


def held(plc, bundle, rooms, tasks=1):
    return [r.m.name for r in hold_room(plc, bundle, [task(f't{i}') for i in range(tasks)], rooms, None)]


def test_the_minion_with_most_room_is_held_first():
    assert held(placer(), 'b', [room('m1', 0.2), room('m2', 0.6)]) == ['m2']


def test_what_is_held_stays_held_when_another_minion_has_more_room():
    plc = placer()
    held(plc, 'b', [room('m1', 0.2), room('m2', 0.6)])
    assert held(plc, 'b', [room('m1', 0.9), room('m2', 0.7)]) == ['m2']


def test_a_minion_that_is_gone_is_replaced_and_the_others_stay():
    plc = placer()
    held(plc, 'b', [room('m1', 0.2), room('m2', 0.6), room('m3', 0.5)], tasks=2)
    assert sorted(held(plc, 'b', [room('m1', 0.9), room('m3', 0.1)], tasks=2)) == ['m1', 'm3']
    assert held(plc, 'b', [room('m1', 0.2), room('m3', 0.1), room('m4', 0.95)], tasks=2) == ['m1', 'm3']


def test_another_bundle_chooses_for_itself():
    plc = placer()
    held(plc, 'b', [room('m1', 0.2), room('m2', 0.6)])
    assert held(plc, 'c', [room('m1', 0.9), room('m2', 0.7)]) == ['m1']
