"""A control machine that is cut off says nothing that a majority has not confirmed."""

import copy

from asterwharf.scheduler.request_handlers import RequestHandlers
from asterwharf.sim.fleet import DOC, Fleet


def test_a_leader_that_is_cut_off_does_not_refuse_a_configuration_for_a_node_it_does_not_know():
    f = Fleet(31, minions=1, edges=1).start()
    assert f.ready()
    leader = f.holder('core')
    # a machine that was added since is known to the majority alone
    f.w.part([leader], [n for n in f.w.hosts if n != leader])
    doc = copy.deepcopy(DOC) | {'cells': {'north': {'tenants': [], 'seats': ['e7']}}}
    got = []
    node = f.node(leader)
    f.w._do(
        f.w.hosts[leader],
        lambda: node.find(RequestHandlers).do_config_put(
            {'config': doc, 'base': 1}, lambda code, body=None: got.append(code), f.member(leader, 'core')
        ),
    )
    assert f.w.until(lambda: got, 10000)
    assert got == ['no_holder']


def test_a_leader_that_is_confirmed_names_the_node_that_is_unknown():
    f = Fleet(31, minions=1, edges=1).start()
    assert f.ready()
    leader = f.holder('core')
    doc = copy.deepcopy(DOC) | {'cells': {'north': {'tenants': [], 'seats': ['e7']}}}
    got, node = [], f.node(leader)
    f.w._do(
        f.w.hosts[leader],
        lambda: node.find(RequestHandlers).do_config_put(
            {'config': doc, 'base': 1}, lambda code, body=None: got.append((code, body)), f.member(leader, 'core')
        ),
    )
    assert f.w.until(lambda: got, 10000)
    assert got == [('bad_config', {'details': ["cells.north.seats[0]: no node 'e7'"]})]
