"""The same seed gives the same run, in any process."""

import os
import subprocess
import sys

CODE = """
from asterwharf.sim import scenario_run, scenarios
for n in ('mixed', 'core_wiped'):
    f = scenario_run.run(n, 3).fleet
    print(n, f.w.n, sorted(f.obs.count.items()), sorted(f.w.count.items()), len(f.w.log))
"""


def test_a_seed_replays_whatever_the_hash_seed():
    outs = {
        subprocess.run(
            [sys.executable, '-c', CODE],
            env=dict(os.environ, PYTHONHASHSEED=h),
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for h in ('1', '2')
    }
    assert len(outs) == 1 and 'mixed' in outs.pop()
