"""No answer to a minion is larger than the minion takes, whatever the texts, and what did not fit comes later."""

import json

import pytest
from platform_rig import names, speech
from yard_cell import QUEUES, A, B, Cell, Minion

from asterwharf.base.settings import Calls, Settings, check
from asterwharf.orchard.answer_size import shared

# the users' pages: the largest answer, the longest text, the widest step of their sites
MOST, TEXT_BYTES, WIDTH = 4 << 20, 4000, 210
TEXTS = {
    'two bytes a letter': 'ŵø',
    'control characters': '\x01',
    'quotes': '"',
    'backslashes': '\\',
    'four bytes a letter': '\U0001f30a',
    'plain': 'x',
}
LONG = {'estimate_ms': 60000}


def full(unit):
    """A text of the longest size made of one unit."""
    return unit * (TEXT_BYTES // len(unit.encode()))


class Strict(Minion):
    """Drops an answer that is larger than the platform's minions take."""

    def __init__(self, *args):
        super().__init__(*args)
        self.sizes, self.most = [], MOST

    def told(self, body, now):
        words = {k: body[v] for k, v in names.ANSWER.items() if v in body}
        self.sizes.append(len(speech.say(words)))
        if self.sizes[-1] <= self.most:
            super().told(body, now)


def strict(cell, name, cpu):
    cell.minions[name] = minion = Strict(name, 'r1', 'a', cpu, 0, 'z1', 'g')
    cell.go(100)
    return minion


@pytest.mark.parametrize('unit', TEXTS.values(), ids=TEXTS)
def test_two_wide_jobs_at_once_reach_their_minion_whatever_their_texts(unit):
    """Guards against review/2: an answer of more than 4 MiB was told again without an end and nothing ever ran."""
    cell = Cell(QUEUES)
    cell.submit(A, payload=full(unit), steps=[{'count': WIDTH, 'cpu': 100, **LONG}])
    cell.submit(B, payload=full(unit), steps=[{'count': WIDTH, 'cpu': 100, **LONG}])
    minion = strict(cell, 'm1', 64000)
    cell.go(4000)
    assert max(minion.sizes) <= MOST
    assert len(minion.runs) == 2 * WIDTH


def test_a_start_that_was_cut_off_does_not_count_as_told():
    cell = Cell(QUEUES)
    cell.submit(A, payload=full('\x01'), steps=[{'count': WIDTH, 'cpu': 100, **LONG}])
    strict(cell, 'm1', 64000)
    told = set(cell.minions['m1'].runs)
    assert told and set(cell.tender.links['m1'].held) == told and cell.b.count['starts'] == len(told) < WIDTH
    # a minion that falls silent has begun only those, and the others are taken back
    cell.mute.add('m1')
    assert cell.until(lambda: cell.b.count['untold'])
    assert set(cell.on('m1')) == told


def test_many_stops_come_over_several_answers_and_shut_no_start_out():
    bound = 1 << 19
    cell = Cell(QUEUES, call=Calls(answer_bytes=bound))
    minion = strict(cell, 'm1', 64000)
    minion.most = bound
    # runs of an earlier life of the cell, which nobody knows any more
    unknown = [f'{n:016x}.0.0.0' for n in range(20000)]
    minion.runs = dict.fromkeys(unknown, (1, '', 0))
    minion.begun = dict.fromkeys(unknown, cell.now)
    minion.end = lambda task, how='done', save='': minion.runs.pop(task)
    cell.go(40)
    cell.submit(A, payload=full('\x01'), steps=[{'count': 3, 'cpu': 100, **LONG}])
    cell.go(3000)
    assert max(minion.sizes) <= bound
    assert sorted(minion.runs) == cell.on('m1') and len(minion.runs) == 3


def test_starts_and_stops_share_an_answer():
    starts = [[f'a.0.0.{n}', 1, full('\x01'), ''] for n in range(10)]
    stops = [[f'b.0.0.{n}', 1] for n in range(5000)]
    starts_now, stops_now = shared(starts, stops, 100_000)
    size = len(json.dumps([starts_now, stops_now], separators=(',', ':')).encode())
    assert 0 < len(starts_now) < 10 and 0 < len(stops_now) < 5000 and size <= 100_000
    assert shared(starts, [], 1 << 20) == (starts, []) and shared([], stops, 1 << 20) == ([], stops)


def test_the_least_answer_has_room_for_the_longest_start():
    bad = check({'name': 'n', 'bind': '1.1.1.1:1', 'seeds': ['1.1.1.1:1'], 'call': {'answer_bytes': 1000}})
    assert bad.is_error() and any(m.startswith('call.answer_bytes') for m in bad.error)
    least = Settings(name='n', bind='1.1.1.1:1', seeds=[], call=Calls(answer_bytes=1 << 19)).call.answer_bytes
    start = ['f' * 16 + '.9999.199.9999', 10**6, full('\x01'), full('\x01')]
    stops = [[f'b.0.0.{n}', 1] for n in range(50_000)]
    assert shared([start], stops, least // 4)[0] == [start]


def test_a_body_is_utf8_and_half_a_pair_stays_an_escape():
    assert speech.say({'a': 'ŵ'}) == '{"a":"ŵ"}'.encode()
    assert json.loads(speech.say({'a': '\ud800'})) == {'a': '\ud800'}
