"""The history checker itself: histories known to be good or bad, and a brute-force reference on small drawn ones."""

import itertools
import random

import pytest

from asterwharf.sim.history_checker import History, Kind, Outcome, Register, Result, check, content_digest


def history(*rows):
    """Rows: (kind, invoked, returned, result, base, number, document); returned None: open-ended."""
    h = History()
    for kind, invoked, returned, result, base, number, document in rows:
        if kind == 'read':
            call = h.invoke('read', invoked)
            if returned is not None:
                h.returned(call, result, returned, number, document)
            continue
        call = h.invoke(kind, invoked, base, number, document)
        if returned is not None:
            h.returned(call, result, returned)
    return h.operations


FIRST = ('replace', 0, 1, 'ok', 0, 1, 'a')

GOOD = {
    'nothing': [],
    'one after the other': [FIRST, ('change', 2, 3, 'ok', 1, 2, 'b'), ('read', 4, 5, 'ok', 0, 2, 'b')],
    'a rival is refused': [FIRST, ('replace', 2, 9, 'ok', 1, 2, 'b'), ('replace', 3, 8, 'stale', 1, 2, 'c')],
    'a read beside a change sees either': [
        FIRST,
        ('replace', 2, 9, 'ok', 1, 2, 'b'),
        ('read', 3, 4, 'ok', 0, 1, 'a'),
        ('read', 5, 6, 'ok', 0, 2, 'b'),
    ],
    'a lost answer took effect': [FIRST, ('replace', 2, None, '', 1, 2, 'b'), ('read', 3, 4, 'ok', 0, 2, 'b')],
    'a lost answer took effect late': [
        FIRST,
        ('replace', 2, None, '', 1, 2, 'b'),
        ('read', 3, 4, 'ok', 0, 1, 'a'),
        ('read', 50, 51, 'ok', 0, 2, 'b'),
    ],
    'a lost answer never took effect': [
        FIRST,
        ('replace', 2, None, '', 1, 2, 'b'),
        ('replace', 5, 6, 'ok', 1, 3, 'c'),
        ('read', 7, 8, 'ok', 0, 3, 'c'),
    ],
    'a repeat after newer versions': [
        FIRST,
        ('replace', 2, None, '', 1, 2, 'b'),
        ('replace', 3, 4, 'ok', 2, 3, 'c'),
        ('replace', 5, 6, 'ok', 1, 2, 'b'),
        ('read', 7, 8, 'ok', 0, 3, 'c'),
    ],
    'a number only': [FIRST, ('read', 4, 5, 'ok', 0, 1, '')],
    'a number not above its base': [FIRST, ('replace', 2, 3, 'invalid', 1, 1, 'b')],
}
BAD = {
    'two rivals on one base': [FIRST, ('replace', 2, 3, 'ok', 1, 2, 'b'), ('replace', 4, 5, 'ok', 1, 2, 'c')],
    'two rivals at once': [FIRST, ('replace', 2, 9, 'ok', 1, 2, 'b'), ('replace', 3, 8, 'ok', 1, 2, 'c')],
    'an acknowledged change lost': [FIRST, ('replace', 2, 3, 'ok', 1, 2, 'b'), ('read', 4, 5, 'ok', 0, 1, 'a')],
    'an old read after a newer one': [
        FIRST,
        ('replace', 2, None, '', 1, 2, 'b'),
        ('read', 3, 4, 'ok', 0, 2, 'b'),
        ('read', 5, 6, 'ok', 0, 1, 'a'),
    ],
    'a read of what none sent': [FIRST, ('read', 2, 3, 'ok', 0, 1, 'z')],
    'a read before its order was sent': [FIRST, ('read', 2, 3, 'ok', 0, 2, 'b'), ('replace', 5, 6, 'ok', 1, 2, 'b')],
    'acknowledged, then refused': [
        FIRST,
        ('replace', 2, 3, 'ok', 1, 2, 'b'),
        ('replace', 4, 5, 'ok', 2, 3, 'c'),
        ('replace', 6, 7, 'stale', 1, 2, 'b'),
    ],
    'refused on top of the newest': [FIRST, ('replace', 2, 3, 'stale', 1, 2, 'b')],
    'an accepted order called invalid': [
        FIRST,
        ('replace', 2, 3, 'ok', 1, 2, 'b'),
        ('replace', 4, 5, 'invalid', 1, 2, 'b'),
    ],
    'a good order called invalid': [FIRST, ('replace', 2, 3, 'invalid', 1, 2, 'b')],
    'the winner was never sent again, and both were told so': [
        FIRST,
        ('replace', 2, 3, 'ok', 1, 2, 'b'),
        ('read', 4, 5, 'ok', 0, 2, 'c'),
    ],
}


@pytest.mark.parametrize('name', GOOD)
def test_a_good_history_is_linearizable(name):
    verdict = check(history(*GOOD[name]))
    assert verdict.ok and not verdict.reason, verdict


@pytest.mark.parametrize('name', BAD)
def test_a_bad_history_is_caught(name):
    verdict = check(history(*BAD[name]))
    assert verdict.outcome is Outcome.VIOLATED and verdict.reason and verdict.stuck, verdict


def test_an_invalid_order_never_takes_effect():
    h = History()
    call = h.invoke('replace', 0, 0, 1, 'a', valid=False)
    assert check(h.operations).ok
    h.returned(call, 'ok', 1)
    assert check(h.operations).outcome is Outcome.VIOLATED


def test_a_search_is_bounded_and_says_so():
    rows = [FIRST] + [('replace', 2, None, '', b, n, f'{n}') for b in range(1, 9) for n in range(b + 1, 10)]
    rows.append(('read', 3, 4, 'ok', 0, 9, 'none'))
    assert check(history(*rows), 50).outcome is Outcome.UNDECIDED


def test_content_is_compared_without_white_space_and_key_order():
    assert content_digest({'a': 1, 'b': [1, 2]}) == content_digest({'b': [1, 2], 'a': 1})
    assert content_digest({'b': [1, 2]}) != content_digest({'b': [2, 1]})


def test_a_day_of_two_thousand_orders_is_checked_in_linear_steps():
    h, rng = History(), random.Random(5)
    for n in range(1, 2001):
        t = n * 10
        lost = h.invoke('replace', t, n - 1, n, f'd{n}') if rng.random() < 0.5 else None
        h.returned(h.invoke('replace', t + 2, n - 1, n, f'd{n}'), 'ok', t + 5)
        h.returned(h.invoke('replace', t + 1, n - 1, n, f'rival{n}'), 'stale', t + 6)
        h.returned(h.invoke('read', t + 7), 'ok', t + 8, n, f'd{n}')
        assert lost is None or lost.returned is None
    verdict = check(h.operations)
    assert verdict.ok and verdict.steps < 60_000, verdict


# --- a reference: every permutation, without any of the search's shortcuts
def reference(operations):
    closed = [o for o in operations if o.returned is not None]
    loose = [o for o in operations if o.returned is None and o.kind is not Kind.READ]
    for k in range(len(loose) + 1):
        for extra in itertools.combinations(loose, k):
            for order in itertools.permutations(closed + list(extra)):
                if _respects_time(order) and _replays(order):
                    return True
    return False


def _respects_time(order):
    return not any(
        b.returned is not None and b.returned < a.invoked for i, a in enumerate(order) for b in order[i + 1 :]
    )


def _replays(order):
    register = Register()
    for o in order:
        if o.kind is not Kind.READ and o.result in (Result.OK, None) and register.takes(o):
            register = register.after(o)
        elif o.result is not None and not register.answers(o):
            return False
    return True


def drawn(rng):
    h = History()
    for _ in range(rng.randint(2, 6)):
        invoked = rng.randint(0, 12)
        returned = invoked + rng.randint(1, 6) if rng.random() < 0.75 else None
        if rng.random() < 0.35:
            call = h.invoke('read', invoked)
            if returned is not None:
                number = rng.randint(0, 2)
                h.returned(call, 'ok', returned, number, rng.choice('xy') if number else '')
            continue
        base = rng.randint(0, 1)
        call = h.invoke('replace', invoked, base, base + 1, rng.choice('xy'))
        if returned is not None:
            h.returned(call, rng.choice(('ok', 'ok', 'stale')), returned)
    return h.operations


def test_the_search_agrees_with_every_permutation_of_drawn_histories():
    rng, seen = random.Random(11), {True: 0, False: 0}
    for _ in range(1500):
        operations = drawn(rng)
        want = reference(operations)
        seen[want] += 1
        assert check(operations).ok == want, operations
    assert min(seen.values()) > 200, seen
