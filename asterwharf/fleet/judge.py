"""Judges a live run: minions' journals and callers' answers, replayed in order of time through the observer."""

import json
import os

from asterwharf.sim.observer import Observer


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
                yield d['at'], 0, n, d


def judge(live, calls, configs=()):
    """The observer after the whole run; its `broken` is the verdict."""
    box = [0]
    obs = Observer(lambda: box[0])
    obs.wall = lambda: box[0]
    for n in live.tends:
        obs.minions[n] = Size((live.sz['cores'], live.sz['gpus'], 1 << 36))
        obs.zones[n] = live.zone(n)
    for (ten, jid), spec in calls.specs.items():
        obs.submitted(f'{ten}/{jid}', spec)
    rows = list(_journals(live))
    rows += [(at, 1, 'told', (f'{k[0]}/{k[1]}', op, code, doc)) for at, k, op, code, doc, _ in calls.told]
    rows += [(at, 1, 'config', c) for at, c in configs]
    for at, _, who, d in sorted(rows, key=lambda r: (r[0], r[1])):
        box[0] = at
        obs.look()
        if who == 'told':
            _told(obs, *d)
        elif who == 'config':
            obs.config_told(*d)
        else:
            _ran(obs, who, d)
    return obs


def _told(obs, job, op, code, doc):
    if op == 'cancel_asked':
        return obs.cancel_asked(job)
    if code:
        obs.told(job, op, code, doc)


def _ran(obs, n, d):
    wht = d['what']
    if wht == 'start':
        obs.started(d['task'], d['round'], n)
    elif wht in ('done', 'failed', 'stopped'):
        obs.ended(d['task'], d['round'], n, wht)
    elif wht in ('drain', 'undrain'):
        obs.drained(n, wht == 'drain')
    elif wht in ('crash', 'boot'):
        # with the machine goes what ran on it
        for k, at in list(obs.live.items()):
            if n in at:
                obs.ended(k, at[n][0], n, 'crash')
