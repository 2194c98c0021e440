"""What holding saves: the same seeds beside minions that can hold and minions that can't, in turn.

python bench/holds.py [--seeds 16]
"""

import multiprocessing
import statistics

from cyclopts import App

from asterwharf.sim import days, scenario_run, scenarios  # noqa: F401

app = App(help_format='plaintext')
NAMES = ('agent_cut', 'core_cut_off', 'machine_frozen', 'answers_lost', 'core_cut')


def _one(job):
    name, seed, holds = job
    r = scenario_run.run(name, seed, holds=holds)
    c = r.fleet.obs.count
    return name, holds, c['cut_short'], c['resumed'], c['starts'] - c['done'], len(r.why)


@app.default
def main(*, seeds: int = 16):
    jobs = [(n, s, h) for n in NAMES for s in range(1, seeds + 1) for h in (False, True)]
    with multiprocessing.Pool(8) as p:
        got = p.map(_one, jobs, chunksize=1)
    for n in NAMES:
        for h in (False, True):
            rows = [r for r in got if r[:2] == (n, h)]
            short, back, more = ([r[i] for r in rows] for i in (2, 3, 4))
            print(
                f'{n:16} {"hold" if h else "stop":5} rounds cut short: {sum(short):4} (a run {statistics.mean(short):.1f}, '
                f'{min(short)} to {max(short)}), gone on {sum(back)}, starts beyond the successes {sum(more)}, '
                f'failed runs {sum(r[5] > 0 for r in rows)}'
            )


if __name__ == '__main__':
    app()
