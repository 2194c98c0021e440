"""Lets tests import their neighbours, and spreads them over workers."""

import sys
from pathlib import Path

from xdist.scheduler import LoadScopeScheduling

from asterwharf.sim import days

sys.path.insert(0, str(Path(__file__).parent))
# a day of a deployment is short here, long in the sweeps
days.SECONDS['day'] = 50
# modules whose tests share a fleet, a measurement or an order: one worker runs the whole module
TOGETHER = {'test_door', 'test_newest_page', 'test_queues_commands', 'test_sickle', 'test_slopes'}


class Spread(LoadScopeScheduling):
    """Hands out single tests, but for the modules that stay together.

    xdist's own mark for this, `xdist_group`, has no effect with the pinned pytest.
    """

    def _split_scope(self, nodeid):
        module = nodeid.partition('::')[0]
        return module if Path(module).stem in TOGETHER else nodeid


def pytest_xdist_make_scheduler(config, log):
    """The scheduler for `--dist loadgroup`, which pyproject.toml asks for; other modes stay as they are."""
    return Spread(config, log) if config.getvalue('dist') == 'loadgroup' else None
