"""Hold: fenced work runs nowhere, keeps its room, and goes on only where no newer round can exist."""

import pytest

from asterwharf.link.keeper import HELD, RUNNING, STOPPING, Keeper
from asterwharf.sim.fleet import Fleet

LONG = {'class': 'surge', 'tasks': [{'name': 'a', 'cores': 20, 'tries': 1, 'run': {'ms': 9000}}]}


class Stage:
    """One long task on m0, the only minion."""

    def __init__(self, seed=1, holds=True, minions=1):
        self.f = f = Fleet(seed, edges=2, minions=minions, holds=holds).start()
        assert f.ready()
        f.watch()
        f.call.submit('basin', 'j', LONG)
        assert f.w.until(lambda: f.obs.live.get('basin/j/a'), 5000)
        self.m = next(iter(f.obs.live['basin/j/a']))

    def run(self, ms):
        self.f.w.run(self.f.w.t + ms)

    def cut(self):
        self.f.w.part([self.m], self.f.edges + self.f.core)

    @property
    def keeper(self):
        return self.f.node(self.m).find(Keeper)

    @property
    def state(self):
        h = self.keeper.holds.get('basin/j/a')
        return h.state if h else ''

    def end(self):
        f = self.f
        assert f.settle(40000) and not f.obs.broken, f.obs.broken
        return f.obs.count['starts'], f.obs.count['resumed'], f.obs.final['basin/j']


def test_a_link_that_is_back_before_the_grace_lets_held_work_go_on():
    s = Stage()
    s.cut()
    s.run(4500)
    assert s.state == HELD and not s.f.obs.live['basin/j/a']
    s.f.w.heal()
    assert s.f.w.until(lambda: s.state == RUNNING, 4000)
    assert s.end() == (1, 1, 'done')


def test_beside_a_minion_that_can_not_hold_the_work_is_stopped_and_starts_anew():
    s = Stage(holds=False)
    s.cut()
    s.run(4500)
    assert s.state == '' and not s.f.obs.live['basin/j/a']
    s.f.w.heal()
    assert s.end() == (2, 0, 'done')


def test_held_work_never_goes_on_once_a_newer_round_may_exist():
    s = Stage(minions=2)
    s.cut()
    assert s.f.w.until(lambda: len(s.f.obs.starts['basin/j/a']) == 2, 20000)
    assert s.state == HELD
    s.f.w.heal()
    assert s.f.w.until(lambda: s.state == '', 5000)
    assert s.end() == (2, 0, 'done')


def test_held_work_takes_its_room_until_it_is_stopped():
    s = Stage()
    s.cut()
    s.run(4500)
    k = s.keeper
    order = {'task': 'basin/other/a', 'round': 1, 'need': {'cores': 20}, 'stamp': k.b.now, 'sequence': k.agent.sequence}
    k.agent.okd = k.b.now
    assert k._no(order, None) == 'no room: cores'


def test_a_cancel_while_it_is_held_has_it_stopped_and_never_go_on():
    s = Stage()
    s.cut()
    s.run(4500)
    s.f.call.cancel('basin', 'j')
    s.run(300)
    s.f.w.heal()
    assert s.end() == (1, 0, 'cancelled')


def test_an_agent_that_begins_anew_beside_held_work_lets_it_go_on_once_the_record_names_it():
    s = Stage()
    s.cut()
    s.run(4500)
    s.f.w.kill(s.m)
    s.run(100)
    s.f.w.heal()
    s.f.w.start(s.m)
    assert s.end() == (1, 1, 'done')


@pytest.mark.parametrize('answers', [True, False])
def test_a_hold_that_is_not_confirmed_becomes_a_stop_in_time(answers, monkeypatch):
    s = Stage()
    mn = s.f.mins[s.m]
    if not answers:
        monkeypatch.setattr(type(mn), '_hold', lambda *a: None)
    s.cut()
    l = s.f.node(s.m).b.set.link
    # the tenure, the time that stopping may take, and a little for the last answered beat
    s.run(int(l.grace_ms * (l.lease_ratio + l.stop_ratio)) + l.beat_ms)
    assert not s.f.obs.live['basin/j/a'] and (s.state == HELD) is answers


def test_work_that_wakes_with_its_machine_past_the_grace_is_held_at_once():
    s = Stage(minions=2)
    s.f.w.freeze(s.m)
    assert s.f.w.until(lambda: len(s.f.obs.starts['basin/j/a']) == 2, 20000)
    s.f.w.thaw(s.m)
    s.run(30)
    assert s.state in (HELD, STOPPING) and len(s.f.obs.live['basin/j/a']) == 1
    assert s.end()[0] == 2
