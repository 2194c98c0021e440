"""The users' two deployments as the brief gives them: sizes, tenants, classes and the mix of their callers.

The simulator and the live fleet use the very same.
"""

from asterwharf.sim.actors import DOC, job

_ZONES = {'z1': {}, 'z2': {}, 'z3': {}}
_NEAR = {'may_land': 'minion.cores >= task.cores', 'score': 'minion.zone == "z1" ? 1.0 : 0.5'}
# urgent checks may push the batch work out, nothing else may
_PUSH = dict(_NEAR, may_evict='victim.priority < task.priority && victim.class in ["sweep", "recalibration"]')


def _ms(r, *sizes):
    return max(20, int(r.gauss(*(lambda m: (m, m / 4))(r.choice(sizes)))))


def _single(r, cls, cores, **more):
    return {'class': cls, 'tasks': [{'name': 'check', 'cores': cores, 'run': {'ms': _ms(r, 100, 400)}, **more}]}


def surge(r):
    """The control room's check: small and urgent."""
    return _single(r, 'surge', 2)


def leak(r):
    """A localisation: the network is loaded, four fits run together on GPUs, the results are ranked."""
    ms = _ms(r, 400, 1500)
    fits = [
        {'name': f'fit{i}', 'cores': 8, 'gpus': 1, 'mem': 1 << 24, 'gang': 'fit', 'after': ['load'], 'run': {'ms': ms}}
        for i in range(4)
    ]
    return {
        'class': 'leak',
        'tasks': [
            {'name': 'load', 'cores': 1, 'run': {'ms': 100}},
            *fits,
            {'name': 'rank', 'cores': 1, 'after': [t['name'] for t in fits], 'run': {'ms': 100}},
        ],
    }


def sweep(r):
    """The loggers' nightly sweep: parts that may fail and be tried again, then their sum."""
    flaky = r.random() < 0.3
    parts = [
        {
            'name': f's{i}',
            'cores': 4,
            'tries': 3,
            'run': {'ms': _ms(r, 300, 1500), 'fail': 1 if flaky and i == 0 else 0},
        }
        for i in range(4)
    ]
    return {
        'class': 'sweep',
        'tasks': parts + [{'name': 'sum', 'cores': 1, 'after': ['s0', 's1', 's2', 's3'], 'run': {'ms': 50}}],
    }


def spoilage(r):
    """A pharmacist's or food bank's check."""
    return _single(r, 'spoilage', 1, mem=1 << 22)


def review(r):
    """An excursion review of a surgery: readings pulled, two models side by side, a report."""
    mods = [
        {
            'name': f'model{i}',
            'cores': 4,
            'gpus': 1,
            'gang': 'models',
            'after': ['pull'],
            'run': {'ms': _ms(r, 500, 1500)},
        }
        for i in range(2)
    ]
    return {
        'class': 'review',
        'tasks': [
            {'name': 'pull', 'cores': 1, 'run': {'ms': 80}},
            *mods,
            {'name': 'report', 'cores': 1, 'after': ['model0', 'model1'], 'run': {'ms': 80}},
        ],
    }


def recalibration(r):
    """Probes made ready one by one, then published together."""
    parts = [
        {'name': f'p{i}', 'cores': 2, 'tries': 3, 'run': {'ms': _ms(r, 300, 900), 'fail': 1 if r.random() < 0.1 else 0}}
        for i in range(3)
    ]
    return {
        'class': 'recalibration',
        'tasks': parts + [{'name': 'publish', 'cores': 1, 'after': ['p0', 'p1', 'p2'], 'run': {'ms': 50}}],
    }


class Deployment:
    """One of the users' sites: machines, configuration, and jobs a second by kind."""

    __slots__ = ('cores', 'doc', 'edges', 'gpus', 'mem', 'minions', 'mix')

    def __init__(self, edges, minions, cores, gpus, doc, mix, mem=1 << 36):
        self.edges, self.minions, self.cores, self.gpus, self.doc, self.mix, self.mem = (
            edges,
            minions,
            cores,
            gpus,
            doc,
            mix,
            mem,
        )

    def arrivals(self, rng, secs, scale=1.0):
        """[(ms, kind, tenant, specification)] in order of time."""
        out = []
        for k, (rate, ten, make) in sorted(self.mix.items()):
            t = rng.expovariate(rate * scale)
            while t < secs:
                out.append((int(t * 1000), k, ten, make(rng)))
                t += rng.expovariate(rate * scale)
        return sorted(out, key=lambda r: r[:3])

    def impossible(self, rng):
        """A shape that the limits allow and no minion has."""
        ten, cls = rng.choice([(t, k) for k, (_, t, _) in sorted(self.mix.items())])
        return ten, {
            'class': cls,
            'tasks': [{'name': 'never', 'cores': self.cores * 3, 'gpus': self.gpus, 'run': {'ms': 10}}],
        }


ALL = {
    'small': Deployment(
        2,
        3,
        16.0,
        4,
        DOC,
        {
            'surge': (3.0, 'basin', lambda r: job(r, 'surge')),
            'leak': (0.3, 'basin', lambda r: job(r, 'leak')),
            'sweep': (0.5, 'sweeps', lambda r: job(r, 'sweep')),
        },
    ),
    'fraser': Deployment(
        7,
        24,
        128.0,
        8,
        {
            'zones': _ZONES,
            'tenants': {
                'control-room': {'weight': 3.0, 'policy': 'push'},
                'engineers': {'weight': 2.0, 'policy': 'near'},
                'loggers': {'weight': 1.0},
            },
            'classes': {'surge': {'priority': 100}, 'leak': {'priority': 50}, 'sweep': {'priority': 0}},
            'policies': {'near': _NEAR, 'push': _PUSH},
        },
        {'surge': (5.0, 'control-room', surge), 'leak': (0.6, 'engineers', leak), 'sweep': (0.5, 'loggers', sweep)},
    ),
    'oergadwyn': Deployment(
        6,
        33,
        32.0,
        8,
        {
            'zones': _ZONES,
            'tenants': {
                'pharmacies': {'weight': 3.0, 'policy': 'push'},
                'surgeries': {'weight': 2.0, 'policy': 'near'},
                'probes': {'weight': 1.0},
            },
            'classes': {'spoilage': {'priority': 100}, 'review': {'priority': 50}, 'recalibration': {'priority': 0}},
            'policies': {'near': _NEAR, 'push': _PUSH},
        },
        {
            'spoilage': (8.5, 'pharmacies', spoilage),
            'review': (1.2, 'surgeries', review),
            'recalibration': (1.3, 'probes', recalibration),
        },
    ),
}
