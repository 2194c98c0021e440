r"""Compares variants of the sources on the users' bench, in pairs over sites, days and seeds.

python -m bench.trials pairs --fleetbench PROGRAM --site FILE --day quiet-1 --seeds 5 \
    --variant old=HEAD~3 --variant new=HEAD --variant bare=HEAD/pace,stillness

The first variant is the reference. Mechanisms after the slash are switched off (asterwharf/base/mechanisms.py).
"""

import json
import sys
import tempfile
from pathlib import Path

from cyclopts import App

from asterwharf.base.mechanisms import Mechanism
from bench.trials import late_jobs
from bench.trials.errors import TrialError
from bench.trials.pairs import Case, Runner, by_variant, document
from bench.trials.table import table
from bench.trials.variants import Variant

app = App(name='bench.trials', help='Pairs of plays on the users’ bench.', help_format='plaintext')
# the first seed; those of a comparison follow one another
SEED = 7001


def compare(variants, fleetbench, site, day, seeds, why, workers, out, counted, small, resume):
    """Plays all variants over sites, days and seeds, and prints and keeps the table."""
    cases = [
        Case(str(Path(file).resolve()), name, SEED + number) for file in site for name in day for number in range(seeds)
    ]
    with tempfile.TemporaryDirectory(dir=Path.cwd().parent, prefix='trials-') as scratch:
        folders = {variant.label: variant.prepare(scratch) for variant in variants}
        runner = Runner(str(Path(fleetbench).resolve()), folders, out, workers, why, counted, small)
        outcomes = runner.play([(variant.label, case) for case in cases for variant in variants], resume=resume)
    text = table(by_variant(outcomes), variants[0].label)
    print(text)
    (Path(out) / 'outcomes.json').write_text(json.dumps(document(outcomes), indent=1))
    (Path(out) / 'table.md').write_text(text)


@app.command
def pairs(
    *,
    fleetbench: str,
    site: list[str],
    day: list[str],
    variant: list[str],
    seeds: int = 5,
    why: str = 'pairs of variants',
    workers: int = 4,
    out: str = 'target/trials',
    counted: bool = False,
    small: bool = False,
    resume: bool = False,
):
    """Compares variants LABEL=REVISION[/MECHANISM,...]; '.' is the working tree. `counted`: processor time is charged.

    `resume`: reports that stand in `out` already are taken as they are.
    """
    compare(
        [Variant.parse(text) for text in variant],
        fleetbench,
        site,
        day,
        seeds,
        why,
        workers,
        out,
        counted,
        small,
        resume,
    )


@app.command
def ablation(
    *,
    fleetbench: str,
    site: list[str],
    day: list[str],
    mechanism: list[str] | None = None,
    revision: str = 'HEAD',
    seeds: int = 5,
    why: str = 'ablation',
    workers: int = 4,
    out: str = 'target/ablation',
    counted: bool = False,
    small: bool = False,
    resume: bool = False,
):
    """Plays the sources whole, then without each mechanism in turn."""
    names = mechanism or [one.value for one in Mechanism]
    variants = [Variant.parse(f'whole={revision}')] + [
        Variant.parse(f'no-{name.replace("_", "-")}={revision}/{name}') for name in names
    ]
    compare(variants, fleetbench, site, day, seeds, why, workers, out, counted, small, resume)


@app.command
def late(log: str, *, plot: str = ''):
    """Tells from a play's output (`run --log core`) in which phase the time of each late job went; `plot`: a picture, too."""
    found = late_jobs.read_log(log)
    print(late_jobs.table(found))
    if plot:
        late_jobs.plot(found, plot)


if __name__ == '__main__':
    try:
        app()
    except TrialError as problem:
        print(problem, file=sys.stderr)
        sys.exit(problem.code.exit)
