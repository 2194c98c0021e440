"""Drawn histories of changes for every replicated state machine, applied by two replicas, one of them often restored."""

import json
import random

from asterwharf.consensus.restoring import restored, restored_differences
from asterwharf.orchard.model import FINAL, RUN
from asterwharf.orchard.yard import Yard
from asterwharf.scheduler import model, queues
from asterwharf.scheduler.cell import Cell
from asterwharf.scheduler.configuration.state_machine import ConfigurationStateMachine
from asterwharf.wire import kinds  # noqa: F401
from asterwharf.wire.schema import KINDS, pack

MINIONS = ('m0', 'm1', 'm2')
CHECKPOINT = 'checkpoint'
# how often it stands among the kinds that are drawn: a missing mark shows only where nothing else has marked the row since
CHECKPOINTS = 12


class Replicas:
    """One replica applies every change; the other begins anew from the rows of each checkpoint."""

    # the state machine, and how the kinds of its changes begin
    machine_type, prefix = None, ''

    def __init__(self):
        self.index, self.rows = 0, {}
        self.applied, self.restarted = self.machine_type(), self.machine_type()

    def change(self, kind, **doc):
        """Both apply a change; they must say the same of it."""
        self.index += 1
        raw = pack(kind, {'at': self.index} | doc)
        mine, other = self.applied.apply(self.index, raw), self.restarted.apply(self.index, raw)
        assert unordered(mine) == unordered(other), (kind, doc, mine, other)
        return mine

    def checkpoint(self):
        """The rows move up to what was applied, and must say all of it."""
        for key, row in self.applied.delta().items():
            if row is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = row
        differences = restored_differences(self.applied, self.rows)
        assert not differences, differences
        self.restarted = restored(self.applied, self.rows)

    def play(self, history):
        """Each step of `history` is (kind of change, three numbers that choose what it is about)."""
        for kind, a, b, c in history:
            if kind == CHECKPOINT:
                self.checkpoint()
            else:
                getattr(self, kind)(a, b, c)
        self.checkpoint()

    @classmethod
    def kinds(cls):
        """Every kind of change that the state machine takes."""
        return sorted(k for k in KINDS if k.startswith(cls.prefix) and hasattr(cls.machine_type, k))

    @classmethod
    def history(cls, seed, weights, size=160):
        """The history of a seed; `weights`: how often a kind stands among those that are drawn, else once."""
        rng = random.Random(seed)
        drawn = [*[CHECKPOINT] * CHECKPOINTS, *(k for k in cls.kinds() for _ in range(weights.get(k, 1)))]
        return [(rng.choice(drawn), *(rng.randrange(10**6) for _ in range(3))) for _ in range(size)]


def pick(things, number):
    """One of them, or None where there is none."""
    things = list(things)
    return things[number % len(things)] if things else None


def unordered(result):
    """A result without the order of its lists, which is nobody's concern: who is told of them looks at each entry."""
    if isinstance(result, dict):
        return {k: unordered(v) for k, v in result.items()}
    return sorted(result, key=repr) if isinstance(result, list) else result


class YardReplicas(Replicas):
    """Jobs of every sort in the cell whose minions call in."""

    machine_type, prefix = Yard, 'y_'
    IDS = tuple(c * 16 for c in 'abcd')
    QUEUE = {'name': 'q', 'group': 'g', 'priority': 1, 'tries': 2, 'stretch': 2.0, 'aim_ms': 1000}
    PLACES = ('', 'a/q/', 'a/r/')
    STEPS = (
        [{'count': 1, 'cpu': 100, 'copies': True}],
        [{'count': 2, 'cpu': 100}],
        [{'count': 1, 'cpu': 7, 'copies': True, 'saves': True}, {'count': 2, 'after': [0]}],
        [{'count': 2, 'together': True, 'saves': True}],
        [{'count': 1, 'lasts': True}],
        [{'count': 2, 'copies': True}, {'count': 1}, {'count': 1, 'copies': True, 'after': [0, 1]}],
    )
    HOWS = ('done', 'done', 'failed', 'stopped', 'lapsed', 'broken', 'alone', 'refused')

    def _tasks(self):
        return [
            t for j in self.applied.jobs.values() for steps in j.live.values() for s in steps for t in s.tasks
        ]  # fmt: skip

    def _runs(self):
        """(task, run, minion) of what may be held, and of what was given up."""
        held = [
            (t.key, self.applied.run_of(t, m), m) for m, runs in sorted(self.applied.on.items()) for t in runs.values()
        ]
        return held + [(t.key, r, MINIONS[r % 3]) for t in self._tasks() for r in t.lapsed]

    def y_submit(self, a, b, c):
        times = {'times': 3, 'first_ms': 1, 'every_ms': 1} if c % 4 == 0 else {}
        spec = {'payload': 'text', 'steps': self.STEPS[b % len(self.STEPS)]} | times
        self.change(
            'y_submit',
            id=pick(self.IDS, a),
            queue=[self.QUEUE | {'place': pick(self.PLACES, c)}],
            spec=spec,
            sum=str(b % 6),
        )

    def y_due(self, a, b, c):
        self.change('y_due', items=[{'id': pick(self.IDS, a), 'k': b % 3}])

    def y_start(self, a, b, c):
        open_tasks = [t for t in self._tasks() if t.state not in FINAL]
        # a task that runs may get a copy
        running = [t for t in open_tasks if t.state == RUN and t.step.copies and not t.spare]
        task = pick(running if running and b % 3 else open_tasks, a)
        if task is None:
            return
        gang = task.step.tasks if task.step.together else [task]
        run = max(t.top for t in gang) + (b % 8 > 0)
        items = [{'task': t.key, 'run': run, 'mid': MINIONS[(c + i) % 3]} for i, t in enumerate(gang)]
        self.change('y_start', bundles=[{'items': items}])

    def y_end(self, a, b, c):
        run = pick(self._runs(), a)
        if run is not None:
            item = {'task': run[0], 'run': run[1], 'how': pick(self.HOWS, b), 'save': pick(('', 's1', 's2'), c)}
            self.change('y_end', mid=run[2], items=[item])

    def y_lapse(self, a, b, c):
        run = pick(self._runs(), a)
        if run is not None:
            how = pick(('lapsed', 'never'), b)
            item = {'task': run[0], 'run': run[1], 'mid': run[2], 'how': how, 'save': pick(('', 's3'), c)}
            self.change('y_lapse', items=[item], late=c % 2 == 0)

    def y_stop(self, a, b, c):
        run = pick(self._runs(), a)
        if run is not None:
            self.change('y_stop', items=[{'task': run[0], 'run': run[1]}])

    def y_cancel(self, a, b, c):
        self.change('y_cancel', id=pick(self.IDS, a), queue='q', place=pick(self.PLACES, b))

    def y_place(self, a, b, c):
        self.change('y_place', queues=[{'name': pick(('q', 'other'), a), 'place': pick(self.PLACES[1:], b)}])

    def y_forget(self, a, b, c):
        self.change('y_forget', ids=[pick(self.IDS, a)])

    def y_drain(self, a, b, c):
        self.change('y_drain', minion=pick(MINIONS, a), on=b % 3 == 0, by='op', until=c)


class CellReplicas(Replicas):
    """Jobs of tenants in a cell of agents, with everything that hands them over."""

    machine_type, prefix = Cell, 't_'
    TENANTS, IDS = ('t0', 't1'), ('j0', 'j1')
    TASKS = (
        [{'name': 'a', 'cores': 1}],
        [{'name': 'a', 'cores': 1, 'tries': 1}, {'name': 'b', 'cores': 2, 'after': ['a']}],
        [{'name': 'a', 'cores': 0.1, 'gang': 'g', 'tries': 2}, {'name': 'b', 'cores': 0.2, 'gang': 'g', 'tries': 2}],
    )
    WHATS = ('started', 'started', 'done', 'failed', 'stopped', 'refused', 'lost')

    def _task(self, number):
        return pick([self.applied.tasks[k] for k in sorted(self.applied.tasks)], number)

    def _inflight(self, number):
        """Rounds that a minion may say it has: those on record or the ones before."""
        tasks = [self.applied.tasks[k] for k in sorted(self.applied.tasks)]
        return [
            {'task': t.key, 'round': max(1, t.round - (number >> i) % 2)}
            for i, t in enumerate(tasks)
            if t.round and (number >> (i + 8)) % 2
        ]

    def t_submit(self, a, b, c):
        spec = {'class': 'default', 'tasks': pick(self.TASKS, b)}
        self.change('t_submit', tenant=pick(self.TENANTS, a), id=pick(self.IDS, c), sum=str(b % 3), spec=spec)

    def t_cancel(self, a, b, c):
        self.change('t_cancel', tenant=pick(self.TENANTS, a), id=pick(self.IDS, b))

    def t_register(self, a, b, c):
        room = {'cores': 8.0, 'gpus': 0, 'mem': 0, 'labels': {}}
        where = {'minion': pick(MINIONS, a), 'inc': f'i{b % 3}', 'edge': 'e0', 'zone': f'z{a % 3}'}
        self.change('t_register', **where, **room, drain=False, inflight=self._inflight(c))

    def t_down(self, a, b, c):
        minion = self.applied.minions.get(pick(MINIONS, a))
        link = minion.link - (b % 5 == 0) if minion else 1
        self.change('t_down', minion=pick(MINIONS, a), link=link, why='cut', purpose=False)

    def t_place(self, a, b, c):
        ready = [self.applied.tasks[k] for k in sorted(self.applied.by[model.READY])]
        task = pick(ready, a)
        if task is None:
            return
        mates = [t for t in task.job.gang(task.gang) if t.state == model.READY] if task.gang else [task]
        items = [
            {'task': t.key, 'round': t.round + (c % 8 > 0), 'minion': MINIONS[(b + i) % 3]} for i, t in enumerate(mates)
        ]
        self.change('t_place', sequence=self.applied.sequence, apart=bool(c % 2), bundles=[{'items': items}])

    def t_status(self, a, b, c):
        task = self._task(a)
        if task is None:
            return
        name = task.minion if b % 4 else pick(MINIONS, b)
        minion = self.applied.minions.get(name)
        item = {'n': 1, 'task': task.key, 'round': max(1, task.round - (c % 5 == 0)), 'why': 'x', 'at': self.index}
        item['what'] = pick(self.WHATS, c)
        link = minion.link if minion else 1
        self.change('t_status', minion=name, link=link, unheard=bool(b % 2), items=[item])

    def t_expire(self, a, b, c):
        task = self._task(a)
        if task is not None:
            self.change('t_expire', items=[{'task': task.key, 'round': task.round}])

    def t_evict(self, a, b, c):
        task = self._task(a)
        if task is not None:
            self.change('t_evict', why='room', items=[{'task': task.key, 'round': task.round}])

    def t_drain(self, a, b, c):
        self.change('t_drain', minion=pick(MINIONS, a), on=bool(b % 2), by=pick(('agent', 'op'), c), until=c % 100)

    def t_config(self, a, b, c):
        self.change('t_config', sequence=self.applied.sequence + b % 2, emptied=['z0'][: a % 2])

    def t_gone(self, a, b, c):
        self.change('t_gone', minion=pick(MINIONS, a))

    def t_forget(self, a, b, c):
        self.change('t_forget', keys=[f'{pick(self.TENANTS, a)}/{pick(self.IDS, b)}'])

    def t_leave(self, a, b, c):
        self.change('t_leave', tenant=pick(self.TENANTS, a), to=pick(('other', ''), b))

    def t_release(self, a, b, c):
        self.change('t_release', tenant=pick(self.TENANTS, a), to='other', marks=bool(b % 2))

    def t_import(self, a, b, c):
        tenant = pick(self.TENANTS, a)
        rows = self.applied.parcels.get(tenant, {'rows': []})['rows']
        part = self.applied.owned.get(tenant, {}).get('part', 0) - (c % 4 == 0)
        self.change('t_import', tenant=tenant, was='other', part=max(0, part), last=bool(b % 2), rows=rows)

    def t_handed(self, a, b, c):
        what = f'tenant:{pick(self.TENANTS, a)}' if b % 2 else f'minion:{pick(MINIONS, a)}'
        self.change('t_handed', what=what)

    def t_yield(self, a, b, c):
        self.change('t_yield', minion=pick(MINIONS, a), to='other')


class ConfigurationReplicas(Replicas):
    """Orders of operators at the core group."""

    machine_type, prefix = ConfigurationStateMachine, 'c_'
    NAMES = ('n0', 'n1')

    def c_config(self, a, b, c):
        base = self.applied.sequence - (a % 4 == 0)
        self.change('c_config', base=base, by='op', doc=b'%d' % (b % 3), sum=pick(('', f's{b % 5}'), c))

    def c_queues(self, a, b, c):
        number = self.applied.number + b % 3
        doc = queues.squeeze(json.dumps({'number': number, 'queues': [], 'groups': []}))
        base = self.applied.number - (a % 4 == 0)
        self.change('c_queues', number=number, base=base, by='op', sum=f'q{c % 9}', doc=doc)

    def c_zone(self, a, b, c):
        self.change('c_zone', zone=f'z{a % 3}', emptied=bool(b % 2))

    def c_node(self, a, b, c):
        self.change('c_node', name='n', sight=True)

    def c_cell(self, a, b, c):
        self.change('c_cell', name=pick(self.NAMES, a), on=bool(b % 3), seats={'t0': 'i'})

    def c_own(self, a, b, c):
        owners = ('', *sorted(self.applied.atlas.groups()))
        what = pick(('tenant:t0', 'minion:m0'), a)
        self.change('c_own', what=what, was=self.applied.atlas.own.get(what, ''), cell=pick(owners, b))
