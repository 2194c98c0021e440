"""The state machine of the cell whose minions call in: jobs and runs, changed only by delivered changes. Pure."""

from asterwharf.orchard.model import CANCELLED, DONE, FAILED, FINAL, READY, RUN, STEPS, WAIT, RunEvent, Step, build
from asterwharf.orchard.yard_rows import YardRows
from asterwharf.wire.schema import PROTO, unpack


class Yard(YardRows):
    """Applies changes in the group's one order; the same on every seat."""

    __slots__ = (
        'changed',
        'dirty',
        'ended',
        'events',
        'floor',
        'gangs',
        'jobs',
        'on',
        'open',
        'reads',
        'ready',
        'timed',
        'used',
        'waiting',
    )

    def __init__(self):
        self.reads = self.floor = PROTO
        self.load({})

    def apply(self, op, raw):
        knd, d = unpack(raw, self.reads)
        return getattr(self, knd)(d)

    # --- looking up
    def task(self, key):
        """The task of this name, or None."""
        p = key.split('.')
        if len(p) != 4:
            return None
        j = self.jobs.get(p[0])
        try:
            return j.live[int(p[1])][int(p[2])].tasks[int(p[3])] if j is not None else None
        except (KeyError, IndexError, ValueError):
            return None

    def need(self, key):
        """The room that a task takes, also when it is over; None where its job is not known any more."""
        p = key.split('.')
        j = self.jobs.get(p[0])
        try:
            d = j.spec[int(p[2])] if j is not None else None
        except (IndexError, ValueError):
            return None
        return (d.get('cpu', 0), d.get('mem', 0), d.get('gpus', 0)) if d else None

    def run_of(self, t, mid):
        """The number of the run of `t` that this minion may hold, or 0."""
        if t.state == RUN and t.mid == mid:
            return t.run
        return t.spare[0] if t.spare and t.spare[1] == mid else 0

    # --- bookkeeping
    def _opened(self, j):
        # not by what runs: a job that is loaded gets its runs only afterwards
        if j.end:
            return
        self.open += 1
        if not j.begun and not j.fate:
            self._wait(j, 1)
        if j.times and j.next < j.times and not j.fate:
            self.timed[j.id] = j

    def _wait(self, j, count):
        self.waiting[j.address] = self.waiting.get(j.address, 0) + count

    def _begin(self, j):
        if not j.begun:
            j.begun = True
            self._wait(j, -1)

    def _hold(self, t, mid):
        self.on.setdefault(mid, {})[t.key] = t
        c, m, g = t.step.need
        u = self.used.setdefault(mid, [0, 0, 0])
        u[0], u[1], u[2] = u[0] + c, u[1] + m, u[2] + g
        t.step.job.busy += 1
        self._touched(t, mid)

    def _let(self, t, mid):
        box = self.on.get(mid)
        if box is None or box.pop(t.key, None) is None:
            return
        c, m, g = t.step.need
        u = self.used[mid]
        u[0], u[1], u[2] = u[0] - c, u[1] - m, u[2] - g
        t.step.job.busy -= 1
        self._touched(t, mid)
        if not box:
            del self.on[mid], self.used[mid]

    def _touched(self, t, mid):
        """A run began there or is over, for those who look at it at the leader."""
        self.changed.add(mid)
        if t.step.together:
            self.gangs[t.step.key] = t.step

    def _look(self, s):
        """Whether a step has something to place."""
        if s.whole and not s.job.fate:
            self.ready[s.key] = s
        else:
            self.ready.pop(s.key, None)

    def move(self, t, new):
        """The one function for every change of a task's state."""
        if new not in STEPS[t.state]:
            raise AssertionError(f'{t.key}: {t.state} -> {new}')
        s = t.step
        s.ready += (new == READY) - (t.state == READY)
        s.left -= new in FINAL
        t.state = new
        self.dirty.add(s.job.id)

    # --- jobs
    def y_submit(self, d):
        j = self.jobs.get(d['id'])
        if j is not None:
            queue = d['queue'][0]
            return 'same' if j.sum == d['sum'] and j.is_at(queue['name'], queue['place']) else 'other_body'
        j = self.jobs[d['id']] = build(d)
        self.dirty.add(j.id)
        self._opened(j)
        if not j.times:
            self._time(j)
        return 'taken'

    def y_due(self, d):
        """The next time of a job has fallen due."""
        for i in d['items']:
            j = self.jobs.get(i['id'])
            if j is not None and not j.fate and j.times and j.next == i['k'] < j.times:
                self._time(j)
        return True

    def _time(self, j):
        k = j.next
        j.next += 1
        if j.times and j.next >= j.times:
            self.timed.pop(j.id, None)
        j.live[k] = [Step(j, k, n) for n in range(len(j.spec))]
        self.dirty.add(j.id)
        for s in j.live[k]:
            if not s.after:
                self._open_step(s)

    def _open_step(self, s):
        for t in s.tasks:
            self.move(t, READY)
        self._look(s)

    def _step_done(self, s):
        """The last task of a step has ended done: what waited for it alone may start."""
        j, sts = s.job, s.job.live[s.k]
        for o in sts:
            if s.n in o.after and all(not sts[i].left for i in o.after) and o.tasks[0].state == WAIT:
                self._open_step(o)
        if any(o.left for o in sts):
            return
        # a whole time is done; nothing of it is asked for again but that it was done
        del j.live[s.k]
        j.done += 1
        if j.done >= max(1, j.times):
            self._close(j, 'finished', '')

    def _close(self, j, fate, why):
        j.fate, j.why = fate, why
        self.dirty.add(j.id)
        self.timed.pop(j.id, None)
        if not j.begun:
            self._wait(j, -1)

    def y_place(self, d):
        """Jobs of an earlier release get the places that their queues have now; whether there were any."""
        places = {queue['name']: queue['place'] for queue in d['queues']}
        found = [j for j in self.jobs.values() if not j.place and j.queue in places]
        for j in found:
            waits = not j.begun and not j.fate
            self._wait(j, -waits)
            j.place = places[j.queue]
            self._wait(j, waits)
            self.dirty.add(j.id)
        return bool(found)

    def y_cancel(self, d):
        j = self.jobs.get(d['id'])
        if j is None or not j.is_at(d['queue'], d['place']):
            return 'unknown_job'
        if not j.fate:
            self._doom(j, 'cancelled', 'cancelled by its client', d['at'])
        return 'ok'

    def _doom(self, j, fate, why, at):
        """No start comes after this: what has not started is cancelled, the rest is stopped."""
        self._close(j, fate, why)
        for sts in j.live.values():
            for s in sts:
                for t in s.tasks:
                    if t.state in (WAIT, READY):
                        self.move(t, CANCELLED)
                    t.stop = t.state == RUN
                    if t.stop:
                        self._stopped(t)
                self._look(s)
        self._over(j, at)

    def _over(self, j, at):
        if j.fate and not j.busy and not j.end:
            j.end, j.live = max(at, 1), {}
            self.open -= 1
            self.dirty.add(j.id)

    def y_forget(self, d):
        for i in d['ids']:
            j = self.jobs.get(i)
            if j is not None and j.over:
                del self.jobs[i]
                self.dirty.add(i)
        return True

    # --- runs
    def y_start(self, d):
        """Runs that may be told to their minions, bundle by bundle, each whole or not at all."""
        out = []
        for b in d['bundles']:
            its = [(self.task(i['task']), i['run'], i['mid']) for i in b['items']]
            if not self._good(its):
                continue
            for t, r, mid in its:
                if t.state == RUN:
                    t.spare = r, mid
                    self.dirty.add(t.step.job.id)
                else:
                    t.run, t.mid, t.stop = r, mid, False
                    self.move(t, RUN)
                t.top = r
                self.events.append(RunEvent(t, r, 'start'))
                self._hold(t, mid)
                self._begin(t.step.job)
                out.append(t.key)
            self._look(its[0][0].step)
        return out

    def _good(self, its):
        if any(t is None or t.step.job.fate or r <= t.top or m in self.drains for t, r, m in its):
            return False
        s = its[0][0].step
        if not s.together:
            # a copy runs beside the first run, on another minion, and only once
            return all(
                t.state == READY or (t.state == RUN and s.copies and not t.spare and not t.stop and t.mid != m)
                for t, _, m in its
            )
        return s.ready == len(s.tasks) == len(its) and len({r for _, r, _ in its}) == 1

    def y_stop(self, d):
        """Runs to be stopped for a reason of the scheduler's own; they are started again elsewhere."""
        for i in d['items']:
            t = self.task(i['task'])
            if t is not None and t.state == RUN and t.run == i['run']:
                t.stop = True
                self._stopped(t)
                self.dirty.add(t.step.job.id)
        return True

    def _stopped(self, t):
        self.changed.add(t.mid)
        if t.spare:
            self.changed.add(t.spare[1])

    def y_end(self, d):
        """Ends that minions have told; told twice they change nothing."""
        for i in d['items']:
            t = self.task(i['task'])
            if t is not None:
                self._ended(t, d['mid'], i['run'], i['how'], i['save'], d['at'])
        return True

    def y_lapse(self, d):
        """Runs whose holds have all run out, or that certainly never began (`how`); `late`: if they end all the same, it counts."""
        for i in d['items']:
            t = self.task(i['task'])
            if t is None or self.run_of(t, i['mid']) != i['run']:
                continue
            self._keep(t, i['save'])
            if i['how'] == 'lapsed' or d['late']:
                t.lapsed = (t.lapsed + (i['run'],))[-8:]
            self._drop(t, i['mid'], i['run'], d['at'], i['how'])
        return True

    def _keep(self, t, save):
        if save and t.step.saves:
            # any member's is good for its gang, and all must bring the same
            for o in t.step.tasks if t.step.together else (t,):
                o.save = save
            self.dirty.add(t.step.job.id)

    def _drop(self, t, mid, run, at, how):
        """A run is over without deciding anything: its task may be started again."""
        self.events.append(RunEvent(t, run, how))
        self._let(t, mid)
        self.dirty.add(t.step.job.id)
        if t.spare and t.spare == (run, mid):
            t.spare = None
        elif t.spare:
            # the copy goes on as the task's run
            (t.run, t.mid), t.spare = t.spare, None
        else:
            t.mid, t.stop = '', False
            self.move(t, CANCELLED if t.step.job.fate else READY)
            self._look(t.step)
        self._over(t.step.job, at)

    def _ended(self, t, mid, run, how, save, at):
        s, cur = t.step, self.run_of(t, mid) == run
        if cur:
            self.ended.append((mid, t, run, how))
        if not cur and run not in t.lapsed:
            return
        if not cur:
            t.lapsed = tuple(r for r in t.lapsed if r != run)
            self.dirty.add(s.job.id)
        if how == 'done' and not s.lasts:
            return self._done(t, at, run) if t.state not in FINAL else self._gone(t, mid, cur, at)
        if how == 'failed' and not s.lasts and t.state not in FINAL:
            self._failed(t, mid, run, cur, at)
            return
        if cur:
            self._keep(t, save)
            self._drop(t, mid, run, at, how)

    def _gone(self, t, mid, cur, at):
        if cur:
            self._let(t, mid)
            self._over(t.step.job, at)

    def _done(self, t, at, run):
        """A task has ended done by its run `run`; a gang's members end so together, and one stands for all."""
        s = t.step
        for o in s.tasks if s.together else (t,):
            if o.state == RUN:
                self._let(o, o.mid)
            if o.spare:
                # the other copy is stopped as what nobody wants any more
                self._let(o, o.spare[1])
                o.spare = None
            if o.state in (RUN, READY):
                o.mid, o.stop = '', False
                self.move(o, DONE)
                self.events.append(RunEvent(o, run, 'done'))
        self._look(s)
        if not s.left and not s.job.fate:
            self._step_done(s)
        self._over(s.job, at)

    def _failed(self, t, mid, run, cur, at):
        s, j = t.step, t.step.job
        # a gang fails as one: its run counts once, whichever members tell of it
        if s.together:
            s.fails += s.failrun < run
            s.failrun = max(s.failrun, run)
        t.fails += 1
        spent = (s.fails if s.together else t.fails) >= j.tries
        if cur:
            self._drop(t, mid, run, at, 'failed')
        self.dirty.add(j.id)
        if spent and not j.fate:
            if t.state == READY:
                self.move(t, FAILED)
            self._doom(j, 'failed', f'{t.key} has failed {j.tries} times', at)
