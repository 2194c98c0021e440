"""The observer of a day: it judges by the users' RULES.md, from what minions really ran and callers were really told.

Nothing here asks the scheduler. `broken` holds (time, rule, what); the rules' names are the users' own.
"""

from collections import Counter

from asterwharf.sim.client_account import Told
from asterwharf.sim.yard_config import Versions
from asterwharf.sim.yard_room import Room
from asterwharf.sim.yard_sight import IN
from asterwharf.sim.yard_work import parse

RULES = (
    'TWICE',
    'ORDER',
    'LIMIT',
    'ROUTE',
    'BUDGET',
    'GANG',
    'UNASKED',
    'REFUSED',
    'DRAIN',
    'EVAC',
    'MIXED',
    'LOST',
    'CONFIG',
    'RECOVER',
)
STATES = ('queued', 'running', 'finished', 'failed', 'cancelled')
# looking goes on in steps of this; nothing is called late by less
STEP = 250
# clocks that jump
JUMP = 5000
# kinds of trouble that excuse nothing, by rule
HARMLESS = ('config', 'poison', 'cancel', 'scale_out')
GOING = HARMLESS + ('scale_in', 'evacuate')


class Observer:
    """Fed by the stand-ins with everything that they do and hear."""

    def __init__(self, w, bounds, sight):
        self.w, self.bounds, self.sight = w, bounds, sight
        self.broken, self.count, self.said = [], Counter(), set()
        self.jobs, self.tasks, self.texts, self.on, self.ended = {}, {}, {}, {}, {}
        self.versions = Versions(lambda: w.t, bounds, sight, self.no, self.count)
        self.drains, self.zones, self.minions, self.jumps = {}, {}, {}, False
        self.room = Room(self)
        self.delays, self.waste, self.idle = [], Counter(), set()
        # runs that began on a sound minion, and those of them that were stopped though nobody had cancelled their job
        self.sound_runs = self.sound_stopped = 0
        # troubles that wait for a moment: functions of what was just told, and by which node
        self.taps = []
        # starts told that no minion has taken up: job -> {(task, run): (minion, node, when, until when held)}
        self.flying = {}

    def no(self, rule, **kws):
        # one line for each way of breaking a rule by one thing
        key = (rule, kws.get('what'), kws.get('task') or kws.get('job') or kws.get('node') or '')
        if key in self.said:
            return
        self.said.add(key)
        self.broken.append((self.w.t, rule, kws))
        self.w.say('judge', rule, **kws)

    def tap(self, what, node=''):
        for fn in list(self.taps):
            fn(what, node)

    def wall(self):
        """True time of day, ms since 1970."""
        return self.w.base + self.w.t

    # --- minions
    def born(self, m):
        self.minions[m.id] = m
        self.on[m.id], self.ended[m.id] = {}, {}

    def dead(self, m):
        self.on[m.id] = {}
        # an end that nobody had heard by then looks like a run that goes on until the hold is over
        for r in self.ended[m.id].values():
            if r.job is not None and r.job.id in self.jobs and not r.void:
                told = self.jobs[r.job.id]
                told.held = max(told.held, self.w.t + m.held())

    def beaten(self, m, node, state, sent):
        """A beat was acknowledged."""
        if state == 'draining' and m.id not in self.drains and self.sight.level(node) == IN:
            self.drains[m.id] = self.w.t
        self.count['acked'] += 1
        self.room.known(m)

    def given(self, m, node, body):
        """A node has answered a beat; whether the answer arrives is another matter."""
        till = self.w.t + int(body.get('hold_ms', 0) / 0.98)
        for task, run, _, _ in body.get('start', ()):
            self.flying.setdefault(task.partition('.')[0], {})[task, run] = m, node, self.w.t, till

    def kept(self, r, saved):
        """The run tells a checkpoint."""
        if saved and r.key is not None:
            self.texts.setdefault(r.key[:4], set()).add(saved)

    def turned(self, r):
        self.count['turned_away'] += 1

    def lapsed(self, m):
        """The minion's hold is over: ends that were not noted by then may be taken for lost."""
        for r in self.ended[m.id].values():
            r.void = True

    def listed(self, m, r):
        self.ended[m.id][r.n] = r

    def noted(self, m, n, node=''):
        """An answer of that node has covered this end."""
        r = self.ended[m.id].pop(n, None)
        if r is None or r.void or r.job is None:
            return
        r.noted = self.w.t
        self.tap('noted', node)
        if r.how == 'done':
            for task in self._mates(r):
                if any(o.at > r.end for o in self.tasks.get(task, ())) and not r.spec.get('copies'):
                    self.no('TWICE', what='started after it ended done', task=task, run=r.run)
        if r.how == 'failed':
            for o in self.tasks.get(r.task, ()):
                self._budget(o)

    def _mates(self, r):
        """The tasks that an end done of this run stands for."""
        return r.job.tasks(r.k, r.step) if r.spec.get('together') else (r.task,)

    # --- starts
    def started(self, r, payload, saved, free):
        """A minion has begun a run, told so by `r.sender`; `free`: its room before."""
        now, m, j = self.w.t, r.minion, r.job
        self.count['starts'] += 1
        self.flying.get(r.task.partition('.')[0], {}).pop((r.task, r.run), None)
        r.level = self.sight.level(r.sender)
        if j is None:
            p = parse(r.task)
            self.no('UNASKED', what='nobody sent it', task=r.task, known=bool(p and p[0] in self.jobs))
            return
        sp, tld = r.spec, self.jobs.get(j.id)
        key = (j.id, r.k, r.step, 'g' if sp.get('together') else r.idx)
        if tld is None:
            return self.no('UNASKED', what='nobody sent it', task=r.task)
        if payload != j.payload:
            self.no('UNASKED', what='another payload', task=r.task)
        if saved and saved not in self.texts.get(key, ()):
            self.no('UNASKED', what="a checkpoint that is not the task's", task=r.task, saved=saved)
        if tld.cancelled is not None and r.level == IN and now > tld.cancelled + self.bounds.cancel_ms:
            self.no('UNASKED', what='started after its cancel was acknowledged', task=r.task, late=now - tld.cancelled)
        runs = self.tasks.setdefault(r.task, [])
        self._twice(r, runs, sp, tld, now)
        runs.append(r)
        self.on[m.id][r] = None
        tld.live += 1
        tld.starts = True
        self.refused(tld)
        self._order(r, j, sp, tld)
        self._place(r, j, sp, m, free)
        self._budget(r)
        self.tap('started', r.sender)
        if m.id in self.drains and r.level == IN and now > self.drains[m.id] + self.bounds.drain_ms:
            self.no(
                'DRAIN', what='started on a draining minion', task=r.task, minion=m.id, late=now - self.drains[m.id]
            )
        at = self.zones.get(m.zone)
        if at is not None and r.level == IN and now > at + self.bounds.evacuate_ms:
            self.no('EVAC', what='started in an evacuated zone', task=r.task, zone=m.zone, late=now - at)
        return None

    def _twice(self, r, runs, sp, tld, now):
        copies = sp.get('copies')
        for o in runs:
            if o.end is None and o.minion.up and not copies:
                self.no(
                    'TWICE', what='two runs at once', task=r.task, runs=(o.run, r.run), on=(o.minion.id, r.minion.id)
                )
        if r.run in {o.run for o in runs if o.minion is not r.minion}:
            self.count['same_run_twice'] += 1
        gang = [o for t in r.job.tasks(r.k, r.step) for o in self.tasks.get(t, ())] if sp.get('together') else runs
        for o in gang:
            if o.how != 'done' or o.noted is None:
                continue
            if not copies or (r.level == IN and now > o.noted + 1000):
                self.no('TWICE', what='started after it ended done', task=r.task, run=r.run, noted=now - o.noted)
        if tld.final == 'finished' and r.level == IN and now > tld.final_at + 1000:
            self.no('TWICE', what='started after the job was shown as finished', task=r.task)

    def done(self, j, k, s):
        """Whether every task of the step has ended done."""
        got = self.jobs[j.id].done_at
        if (j.id, k, s, 'g') in got:
            return True
        return all((j.id, k, s, i) in got for i in range(j.steps[s].get('count', 1)))

    def ready_at(self, j, k, s):
        """When a step's turn came: true time in ms, or None."""
        tld = self.jobs[j.id]
        at = [tld.accepted if tld.accepted is not None else tld.first, j.due(k) - self.w.base if j.times else 0]
        for a in j.steps[s].get('after', ()):
            if not self.done(j, k, a):
                return None
            at.append(max(t for (_, k2, s2, _), t in tld.done_at.items() if (k2, s2) == (k, a)))
        return max(at)

    def _order(self, r, j, sp, tld):
        for a in sp.get('after', ()):
            if not self.done(j, r.k, a):
                self.no('ORDER', what='started before a step it depends on', task=r.task, after=a)
        if j.times:
            early = j.due(r.k) - self.wall()
            if early > self.bounds.early_ms + (JUMP if self.jumps else 0):
                self.no('ORDER', what='started before its time', task=r.task, early=early)
        if len(self.tasks[r.task]) == 1:
            at = self.ready_at(j, r.k, r.step)
            if at is not None:
                self.delays.append(max(0, self.w.t - at))

    def _place(self, r, j, sp, m, free):
        groups = self.versions.groups(j.path)
        if m.group not in groups:
            self.no('ROUTE', what='a minion of another service', task=r.task, minion=m.id, group=m.group)
        if sp.get('label') and sp['label'] not in (m.shape.kind, m.rack):
            self.no('ROUTE', what='without the label', task=r.task, minion=m.id, label=sp['label'])
        if sp.get('apart'):
            n = sum(o.job is j and o.k == r.k and o.step == r.step for o in self.on[m.id])
            if n > sp['apart']:
                self.no('ROUTE', what='too many of a step on one minion', task=r.task, minion=m.id, n=n)
        want = (sp.get('cpu', 0), sp.get('mem', 0), sp.get('gpus', 0))
        if not m.shape.guards and any(w > f for w, f in zip(want, free)):
            self.no('LIMIT', what='more work than room', task=r.task, minion=m.id, want=want, free=free)

    def fails(self, j, k, s, idx, before=None, noted=False):
        """Runs of a task, or of a gang, that ended failed."""
        gang = j.steps[s].get('together')
        names = j.tasks(k, s) if gang else [f'{j.id}.{k}.{s}.{idx}']
        rows = [
            o for t in names for o in self.tasks.get(t, ()) if o.how == 'failed' and (before is None or o.end <= before)
        ]
        if noted:
            rows = [o for o in rows if o.noted is not None]
        return len({o.run for o in rows})

    def _budget(self, r):
        j, sp = r.job, r.spec
        if j is None or sp.get('lasts'):
            return
        n = self.fails(j, r.k, r.step, r.idx, before=r.at, noted=True)
        if n < j.tries:
            return
        if sp.get('copies'):
            last = sorted(
                o.noted for o in self.tasks[r.task] if o.how == 'failed' and o.noted is not None and o.end <= r.at
            )
            if r.level != IN or r.at <= last[j.tries - 1] + 1000:
                return
        self.no('BUDGET', what='started after all its tries failed', task=r.task, run=r.run, fails=n)

    # --- ends
    def over(self, r, how):
        """A run has ended; `crash` where its minion went down."""
        now, j = self.w.t, r.job
        self.count[how] += 1
        if j is None or j.id not in self.jobs:
            return
        tld = self.jobs[j.id]
        self.on[r.minion.id].pop(r, None)
        tld.live -= 1
        if r.minion.sound:
            self.sound_runs += 1
            self.sound_stopped += how == 'stopped' and tld.cancel is None and not j.poison and not r.spec.get('lasts')
        if how == 'done':
            gang = r.spec.get('together')
            if gang:
                tld.done_at.setdefault((j.id, r.k, r.step, 'g'), now)
            tld.done_at.setdefault((j.id, r.k, r.step, r.idx), now)
        elif how == 'crash':
            tld.held = max(tld.held, now + r.minion.held())
        elif how in ('stopped', 'lapsed', 'broken', 'alone') and not r.spec.get('lasts'):
            self.waste[how] += (now - r.at) * (r.spec.get('cpu', 0) / 1000 + 8 * r.spec.get('gpus', 0)) / 1000
        if how == 'alone':
            near = self.sight.undisturbed(now - self.bounds.in_touch_ms, *HARMLESS)
            if tld.cancel is None and near and self.sight.level(r.sender) == IN:
                self.no('GANG', what='ended alone', task=r.task, run=r.run, waited=now - r.at)

    # --- clients
    def handed(self, job):
        """A client hands a job in, or hands it in again."""
        tld = self.jobs.get(job.id)
        if tld is None:
            tld = self.jobs[job.id] = Told(job, self.w.t)
            self.room.job(tld)
        tld.tries += 1
        tld.open += 1
        return tld

    def answered(self, job, what):
        """`what`: 'taken', 'refused' (never taken) or 'unclear'."""
        tld = self.jobs[job.id]
        tld.open -= 1
        tld.last = self.w.t
        if what == 'taken':
            if tld.accepted is None:
                tld.accepted = self.w.t
                self.count['accepted'] += 1
                self.tap('taken')
        elif what == 'unclear':
            tld.unclear += 1
        self.refused(tld)

    def refused(self, tld):
        if tld.starts and not tld.open and not tld.unclear and tld.accepted is None:
            self.no('REFUSED', what='a task of a job that was not taken', job=tld.job.id)

    def cancel_asked(self, job):
        tld = self.jobs[job.id]
        tld.cancel = tld.cancel if tld.cancel is not None else self.w.t

    def cancel_told(self, job, node, code):
        tld = self.jobs[job.id]
        if code == 'ok' and tld.cancelled is None:
            tld.cancelled = self.w.t
        if code == 'unknown':
            self._unknown(tld, node)

    def _unknown(self, tld, node):
        if tld.accepted is None or self.w.t <= tld.accepted + self.bounds.visible_ms:
            return
        if self.sight.level(node) == IN:
            self.no('LOST', what='an accepted job is unknown', job=tld.job.id, node=node, after=self.w.t - tld.accepted)

    def state(self, job, node, st):
        """A client was told the job's state; 'unknown' for a 410."""
        tld, j = self.jobs[job.id], job
        tld.asked = self.w.t
        if st == 'unknown':
            return self._unknown(tld, node)
        if st not in STATES:
            return self.no('MIXED', what='a state that nobody knows', job=j.id, state=st)
        if tld.final and st != tld.final:
            self.count['state_changed'] += 1
        if st == 'finished' and not all(self.done(j, k, s) for k in range(j.rounds) for s in range(len(j.steps))):
            self.no('MIXED', what='shown as finished while a task has not ended so', job=j.id)
        if st == 'failed' and not self.failed(j):
            self.no('LOST', what='shown as failed without cause', job=j.id)
        if st == 'cancelled' and tld.cancel is None:
            self.no('LOST', what='shown as cancelled without cause', job=j.id)
        if st in ('finished', 'failed', 'cancelled') and not tld.final:
            tld.final, tld.final_at = st, self.w.t
        return None

    def failed(self, j):
        """Whether a task or gang of it has failed as often as it may."""
        return any(
            self.fails(j, k, s, i) >= j.tries
            for k in range(j.rounds)
            for s in range(len(j.steps))
            for i in range(j.steps[s].get('count', 1))
        )

    # --- operators
    def evacuated(self, zone, at):
        """An evacuation was acknowledged (`at`), or is being taken back (None)."""
        if at is None:
            self.zones.pop(zone, None)
        else:
            self.zones.setdefault(zone, at)

    # --- at any time
    def look(self):
        """The rules that time alone can break."""
        now, b = self.w.t, self.bounds
        for tld in self.jobs.values():
            if tld.cancelled is not None and tld.live and now > tld.cancelled + b.cancel_ms + b.stop_ms + STEP:
                if self.sight.settled() and self.sight.calm(tld.cancelled - b.in_touch_ms, *GOING):
                    self.no('UNASKED', what='runs on after its cancel', job=tld.job.id, late=now - tld.cancelled)
        self.room.look()

    def unanswered(self, since):
        """Accepted jobs whose state nobody was told since then."""
        return [i for i, t in self.jobs.items() if t.accepted is not None and t.asked < since]
