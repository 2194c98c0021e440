"""A gang that can't come together is given up as one, before a member has waited `gang_wait_ms` for the others; the log says why."""

import pytest
from yard_cell import QUEUES, A, Cell

LONG = {'estimate_ms': 60000}
MEMBERS = 3
# percent a second of members that wait for the others
NO_PROGRESS = 0


class Gang:
    """Three minions with room for one member each, and a gang of three; members that wait make no progress."""

    def __init__(self):
        self.cell = Cell(QUEUES)
        self.minions = [self.cell.minion(f'm{i}') for i in range(MEMBERS)]
        self.longest_wait = 0

    def submit(self):
        self.cell.submit(A, steps=[{'count': MEMBERS, 'cpu': 3000, 'together': True, **LONG}])

    def begun(self):
        """Members that run now: [(minion, task, ms since they began)]."""
        return [
            (minion, task, self.cell.now - minion.begun[task])
            for minion in self.minions
            if minion.mid not in self.cell.mute
            for task in minion.runs
        ]

    def go(self, ms):
        """Lets time pass; members that wait go on waiting."""
        for _ in range(0, ms, 20):
            for minion, task, waited in self.begun():
                minion.rates[task] = NO_PROGRESS
                self.longest_wait = max(self.longest_wait, waited)
            self.cell.go(20)

    def assert_nobody_waits_alone(self):
        """Members that were told have been stopped within the time that they wait for the others."""
        assert self.longest_wait, 'no member was told: the case did not come about'
        assert self.longest_wait < self.cell.st.call.gang_wait_ms, f'waited {self.longest_wait} ms'
        assert not self.begun()


@pytest.fixture
def gang():
    return Gang()


def until_answered_just_now(gang, minion):
    """Time goes on until the minion was answered a moment ago: it still counts as open to starts."""
    link = gang.cell.tender.links[minion.mid]
    assert gang.cell.until(lambda: link.give is None and gang.cell.now - link.answered <= 20)


def test_members_are_stopped_when_the_minion_of_one_falls_silent_before_it_was_told(gang):
    """Guards against GANG: the others waited out `gang_wait_ms` and ended alone."""
    until_answered_just_now(gang, gang.minions[0])
    gang.cell.mute.add('m0')
    gang.submit()
    gang.go(5000)
    assert not gang.minions[0].runs
    gang.assert_nobody_waits_alone()


def test_members_are_stopped_when_the_answer_with_the_start_of_one_went_to_a_dead_minion(gang):
    """Guards against GANG: its run counts as held for as long as a hold may last, which is longer than the others wait."""
    cell, dead = gang.cell, gang.minions[0]
    assert cell.until(lambda: cell.tender.links['m0'].give is not None)
    dead.told = lambda body, now: cell.mute.add('m0')
    gang.submit()
    gang.go(3500)
    assert 'm0' in cell.mute
    gang.assert_nobody_waits_alone()


def test_members_are_stopped_when_the_minion_of_one_drains_before_it_was_told(gang):
    """Guards against GANG: the drain took back the start of one member only."""
    until_answered_just_now(gang, gang.minions[0])
    gang.minions[0].fix['state'] = 'draining'
    gang.submit()
    gang.go(5000)
    gang.assert_nobody_waits_alone()


def test_members_are_stopped_when_the_minion_of_one_turns_its_start_away(gang):
    """Guards against GANG: a minion that guards its room ends the run as `refused`, and nobody told the others."""
    cell, full = gang.cell, gang.minions[0]
    told = full.told

    def refuse(body, now):
        told(body, now)
        for task in list(full.runs):
            full.end(task, 'refused')
            refused.append(task)
            # it is asked for nothing more: what becomes of the first run of the gang is looked at
            full.fix['cpu'] = 0

    full.told = refuse
    refused = []
    gang.submit()
    assert cell.until(lambda: refused)
    gang.go(500)
    gang.assert_nobody_waits_alone()


def test_a_new_leader_gives_up_a_gang_of_which_one_member_was_never_told(gang):
    """Guards against GANG: a leader that comes while members are being told waits for the silent one's hold."""
    until_answered_just_now(gang, gang.minions[0])
    gang.cell.mute.add('m0')
    gang.submit()
    gang.go(300)
    gang.cell.build()
    gang.go(5000)
    gang.assert_nobody_waits_alone()


def test_a_gang_starts_again_as_one_once_it_was_given_up(gang):
    until_answered_just_now(gang, gang.minions[0])
    gang.cell.mute.add('m0')
    gang.submit()
    gang.go(5000)
    gang.cell.mute.clear()
    assert gang.cell.until(lambda: sum(bool(minion.runs) for minion in gang.minions) == MEMBERS)
    assert len({run for minion in gang.minions for run, _, _ in minion.runs.values()}) == 1


def test_a_gang_that_has_come_together_is_left_alone(gang):
    gang.submit()
    gang.cell.go(3000)
    assert sum(bool(minion.runs) for minion in gang.minions) == MEMBERS
    assert gang.cell.b.count['gangs.together'] == 1
    assert not [event for _, event, _ in gang.cell.logged if event.startswith('gang')]


def test_the_log_tells_which_member_of_a_gang_did_not_come(gang):
    until_answered_just_now(gang, gang.minions[0])
    gang.cell.mute.add('m0')
    gang.submit()
    gang.go(4000)
    [line] = [fields for _, event, fields in gang.cell.logged if event == 'gang apart']
    assert (line['job'], line['run'], line['members'], line['listed']) == (A, 1, MEMBERS, MEMBERS - 1)
    [missing] = line['missing']
    assert 'told False' in missing
    assert gang.cell.b.count['gangs.apart'] == 1


def test_a_new_leader_is_quicker_to_give_up_what_has_waited_under_the_last_one(gang):
    """Guards against GANG: members told just before their leader is lost have waited for all of the election already."""
    until_answered_just_now(gang, gang.minions[0])
    gang.cell.mute.add('m0')
    gang.submit()
    gang.go(300)
    lost_ms = gang.cell.st.view.silence_ms * 2
    for minion in gang.minions:
        minion.wait = gang.cell.now + lost_ms
    gang.cell.now += lost_ms
    gang.cell.build()
    gang.go(2500)
    gang.assert_nobody_waits_alone()


@pytest.mark.parametrize('count', [1, MEMBERS])
def test_a_gang_at_work_is_let_be_while_its_minions_look_for_the_new_leader(gang, count):
    gang.cell.submit(A, steps=[{'count': count, 'cpu': 3000, 'together': True, **LONG}])
    gang.cell.go(2000)
    runs = [dict(minion.runs) for minion in gang.minions]
    gang.cell.build()
    for minion in gang.minions:
        minion.wait = gang.cell.now + gang.cell.st.call.gang_wait_ms
    gang.cell.go(gang.cell.st.call.gang_wait_ms + 2000)
    assert sum(map(len, runs)) == count
    assert [set(minion.runs) for minion in gang.minions] == [set(held) for held in runs]
    assert not gang.cell.b.count['gangs.apart']
