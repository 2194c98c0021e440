"""Days on the site of uneven tasks, and what the users' pages newly say of losses: no rule broken, few healthy runs stopped."""

import pytest

from asterwharf.orchard.pace import PaceJudge, Slowness
from asterwharf.sim import yard_days
from asterwharf.sim.yard_figures import sound_stopped

SHORT = {'length': 9000, 'load': 0.8, 'scale': 0.4}
# of the runs on sound minions, how many may be stopped though their jobs go on
BOUND = 0.03
# what the judgement was before: a run so many times as long as its peers, or as its estimate, was a slow minion's
LONGER, LONGER_THAN_ESTIMATE = 3.0, 8.0
LOSSES = [
    ('open', 11, ['reset_conns', 'node_kill'], 'wipe_all_dark'),
    ('guarded', 12, ['reset_conns', 'herd_kill'], 'wipe_all_dark'),
    ('open', 13, ['herd_kill', 'reset_conns'], 'power_off_all'),
]


@pytest.mark.parametrize(('site', 'seed', 'faults', 'closing'), LOSSES)
def test_what_is_acknowledged_outlives_losses_of_disks_beside_a_loss_of_all_power(site, seed, faults, closing):
    day = yard_days.play(site, seed, faults, closing, length=11000, load=0.5)
    assert day.ok, day.text()
    assert day.fleet.obs.count['accepted'] >= 25 and day.closing == closing


def test_as_many_disks_as_may_be_lost_go_while_all_others_are_dark():
    day = yard_days.play('uneven', 4, ['reset_conns'], 'wipe_all_dark', length=7000, load=0.3, scale=0.15)
    assert day.ok, day.text()
    wiped = {node for _, node, event, _ in day.fleet.w.log if event == 'wipe'}
    assert len(wiped) == day.site.survive == 2 and wiped <= set(day.fleet.core)


@pytest.mark.parametrize(
    ('seed', 'faults'), [(1, []), (2, [(3000, 'srv_slow')]), (3, [(3000, 'srv_grey'), (5000, 'flap')])]
)
def test_healthy_runs_are_let_be_where_tasks_differ_in_size(seed, faults):
    day = yard_days.play('uneven', seed, faults, '', **SHORT)
    assert day.ok, day.text()
    assert day.fleet.obs.sound_runs > 300 and sound_stopped(day) <= BOUND, day.text()


def test_slow_minions_lose_their_runs():
    day = yard_days.play('uneven', 5, [(2000, 'srv_slow'), (5000, 'srv_slow')], '', **SHORT)
    leaders = [day.fleet.node(name) for name in day.fleet.core]
    assert sum(node.b.count['moved.slow_minion'] for node in leaders if node) > 0


def old_judgement(self, observations):
    """A run that takes longer than its peers is a slow minion's."""
    paces = {}
    for seen in observations:
        if seen.whole is not None:
            paces.setdefault(id(seen.task.step), []).append(seen.whole)
    out = {}
    for seen in observations:
        peers = sorted(paces.get(id(seen.task.step), []))
        fair = peers[len(peers) // 2] if len(peers) > 1 else seen.task.step.estimate * LONGER_THAN_ESTIMATE / LONGER
        if seen.whole is not None and seen.whole > fair * LONGER:
            out[seen.link.mid] = Slowness(seen.whole / fair, 1, 'mutant')
    return out


def test_the_old_judgement_would_be_noticed(monkeypatch):
    monkeypatch.setattr(PaceJudge, 'slow', old_judgement)
    day = yard_days.play('uneven', 1, [], '', **SHORT)
    assert sound_stopped(day) > BOUND, day.text()


def test_a_gang_that_fails_as_often_as_it_may_is_shown_as_failed_and_never_starts_again():
    day = yard_days.Day('guarded', 21, length=9000, load=0.5)
    day.rates['sweep'] = (3.0, 1.0)
    day.play([], '')
    assert day.ok, day.text()
    obs = day.fleet.obs
    gangs = [
        told
        for told in obs.jobs.values()
        if told.job.poison and told.final == 'failed' and told.job.steps[0].get('together')
    ]
    assert gangs
    for told in gangs:
        job = told.job
        assert obs.fails(job, 0, 0, 0) == job.tries
