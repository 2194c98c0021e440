"""A program of the platform whose links to other nodes the soak can cut: `python tests/soak_node.py ROLE CUTS`.

CUTS is the file that `asterwharf.wire.trials` reads; all else is platform/start.py.
"""

import os
import sys

from platform_rig import start

from asterwharf.wire import daemon, trials


def main(role, cuts):
    """Runs the program until SIGTERM; returns its exit status."""
    daemon.Trials = lambda _: trials.Trials(cuts)
    return start.main(role, os.environ[start.ENV])


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
