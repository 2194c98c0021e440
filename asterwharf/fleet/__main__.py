"""`python -m asterwharf.fleet`: a whole fleet on this machine, with callers, a judge and a report."""

import json
import os
import shutil
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Optional

from cyclopts import App

from asterwharf.fleet import faults
from asterwharf.fleet.judge import judge
from asterwharf.fleet.live import Live

app = App(
    name='asterwharf.fleet', help='A whole fleet on loopback. A tool for trying and testing.', help_format='plaintext'
)


def _pct(xs, q):
    xs = sorted(xs)
    return xs[min(len(xs) - 1, int(q * len(xs)))] if xs else 0


def _counts(live):
    tot = {'messages': 0, 'syncs': 0, 'sync_ms': 0}
    for n in live.core + live.edges:
        c = live.status(n).get('counts', {})
        tot['messages'] += sum(v for k, v in c.items() if k.startswith('sent.'))
        tot['syncs'] += c.get('syncs', 0)
        tot['sync_ms'] += c.get('sync_ms', 0)
    return tot


def _cpu(live):
    """CPU seconds used so far by each kind of process."""
    out, hz = {}, os.sysconf('SC_CLK_TCK')
    for n, p in live.procs.items():
        try:
            with open(f'/proc/{p.pid}/stat', encoding='utf-8') as f:
                v = f.read().rpartition(') ')[2].split()
        except OSError:
            continue
        k = 'core' if n in live.core else 'edge' if n in live.edges else 'agent'
        out[k] = out.get(k, 0) + (int(v[11]) + int(v[12])) / hz
    return {k: round(v, 2) for k, v in out.items()}


def report(live, calls, obs, before, after):
    """What the run came to, in numbers."""
    cls, starts = {}, {}
    for (ten, jid), ms in calls.kept.items():
        spec = calls.specs[ten, jid]
        cls.setdefault(spec['class'], []).append(ms)
        first = spec['tasks'][0]
        at = obs.starts.get(f'{ten}/{jid}/{first["name"]}')
        if at and not first.get('due') and (ten, jid) in calls.final:
            # from being kept to the first start that the minion really made
            took = next(
                t for t, k, op, c, *_ in calls.told if k == (ten, jid) and op == 'submit' and c in ('taken', 'same')
            )
            starts.setdefault(spec['class'], []).append(at[0] - took)
    n = max(1, len(calls.kept))
    states = {}
    for d in calls.final.values():
        states[d['state']] = states.get(d['state'], 0) + 1
    return {
        'jobs': {'sent': len(calls.specs), 'kept': len(calls.kept), 'ended': len(calls.final), 'by_state': states},
        'accept_ms': {k: {'median': statistics.median(v), 'p99': _pct(v, 0.99), 'n': len(v)} for k, v in cls.items()},
        'start_ms': {k: {'median': statistics.median(v), 'p99': _pct(v, 0.99), 'n': len(v)} for k, v in starts.items()},
        'per_job': {k: round((after[k] - before[k]) / n, 2) for k in before},
        'answers': {f'{o} {s}': c for (o, s), c in sorted(calls.count.items())},
        'observer': obs.count,
        'overlap_ms': sorted(ms for ms, _ in obs.overlaps),
        'strict': sorted({r for _, r, _ in obs.strict}),
        'broken': [[t, r, k] for t, r, k in obs.broken[:20]],
    }


@app.default
def main(
    size: str = 'small',
    *,
    seconds: int = 30,
    seed: int = 1,
    scale: float = 1.0,
    fault: Optional[list[str]] = None,
    folder: Optional[Path] = None,
    keep: bool = False,
    config: Optional[Path] = None,
):
    """Starts a fleet, sends the deployment's mix, causes faults if asked to, judges, reports.

    Parameters
    ----------
    size
        small, fraser or oergadwyn.
    seconds
        How long callers send.
    seed
        For the callers' choices and the faults'.
    scale
        Times the deployment's rate.
    fault
        Names of faults to cause while callers send, or all; see --fault list.
    folder
        Where settings, logs and data go.
    keep
        Leaves the fleet running until interrupted, and the folder in place.
    config
        A configuration to use instead of the built-in one.
    """
    if fault == ['list']:
        for k, f in faults.ALL.items():
            print(f'{k:16} {f.__doc__}')
        return
    # the fleet goes with this process, however that is asked to go
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    own = folder is None
    folder = Path(folder or tempfile.mkdtemp(prefix='asterwharf-'))
    live = Live(folder, size)
    ok = False
    try:
        live.up()
        doc = json.loads(config.read_text()) if config else live.site.doc
        if not live.until(lambda: live.status(live.edges[0])['fit'], 60):
            sys.exit(f'the fleet did not come up; see {folder}')
        live.configure(lambda d: doc)
        if not live.until(lambda: live.minions_up() == len(live.tends), 120):
            sys.exit(f'not every minion registered; see {folder}')
        print(
            f'up: {len(live.core)} core, {len(live.edges)} edges, {len(live.tends)} minions; doors '
            + ','.join(live.http[e] for e in live.edges),
            flush=True,
        )
        if keep and not seconds:
            while True:
                time.sleep(3600)
        before, cpu = _counts(live), _cpu(live)
        calls = live.callers(seconds, seed, scale)
        faults.plan(live, calls, fault or [], seconds, seed)
        calls.run()
        obs = judge(live, calls)
        rep = report(live, calls, obs, before, _counts(live))
        rep['cpu_s'] = {k: round(v - cpu.get(k, 0), 2) for k, v in _cpu(live).items()}
        print(json.dumps(rep, indent=1))
        ok = calls.finished and not obs.broken
        print('verdict:', 'ok' if ok else 'BROKEN' if obs.broken else 'not all jobs ended', '' if ok else folder)
    except KeyboardInterrupt:
        pass
    finally:
        live.down()
        if own and ok and not keep:
            shutil.rmtree(folder, ignore_errors=True)
    sys.exit(0 if ok else 1)


if __name__ == '__main__':
    app()
