"""Shapes of deployments whose minions call in: machines, minions, kinds of jobs, bounds. Three, after the users' three.

`guarded`: five core machines, minions that turn away what doesn't fit, two services. `open`: three core machines,
minions that start whatever they are told, one service. `uneven` (uneven_site.py): many minions, tasks that differ much in size.
"""

import random
from dataclasses import replace

from asterwharf.sim.site_model import Bounds, Kind, Service, Shape, Site
from asterwharf.sim.uneven_site import UNEVEN

GB = 1024


GUARDED = Site(
    'guarded',
    (3, 3, 2),
    (2, 2, 1),
    (
        Service(
            'press', (6, 6, 6), 16000, 64 * GB, 0, ('a', 'a', 'b'), (1.0, 1.0, 0.5, 2.0), (0.8, 1.0, 1.25), 5, True
        ),
        Service('model', (3, 2, 2), 32000, 64 * GB, 8, ('a', 'b'), (1.0,), (1.0,), 3, True),
    ),
    (
        Kind(
            'locate',
            'press',
            3.83,
            880,
            1.5,
            6,
            2000,
            4100,
            1500,
            0,
            3,
            1.5,
            spread_cpu=0.45,
            poison=0.03,
            near=0.4,
            copies=0.3,
            timed=0.04,
            times=4,
            every_ms=4500,
        ),
        Kind(
            'check',
            'press',
            0.3,
            2400,
            2,
            14,
            4300,
            12000,
            5000,
            2,
            3,
            3.2,
            spread_cpu=0.45,
            fails=0.005,
            saves=0.5,
            uneven=0.3,
            off=0.5,
            cancel=0.05,
            early=2,
        ),
        Kind(
            'sweep',
            'model',
            0.535,
            5600,
            1,
            1.6,
            13000,
            19000,
            2000,
            1,
            4,
            2.2,
            poison=0.03,
            gang=1.0,
            tight=0.5,
            saves=0.9,
            gpus=(2, 4, 8),
            early=4,
        ),
        Kind(
            'ingest',
            'press',
            0.043,
            620,
            1,
            6,
            3300,
            6800,
            3000,
            1,
            2,
            2.2,
            spread_cpu=0.45,
            fails=0.1,
            apart=0.6,
            lasts=True,
            stay_ms=45000,
            off=0.5,
            early=4,
        ),
        Kind(
            'replay',
            'model',
            0.48,
            2500,
            1,
            8,
            2800,
            7400,
            4000,
            2,
            2,
            3.2,
            fails=0.05,
            poison=0.03,
            saves=0.6,
            gpus=(1,),
            early=2,
        ),
    ),
    Bounds(),
)

OPEN = Site(
    'open',
    (3, 2, 1),
    (1, 1, 1),
    (Service('watch', (9, 9, 9), 32000, 64 * GB, 8, ('a', 'a', 'b'), (1.0, 1.0, 0.5), (1.0, 1.0, 1.3), 8, False),),
    (
        Kind(
            'review',
            'watch',
            0.87,
            4000,
            1,
            4,
            10000,
            15000,
            2000,
            1,
            2,
            2.2,
            gpus=(1, 2, 4, 8),
            gang=1.0,
            tight=0.6,
            saves=0.9,
            label=0.3,
            uneven=0.3,
            cancel=0.05,
            early=5,
        ),
        Kind('spoil', 'watch', 6.5, 800, 1, 3, 3700, 7600, 1000, 0, 3, 1.5, gpus=(1, 1, 2), poison=0.03, label=0.2),
        Kind(
            'recal',
            'watch',
            0.835,
            2400,
            1.3,
            12,
            2800,
            5700,
            4000,
            2,
            3,
            3.2,
            gpus=(1,),
            fails=0.05,
            saves=0.8,
            uneven=0.3,
            off=0.5,
            cancel=0.15,
            timed=0.1,
            times=4,
            every_ms=2000,
            early=4,
        ),
    ),
    Bounds(hold_ms=10000, stop_ms=900, far_factor=2, checkpoint_ms=2000, restore_ms=250),
)

ALL = {s.name: s for s in (GUARDED, OPEN, UNEVEN)}
# those that a day is played on where none is named
USUAL = ('guarded', 'open')


def scaled(site, x):
    """The site with x times as many minions and jobs."""
    sv = tuple(replace(s, zones=tuple(max(1, round(n * x)) for n in s.zones)) for s in site.services)
    return replace(
        site, services=sv, kinds=tuple(replace(k, rate=k.rate * x, early=round(k.early * x)) for k in site.kinds)
    )


def drawn(seed):
    """A deployment that nobody has seen: sizes, bounds and kinds of jobs from the seed, within the ranges of the two."""
    r = random.Random(f'site {seed}')
    base = r.choice((GUARDED, OPEN))
    nz = r.randint(2, 4)
    zones = tuple(f'z{i + 1}' for i in range(nz))
    core = r.choice((3, 3, 5, 5, 7))
    spread = tuple(core // nz + (i < core % nz) for i in range(nz))
    services = tuple(
        replace(
            s,
            zones=tuple(r.randint(2, 8) for _ in zones),
            guards=r.random() < 0.5,
            rack=r.randint(2, 10),
            speeds=r.choice(((1.0,), (0.8, 1.0, 1.25), (1.0, 1.0, 1.3))),
        )
        for s in base.services
    )
    rooms = {s.name: sum(s.zones) / sum(o.zones) for s, o in zip(services, base.services)}
    kinds = tuple(
        replace(
            k,
            rate=k.rate * rooms[k.group] * r.uniform(0.5, 1.2),
            work_ms=k.work_ms * r.uniform(0.6, 1.3),
            tries=r.randint(1, 4),
            fails=r.choice((0.0, 0.02, 0.1)),
            gang=r.choice((0.0, k.gang, 0.5)),
            saves=r.choice((0.0, 0.5, 1.0)),
            near=r.choice((0.0, 0.4)),
            copies=r.choice((0.0, 0.3, 1.0)),
            timed=r.choice((0.0, 0.1, 0.3)),
            label=r.choice((0.0, 0.3)),
            apart=r.choice((0.0, 0.3)),
            cancel=r.choice((0.0, 0.1)),
            tight=r.choice((0.0, 0.6)),
        )
        for k in base.kinds
    )
    b = replace(
        base.bounds,
        beat_ms=r.choice((1000, 1400, 2000)),
        hold_ms=r.choice((4000, 6000, 10000, 15000)),
        stop_ms=r.choice((200, 400, 900)),
        gang_wait_ms=r.choice((3000, 4000)),
        cancel_ms=r.choice((3000, 4000)),
        early_ms=r.choice((100, 250)),
        far_factor=r.choice((2, 3)),
        checkpoint_ms=r.choice((1000, 2000)),
        restore_ms=r.choice((100, 250, 600)),
        in_touch_ms=r.choice((3000, 4000)),
        config_ms=r.choice((2000, 2500)),
        drain_ms=r.choice((2000, 2500)),
        lag_ms=r.choice((3000, 3000, 5000)),
    )
    return Site(
        f'drawn{seed}', tuple(r.randint(1, 3) for _ in zones), spread, services, kinds, b, zones, r.randint(0, 8)
    )


def shapes(site):
    """[(machine, Shape)] of a site's minions."""
    out, n = [], 0
    for sv in site.services:
        for z, cnt in zip(site.zones, sv.zones):
            for i in range(cnt):
                x = sv.sizes[i % len(sv.sizes)]
                rack = f'{sv.name[0]}{z[1:]}-{i // sv.rack + 1}'
                out.append(
                    (
                        f'm{n}',
                        Shape(
                            sv.name,
                            z,
                            rack,
                            sv.kinds[i % len(sv.kinds)],
                            sv.speeds[i % len(sv.speeds)],
                            int(sv.cpu * x),
                            int(sv.mem * x),
                            int(sv.gpus * x),
                            sv.guards,
                        ),
                    )
                )
                n += 1
    return out
