"""A beat lists 500 ends: a run that it has no place for has ended all the same and is not taken for never begun."""

import pytest
from yard_cell import LISTED_ENDS, QUEUES, A, B, C, Cell

WIDTH, JOBS = 210, (A, B, C)
LONG = {'estimate_ms': 60000}


class Wide:
    """A minion that runs 630 tasks and has all their ends to tell in its next beat."""

    def __init__(self, payload=''):
        self.cell = Cell(QUEUES)
        for job in JOBS:
            self.cell.submit(job, payload=payload, steps=[{'count': WIDTH, 'cpu': 100, **LONG}])
        self.minion = self.cell.minion('m1', cpu=64000)
        assert self.cell.until(lambda: len(self.minion.runs) == WIDTH * len(JOBS))
        # room elsewhere, on a minion that is asked for nothing as long as the first one runs them all
        self.other = self.cell.minion('m2', cpu=64000)
        self.started = []
        self.cell.minions['m2'].told, told = self.record, self.other.told
        self.told_other = told

    def record(self, body, now):
        self.started += [task for task, *_ in body['start']]
        self.told_other(body, now)

    def end_all(self):
        for task in list(self.minion.runs):
            self.minion.end(task)
        assert len(self.minion.ended) > LISTED_ENDS

    def states(self):
        return {self.cell.job(job)['state'] for job in JOBS}


@pytest.mark.parametrize('how', ['drains', 'zone is emptied', 'operator drains'])
def test_ends_beyond_the_list_of_a_minion_that_gets_no_starts_count(how):
    """Guards against review/4: 130 of 630 tasks were started again after runs that had ended `done`."""
    wide = Wide()
    cell = wide.cell
    if how == 'drains':
        wide.minion.fix['state'] = 'draining'
    elif how == 'operator drains':
        assert cell.ask('drain', minion='m1', on=True)[0] == 'ok'
    else:
        cell.minions['m2'].fix['zone'] = 'z2'
        cell.go(1000)
        assert cell.ask('zone_set', grp='core', zone='z1', emptied=True)[0] == 'ok'
    wide.end_all()
    cell.go(3000)
    assert wide.started == [] and wide.states() == {'finished'}


def test_ends_beyond_the_list_of_a_minion_that_falls_silent_are_no_starts_that_never_came():
    # so long a text that not all of them could be told to start again in one answer
    wide = Wide('\x01' * 4000)
    cell = wide.cell
    wide.end_all()
    assert cell.until(lambda: cell.tender.links['m1'].noting == LISTED_ENDS)
    # nothing more comes for longer than starts are waited for
    cell.mute.add('m1')
    cell.go(1300)
    assert cell.b.count['untold'] == 0
    cell.mute.clear()
    cell.go(3000)
    assert wide.started == [] and wide.states() == {'finished'}


def test_what_a_new_leader_inherits_is_not_given_up_while_the_list_is_cut_off():
    wide = Wide()
    cell = wide.cell
    wide.end_all()
    ends, told = list(wide.minion.ended), wide.minion.told
    cell.build()
    assert cell.until(lambda: cell.cell.takes)

    def deaf(body, now):
        """Its answers come, but what they say of its ends is lost with each."""
        told(body, now)
        wide.minion.ended = list(ends)

    wide.minion.told = deaf
    wide.minion.fix['state'] = 'draining'
    # well past the longest hold of the earlier leader
    cell.go(8000)
    assert wide.started == []
    wide.minion.told = told
    cell.go(3000)
    assert wide.started == [] and wide.states() == {'finished'}


def test_a_run_that_was_wrongly_given_up_as_never_begun_can_still_end_done():
    cell = Cell(QUEUES)
    cell.submit(A, steps=[{'count': 1, 'cpu': 100, **LONG}])
    cell.minion('m1')
    [task] = cell.on('m1')
    item = {'task': task, 'run': 1, 'mid': 'm1', 'how': 'never', 'save': ''}
    cell.mute.add('m1')
    assert cell.cell.order('y_lapse', {'at': cell.wall, 'items': [item], 'late': True})
    cell.turn()
    cell.minions['m1'].end(task)
    cell.mute.clear()
    cell.go(1500)
    assert cell.job()['state'] == 'finished'
