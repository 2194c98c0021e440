"""Checks a history of operators' calls against a linearizable compare-and-set register.

The configuration is one register. `replace` and `change` put a new version in force if the version they build on is
current; `read` returns the current one. A history is correct if every call can be given one instant between its
invocation and its return, such that the register, taken through the calls in the order of these instants, gives every
caller the answer that it got. A call without an answer may take effect at any time after its invocation, or never.

An order is known by (base, request): every further copy of an order that took effect is acknowledged again, without
effect, and is never refused.

    history = History()
    call = history.invoke('replace', at=10, base=0, number=1, document=content_digest(doc))
    history.returned(call, 'ok', at=25)                 # without this the call stays open-ended
    call = history.invoke('read', at=30)
    history.returned(call, 'ok', at=31, number=1, document=content_digest(doc))
    verdict = check(history.operations)
    assert verdict.ok, verdict.reason

Times are integers on any one clock. Calls that touch at the same instant count as concurrent.
"""

import hashlib
import json
from dataclasses import dataclass, field
from enum import StrEnum

# steps of one search before it is given up as undecided
SEARCH_STEPS = 1_000_000


class Kind(StrEnum):
    """What a call asks for: a whole configuration, a change of named items, or the current configuration."""

    REPLACE = 'replace'
    CHANGE = 'change'
    READ = 'read'


class Result(StrEnum):
    """A clear answer: acknowledged or read, refused by its base (412), refused by its content (400)."""

    OK = 'ok'
    STALE = 'stale'
    INVALID = 'invalid'


class Outcome(StrEnum):
    """What a check found."""

    LINEARIZABLE = 'linearizable'
    VIOLATED = 'violated'
    UNDECIDED = 'undecided'


@dataclass(slots=True)
class Operation:
    """One call, or all that is known of it.

    `document` is the digest of the whole configuration that an order puts in force, or that a read returned (empty: a
    read that returned a number only). `request` is the digest of what the order said, where that differs from the
    document, as with named changes. `valid` says whether the order may be accepted on its own base. `returned` is
    None for a call without a clear answer.
    """

    kind: Kind
    invoked: int
    base: int = 0
    number: int = 0
    document: str = ''
    request: str = ''
    valid: bool = True
    client: str = ''
    returned: int | None = None
    result: Result | None = None

    @property
    def identity(self):
        """What makes another copy the same order."""
        return self.kind, self.base, self.request or self.document


@dataclass(frozen=True, slots=True)
class Register:
    """The register between two operations: the current version, and every order that took effect."""

    number: int = 0
    document: str = ''
    accepted: frozenset = frozenset()

    def takes(self, operation):
        """Whether the order would take effect now."""
        return (
            operation.kind is not Kind.READ
            and operation.valid
            and operation.base == self.number
            and operation.number > self.number
            and operation.identity not in self.accepted
        )

    def after(self, operation):
        """The register once the order has taken effect."""
        return Register(operation.number, operation.document, self.accepted | {operation.identity})

    def answers(self, operation):
        """Whether the call may get its answer now, without effect."""
        if operation.kind is Kind.READ:
            return operation.number == self.number and operation.document in ('', self.document)
        known = operation.identity in self.accepted
        if operation.result is Result.OK:
            return known
        if operation.result is Result.STALE:
            return not known and operation.base != self.number
        # an order that may be accepted on its own base is never refused by its content
        return not known and (not operation.valid or operation.number <= operation.base)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a check found. `stuck`: calls that fit nowhere after the longest correct prefix found."""

    outcome: Outcome
    steps: int
    reason: str = ''
    stuck: tuple = ()

    @property
    def ok(self):
        """Whether the history is linearizable; an undecided one isn't shown to be."""
        return self.outcome is Outcome.LINEARIZABLE


@dataclass(slots=True)
class History:
    """Collects calls while they run."""

    operations: list[Operation] = field(default_factory=list)

    def invoke(self, kind, at, base=0, number=0, document='', request='', valid=True, client=''):
        """A call begins; the operation is handed to `returned` once its answer is clear."""
        operation = Operation(Kind(kind), at, base, number, document, request, valid, client)
        self.operations.append(operation)
        return operation

    def returned(self, operation, result, at, number=0, document=''):
        """A call got a clear answer; a read says what it read. Without an answer don't call this."""
        operation.result, operation.returned = Result(result), at
        if operation.kind is Kind.READ:
            operation.number, operation.document = number, document


def content_digest(document):
    """Digest of a configuration by its content: neither white space nor the order of keys matters."""
    text = json.dumps(document, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class _Search:
    """Depth-first search after Wing and Gong, with a memo of the positions that led nowhere.

    A call that gets its answer without effect is placed as soon as it fits: an earlier instant never harms another.
    So only orders that take effect are branched on. Open-ended orders matter only while they would take effect, hence a
    position is: the answered calls not placed yet, and the register.
    """

    def __init__(self, operations, steps):
        answered = [o for o in operations if o.returned is not None]
        self.answered = sorted(answered, key=lambda o: (o.invoked, o.returned))
        self.open = sorted(
            (o for o in operations if o.returned is None and o.kind is not Kind.READ), key=lambda o: o.invoked
        )
        self.open_by_base = {}
        for operation in self.open:
            self.open_by_base.setdefault(operation.base, []).append(operation)
        self.most, self.steps, self.best, self.stuck = steps, 0, -1, ()

    def window(self, low, placed):
        """(answered calls that may come next, earliest return among all not placed)."""
        horizon, found = None, []
        for i in range(low, len(self.answered)):
            operation = self.answered[i]
            if horizon is not None and operation.invoked > horizon:
                break
            if i not in placed:
                found.append(i)
                horizon = operation.returned if horizon is None else min(horizon, operation.returned)
        # a call that begins after another has returned can't come before it
        return [i for i in found if self.answered[i].invoked <= horizon], horizon

    def settle(self, low, placed, register):
        """Places every call that gets its answer without effect; the position after it."""
        while True:
            while low in placed:
                placed = placed - {low}
                low += 1
            found, horizon = self.window(low, placed)
            self.steps += 1 + len(found)
            fits = [i for i in found if register.answers(self.answered[i])]
            if not fits:
                return low, placed, found, horizon
            placed = placed | set(fits)

    def run(self):
        """The Verdict."""
        todo, seen = [(0, frozenset(), Register())], set()
        while todo:
            if self.steps > self.most:
                return Verdict(Outcome.UNDECIDED, self.steps, f'given up after {self.steps} steps')
            low, placed, register = todo.pop()
            low, placed, found, horizon = self.settle(low, placed, register)
            if low == len(self.answered):
                return Verdict(Outcome.LINEARIZABLE, self.steps)
            if (low, placed, register) in seen:
                continue
            seen.add((low, placed, register))
            if low + len(placed) > self.best:
                self.best = low + len(placed)
                self.stuck = (register, tuple(self.answered[i] for i in found))
            for operation in self.open_by_base.get(register.number, ()):
                if operation.invoked <= horizon and register.takes(operation):
                    todo.append((low, placed, register.after(operation)))
            for i in found:
                operation = self.answered[i]
                if operation.result is Result.OK and register.takes(operation):
                    todo.append((low, placed | {i}, register.after(operation)))
        return self.violation()

    def violation(self):
        """The Verdict of a history that has no order of instants."""
        register, stuck = self.stuck
        calls = '; '.join(
            f'{o.kind} base={o.base} number={o.number} -> {o.result} [{o.invoked}, {o.returned}] {o.client}'.rstrip()
            for o in stuck[:4]
        )
        reason = f'no instant fits with version {register.number} current: {calls}'
        return Verdict(Outcome.VIOLATED, self.steps, reason, stuck)


def check(operations, steps=SEARCH_STEPS):
    """Whether the operations are those of one compare-and-set register; bounded by `steps`."""
    return _Search(operations, steps).run()
