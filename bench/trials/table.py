"""The table of a comparison, in Markdown: a row for each variant and site, against the reference."""

import statistics
from pathlib import Path

from bench.trials.pairs import difference

HEAD = """| site | variant | pairs | worth | difference, mean (spread) | decides | whole day | worst windows | worst class | thrown away, core-s | runs stopped | broken |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
"""


def table(plays, reference):
    """`plays`: {variant: {case: Play}}; the reference's rows come first."""
    rows = []
    for site in sorted({case.site for cases in plays.values() for case in cases}):
        for variant in sorted(plays, key=lambda name: (name != reference, name)):
            own = _of(plays[variant], site)
            base = _of(plays.get(reference, {}), site)
            if own:
                rows.append(_row(Path(site).stem, variant, own, base, variant == reference))
    return HEAD + '\n'.join(rows) + '\n'


def _of(cases, site):
    return {case: play for case, play in cases.items() if case.site == site}


def _row(site, variant, own, base, is_reference):
    plays = list(own.values())
    gain, decides = '', ''
    if not is_reference and set(own) & set(base):
        found = difference(base, own)
        gain, decides = f'{found.mean:+.3f} ({found.spread:.3f})', 'yes' if found.decides else 'no'
    cells = [site, variant, len(plays), f'{_mean(play.worth for play in plays):.3f}', gain, decides]
    cells += [
        f'{_mean(play.parts.get(part, 1.0) for play in plays):.3f}'
        for part in ('whole day', 'worst windows', 'worst class')
    ]
    cells += [
        round(_mean(play.waste for play in plays)),
        f'{_mean(play.stopped / max(1, play.runs) for play in plays):.3f}',
    ]
    cells.append(sum(bool(play.broken) for play in plays))
    return '| ' + ' | '.join(map(str, cells)) + ' |'


def _mean(numbers):
    return statistics.mean(list(numbers))
