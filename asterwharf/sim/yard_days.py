"""Days of a platform in virtual time, drawn from a seed: `python -m asterwharf.sim.yard_days --days 20 --seed 1`.

A day is judged by the observer's rules; each prints one line with its verdict and its figures.
"""

import multiprocessing
import random
import sys
import time
import traceback
from collections import Counter

from cyclopts import App

from asterwharf.sim.yard_clients import Clients
from asterwharf.sim.yard_faults import FAULTS, PLANS, TROUBLES
from asterwharf.sim.yard_figures import figures
from asterwharf.sim.yard_fleet import YardFleet
from asterwharf.sim.yard_operators import Operators
from asterwharf.sim.yard_sites import ALL, USUAL, drawn, scaled

LEAD, LENGTH = 12000, 34000
CLOSINGS = ('power_off_all', 'kill_all', 'wipe_after_ack', 'wipe_all_dark')

app = App(name='asterwharf.sim.yard_days', help='Days of a platform in the simulator.', help_format='plaintext')


class Day:
    """One day: what was drawn, what came of it."""

    __slots__ = (
        'broken',
        'clients',
        'closing',
        'drawn',
        'fault',
        'fleet',
        'left',
        'load',
        'lost',
        'name',
        'ops',
        'rates',
        'rng',
        'secs',
        'seed',
        'site',
        'skipped',
        'span',
        'took',
        'served',
    )

    def __init__(self, site, seed, load=1.0, length=LENGTH, scale=1.0, **more):
        self.seed, self.load, self.span, self.name = seed, load, length, site
        self.site = scaled(drawn(seed) if site == 'drawn' else ALL[site], scale)
        # what happens is drawn apart from how the world rolls, so that a day without one trouble keeps the others
        self.rng = random.Random(f'{site} {seed}')
        self.fleet = YardFleet(seed, self.site, **more)
        self.clients = Clients(self.fleet)
        self.ops = Operators(self.fleet, self.clients)
        self.rates, self.drawn, self.broken, self.fault = {}, [], [], ''
        self.lost, self.skipped, self.closing, self.took, self.left, self.served = 0, 0, '', 0.0, 0, []

    # --- traffic
    def _arrive(self, kind, zone, share):
        f = self.fleet
        if f.w.t >= LEAD + self.span + self.left:
            return
        x, bad = self.rates.get(kind.name, (1.0, 0.0))
        wave = 1 + 0.15 * (1 if f.w.t // 5500 % 2 else -1)
        rate = kind.rate * share * self.load
        f.w.after(max(1, int(self.rng.expovariate(rate * x * wave) * 1000)), self._arrive, kind, zone, share)
        self.clients.submit(kind, zone, poison=self.rng.random() < bad)

    def burst(self, kind, x, span):
        self.rates[kind.name] = (x, 0.0)
        self.fleet.w.after(span, self.rates.pop, kind.name, None)

    def poison(self, kind, span):
        self.rates[kind.name] = (1.0, 0.05 if kind.rate > 1 else 0.3)
        self.fleet.w.after(span, self.rates.pop, kind.name, None)

    def traffic(self):
        tot = sum(self.site.edges)
        for k in self.site.kinds:
            for z, n in zip(self.site.zones, self.site.edges):
                for _ in range(k.early if n == max(self.site.edges) and z == self.site.zones[0] else 0):
                    self.clients.submit(k, z)
                rate = k.rate * n / tot * self.load
                self.fleet.w.after(int(self.rng.expovariate(rate) * 1000), self._arrive, k, z, n / tot)

    # --- what happens
    def draw(self, faults=None):
        """[(ms after traffic begins, kind)] of a day."""
        if faults is not None:
            return [
                (3000 + i * 9000 // max(1, len(faults)), k) if isinstance(k, str) else k for i, k in enumerate(faults)
            ]
        r, end = self.rng, self.span - 9000
        out = [(r.randint(1000, min(8000, end)), k) for k in r.sample(sorted(PLANS), r.randint(1, 2))]
        out += [(r.randint(min(6000, end - 1), end), k) for k in r.sample(sorted(FAULTS), r.randint(3, 6))]
        return sorted(out)

    def play(self, faults=None, closing=None):
        beg = time.perf_counter()
        try:
            self._play(faults, closing)
        except Exception:
            self.fault = traceback.format_exc(limit=-6)
        self.took = time.perf_counter() - beg
        self.broken = list(self.fleet.obs.broken)
        self.broken += [(self.fleet.w.t, 'REPLICAS', d) for d in self.fleet.w.replica_watch.differences]
        return self

    def _play(self, faults, closing):
        f, w, r = self.fleet, self.fleet.w, self.rng
        todo = self.draw(faults)
        if closing is None and faults is None:
            closing = r.choice(CLOSINGS + ('', ''))
        f.start()
        w.after(1500, self.ops.first)
        w.after(LEAD, self.traffic)
        for at, k in todo:
            self.drawn.append(f'{k}@{at}')
            w.after(LEAD + at, TROUBLES[k], self)
        w.run(LEAD + self.span)
        if closing:
            self._close(closing)
        w.run(LEAD + self.span + self.left)
        beg = w.t
        w.run(beg + f.bounds.finish_ms - 6000)
        asked = self.clients.last()
        w.run(w.t + 3000)
        self.ops.read(w.t + f.bounds.in_touch_ms)
        w.run(beg + f.bounds.finish_ms)
        for i in f.obs.unanswered(asked):
            f.obs.no('LOST', what='not answered at the end', job=i)
        self._last()

    def _last(self):
        f = self.fleet
        for t, n, code in f.net.twice[:3]:
            f.obs.no('FAULT', what='answered twice', node=n, at=t, code=code)
        for at, node, event, fields in f.w.log:
            if event == 'invariant violated':
                f.obs.no('INVARIANT', what=f'{fields["invariant"]} on {node} at {at}', fields=fields)
        f.obs.versions.judge()
        for op, took in self.ops.late:
            f.obs.no('ACK', what='an order was not acknowledged in time', node=op, ms=took)
        if f.obs.count['refused_valid'] > 1:
            f.obs.no(
                'ACK', what='a valid configuration was refused on top of the newest', times=f.obs.count['refused_valid']
            )

    # --- the closing fault
    def _close(self, how):
        """Strikes right after one more change was acknowledged; traffic goes on."""
        f, w, down = self.fleet, self.fleet.w, self.rng.randint(600, 2000)
        self.drawn.append(f'closing {how}')
        self.closing = how
        self._whole()
        w.until(f.whole, 12000)
        # the closing fault finds the core as it should be, and its machines caught up
        w.run(w.t + f.bounds.catch_up_ms)
        before = Counter(f.obs.count)
        hit = []

        def strike(*_):
            if hit:
                return
            hit.append(w.t)
            f.sight.mark('closing', w.t, w.t + down + f.bounds.in_touch_ms * 2)
            f.sight.wide = 2
            lost = self.rng.sample(f.core, self.site.survive)
            if how.startswith('wipe'):
                for n in lost:
                    f.down(n, down, wipe=True, dark=True)
                if how == 'wipe_after_ack' and self.rng.random() < 0.5:
                    return
            for n in f.core + f.edges:
                if w.hosts[n].alive and (how != 'wipe_after_ack' or n in f.core):
                    f.down(n, down, dark=how != 'kill_all')

        self.ops.change(then=strike)
        w.until(lambda: hit, 5000, 10)
        strike()
        back = hit[0] + down
        self.left = w.t - LEAD - self.span + f.bounds.recovery_ms + 8000
        if not any(e for e in (f.w.hosts[n].alive for n in f.edges)):
            self.served = []
        w.run(back + f.bounds.recovery_ms)
        mid = Counter(f.obs.count)
        self._resume()
        w.run(back + f.bounds.recovery_ms + 6000)
        self._recovered(before, mid, Counter(f.obs.count))
        self.ops.read(w.t + f.bounds.in_touch_ms)

    def _resume(self):
        """Traffic stops in the middle where its time was up: it goes on for the recovery."""
        tot = sum(self.site.edges)
        for k in self.site.kinds:
            for z, n in zip(self.site.zones, self.site.edges):
                self._arrive(k, z, n / tot)

    def _recovered(self, before, mid, after):
        def served(a, b):
            took = sum(b[k] - a[k] for k in ('hand_taken', 'hand_same'))
            tot = sum(b[k] - a[k] for k in b if k.startswith('hand_'))
            return took / tot if tot else 1.0

        was, now = served(Counter(), before), served(mid, after)
        if was >= 0.25 and now < 0.25:
            self.fleet.obs.no(
                'RECOVER',
                what='too little is served after the closing fault',
                before=round(was, 2),
                after=round(now, 2),
            )

    def _whole(self):
        """Heals and starts what the day's troubles left."""
        f = self.fleet
        f.mend(list(f.w.cuts))
        for n in f.core + f.edges:
            f.w.thaw(n)
            f.up(n)

    # --- telling
    def text(self):
        rules = Counter(r for _, r, _ in self.broken)
        word = (
            'FAULT'
            if self.fault
            else 'ok'
            if not self.broken
            else ' '.join(f'{k}:{n}' for k, n in sorted(rules.items()))
        )
        rows = [
            f'{self.name} seed {self.seed}: {word}; {" ".join(self.drawn)}; {figures(self)}; {self.took:.1f} s'
            + (f', {self.skipped} troubles never found their turn' if self.skipped else '')
        ]
        rows += [f'  {t} {r} {kws}' for t, r, kws in self.broken[:6]]
        if self.fault:
            rows += ['  ' + x for x in self.fault.splitlines()[-14:]]
        if self.fault or self.broken:
            rows.append(f'  replay: python -m asterwharf.sim.yard_days --site {self.name} --days 1 --seed {self.seed}')
        return '\n'.join(rows)

    @property
    def ok(self):
        return not self.broken and not self.fault


def play(site, seed, faults=None, closing=None, **more):
    """Plays one day and returns it; `faults` names the kinds (or (ms, kind)) instead of drawing them."""
    return Day(site, seed, **more).play(faults, closing)


def _one(args):
    site, seed, faults, closing, load, length, scale, trace = args
    d = play(site, seed, faults, closing, load=load, length=length, scale=scale)
    return d.text() + ('\n' + d.fleet.trace(trace) if trace else ''), sorted(
        {r for _, r, _ in d.broken} | ({'FAULT'} if d.fault else set())
    )


@app.default
def main(
    *,
    days: int = 20,
    seed: int = 1,
    site: str = '',
    load: float = 1.0,
    length: int = LENGTH,
    scale: float = 1.0,
    faults: str = '',
    closing: str = '',
    trace: int = 0,
    workers: int = 1,
):
    """Plays days, both sites in turn unless one is named (`drawn`: one from the seed); exit code 1 where a rule was broken.

    `faults` names kinds of trouble instead of drawing them, by commas, each perhaps with @ms; `none` for a calm day.
    """
    names = sorted(USUAL)
    list_ = None
    if faults:
        list_ = [(int(k.split('@')[1]), k.split('@')[0]) if '@' in k else k for k in faults.split(',') if k != 'none']
    jobs = [
        (site or names[i % len(names)], seed + i, list_, closing or None, load, length, scale, trace)
        for i in range(days)
    ]
    bad, rules = 0, Counter()
    with multiprocessing.Pool(workers, maxtasksperchild=8) as pool:
        for text, broken in pool.imap(_one, jobs):
            print(text, flush=True)
            bad += bool(broken)
            rules.update(broken)
    print(f'{days} days, {bad} with a broken rule', dict(rules))
    sys.exit(1 if bad else 0)


if __name__ == '__main__':
    app()
