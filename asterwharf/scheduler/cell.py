"""The state machine of a cell: jobs, claims and minions, changed only by delivered changes. Pure."""

from collections import deque

from asterwharf.scheduler.cell_rows import CellRows, shard
from asterwharf.scheduler.claims import Claims
from asterwharf.scheduler.handover import MARKS, Handover
from asterwharf.scheduler.model import (
    BUSY,
    CANCELLED,
    DONE,
    EXPIRED,
    FAILED,
    FINAL,
    PLACED,
    READY,
    RECOVERING,
    RUNNING,
    STEPS,
    STOPPING,
    WAITING,
    build,
)
from asterwharf.wire.schema import PROTO, unpack

# lines kept of what became of a task's earlier runs
HIST = 8


class Cell(CellRows, Claims, Handover):
    """Applies changes in the group's one order; the same on every seat."""

    __slots__ = (
        'by',
        'dirty',
        'emptied',
        'floor',
        'gone',
        'jobs',
        'leaving',
        'minions',
        'open',
        'owned',
        'parcels',
        'reads',
        'seen',
        'sequence',
        'tasks',
        'turned',
        'use',
        'yielded',
    )

    def __init__(self):
        # the latest outcomes, for the holder's judgement of its minions; on siblings they only roll over
        self.seen, self.reads, self.floor = deque(maxlen=500), PROTO, PROTO
        self.load({})

    # --- changes
    def apply(self, op, raw):
        knd, d = unpack(raw, self.reads)
        return getattr(self, knd)(d)

    def move(self, t, new, why, at):
        """The one function for every change of a task's state."""
        if new not in STEPS[t.state]:
            raise AssertionError(f'{t.key}: {t.state} -> {new}')
        was = t.job.over
        self.by[t.state].pop(t.key, None)
        m = self.minions.get(t.minion)
        if m is not None and t.state in BUSY and new not in BUSY:
            m.load.pop(t.key, None)
            self.dirty.add(f'minion:{m.name}')
        if (t.state in BUSY) != (new in BUSY):
            self._used(t, t.cores if new in BUSY else -t.cores)
        t.state, t.why = new, why
        self.by[new][t.key] = t
        if new == READY:
            self.turned.append(t.key)
        if m is not None and new in BUSY:
            m.load[t.key] = t.need
        if new in FINAL:
            t.end = at
        if new in (READY, CANCELLED):
            t.want, t.pre = '', ''
        self.dirty.add(f'job:{t.job.key}')
        if t.job.over and not was:
            t.job.end = at
            self.open[t.job.tenant] -= 1

    def _used(self, t, c):
        self.use[t.job.tenant] = round(self.use.get(t.job.tenant, 0) + c, 6)

    def t_submit(self, d):
        # the tenant may have been released between the leader's look and this delivery
        if self.away(d['tenant']):
            return 'moving'
        key = f'{d["tenant"]}/{d["id"]}'
        j = self.jobs.get(key)
        if j is not None:
            return 'same' if j.sum == d['sum'] else 'other_body'
        if self.forgot(key):
            return 'forgotten'
        self._keep(build(d['spec'], d['tenant'], d['id'], d['sum'], d['at']))
        self.dirty.add(f'job:{key}')
        return 'taken'

    def forgot(self, key):
        n, h = shard(key)
        return h in self.gone.get(n, ())

    def t_cancel(self, d):
        j = self.jobs.get(f'{d["tenant"]}/{d["id"]}')
        if j is None:
            return 'moving' if self.away(d['tenant']) else 'unknown_job'
        if j.over:
            return 'ok' if j.state == CANCELLED else 'ended'
        if not j.fate:
            self._doom(j, CANCELLED, 'cancelled by its caller', d['at'])
        return 'ok' if j.over else 'under_way'

    def _doom(self, j, fate, why, at):
        """No start comes after this: what has not started is cancelled, the rest is stopped."""
        j.fate, j.why = fate, why
        self.dirty.add(f'job:{j.key}')
        for t in j.tasks.values():
            if t.state in (WAITING, READY):
                self.move(t, CANCELLED, why, at)
            elif t.state in BUSY:
                self.stop(t, 'cancel', why, at)

    def stop(self, t, want, why, at):
        # a cancel outranks a gang's going back or an eviction
        if t.state == STOPPING:
            if want == 'cancel':
                t.want = want
                self.dirty.add(f'job:{t.job.key}')
            return
        self.move(t, STOPPING, why, at)
        t.want = want

    def t_place(self, d):
        """Places bundles, each whole or not at all; every rule is looked at once more here."""
        out = []
        # a start decided under an older configuration is not delivered
        if d['sequence'] < self.sequence:
            return out
        stray = self.astray() if d.get('apart') else ()
        for b in d['bundles']:
            # an older round that a connected minion still has would run beside the new one
            if any(i['task'] in stray for i in b['items']):
                continue
            its = [(self.tasks.get(i['task']), self.minions.get(i['minion']), i['round']) for i in b['items']]
            if not self._whole(its, d['at']):
                continue
            for t, m, r in its:
                t.round, t.minion, t.start, t.boot = r, m.name, d['at'], ''
                self.move(t, PLACED, f'placed on {m.name}', d['at'])
                self.dirty.add(f'minion:{m.name}')
                out.append(t.key)
        return out

    def _whole(self, its, at):
        room = {}
        for t, m, r in its:
            if t is None or m is None or t.state != READY or r != t.round + 1 or t.job.fate or t.due > at:
                return False
            if t.job.tenant in self.leaving:
                return False
            if not m.open or m.zone in self.emptied or (t.zones and m.zone not in t.zones):
                return False
            c, g, x = room.setdefault(m.name, m.free)
            room[m.name] = c - t.cores, g - t.gpus, x - t.mem
        if any(c < -1e-9 or g < 0 or x < 0 for c, g, x in room.values()):
            return False
        # a gang goes together or not at all
        got = {t.key for t, _, _ in its}
        return all(o.key in got for t, _, _ in its if t.gang for o in t.job.gang(t.gang) if o.state not in FINAL)

    def t_evict(self, d):
        out = []
        for i in d['items']:
            t = self.tasks.get(i['task'])
            if t and t.round == i['round'] and t.state in (PLACED, RUNNING):
                self.stop(t, 'evict', d['why'], d['at'])
                self.regroup(t, 'a member was evicted', d['at'])
                out.append(t.key)
        return out

    def astray(self):
        """Tasks of which a connected minion still has an older round; word of its end is on its way."""
        return {s.rpartition('#')[0] for m in self.minions.values() if m.up for s in m.strays}

    def t_expire(self, d):
        """The grace of a lost round is over: its agent has stopped it by now."""
        out = []
        for i in d['items']:
            t = self.tasks.get(i['task'])
            m = self.minions.get(t.minion) if t else None
            if t is None or t.round != i['round'] or m is None or m.up or t.state not in (RECOVERING, STOPPING):
                continue
            # until the agent is heard again the old round may still take room there
            m.strays[f'{t.key}#{t.round}'] = t.need
            self.lost(t, EXPIRED, d['at'])
            out.append(t.key)
        return out

    def lost(self, t, why, at):
        """A round that ended without an outcome: not a try, never a reason to fail."""
        self.note(t, why)
        if t.state == STOPPING and t.want == 'cancel':
            return self.move(t, CANCELLED, why, at)
        # what is known to have ended done is never started again
        if t.won:
            return self._won(t, at)
        if t.used >= t.tries:
            # its tries were used up by failures told late, while this round still ran
            return self.spent(t, at)
        self.move(t, READY, why, at)
        self.regroup(t, 'a member was lost', at)

    def regroup(self, t, why, at):
        """When one member of a gang goes back, the others go back with it."""
        if not t.gang:
            return
        for o in t.job.gang(t.gang):
            if o is not t and o.state in (PLACED, RUNNING, RECOVERING):
                self.stop(o, 'gang', why, at)

    def note(self, t, txt):
        t.hist = (t.hist + [f'{t.round}@{t.minion}: {txt}'])[-HIST:]

    def outcome(self, t, ok, why, at):
        """The current round's outcome, the only one that decides."""
        self.note(t, 'done' if ok else f'failed: {why}')
        self.seen.append((t.minion, t.key, ok))
        if ok:
            self.move(t, DONE, why, at)
            # a mate that went back while this one was being stopped waited for it: the gang is whole again without it
            self.turned += [o.key for o in t.job.gang(t.gang) if o.state == READY] if t.gang else []
            return self._free(t.job, at)
        t.used += 1
        if t.won and t.want != 'cancel':
            return self._won(t, at)
        t.avoid = (t.avoid + [t.minion])[-3:]
        t.hold = at
        if t.state == STOPPING and (t.want == 'cancel' or t.used < t.tries):
            return self.lost(t, f'failed while stopping: {why}', at)
        if t.state == READY and t.used < t.tries:
            # told after its grace, before a newer round: it rests like any other failed try
            t.why = f'failed: {why}'
            self.dirty.add(f'job:{t.job.key}')
            return None
        if t.used < t.tries:
            self.move(t, READY, f'failed: {why}', at)
            return self.regroup(t, 'a member failed', at)
        self.spent(t, at, why)

    def _won(self, t, at):
        self.move(t, DONE, f'round {t.won} ended done, told late', at)
        self._free(t.job, at)

    def succeeded(self, t, rnd, at):
        """An older round is known to have ended done: no start comes after this; what runs may go on to its end."""
        t.won = rnd
        if t.state == READY:
            self._won(t, at)
        elif t.state == PLACED:
            self.stop(t, 'retry', f'round {rnd} ended done', at)

    def spent(self, t, at, why='told late'):
        """Its last try has failed, and its job with it."""
        self.move(t, FAILED, f'all {t.tries} tries failed: {why}', at)
        if not t.job.fate:
            self._doom(t.job, FAILED, f'{t.name}: {t.why}', at)

    def _free(self, j, at):
        if j.fate:
            return
        for t in j.tasks.values():
            if t.state == WAITING and all(j.tasks[a].state == DONE for a in t.after):
                self.move(t, READY, 'the steps before it are done', at)

    def t_config(self, d):
        if d['sequence'] <= self.sequence:
            return self.sequence
        self.sequence, self.emptied = d['sequence'], frozenset(d['emptied'])
        self.dirty.add('meta:')
        return self.sequence

    def t_forget(self, d):
        for k in d['keys']:
            j = self.jobs.get(k)
            if j is None or not j.over:
                continue
            n, h = shard(k)
            self.gone[n] = (self.gone.get(n, []) + [h])[-MARKS:]
            self.dirty.update((f'gone:{n}', f'job:{k}'))
            self._drop(j)
        return len(d['keys'])

    def _drop(self, j):
        del self.jobs[j.key]
        for t in j.tasks.values():
            del self.tasks[t.key]
            self.by[t.state].pop(t.key, None)
            if t.state in BUSY:
                self._used(t, -t.cores)
