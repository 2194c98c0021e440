"""Jobs, steps and tasks of the cell whose minions call in. Pure; plain slots, since starts are counted in hundreds a second."""

from dataclasses import dataclass

WAIT, READY, RUN, DONE, FAILED, CANCELLED = range(6)
NAMES = ('waiting', 'ready', 'running', 'done', 'failed', 'cancelled')
FINAL = frozenset((DONE, FAILED, CANCELLED))

# every allowed step between states; anything else is a fault of ours
STEPS = {
    WAIT: {READY, CANCELLED},
    # a late end of a run given up may still decide
    READY: {RUN, DONE, FAILED, CANCELLED},
    RUN: {READY, DONE, FAILED, CANCELLED},
    DONE: set(),
    FAILED: set(),
    CANCELLED: set(),
}

# how a run may end on a minion
ENDS = frozenset(('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone', 'refused'))


class Task:
    """One task; `run` numbers its starts, `mid` is the minion that may hold the last of them.

    `top` is the highest number given, `lapsed` holds the runs given up with no word of their end, `spare` is a
    second run of work that may be repeated.
    """

    __slots__ = ('fails', 'idx', 'key', 'lapsed', 'mid', 'run', 'save', 'spare', 'state', 'step', 'stop', 'top')

    def __init__(self, step, idx):
        self.step, self.idx, self.key = step, idx, f'{step.name}.{idx}'
        self.state, self.run, self.mid, self.fails, self.save, self.stop = WAIT, 0, '', 0, '', False
        self.lapsed, self.spare, self.top = (), None, 0

    def dump(self):
        return [
            self.state,
            self.run,
            self.mid,
            self.fails,
            self.save,
            int(self.stop),
            list(self.lapsed),
            list(self.spare) if self.spare else [],
            self.top,
        ]

    def load(self, r):
        self.state, self.run, self.mid, self.fails, self.save = r[:5]
        self.stop, self.lapsed, self.spare, self.top = bool(r[5]), tuple(r[6]), tuple(r[7]) or None, r[8]


@dataclass(frozen=True, slots=True)
class RunEvent:
    """A run began (`how` is 'start') or is over: told to the leader, not kept."""

    task: Task
    run: int
    how: str


class Step:
    """One step of one time of a job: tasks alike, and what they wait for."""

    __slots__ = (
        'after',
        'apart',
        'copies',
        'estimate',
        'failrun',
        'fails',
        'job',
        'k',
        'label',
        'lasts',
        'left',
        'n',
        'near',
        'need',
        'one_rack',
        'ready',
        'saves',
        'tasks',
        'together',
    )

    def __init__(self, job, k, n):
        d = job.spec[n]
        self.job, self.k, self.n = job, k, n
        self.need = d.get('cpu', 0), d.get('mem', 0), d.get('gpus', 0)
        self.after, self.together, self.one_rack = (
            d.get('after') or (),
            bool(d.get('together')),
            bool(d.get('one_rack')),
        )
        self.label, self.near, self.apart = d.get('label') or '', d.get('near') or '', d.get('apart') or 0
        self.copies, self.lasts, self.saves = bool(d.get('copies')), bool(d.get('lasts')), bool(d.get('saves'))
        self.estimate = d.get('estimate_ms') or 0
        self.fails, self.failrun, self.ready = 0, 0, 0
        self.tasks = [Task(self, i) for i in range(d.get('count') or 1)]
        self.left = len(self.tasks)

    @property
    def key(self):
        """Its name among all steps: (job, time, number)."""
        return self.job.id, self.k, self.n

    @property
    def name(self):
        """The part that the names of its tasks have in common."""
        return f'{self.job.id}.{self.k}.{self.n}'

    @property
    def whole(self):
        """Whether there is something to place: a gang only when every member is free."""
        return self.ready == len(self.tasks) if self.together else self.ready > 0


class Job:
    """What a client handed in under an identifier of its own; `times` is 0 for work that is due at once."""

    __slots__ = (
        'aim',
        'at',
        'begun',
        'busy',
        'done',
        'end',
        'every',
        'fate',
        'first',
        'group',
        'id',
        'live',
        'next',
        'payload',
        'place',
        'prio',
        'queue',
        'spec',
        'stretch',
        'sum',
        'times',
        'tries',
        'why',
    )

    FIELDS = (
        'id',
        'queue',
        'group',
        'prio',
        'tries',
        'stretch',
        'aim',
        'payload',
        'spec',
        'times',
        'first',
        'every',
        'at',
        'end',
        'fate',
        'why',
        'begun',
        'next',
        'done',
        'sum',
        'place',
    )

    def __init__(self, **kws):
        # rows of an earlier release name no place
        kws.setdefault('place', '')
        for k in self.FIELDS:
            setattr(self, k, kws[k])
        # live: time -> its steps; busy: runs not known to have ended
        self.live, self.busy = {}, 0

    @property
    def address(self):
        """Where its client handed it in: the place, or the queue's name for a job of an earlier release."""
        return self.place or self.queue

    def is_at(self, queue, place):
        """Whether a caller means this job who asks at a place, or at a queue by its name."""
        return self.place == place if self.place and place else self.queue == queue

    @property
    def state(self):
        if self.fate:
            return self.fate
        return 'running' if self.begun else 'queued'

    @property
    def over(self):
        """Nothing of it runs or will run."""
        return bool(self.fate) and not self.busy

    def due(self, k):
        """When time `k` falls due, ms since 1970; 0 is at once."""
        return self.first + k * self.every if self.times else 0

    def dump(self):
        d = {k: getattr(self, k) for k in self.FIELDS}
        d['live'] = [
            [k, [[s.fails, s.failrun, [t.dump() for t in s.tasks]] for s in sts]] for k, sts in self.live.items()
        ]
        return d


def build(doc):
    """A job from a delivered submission."""
    s, q = doc['spec'], doc['queue'][0]
    return Job(
        id=doc['id'],
        queue=q['name'],
        place=q.get('place', ''),
        group=q['group'],
        prio=q.get('priority', 0),
        tries=q.get('tries', 1),
        stretch=q.get('stretch', 1.0),
        aim=q.get('aim_ms', 0),
        payload=s.get('payload', ''),
        spec=s['steps'],
        times=s.get('times') or 0,
        first=s.get('first_ms') or 0,
        every=s.get('every_ms') or 0,
        at=doc['at'],
        end=0,
        fate='',
        why='',
        begun=False,
        next=0,
        done=0,
        sum=doc['sum'],
    )
