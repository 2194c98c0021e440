"""What the newest page asks beside its five points: orders in calm times, one thread, versions that don't rise, readiness."""

import copy
import os
import time

import pytest
from platform_rig import CORE, DOC, Daemon, compiled, front, settings, written
from platform_site import Site

from asterwharf.sim.yard_calls import find
from asterwharf.sim.yard_fleet import YardFleet
from asterwharf.sim.yard_sites import GUARDED, OPEN

# the page's bound for an evacuation in a calm time, in ms
ACKNOWLEDGED = 1000


@pytest.mark.parametrize('site', [OPEN, GUARDED])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_in_a_calm_time_an_evacuation_is_acknowledged_within_a_second_by_any_node(site, seed):
    fleet = YardFleet(seed, site)
    fleet.start()
    sim = fleet.w
    assert sim.until(lambda: fleet.holder('core') and fleet.holder('commons'), 20000)
    sim.run(sim.t + 5000)
    waits = []
    for emptied in (True, False):
        for node in fleet.core:
            begun, told = sim.t, []

            def act(at, give, emptied=emptied):
                args = {'zone': site.zones[0], 'emptied': emptied}
                find(at, 'RequestRouter').start('zone_set', 'core', args, give, 4000)

            fleet.net.call('op', node, act, lambda code, body, told=told: told.append((code, sim.t)), 4000)
            assert sim.until(lambda told=told: told, 5000)
            assert told[0][0] == 'ok', told
            waits.append(told[0][1] - begun)
    assert max(waits) < ACKNOWLEDGED, waits


@pytest.fixture(scope='module')
def deployed(tmp_path_factory):
    """Three core nodes and an edge as processes, with a configuration in force and the edge ready."""
    site = Site(tmp_path_factory.mktemp('newest'))
    try:
        put = lambda: site.ask(site.core[0], site.control, 'POST', '/config/replace', DOC, X_Asterwharf_Based_On='0')[0]  # noqa: E731
        assert site.until(lambda: put() == 200)
        assert site.until(lambda: site.ask(site.edge, site.ready, 'GET', '/ready')[0] == 200)
        yield site
    finally:
        site.down()


def test_each_process_is_one_thread(deployed):
    # where a machine shows several cores, threads take turns at any point: there is nothing to take turns with
    threads = {name: len(os.listdir(f'/proc/{process.pid}/task')) for name, process in deployed.procs.items()}
    assert set(threads) == {'c0', 'c1', 'c2', 'e'} and set(threads.values()) == {1}, threads


@pytest.mark.parametrize('cores', ['1', '2', '16'])
def test_the_cores_that_a_machine_shows_change_nothing(tmp_path, cores):
    rows = dict(CORE, **{'limits.cpu_cores': cores, 'limits.cpu_share': '0.5'})
    assert settings.load(written(tmp_path, rows)).ok == settings.load(written(tmp_path, CORE)).ok


@pytest.mark.parametrize(
    ('number', 'base'), [(DOC['version'], DOC['version']), (DOC['version'] - 1, DOC['version']), (3, 0)]
)
def test_a_version_that_is_not_above_the_current_one_is_refused_with_a_4xx(deployed, number, base):
    other = copy.deepcopy(DOC)
    other['version'], other['routes'][0]['timeout_ms'] = number, 2500
    change = {'version': number, 'add_or_replace': {'routes': [other['routes'][0]]}, 'remove': {}}
    for path, doc in (('/config/replace', other), ('/config/change', change)):
        for ip in deployed.core:
            status = deployed.ask(ip, deployed.control, 'POST', path, doc, X_Asterwharf_Based_On=str(base))[0]
            assert status == (412 if base != DOC['version'] else 400), (path, ip, status)
            assert deployed.ask(ip, deployed.control, 'GET', '/config/read')[1] == DOC


def test_an_edge_stays_ready_in_a_calm_time(deployed):
    end, answers = time.monotonic() + 3, []
    while time.monotonic() < end:
        answers.append(deployed.ask(deployed.edge, deployed.ready, 'GET', '/ready')[0])
        time.sleep(0.05)
    assert set(answers) == {200}, answers


def test_an_edge_without_a_leader_in_reach_is_unready_after_a_while_and_ready_at_once_when_there_is_one(
    tmp_path, monkeypatch
):
    own = Daemon(settings.load(written(tmp_path, CORE)).ok)
    own.b.atlas.queues = compiled()
    clock = [100_000]
    monkeypatch.setattr(front, 'boot_ms', lambda: clock[0])
    ready = front.Ready(own, front.Front(own))
    patience = own.b.set.view.silence_ms * front.STEADY
    own.b.links['c1'] = {'role': 'trellis'}
    own.b.holders['commons'] = ('c1', 3)
    assert ready.ready
    # it stepped down, and is still linked
    del own.b.holders['commons']
    clock[0] += patience - 1
    assert ready.ready
    clock[0] += 1
    assert not ready.ready
    own.b.holders['commons'] = ('c1', 4)
    assert ready.ready
