"""What operators are shown of the cell whose minions call in: jobs, minions, claims, queues, zones. Pure.

Each is confirmed by a majority first, then gathered in slices, so that a long listing holds nothing up.
"""

import heapq
from collections import Counter

from asterwharf.orchard.job_lookup import asked_for, queue_name
from asterwharf.orchard.minion_link import REGISTERED, REGISTERING
from asterwharf.orchard.model import NAMES, READY, RUN, WAIT
from asterwharf.orchard.rooms import Rooms

# things looked at in one slice; rows of a listing, unless more are asked for; runs shown of one job
SLICE, ROWS, RUNS = 2000, 200, 200


class Views:
    """The part of the gate that only reads, and the drains."""

    __slots__ = ()

    @property
    def plot(self):
        return self.b.cells['commons']

    @property
    def links(self):
        return self.plot.tender.links

    def _shown(self, cell, give, steps):
        """Confirms the holder, then gathers: `steps` is a generator that yields between slices and returns the body."""
        self._sure(cell, give, lambda: self.b.chore(steps, lambda doc: give('ok', doc)))

    def _queue_name(self, job):
        return queue_name(self.b.atlas.queues, job)

    # --- jobs
    def do_jobs(self, a, give, cell):
        if a.get('tenant'):
            return give('bad_field', {'details': ['tenant: this fleet has queues, no tenants']})
        self._shown(cell, give, self._jobs(a, cell.mac))

    def _jobs(self, a, mac):
        got, n = [], 0
        for n, j in enumerate(list(mac.jobs.values()), 1):
            if a.get('queue') in ('', None, self._queue_name(j)) and a.get('state') in ('', None, j.state):
                got.append(j)
            if n % SLICE == 0:
                yield n
        total, rows, n = len(got), [], 0
        # only what is shown is put in order
        for j in heapq.nlargest(a.get('most', ROWS), got, key=lambda j: (j.at, j.id)):
            rows.append(brief(j, self._queue_name(j)))
            n += 1 + rows[-1]['tasks']
            if n >= SLICE:
                yield n
                n = 0
        return {'total': total, 'jobs': rows}

    def do_y_job(self, a, give, cell):
        def fn():
            j = asked_for(cell.mac, a)
            if j is None:
                return give('unknown_job', {'details': [f'id: {a["id"]!r}']})
            self.b.chore(self._job(j), lambda doc: give('ok', doc))

        self._sure(cell, give, fn)

    def _job(self, j):
        out = dict(
            brief(j, self._queue_name(j)),
            group=j.group,
            priority=j.prio,
            tries=j.tries,
            times=j.times,
            times_done=j.done,
            payload=j.payload,
        )
        rooms, steps, runs = Rooms(self.plot.placer), [], []
        stops = self.plot.late_jobs.stops(j)
        for k, sts in list(j.live.items())[:ROWS]:
            for s in sts:
                cnt = Counter(t.state for t in s.tasks)
                steps.append(
                    {'time': k, 'step': s.n, 'count': len(s.tasks)}
                    | {NAMES[i]: cnt[i] for i in range(len(NAMES)) if cnt[i]}
                    | {'why': self.why(s, rooms), 'stopped': stopped(s, stops)}
                )
                for t in s.tasks:
                    if t.state == RUN and len(runs) < RUNS:
                        runs += self._runs(t)
                yield len(s.tasks)
        if j.times and j.next < j.times and not j.fate:
            out['due'] = j.due(j.next)
        told = [{'task': s.task, 'minion': s.minion, 'reason': s.reason, 'evidence': s.evidence} for s in stops]
        return out | {'steps': steps, 'runs': runs, 'stops': told, 'why': j.why or self._waits(j, steps)}

    def _waits(self, j, steps):
        if j.fate or not steps:
            return 'due at a later time' if j.times and not j.fate else ''
        return next((s['why'] for s in steps if s['why']), '')

    def why(self, s, rooms):
        """Why tasks of a step wait, or '' where none does."""
        if s.tasks[0].state == WAIT:
            return 'waits for steps ' + ', '.join(str(n) for n in s.after)
        if not any(t.state == READY for t in s.tasks) or s.job.fate:
            return ''
        plc, b = self.plot.placer, self.b
        near = [l for l in self.links.values() if l.group == s.job.group]
        if not near:
            return f'no minion of group {s.job.group} has called'
        fit = [l for l in near if not s.label or s.label in l.labels]
        if not fit:
            return f'no minion has the label {s.label}'
        fit = [l for l in fit if all(d <= f for d, f in zip(s.need, l.room))]
        if not fit:
            return 'too large for every minion'
        plc.judge.refill()
        fit = [l for l in fit if plc.judge.may(s, l)]
        if not fit:
            return 'its policy is being judged' if plc.judge.short else 'its policy lets it land on no minion'
        ok = {r.mid for r in rooms.by.get(s.job.group, ())}
        if not any(l.mid in ok for l in fit):
            out = Counter(
                'drained'
                if l.drain or l.mid in plc.mac.drains
                else 'in an emptied zone'
                if l.zone in b.atlas.emptied
                else 'out of touch'
                if not plc.tender.open(l)
                else 'suspect'
                for l in fit
            )
            return 'minions ' + ', '.join(f'{w}: {n}' for w, n in sorted(out.items()))
        if s.together and not s.whole:
            return 'waits until every member is free'
        waited = plc.waited(s)
        if s.together:
            got = rooms.fit(s, waited)
            n = sum(r.times(s.need, len(s.tasks)) for r in got)
            if n < len(s.tasks):
                return f'no room for all {len(s.tasks)} members at once'
            # the members are looked for, not taken
            return 'waits for room in one rack' if s.one_rack else 'about to be placed'
        if rooms.fit(s, waited):
            return 'about to be placed'
        if s.near and any(
            r.rack != s.near and r.fits(s.need) and (not s.label or s.label in r.labels) for r in rooms.by[s.job.group]
        ):
            return f'waits for room in rack {s.near}'
        return f'no room on {sum(l.mid in ok for l in fit)} minions'

    # --- minions
    def do_minions(self, a, give, cell):
        self._shown(cell, give, self._minions(a, cell))

    def _minions(self, a, cell):
        rows, names = [], sorted(self.links.keys() | cell.mac.on.keys() | cell.mac.drains.keys())
        for n, mid in enumerate(names[: a.get('most') or len(names)], 1):
            rows.append(self.minion(mid, cell))
            if n % SLICE == 0:
                yield n
        return {'total': len(names), 'minions': rows}

    def minion(self, mid, cell):
        """One row; a minion that this holder has not heard yet has no room."""
        mac, now, l = cell.mac, self.b.now, self.links.get(mid)
        by, since, until = mac.drains.get(mid, ('', 0, 0))
        row = {
            'name': mid,
            'link': l.state if l else 'unheard',
            'up': l is not None and l.state in (REGISTERING, REGISTERED),
            'draining': bool(by or (l and l.drain)),
            'drained_by': by or ('minion' if l and l.drain else ''),
            'drained_at': since,
            'evict_at': until,
            'suspect': mid in self.plot.placer.health.suspected_until,
            'tasks': len(mac.on.get(mid, ())),
        }
        if l is None:
            return row | {'group': '', 'zone': '', 'labels': [], 'free': {}}
        use = mac.used.get(mid, (0, 0, 0))
        row |= {
            'group': l.group,
            'zone': l.zone,
            'rack': l.rack,
            'kind': l.kind,
            'labels': list(l.labels),
            'beat_ms_ago': now - l.recv,
            'strays': len(self.plot.tender.strays(l)),
        }
        row |= dict(zip(('cpu', 'mem', 'gpus'), l.room))
        if l.leaves:
            row['leaves_in_ms'] = max(0, l.leaves - now)
        return row | {'free': {k: r - u for k, r, u in zip(('cpu', 'mem', 'gpus'), l.room, use)}}

    def do_drain(self, a, give, cell):
        def fn():
            mid = a['minion']
            if a['on'] and mid not in self.links and mid not in cell.mac.on and mid not in cell.mac.drains:
                return give('unknown_minion', {'details': [f'minion: {mid!r}']})
            at = cell.wall
            till = at + a['within'] if a['on'] and a.get('within') is not None else 0
            self._order(
                cell,
                'y_drain',
                {'minion': mid, 'on': a['on'], 'by': a.get('by') or 'operator', 'at': at, 'until': till},
                give,
                lambda r: give(r, {'minion': mid, 'draining': a['on'], 'evict_at': till}),
            )

        # a holder that was deposed knows less minions than its successor
        self._sure(cell, give, fn)

    # --- claims
    def do_claims(self, a, give, cell):
        self._shown(cell, give, self._claims(a, cell))

    def _claims(self, a, cell):
        rows, total, n, most = [], 0, 0, a.get('most') or 1 << 30
        for mid in sorted(cell.mac.on):
            box = list(cell.mac.on.get(mid, {}).values())
            total += len(box)
            for t in sorted(box, key=lambda t: t.key)[: most - len(rows)]:
                rows.append(self.claim(t, mid, cell))
            n += len(box)
            if n >= SLICE:
                yield n
                n = 0
        return {'total': total, 'claims': rows}

    def claim(self, t, mid, cell):
        """A run and the minion that may hold it; `since` (ms since 1970, 0 if unheard) is when this holder first heard it runs."""
        run, l = cell.mac.run_of(t, mid), self.links.get(mid)
        p = l.prog.get(t.key) if l else None
        p = p if p and p.run == run else None
        off = t.stop or bool(t.step.job.fate)
        return {
            'task': t.key,
            'queue': self._queue_name(t.step.job),
            'run': run,
            'minion': mid,
            'copy': run != t.run,
            'state': 'stopping' if off else 'running' if p else 'starting',
            'since': cell.wall - (self.b.now - p.first_at) if p else 0,
            'percent': p.last_percent if p else 0,
        }

    def _runs(self, t):
        cell = self.plot.member
        return [self.claim(t, m, cell) for m in (t.mid, t.spare[1] if t.spare else '') if m]

    # --- queues and zones
    def do_counts(self, a, give, cell):
        self._shown(cell, give, self._counts(a, cell.mac))

    def _counts(self, a, mac):
        rows = {}

        def row(j):
            return rows.setdefault(
                self._queue_name(j), dict.fromkeys(('waiting', 'running', 'ended', 'tasks_ready', 'tasks_running'), 0)
            )

        for n, j in enumerate(list(mac.jobs.values()), 1):
            row(j)['ended' if j.over else 'running' if j.begun or j.fate else 'waiting'] += 1
            if n % SLICE == 0:
                yield n
        for s in list(mac.ready.values()):
            row(s.job)['tasks_ready'] += s.ready
        yield len(rows) + 1
        for box in list(mac.on.values()):
            for t in box.values():
                row(t.step.job)['tasks_running'] += 1
        # the document may name queues in which nobody has handed anything in
        return {'queues': [{'queue': q} | rows[q] for q in sorted(rows) if a.get('queue') in ('', None, q)]}

    def do_zones(self, a, give, cell):
        self._shown(cell, give, self._zones(cell))

    def _zones(self, cell):
        mac, empty, rows = cell.mac, self.b.atlas.emptied, {}
        for n, l in enumerate(list(self.links.values()), 1):
            r = rows.setdefault(l.zone, Counter())
            box = mac.on.get(l.mid, {})
            r['minions'] += 1
            r['up'] += l.state in (REGISTERING, REGISTERED)
            r['tasks'] += len(box)
            r['stopping'] += sum(t.stop or bool(t.step.job.fate) for t in box.values())
            if n % SLICE == 0:
                yield n
        at = self.b.atlas.rows
        return {
            'zones': [
                {
                    'zone': z,
                    'cell': cell.grp,
                    'emptied': z in empty,
                    'since': int(at[f'empty:{z}'][1]) if z in empty else 0,
                    'evict_at': 0,
                    'now': cell.wall,
                }
                | {k: rows.get(z, {}).get(k, 0) for k in ('minions', 'up', 'tasks', 'stopping')}
                for z in sorted(rows.keys() | empty)
                if z
            ]
        }

    def do_cells(self, a, give, cell):
        def fn():
            seats = self.plot.member.replica.log.members
            give(
                'ok',
                {
                    'cells': [
                        {
                            'name': 'commons',
                            'group': 'commons',
                            'seats': sorted(seats),
                            'owns': [],
                            'going': False,
                            'holder': self.b.holders.get('commons', ('',))[0],
                        }
                    ]
                },
            )

        self._sure(cell, give, fn)


def stopped(step, stops):
    """How many runs of a step were stopped lately, by reason; '' where none was."""
    start = f'{step.job.id}.{step.k}.{step.n}.'
    reasons = Counter(stop.reason for stop in stops if stop.task.startswith(start))
    return ', '.join(f'{reason}: {count}' for reason, count in sorted(reasons.items()))


def brief(j, queue):
    """A job in one row; times are ms since 1970."""
    tsk = left = 0
    for sts in j.live.values():
        tsk, left = tsk + sum(len(s.tasks) for s in sts), left + sum(s.left for s in sts)
    out = {
        'queue': queue,
        'id': j.id,
        'state': j.state,
        'submitted_at': j.at,
        'tasks': tsk,
        'done': tsk - left,
        'busy': j.busy,
    }
    if j.end:
        out['ended_at'] = j.end
    return out
