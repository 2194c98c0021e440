"""`python -m asterwharf.sim.model --minutes 5 --seed 1`: the model for as long as asked; what it saw, as one line a profile."""

import argparse
import sys
import time

from asterwharf.sim.model.checks import Violation
from asterwharf.sim.model.driver import PROFILES, Driver
from asterwharf.sim.model.exhaustive import Explorer


def play(names, seconds, seed):
    """Plays the profiles in turn until the time is over; the number of runs that broke a rule."""
    end, broken = time.monotonic() + seconds, 0
    totals = {n: [0, 0, 0, 0] for n in names}
    while time.monotonic() < end:
        for name in names:
            driver = Driver(PROFILES[name], seed)
            try:
                driver.play()
            except Violation as e:
                broken += 1
                print(f'profile {name} seed {seed}: {e}', flush=True)
            checks, row = driver.cluster.checks, totals[name]
            row[0] += 1
            row[1] += driver.cluster.steps
            row[2] += len(checks.leaders)
            row[3] += checks.acknowledged
        seed += 1
    for name, (runs, steps, terms, entries) in totals.items():
        print(f'{name}: {runs} runs, {steps} steps checked, {terms} terms led, {entries} entries acknowledged')
    return broken


def main():
    ask = argparse.ArgumentParser(prog='python -m asterwharf.sim.model', description=__doc__)
    ask.add_argument('--minutes', type=float, default=1.0, help='how long to play the profiles')
    ask.add_argument('--seed', type=int, default=1, help='the first seed; the same seed is the same run')
    ask.add_argument('--profile', choices=sorted(PROFILES), help='only this one')
    ask.add_argument(
        '--depth', type=int, default=0, help='instead: every interleaving of the small model to this depth'
    )
    ask.add_argument('--states', type=int, default=2_000_000, help='with --depth: stop after so many states')
    args = ask.parse_args()
    if args.depth:
        print(Explorer(args.depth, args.states).explore())
        return 0
    return 1 if play([args.profile] if args.profile else list(PROFILES), args.minutes * 60, args.seed) else 0


if __name__ == '__main__':
    sys.exit(main())
