"""Placement policies of queues: operators' short programs over a task, a minion and a victim. Pure.

The programs are the queues document's. Nothing here costs anything while it has none: the library is not even read.
"""

import math
import re

from asterwharf.scheduler import queues

TASK = (
    'queue',
    'priority',
    'tries',
    'count',
    'cpu',
    'mem',
    'gpus',
    'label',
    'near',
    'together',
    'one_rack',
    'apart',
    'copies',
    'lasts',
    'saves',
)
MINION = ('group', 'zone', 'rack', 'kind', 'labels', 'cpu', 'mem', 'gpus')
FIELDS = {'task': TASK, 'minion': MINION, 'victim': TASK}
# new cases judged in one turn: each takes about half a millisecond of the turn
MOST = 40
# judgements that one policy remembers
KEPT = 20000
# of the silence bound: within how long the seats that don't hold read new programs, each at a time of its own
SPREAD = 8
NONE = (0, b'')


def task(s):
    """What a program sees of a step's task."""
    j = s.job
    return {
        'queue': j.queue,
        'priority': j.prio,
        'tries': j.tries,
        'count': len(s.tasks),
        'cpu': s.need[0],
        'mem': s.need[1],
        'gpus': s.need[2],
        'label': s.label,
        'near': s.near,
        'together': s.together,
        'one_rack': s.one_rack,
        'apart': s.apart,
        'copies': s.copies,
        'lasts': s.lasts,
        'saves': s.saves,
    }


def facts(l):
    """What a program sees of a minion: nothing that changes with its load, no name, so that many are one class."""
    return l.group, l.zone, l.rack, l.kind, tuple(l.labels), *l.room


def reads(src):
    """{variable: the fields of it that a program may read}: cases that differ in others only are one case."""
    out = {}
    for var, fds in FIELDS.items():
        got = re.findall(rf'\b{var}\.([a-z_]+)\b', src)
        # a program that does more with it than to name a field may read them all
        out[var] = tuple(f for f in fds if f in got) if len(got) == len(re.findall(rf'\b{var}\b', src)) else fds
    return out


class Rule:
    """One policy: its programs, compiled when their time comes, and what they have judged."""

    __slots__ = ('cache', 'made', 'pol', 'reads', 'src')

    def __init__(self, src):
        self.src, self.pol, self.made, self.cache = src, None, False, {}
        self.reads = {k: reads(v) for k, v in src.items()}


class Judge:
    """What the policies of the queues document in force say; at the cell's holder."""

    __slots__ = ('at', 'b', 'by', 'classes', 'due', 'left', 'op', 'rules', 'short', 'want')

    def __init__(self, b):
        # by: place or name of a queue -> its rule; classes: what is known of minions -> a number that stands for it
        self.b, self.op, self.rules, self.by, self.want, self.due = b, 0, {}, {}, [], 0
        self.classes, self.left, self.short, self.at = {}, MOST, False, -1

    # --- the document
    def look(self):
        """Takes in the document in force here, where it is a new one."""
        op, raw = self.b.atlas.rows.get('queues', NONE)
        if op != self.op:
            self.op = op
            self._read(raw)

    def tick(self, holds):
        self.look()
        if self.want and (holds or self.b.now >= self.due):
            want, self.want = self.want, []
            self.b.chore(self._compiling(want), lambda r: None)

    def _read(self, raw):
        old, self.rules, self.by, self.want = self.rules, {}, {}, []
        if not queues.may_judge(raw):
            self.classes = {}
            return
        qs = self.b.atlas.queues
        same = {tuple(r.src.items()): r for r in old.values()}
        self.rules = {n: same.get(tuple(p.items())) or Rule(p) for n, p in qs.policies.items()}
        judged = [q for q in qs.queues.values() if q.policy in self.rules]
        # jobs of an earlier release know their queue's name alone
        self.by = {address: self.rules[q.policy] for q in judged for address in (q.name, q.place)}
        self.want = [r for r in dict.fromkeys(self.by.values()) if not r.made]
        self.due = self.b.now + int(self.b.rng.random() * SPREAD * self.b.set.view.silence_ms) if self.want else 0

    def _compiling(self, want):
        # a large library, read only where there are policies
        from asterwharf.scheduler import policy

        yield 1
        policy.warm()
        yield 1
        for r in want:
            res = policy.compile_policy(queues.Program(**r.src))
            if res.is_error():
                # checked before it was delivered, by another release perhaps: it says no to everything
                self.b.log('error', 'policy unreadable', why=res.error)
                self.b.count['policy.troubles'] += 1
            r.pol, r.made = (None if res.is_error() else res.ok), True
            yield 1

    # --- a decision
    def refill(self):
        """A decision begins: only so many new cases are judged. `short` tells that some were left for the next."""
        self.look()
        # several decisions may be made in one turn of the loop, which is to stay short
        if self.b.now != self.at:
            self.left, self.at = MOST, self.b.now
        self.short = False

    def rule(self, s):
        """The rule of a step's queue, or None: then nothing is evaluated."""
        return self.by.get(s.job.address) if self.by else None

    def key(self, s):
        """Tells steps apart that policies may tell apart."""
        return s.job.address if self.by and s.job.address in self.by else ''

    def may(self, s, l):
        """Whether a task of this step may land on the minion of this link."""
        r = self.rule(s)
        return r is None or bool(self._ask(r, 'may_land', self._task(r, 'may_land', s), l, False))

    def land(self, s, rooms):
        """The rooms where a task of this step may land."""
        r = self.rule(s)
        if r is None:
            return rooms
        key = self._task(r, 'may_land', s)
        return [o for o in rooms if self._ask(r, 'may_land', key, o.link, False)]

    def ranked(self, s, rooms):
        """Rooms in order, the best score first; suspicion goes before any score, and what was before stays among equals."""
        r = self.rule(s)
        if r is None or not r.src['score']:
            return rooms
        key = self._task(r, 'score', s)
        return sorted(rooms, key=lambda o: (-o.grade, -self._ask(r, 'score', key, o.link, 0.0)))

    def worth(self, s, rooms):
        """The mean score of some rooms; 0 without a policy."""
        r = self.rule(s)
        if r is None or not r.src['score'] or not rooms:
            return 0.0
        key = self._task(r, 'score', s)
        return sum(self._ask(r, 'score', key, o.link, 0.0) for o in rooms) / len(rooms)

    def may_evict(self, s, l, t):
        """Whether the run of task `t` may be pushed out of its minion for a task of this step."""
        r = self.rule(s)
        if r is None:
            return True
        vic = task(t.step)
        key = self._task(r, 'may_evict', s), tuple(vic[f] for f in r.reads['may_evict']['victim'])
        return bool(self._ask(r, 'may_evict', key, l, False, vic))

    # --- a case
    def _task(self, r, prg, s):
        fds = r.reads[prg]['task']
        if not fds:
            return ()
        doc = task(s)
        return tuple(doc[f] for f in fds)

    def _ask(self, r, prg, key, l, no, vic=None):
        """One program's word on one class of task and minion; `no` where it can't be had yet."""
        if not r.src[prg]:
            return prg != 'score' or no
        fact = facts(l)
        cls = self.classes.setdefault(fact, len(self.classes))
        got = r.cache.get((prg, key, cls))
        if got is None:
            got = self._case(r, prg, key, fact, vic)
            if got is None:
                self.short = True
                return no
            if len(r.cache) >= KEPT:
                r.cache.clear()
            r.cache[prg, key, cls] = got
        return got

    def _case(self, r, prg, key, fact, vic):
        """Looks a case up among those that are the same to the program, or evaluates it; None where that must wait."""
        fds = r.reads[prg]
        mine = dict(zip(MINION, fact))
        few = prg, key, tuple(mine[f] for f in fds['minion'])
        got = r.cache.get((few,))
        if got is not None:
            return got
        if not r.made or self.left <= 0:
            return None
        if r.pol is None:
            return 0.0 if prg == 'score' else False
        self.left -= 1
        mine['labels'] = list(mine['labels'])
        wld = {
            'task': dict(zip(fds['task'], key[0] if vic is not None else key)),
            'minion': {f: mine[f] for f in fds['minion']},
        }
        if vic is not None:
            wld['victim'] = {f: vic[f] for f in fds['victim']}
        r.cache[few,] = got = self._run(r.pol, prg, wld)
        return got

    def _run(self, pol, prg, wld):
        was, got = pol.troubles, getattr(pol, prg)(wld)
        # it is remembered here, by class
        pol.cache.clear()
        bad = pol.troubles - was
        if prg == 'score' and not math.isfinite(got):
            bad, got = bad + 1, 0.0
        self.b.count['policy.judged'] += 1
        if bad:
            self.b.count['policy.troubles'] += 1
        return got
