"""What a scale run found: its report as a document, as JSON and as pictures; the commit that was measured."""

import json
import os
import subprocess
from collections import defaultdict
from pathlib import Path

from bench.scale.scale_procs import BOUNDS, ROOT
from bench.scale.scale_report import Rows, plots, stats, use

# a level counts as reached with so much of what was asked for, and urgent work within its bound
REACHED = 0.85
# ms: how long after a loss a pause in the starts counts as its own
PAUSE = 3000
# so long after a cut the last hold that was given before it has lapsed
HOLD = BOUNDS['max_hold_ms']
PLAN = {'urgent_ms': 1400, 'config_ms': 16000}


def reached(lv):
    """Whether the figures of a level say that it was carried."""
    u = lv['urgent_start_ms']
    late = u['of'] and (u['99 of 100'] is None or u['99 of 100'] > PLAN['urgent_ms'])
    return lv['starts_s'] >= REACHED * lv['offered_starts_s'] and not late


def report(run):
    """The report of a run that has ended."""
    rows, o = Rows(run.procs.dir), run.out
    rep = {
        'commit': run.commit,
        'size': dict(vars(run.size)),
        'seconds': run.secs,
        'work_ms': run.work_ms,
        'machine': {'processors': os.cpu_count(), 'load': [run.load, os.getloadavg()[0]]},
        'profiled': run.procs.profile,
        'minions_heard': run.heard(),
        'notes': run.notes,
        'bounds': PLAN,
    }
    lvs = [v for v in run.spans if v[0].startswith('level')]
    rep['levels'] = [
        dict(rows.span(a, b), asked_starts_s=lv * run.size.starts) for lv, (_, a, b) in zip(run.levels, lvs)
    ]
    rep['carried'] = [reached(lv) for lv in rep['levels']]
    rep['configurations'] = run.force
    if run.faults:
        rep['fault_level_starts_s'] = run.calm * run.size.starts
    quiet = next((v for v in run.spans if v[0] == 'quiet'), None)
    if quiet:
        rep['quiet'] = rows.span(*quiet[1:]) | {'beats_in_order_after_ms': rows.in_order(*quiet[1:])}
    rep['faults'] = {n: rows.span(a, b) for n, a, b in run.spans if n in ('failover', 'zone lost', 'region cut')}
    if 'failover' in o:
        a, b = o['failover']
        rep['faults']['failover'] |= {'pause_ms': rows.pause(a, PAUSE)} | rows.again(a, 'lapsed', b)
    if 'zone_lost' in o:
        a, b = o['zone_lost']
        rep['faults']['zone lost'] |= {
            'minions': sum(c[2] for c in rows.crashes),
            'pause_ms': rows.pause(a, PAUSE),
        } | rows.again(a, 'crash', b)
    if 'region_cut' in o:
        a, b = o['region_cut']
        rep['faults']['region cut'] |= {'cut_ms': b - a, 'pause_ms': rows.pause(a, b - a)} | rows.again(
            a, 'lapsed', b + HOLD
        )
    rep['totals'] = rows.totals()
    rep['cores'] = use(run.samples, run.spans)
    rep['nodes'] = stats(run.procs.dir)
    rep['hollow_mb'] = megabytes(run, rows)
    rep['ended_by_themselves'] = o.get('ended_by_themselves', [])
    rep['marks'] = [[n, round((t - run.t0) / 1000, 1)] for n, t in run.marks]
    rep['per_second'] = rows.per_second(run.t0, run.end)
    rep['cores_used'] = cores_used(run)
    return rep


def megabytes(run, rows):
    """MB that minions and clients sent and got in the whole run."""
    last = {b[1]: b[6:8] for b in rows.beats} | {c[1]: c[3:5] for c in rows.calls}
    return {
        k: [round(sum(v[i] for n, v in last.items() if n.startswith(k)) / 1e6, 1) for i in (0, 1)]
        for k in ('minions', 'clients')
    }


def cores_used(run):
    """Cores used over time: each core node, all edges, all hollow processes."""
    by, out = defaultdict(list), defaultdict(dict)
    for s in run.samples:
        by[s[1]].append(s)
    for n, ss in by.items():
        k, sec = n if n in run.procs.core else run.procs.roles[n], defaultdict(list)
        for a, b in zip(ss, ss[4:]):
            # a process that was started again counts from nought
            if b[0] > a[0] and b[2] >= a[2]:
                sec[(b[0] - run.t0) // 1000].append((b[2] - a[2]) * 1000 / (b[0] - a[0]))
        for t, vs in sec.items():
            out[k][t] = round(out[k].get(t, 0) + sum(vs) / len(vs), 3)
    return {k: sorted(v.items()) for k, v in sorted(out.items())}


def head():
    """The commit of the sources, with + where they were changed since; empty outside of a checkout."""
    try:
        at = ['git', '-C', str(ROOT)]
        got = subprocess.run(
            [*at, 'rev-parse', '--short', 'HEAD'], capture_output=True, text=True, check=True
        ).stdout.strip()
        new = subprocess.run(
            [*at, 'status', '--porcelain', '-uno', '--', 'asterwharf', 'platform', 'bench/scale'],
            capture_output=True,
            text=True,
        )
        return got + ('+' if new.stdout.strip() else '')
    except (OSError, subprocess.CalledProcessError):
        return ''


def write(rep, path):
    """The report as JSON, and its pictures where they can be drawn."""
    path = Path(path)
    rep = dict(rep, name=path.stem)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(rep, indent=1) + '\n')
    try:
        plots(rep, path.parent)
    except ImportError:
        return 'no pictures: install the extra `scale`'
    return ''
