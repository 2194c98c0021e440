"""Where the time of late jobs went, read from the log lines `job late` of a play, as a table and a plot."""

import json
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from bench.trials.errors import TrialError

EVENT = '"event": "job late"'
# a phase with less than this share of the time beyond the work stands among the others
LEAST_SHARE, OTHERS = 0.02, 'others'
WORK = 'work'


@dataclass
class Late:
    """Late jobs of one queue: how many, their time beyond the work by phase in ms, and the phase that took most of each."""

    jobs: int = 0
    phases: Counter = field(default_factory=Counter)
    foremost: Counter = field(default_factory=Counter)
    seconds: list = field(default_factory=list)


def read_log(path):
    """{queue: Late} of a play's output (`--log core`); raises TrialError 216 for a line that is cut short."""
    out = {}
    try:
        lines = Path(path).read_text(errors='replace').splitlines()
    except OSError as error:
        raise TrialError('bad_report', f'{path}: {error}') from None
    for number, line in enumerate(lines, 1):
        if EVENT not in line:
            continue
        try:
            _take(out, float(line.split()[0]), json.loads(line[line.index('{') :]))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise TrialError('bad_report', f'{path}, line {number}: {error}') from None
    return out


def _take(out, second, fields):
    late = out.setdefault(fields['queue'], Late())
    beyond = {name: ms for name, ms in fields['phases'].items() if name != WORK}
    late.jobs += 1
    late.phases.update(beyond)
    late.foremost[max(beyond, key=beyond.get, default=WORK)] += 1
    late.seconds.append(second)


def table(late):
    """The table in Markdown: a row for each queue and phase, the largest first."""
    rows = ['| queue | late jobs | phase | seconds | share | foremost in |', '| --- | --- | --- | --- | --- | --- |']
    for queue, one in sorted(late.items(), key=lambda item: -item[1].jobs):
        total = sum(one.phases.values()) or 1
        for name, ms in _shares(one.phases, total):
            rows.append(
                f'| {queue} | {one.jobs} | {name} | {ms / 1000:.1f} | {ms / total:.2f} | {one.foremost[name]} |'
            )
    return '\n'.join(rows) + '\n'


def _shares(phases, total):
    large = [(name, ms) for name, ms in phases.most_common() if ms / total >= LEAST_SHARE]
    rest = total - sum(ms for _, ms in large)
    return large + ([(OTHERS, rest)] if rest / total >= LEAST_SHARE else [])


def plot(late, path):
    """Draws the time of late jobs by phase, a bar for each queue; needs the extra `scale`."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 0.7 * len(late) + 1.5))
    names = sorted({name for one in late.values() for name, _ in _shares(one.phases, sum(one.phases.values()) or 1)})
    left = dict.fromkeys(late, 0.0)
    for name in names:
        for queue, one in late.items():
            seconds = dict(_shares(one.phases, sum(one.phases.values()) or 1)).get(name, 0) / 1000
            color = f'C{names.index(name) % 10}'
            axes.barh(queue, seconds, left=left[queue], color=color, label=name if queue == next(iter(late)) else None)
            left[queue] += seconds
    axes.set_xlabel('seconds of late jobs beyond their work, along the chain that each waited for')
    axes.legend(fontsize='small', ncol=2)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
