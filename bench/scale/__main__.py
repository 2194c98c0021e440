"""`python -m bench.scale`, from the repository's root: the planned size on one machine, with faults and a report."""

import json
import shutil
import signal
import sys
import tempfile
from pathlib import Path
from typing import Optional

from cyclopts import App

from bench.scale.scale import Scale
from bench.scale.scale_procs import Size
from bench.scale.scale_result import write

app = App(name='bench.scale', help='The planned size on loopback. A tool for measuring.', help_format='plaintext')


@app.default
def main(
    *,
    seconds: float = 90,
    workers: int = 1400,
    starts: float = 640,
    running: Optional[int] = None,
    teams: int = 55,
    core: int = 3,
    edges: int = 11,
    levels: str = '0.25,0.5,0.75,1',
    configs: int = 6,
    faults: bool = True,
    calm: float = 0.25,
    profile: bool = False,
    seed: int = 1,
    out: Optional[Path] = None,
    folder: Optional[Path] = None,
    commit: str = '',
):
    """Plays the planned size: real core nodes and edges, hollow minions and clients; reports as JSON.

    Parameters
    ----------
    seconds
        How long the load lasts, levels and faults together.
    workers
        Minions, in 11 zones of 3 regions.
    starts
        Task starts a second at the peak.
    running
        Tasks that run at the peak; by default in the plan's proportion to the starts.
    teams
        Queues.
    core
        Core nodes.
    edges
        Edges.
    levels
        Shares of the peak, played one after the other, up to the first that is not carried.
    configs
        Changes of the configuration over the run.
    faults
        Whether the holder is killed, a zone lost and a region cut off, before the levels.
    calm
        Share of the peak at which these faults are played.
    profile
        Profiles the core nodes; the holder's profile stays in the folder, so name one.
    seed
        For the clients' choices.
    out
        Where the report goes, NAME.json; pictures beside it. Else to standard output.
    folder
        Where settings, logs and data go; kept where it is named.
    commit
        Names the sources in the report where they are no checkout.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    own = folder is None
    folder = Path(folder or tempfile.mkdtemp(prefix='asterwharf-scale-'))
    size = Size(workers, starts, int(starts * 4500 / 640) if running is None else running, teams, core, edges)
    try:
        rep = Scale(
            folder,
            size,
            seconds,
            [float(v) for v in levels.split(',')],
            faults,
            calm,
            configs,
            profile,
            seed,
            commit=commit,
        ).run()
    except KeyboardInterrupt:
        sys.exit(130)
    finally:
        if own:
            shutil.rmtree(folder, ignore_errors=True)
    if out:
        print(write(rep, out) or out)
    else:
        print(json.dumps(rep, indent=1))


if __name__ == '__main__':
    app()
