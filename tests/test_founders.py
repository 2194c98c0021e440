"""A core is founded by the given first nodes alone."""

from dataclasses import replace

import pytest

from asterwharf.consensus.member import group_members
from asterwharf.scheduler.request_router import RequestRouter
from asterwharf.sim.fleet import Fleet


# --- that a core is founded by the first three alone
@pytest.mark.parametrize('seed', range(1, 7))
def test_only_the_given_founders_found_and_the_others_learn(seed):
    f = Fleet(seed, core=4, edges=1, minions=1, core_size=3, founders=[f'10.0.0.{i}:7000' for i in (1, 2, 3)]).start()
    assert f.w.until(lambda: f.holder('core') and f.holder('commons'), 20000)
    seats = group_members(f.w.hosts[f.holder('core')].node)['core'].replica.log.members
    assert sorted(seats) == ['t0', 't1', 't2']
    assert (
        f.w.until(lambda: not f.member('t3', 'core').replica.empty, 5000)
        and f.member('t3', 'core').replica.state == 'learner'
    )


def test_what_has_lost_its_disk_founds_no_second_core():
    f = Fleet(4, core=3, edges=1, minions=1, found=True).start()
    assert f.w.until(lambda: f.holder('core'), 20000)
    for n in f.core:
        f.w.kill(n)
        f.w.wipe(n)
    for n in f.core:
        f.w.start(n)
        # a process that starts again is told that this is not the first time
        b = f.w.hosts[n].node.b
        b.set = replace(b.set, found=False)
    assert not f.w.until(lambda: f.holder('core'), 20000) and all(f.member(n, 'core').replica.empty for n in f.core)


def test_a_core_of_one_founds_itself():
    f = Fleet(5, core=1, edges=1, minions=1).start()
    assert f.w.until(lambda: f.holder('core') == 't0' and f.holder('commons') == 't0', 20000)
    assert isinstance(f.w.hosts['t0'].node.find(RequestRouter), RequestRouter)
