"""What a scale run came to: figures from the rows that hollow minions and clients logged, and plots of them."""

import json
from collections import Counter, defaultdict
from pathlib import Path


def pct(xs, q):
    xs = sorted(xs)
    return xs[min(len(xs) - 1, int(q * len(xs)))] if xs else None


class Rows:
    """All rows of a run, in the order of time."""

    def __init__(self, folder):
        self.starts, self.ends, self.noted, self.jobs, self.kept, self.over, self.lost = [], {}, {}, {}, {}, {}, {}
        self.lapses = defaultdict(list)
        self.beats, self.calls, self.crashes = [], [], []
        for p in sorted(Path(folder).glob('*.rows')):
            for ln in p.read_text().splitlines():
                if ln:
                    self._row(p.stem, json.loads(ln))
        self.starts.sort()
        self.first = {}
        for at, task, run, _, _ in self.starts:
            self.first.setdefault(task, at)

    def _row(self, who, r):
        what, at, *v = r
        if what == 's':
            self.starts.append((at, *v))
        elif what == 'e':
            self.ends[v[0], v[1]] = at, v[2]
        elif what == 'n':
            self.noted[v[0], v[1], v[2]] = at
        elif what == 'h':
            self.lapses[v[0]].append(at)
        elif what == 'job':
            self.jobs[v[0]] = at, *v[1:]
        elif what in ('kept', 'end', 'lost'):
            {'kept': self.kept, 'end': self.over, 'lost': self.lost}[what][v[0]] = at, v[1]
        elif what == 'b':
            self.beats.append((at, who, *v))
        elif what == 'c':
            self.calls.append((at, who, *v))
        elif what == 'crash':
            self.crashes.append((at, *v))

    # --- figures
    def span(self, beg, end):
        """Figures of the time from `beg` to `end` (boot ms)."""
        secs = max(0.001, (end - beg) / 1000)
        n = sum(beg <= s[0] < end for s in self.starts)
        jobs = {i: j for i, j in self.jobs.items() if beg <= j[0] < end}
        out = {
            'seconds': round(secs, 1),
            'offered_starts_s': round(sum(j[2] for j in jobs.values()) / secs, 1),
            'starts_s': round(n / secs, 1),
            'jobs': len(jobs),
            'kept': sum(i in self.kept for i in jobs),
        }
        for kind in ('urgent', 'plain', 'gang'):
            ids = [i for i, j in jobs.items() if j[1] == kind]
            ds = [self.first[k] - jobs[i][0] for i in ids for k in self._tasks(i, jobs[i][2]) if k in self.first]
            want = sum(jobs[i][2] for i in ids)
            out[f'{kind}_start_ms'] = {'half': pct(ds, 0.5), '99 of 100': pct(ds, 0.99), 'started': len(ds), 'of': want}
        ac = [self.kept[i][0] - j[0] for i, j in jobs.items() if i in self.kept]
        out['accept_ms'] = {'half': pct(ac, 0.5), '99 of 100': pct(ac, 0.99)}
        bs = [b for b in self.beats if beg <= b[0] < end]
        seen = Counter()
        for b in bs:
            seen.update(b[2])
        out['beats_s'] = {k: round(v / secs, 1) for k, v in sorted(seen.items())}
        out['beat_ms'] = {'half': pct([b[4] for b in bs], 0.5), '99 of 100': pct([b[5] for b in bs], 0.9)}
        out['running'] = self.running(bs)
        out['ends'] = dict(Counter(how for at, how in self.ends.values() if beg <= at < end))
        return out

    def running(self, bs):
        """Tasks that run, the middle of what the processes told."""
        by = defaultdict(list)
        for b in bs:
            by[b[1]].append(b[3])
        return sum(pct(v, 0.5) for v in by.values())

    def _tasks(self, jid, n):
        # of the first step; a chain's later steps wait for others
        return [f'{jid}.0.0.{i}' for i in range(n)]

    def pause(self, at, most):
        """The longest time without any start, ms, of those that begin within `most` ms after `at`."""
        ts = [at] + [s[0] for s in self.starts if s[0] > at]
        return max([b - a for a, b in zip(ts, ts[1:]) if a < at + most], default=None)

    def in_order(self, beg, end):
        """ms from `beg` until every heartbeat was answered in time for good; None where that never came."""
        bad = [b[0] for b in self.beats if beg <= b[0] < end and set(b[2]) - {'200'}]
        last = max(bad, default=beg)
        return None if last > end - 1000 else last - beg

    def again(self, at, how, end):
        """ms from `at` until tasks whose runs ended so by `end` were started again, whenever that was."""
        gone = {k: n for (k, n), (t, h) in self.ends.items() if h == how and at - 500 <= t < end}
        got = {}
        for t, k, n, _, _ in self.starts:
            if k in gone and n > gone[k]:
                got.setdefault(k, t - at)
        ds = list(got.values())
        return {
            'tasks': len(gone),
            'half_ms': pct(ds, 0.5),
            '99 of 100_ms': pct(ds, 0.99),
            'not_again': len(gone) - len(got),
        }

    def twice(self):
        """Tasks with two runs at once, and tasks started after an end `done` that was noted before the minion's hold lapsed."""
        by, over, late = defaultdict(list), 0, 0
        for at, k, n, mid, _ in self.starts:
            by[k].append((at, n, mid))
        for k, rs in by.items():
            for (_, n, mid), (b, _, _) in zip(rs, rs[1:]):
                e = self.ends.get((k, n))
                over += e is None or e[0] > b
                to = self.noted.get((k, n, 'done'))
                late += to is not None and not any(e[0] <= t <= to for t in self.lapses[mid])
        return {'two_runs_at_once': over, 'started_after_done': late}

    def per_second(self, beg, end):
        """(second, offered, started) from `beg` on."""
        n = max(1, -(-(end - beg) // 1000))
        off, got = [0] * n, [0] * n
        for j in self.jobs.values():
            if beg <= j[0] < end:
                off[(j[0] - beg) // 1000] += j[2]
        for s in self.starts:
            if beg <= s[0] < end:
                got[(s[0] - beg) // 1000] += 1
        return [[i, a, b] for i, (a, b) in enumerate(zip(off, got))]

    def totals(self):
        states = Counter(v[1] for v in self.over.values())
        return {
            'jobs': len(self.jobs),
            'kept': len(self.kept),
            'not_kept': len(self.lost),
            'by_state': dict(states),
            'starts': len(self.starts),
            'runs_ended': dict(Counter(h for _, h in self.ends.values())),
        } | self.twice()


def use(samples, spans):
    """Per process its peak of memory in MB, and by span [cores used, share of the time that it waited for a processor]."""
    by, out = defaultdict(list), {}
    for s in samples:
        by[s[1]].append(s)
    for n, ss in sorted(by.items()):
        row = {'peak_mb': round(max(s[4] for s in ss), 1)}
        for name, beg, end in spans:
            mine = [s for s in ss if beg <= s[0] <= end]
            if len(mine) > 1 and mine[-1][0] > mine[0][0]:
                ms = mine[-1][0] - mine[0][0]
                row[name] = [round((mine[-1][i] - mine[0][i]) * 1000 / ms, 3) for i in (2, 5)]
        out[n] = row
    return out


def stats(folder):
    """The last figures that each node wrote of itself, and the longest turn of its loop, ms."""
    out = {}
    for p in sorted(Path(folder).glob('*.stats')):
        rows = [json.loads(ln) for ln in p.read_text().splitlines()]
        keep = ('beats', 'starts', 'ends', 'syncs', 'sync_ms', 'placed', 'lapsed', 'gaps')
        out[p.stem] = {
            'sent_mb': round(rows[-1]['sent'] / 1e6, 2),
            'longest_turn_ms': max(r['turn_max'] for r in rows),
            'seconds': round((rows[-1]['at'] - rows[0]['at']) / 1000, 1),
            'counts': {k: v for k, v in rows[-1]['counts'].items() if k in keep},
        }
    return out


def plots(rep, folder):
    """Pictures beside the report; needs the extra `scale`. Raises ImportError without it."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot as plt

    fig, (a, c) = plt.subplots(2, 1, figsize=(9, 7), sharex=True)
    sec = rep['per_second']
    a.step([s[0] for s in sec], [s[1] for s in sec], label='asked for', color='0.6')
    a.step([s[0] for s in sec], [s[2] for s in sec], label='started', color='C0')
    for name, at in rep['marks']:
        a.axvline(at, color='C3', lw=0.8)
        a.text(at, 1.0, name, rotation=90, va='top', fontsize=7, transform=a.get_xaxis_transform())
    a.set_ylabel('tasks a second')
    a.legend(loc='lower left')
    for n, xs in rep['cores_used'].items():
        c.plot([x[0] for x in xs], [x[1] for x in xs], label=n)
    c.set_ylabel('cores used, by role')
    c.set_xlabel('seconds of the run')
    c.legend(loc='upper left', fontsize=7)
    fig.tight_layout()
    fig.savefig(Path(folder) / f'{rep["name"]}.png', dpi=90)
    plt.close(fig)
    fig, a = plt.subplots(figsize=(6, 4))
    lv = rep['levels']
    a.plot([v['offered_starts_s'] for v in lv], [v['starts_s'] for v in lv], 'o-', label='started a second')
    top = max(v['offered_starts_s'] for v in lv)
    a.plot([0, top], [0, top], color='0.7', lw=0.8)
    a.set_xlabel('task starts asked for a second')
    a.set_ylabel('task starts a second')
    b = a.twinx()
    b.plot([v['offered_starts_s'] for v in lv], [v['urgent_start_ms']['99 of 100'] for v in lv], 's--', color='C3')
    b.set_ylabel('urgent start, 99 of 100, ms (dashed)')
    b.set_yscale('log')
    fig.tight_layout()
    fig.savefig(Path(folder) / f'{rep["name"]}-levels.png', dpi=90)
    plt.close(fig)
