"""What the users' bench reports of one play, read strictly: a report that is wrong or cut short gives no figure."""

import json
import re
from dataclasses import dataclass, field
from pathlib import Path

from bench.trials.errors import TrialError

WASTE = 'core-seconds of work thrown away'
RUNS = re.compile(r'(\d+) runs: (\d+) done, (\d+) failed, (\d+) stopped')


@dataclass(frozen=True)
class Play:
    """One play. `worth` is after prices, `parts` and `classes` are shares of worth earned; `waste` in core-seconds."""

    worth: float
    parts: dict = field(default_factory=dict)
    classes: dict = field(default_factory=dict)
    waste: float = 0.0
    runs: int = 0
    stopped: int = 0
    broken: tuple[str, ...] = ()


def read_report(path):
    """Reads a report file into a Play; raises TrialError 216."""
    try:
        document = json.loads(Path(path).read_text())
        return _play(document)
    except (OSError, ValueError, KeyError, TypeError, IndexError) as error:
        raise TrialError('bad_report', f'{path}: {type(error).__name__}: {error}') from None


def _play(document):
    prices = {name: amount for name, amount, _ in document['prices']}
    match = next((m for m in map(RUNS.search, document['hints']) if m), None)
    if match is None:
        raise ValueError('no line that counts the runs')
    broken = sorted(document['breaks']) + [document['fault']] * bool(document['fault']) + list(document['short'])
    return Play(
        worth=float(document['G']),
        parts={name: share for name, _, share in document['parts']},
        classes={row['name']: row['worth'] for row in document['classes'] if row['n']},
        waste=float(prices[WASTE]),
        runs=int(match[1]),
        stopped=int(match[4]),
        broken=tuple(map(str, broken)),
    )
