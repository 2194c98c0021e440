"""What each thing costs where minions call in: processor time, bytes and syncs for one more of it, measured here.

python bench/slopes.py [--scale 1.0] [--share 1.0] [--no-plan] [--json-file FILE]   (--share: of the planned size)

A window of so many units less the window before without them, over the units, is a slope (bench/rig.py: what is
counted). Then the planned size on one holder, and the state of a job, a task, a run and a minion.
"""

import gc
import json
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from pathlib import Path

from cyclopts import App

sys.path.insert(0, str(Path(__file__).parent))
from rig import GROUP, ROOT, WALL, Rig  # noqa: E402

from asterwharf.consensus.member import group_members, leave  # noqa: E402
from asterwharf.orchard.minion_link import REGISTERED, Link  # noqa: E402
from asterwharf.orchard.model import Job, Step, Task  # noqa: E402
from asterwharf.orchard.mover import Mover  # noqa: E402
from asterwharf.orchard.tender import Tender  # noqa: E402
from asterwharf.orchard.yard import Yard  # noqa: E402
from asterwharf.wire.schema import pack  # noqa: E402

app = App(help_format='plaintext')
# minions of the slopes, of the plan; runs that stand there, starts a second
MINIONS, PLAN, STANDING, RATE = 100, 1400, 4500, 640
KEPT = (dict, list, tuple, set, str, bytes, int, float, Link, Job, Step, Task)
COLS = ('holder us', 'core us', 'edges us', 'core bytes', 'edge bytes', 'http bytes', 'syncs')
BEAT, LISTED = 'idle beat', 'run listed in a beat'


class Slopes:
    """Window after window on one rig: each slope is what a window costs beyond the one before it."""

    def __init__(self, rig, scale, said=lambda txt: None):
        self.rig, self.rows, self.scale, self.said = rig, {}, scale, said
        self.ms = max(1500, int(3000 * min(1, scale)))

    def n(self, num):
        return max(2, int(num * self.scale))

    def of(self, name, got, base, num, whole=False, **more):
        """Notes a slope; beats and listed runs beyond the window before are taken off unless `whole`, as is `more`."""
        for k, n in ((BEAT, got['beats'] - base['beats']), (LISTED, got['listed'] - base['listed']), *more.items()):
            if k in self.rows and k != name and not whole:
                got = Counter({c: got[c] - self.rows[k][c] * n for c in COLS})
        row = self.rows[name] = {c: (got[c] - base[c]) / max(1, num) for c in COLS} | {'units': num}
        self.said(f'{name:22}' + ''.join(f'{row[c]:12.1f}' for c in COLS) + f'{num:9.0f}')

    def doing(self, name, num, fn, **more):
        """So many of something in one window, and none in the one before."""
        base = self.rig.window(self.ms)
        self.rig.spread(num, self.ms - 200, fn)
        got = self.rig.window(self.ms)
        self.of(name, got, base, num, **more)
        return got

    def all(self):
        r, ms = self.rig, self.ms
        base = r.window(ms)
        self.of('nothing, a second', base, Counter(), ms / 1000)
        r.enlist(self.n(MINIONS))
        r.run(2000)
        got = r.window(ms)
        self.of(BEAT, got, base, got['beats'])
        self.doing('submit', self.n(200), lambda i: r.submit(repeat_count=1, first_at_ms=WALL * 2, every_ms=1000))
        base = r.window(ms)
        jobs = self.n(30)
        r.spread(jobs, ms - 300, lambda i: r.submit(tasks=20))
        got = r.window(ms)
        busy = r.window(ms)
        self.of(LISTED, busy, base, busy['listed'])
        self.of('start', got, base, got['starts'], submit=jobs)
        runs = [(m, k) for m in r.minions for k in m.runs]
        self.doing('end', len(runs), lambda i: runs[i][1] in runs[i][0].runs and runs[i][0].finish(runs[i][1]))
        r.run(500)
        self.doing('state question', self.n(400), r.state)
        self.doing('configuration change', min(20, self.n(20)), lambda i: r.change())
        # the holder hands over, as it does before it leaves; whose time it was is then no question any more
        self.doing('view change, planned', 8, lambda i: hand_over(r), whole=True)
        self.rows['view change, planned']['holder us'] = 0.0
        return self.rows


class Looks:
    """Times each look of the mover for runs to stop, in processor time; ticks at which it does not look are left out."""

    def __init__(self):
        self.took_ns, self._tick = [], Mover.tick

    def __enter__(self):
        def timed(mover):
            begun, due = time.process_time_ns(), mover.due
            self._tick(mover)
            if mover.due != due:
                self.took_ns.append(time.process_time_ns() - begun)

        Mover.tick = timed
        return self

    def __exit__(self, *_):
        Mover.tick = self._tick

    def mean_ms(self):
        """Mean processor time of a look, ms."""
        return sum(self.took_ns) / max(1, len(self.took_ns)) / 1e6

    def worst_ms(self):
        """Longest processor time of a look, ms."""
        return max(self.took_ns, default=0) / 1e6


def plan(rig, said, seconds=3, scale=1.0):
    """The planned size on one holder: so many starts and ends a second beside what runs on."""
    num, run, rate = max(4, int(PLAN * scale)), max(8, int(STANDING * scale)), max(4, int(RATE * scale))
    rig.enlist(num - len(rig.minions))
    rig.run(1500)
    rig.spread(run // 20, 1500, lambda i: rig.submit(tasks=20))
    rig.run(3500)
    rig.lasts = 1000
    for x in rig.core:
        x.worst = 0
    rig.spread(rate * (seconds + 1) // 8, (seconds + 1) * 1000, lambda i: rig.submit(tasks=8))
    rig.run(1000)
    rig.waits.clear()
    with Looks() as looks:
        got = rig.window(seconds * 1000)
    waits = sorted(rig.waits) or [0]
    out = {
        'minions': num,
        'runs standing': run,
        'wanted starts a second': rate,
        'worst turn, ms': max(x.worst for x in rig.core) / 1e6,
        'look for runs to move, mean ms': looks.mean_ms(),
        'look for runs to move, worst ms': looks.worst_ms(),
        'start delay median, ms': waits[len(waits) // 2],
        'start delay p99, ms': waits[int(len(waits) * 0.99)],
    }
    out |= {f'{k}, a second': v / seconds for k, v in sorted(got.items()) if v}
    hld = rig.holder
    tdr, mac = hld.node.find(Tender), group_members(hld.node)['commons'].mac
    out |= {
        'memory of links, bytes': deep(tdr.links.values()),
        'memory of jobs, bytes': deep(mac.jobs.values()),
        'jobs kept': len(mac.jobs),
        'registered again after, ms': again(rig, num),
    }
    for k, v in out.items():
        said(f'{k:32}{v:14.1f}')
    return out


def hand_over(rig):
    """A planned change of leader; machines of the rig go on after it, so what was told before is taken back."""
    for box in rig.core:
        for member in group_members(box.node).values():
            member.replica.leaving, member.had_place = False, None
    if rig.holder is not None:
        leave(rig.holder.node)


def again(rig, num, most=6000):
    """How long after a planned change of holder every minion is registered with the new one, ms; `most` where it isn't by then."""
    old, beg = rig.holder, rig.t
    hand_over(rig)
    while rig.t - beg < most:
        rig.run(10)
        new = rig.holder
        if new not in (None, old) and sum(l.state == REGISTERED for l in new.node.find(Tender).links.values()) >= num:
            break
    return rig.t - beg


def deep(things):
    """Bytes of these objects and of all plain ones that they hold."""
    seen, todo, out = set(), list(things), 0
    while todo:
        o = todo.pop()
        if id(o) in seen or not isinstance(o, KEPT):
            continue
        seen.add(id(o))
        out += sys.getsizeof(o)
        todo += gc.get_referents(o)
    return out


def memory(scale):
    """Bytes of a job, a task, a run and a minion, in memory and as rows."""
    num, out = max(4, int(400 * scale)), {}
    que = {'name': 'r-1', 'group': GROUP, 'priority': 1, 'tries': 2, 'stretch': 2.0, 'aim_ms': 1000}

    def yard(tasks, begun):
        gc.collect()
        tracemalloc.start()
        y = Yard()
        for i in range(num):
            spec = {'payload': 'x' * 200, 'steps': [{'count': tasks, 'cpu': 1000, 'mem': 1000}]}
            jid = f'{i:016x}'
            y.apply(2 * i, pack('y_submit', {'id': jid, 'queue': [que], 'spec': spec, 'sum': 'a' * 24, 'at': 1}))
            its = [{'items': [{'task': f'{jid}.0.0.{k}', 'run': 1, 'mid': f'm-{i % 200:04d}'}]} for k in range(tasks)]
            if begun:
                y.apply(2 * i + 1, pack('y_start', {'at': 1, 'bundles': its}))
        gc.collect()
        got = tracemalloc.get_traced_memory()[0]
        rows = sum(len(k) + len(v) for k, v in y.delta().items())
        tracemalloc.stop()
        return got / num, rows / num

    one, many, runs = yard(1, False), yard(21, False), yard(21, True)
    out['task'] = {'memory': (many[0] - one[0]) / 20, 'rows': (many[1] - one[1]) / 20}
    out['job'] = {'memory': one[0] - out['task']['memory'], 'rows': one[1] - out['task']['rows']}
    out['run'] = {'memory': (runs[0] - many[0]) / 21, 'rows': (runs[1] - many[1]) / 21}
    tracemalloc.start()
    ls = [Link(f'm-{i:04d}', 0) for i in range(num)]
    for l in ls:
        l.doc = json.loads(
            '{"group":"work","address":"10.9.0.1:80","zone":"z1","version":"v1","labels":["a","r1"],"running":[],"finished":[]}'
        )
    out['minion'] = {'memory': tracemalloc.get_traced_memory()[0] / num, 'rows': 0}
    tracemalloc.stop()
    return out


def commit():
    """The commit of the sources, with a plus where they were changed since."""

    def git(*args):
        return subprocess.run(['git', *args], cwd=ROOT, capture_output=True, text=True).stdout.strip()

    return git('rev-parse', '--short', 'HEAD') + ('+' if git('status', '--porcelain', 'asterwharf', 'platform') else '')


def measure(scale=1.0, share=1.0, planned=True, said=lambda txt: None):
    """All of it, as one document."""
    beg = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(folder)
        gc.collect()
        gc.freeze()
        said(f'{"":22}' + ''.join(f'{c:>12}' for c in COLS) + '    units')
        out = {
            'commit': commit(),
            'python': sys.version.split()[0],
            'scale': scale,
            'slopes': Slopes(rig, scale, said).all(),
        }
        out['state'] = memory(scale)
        for k, v in out['state'].items():
            said(f'{k:22}{v["memory"]:12.0f} bytes of memory, {v["rows"]:8.0f} of rows')
        if planned:
            out['plan'] = plan(rig, said, scale=share)
        for x in rig.boxes:
            x.store.close()
    out['seconds'] = time.monotonic() - beg
    return out


@app.default
def main(*, scale: float = 1.0, share: float = 1.0, plan: bool = True, json_file: str = ''):
    """Prints a table; `--json-file` keeps the document."""
    out = measure(scale, share, plan, print)
    print(f'commit {out["commit"]}, {out["seconds"]:.0f} s')
    if json_file:
        Path(json_file).write_text(json.dumps(out, indent=1))


if __name__ == '__main__':
    app()
