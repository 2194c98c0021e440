"""Judges a live run by every rule: journals of minions, answers to callers and operators, and what each node had in
force, replayed in order of time through the observer."""

import json
import os

from asterwharf.fleet.mirror import Mirror
from asterwharf.sim.observer import Observer

LOOK = 200


class Size:
    __slots__ = ('size',)

    def __init__(self, size):
        self.size = size


def _journals(live):
    for n in live.tends:
        p = live.path(f'{n}.journal')
        if not os.path.exists(p):
            continue
        with open(p, encoding='utf-8') as f:
            for row in f:
                try:
                    d = json.loads(row)
                except ValueError:
                    # a kill may leave half a line behind
                    continue
                yield d['at'], 1, _ran, (n, d)


class Judge:
    """Replays one run; `obs.broken` and `obs.strict` are its verdicts."""

    def __init__(self, live, calls):
        self.live, self.calls, self.at = live, calls, 0
        self.obs = o = Observer(lambda: self.at)
        o.wall = lambda: self.at
        self.mir, self.faulty = Mirror(live, o), []
        for n in live.tends:
            o.minions[n] = Size((live.sz['cores'], live.sz['gpus'], 1 << 36))
            o.zones[n] = live.zone(n)
        for (ten, jid), spec in calls.specs.items():
            o.submitted(f'{ten}/{jid}', spec)

    def rows(self):
        rows = list(_journals(self.live))
        rows += [(at, 0, _fault, (what, args)) for at, what, args in self.live.done]
        rows += [(at, 2, _told, (f'{k[0]}/{k[1]}', op, code, doc)) for at, k, op, code, doc, _, _ in self.calls.told]
        rows += [
            (at, 2, _cut_off, (k, op, door, beg))
            for at, k, op, code, _, beg, door in self.calls.told
            if code is None and door
        ]
        rows += [(at, 2, _config, (what, args)) for at, what, args in self.live.confs + self.calls.configs]
        rows += [(at, 3, _force, row) for at, *row in self.calls.force]
        beg, end = min(r[0] for r in rows), max(r[0] for r in rows)
        rows += [(at, 4, _look, ()) for at in range(beg, end, LOOK)]
        return sorted(rows, key=lambda r: (r[0], r[1]))

    def run(self):
        for at, _, fn, args in self.rows():
            self.at = self.mir.t = at
            fn(self, *args)
        # what went wrong at any time takes the run's gangs out of judgement; planned restarts do not
        if not self.faulty:
            for ten, jid in self.calls.kept:
                job = f'{ten}/{jid}'
                if job not in self.obs.asked:
                    self.obs.gangs(job)
        self.obs.config_judged()
        return self.obs


def judge(live, calls):
    """The observer after the whole run."""
    return Judge(live, calls).run()


def _fault(j, what, args):
    if what in ('kill', 'freeze', 'crash', 'cut', 'wipe', 'disk', 'clock'):
        j.faulty.append(what)
    if what in ('disk', 'clock'):
        return
    j.mir.act(what, *args)


def _told(j, job, op, code, doc):
    if op == 'cancel_asked':
        return j.obs.cancel_asked(job)
    if code:
        j.obs.told(job, op, code, doc)


def _cut_off(j, key, op, door, beg):
    """Without an answer, though the door was never killed, frozen or cut: only planned restarts can have done it."""
    n = next((n for n, a in j.live.http.items() if a == door), '')
    hurt = [
        1
        for at, what, args in j.live.done
        if what in ('kill', 'freeze', 'crash', 'thaw') and args[0] == n and beg - 15000 <= at <= j.at
    ]
    if not hurt:
        j.obs.no('a request was cut off without an answer', job=f'{key[0]}/{key[1]}', op=op, door=n, ms=j.at - beg)


def _config(j, what, args):
    getattr(j.obs, what)(*args)


def _force(j, node, seq, unseated):
    j.obs.in_force(node, j.mir.hosts[node].life, seq)
    if node in j.live.core:
        j.mir.unseated.pop(node, None)
        if unseated:
            j.mir.unseated[node] = True
    j.obs.reached(node, j.mir.sight.nodes.get(node, 0), seq)


def _look(j):
    j.mir.sight.look()
    j.obs.look()


def _ran(j, n, d):
    obs, wht = j.obs, d['what']
    if wht == 'start':
        obs.started(d['task'], d['round'], n)
    elif wht in ('done', 'failed', 'stopped'):
        obs.ended(d['task'], d['round'], n, wht)
    elif wht in ('held', 'resumed'):
        getattr(obs, wht)(d['task'], d['round'], n)
    elif wht in ('drain', 'undrain'):
        obs.drained(n, wht == 'drain')
    elif wht in ('crash', 'boot'):
        # with the machine goes what ran on it, and its draining
        obs.drained(n, False)
        for k, at in list(obs.live.items()):
            if n in at:
                obs.ended(k, at[n][0], n, 'crash')
        for k, at in list(obs.holds.items()):
            if n in at:
                obs.ended(k, at[n], n, 'crash')
