"""What tasks really are: their work, how they end, gangs that work only when all are there. The world's truth.

Work is measured in ms on a sound minion of speed 1 near the data; `rate` is work done per ms of true time.
"""

import zlib

# how long a gang bears a member that it can't reach; until the others learn that one has ended; between two looks
APART, HEARD, LOOK = 1000, 60, 250
SHORT = 5


class Job:
    """A job as its client sent it, with what only the world knows: the true work of each task."""

    __slots__ = (
        'aim_ms',
        'cls',
        'fails',
        'first_ms',
        'every_ms',
        'group',
        'id',
        'path',
        'payload',
        'poison',
        'priority',
        'queue',
        'spec',
        'steps',
        'stretch',
        'times',
        'tries',
        'works',
    )

    def __init__(self, jid, queue, spec, works, fails=0.0, poison=False, cls=''):
        self.id, self.queue, self.spec, self.works, self.fails, self.poison, self.cls = (
            jid,
            queue['name'],
            spec,
            works,
            fails,
            poison,
            cls,
        )
        self.path, self.group, self.priority = queue['prefix'], queue['group'], queue['priority']
        self.tries, self.stretch, self.aim_ms = queue['tries'], queue['stretch'], queue['aim_ms']
        self.payload, self.steps = spec['payload'], spec['steps']
        self.times, self.first_ms, self.every_ms = (
            spec.get('times', 0),
            spec.get('first_ms', 0),
            spec.get('every_ms', 0),
        )

    @property
    def rounds(self):
        return max(1, self.times)

    @property
    def lasts(self):
        return any(s.get('lasts') for s in self.steps)

    def due(self, k):
        """ms since 1970 at which time `k` falls due; 0 for a job without times."""
        return self.first_ms + k * self.every_ms if self.times else 0

    def tasks(self, k, s):
        return [f'{self.id}.{k}.{s}.{i}' for i in range(self.steps[s].get('count', 1))]


def parse(task):
    """(job, time, step, index) of a task's name, or None."""
    p = task.split('.')
    if len(p) != 4 or not all(x.isdigit() for x in p[1:]):
        return None
    return p[0], int(p[1]), int(p[2]), int(p[3])


class Run:
    """One run of a task on one minion."""

    __slots__ = (
        'at',
        'end',
        'fail',
        'how',
        'idx',
        'job',
        'k',
        'key',
        'level',
        'minion',
        'n',
        'need',
        'noted',
        'run',
        'saved',
        'sender',
        'step',
        'stopping',
        'task',
        'team',
        'void',
        'told',
    )

    def __init__(self, task, run, minion, sender):
        self.task, self.run, self.minion, self.sender, self.level = task, run, minion, sender, ''
        self.job, self.k, self.step, self.idx = None, 0, 0, 0
        self.at, self.end, self.how, self.n, self.noted, self.void = 0, None, '', 0, None, False
        self.saved, self.need, self.fail, self.stopping, self.team, self.key, self.told = (
            '',
            0,
            None,
            False,
            None,
            None,
            False,
        )

    @property
    def spec(self):
        return self.job.steps[self.step] if self.job else {}


class Team:
    """The runs that work together: all members of a gang, or one run alone."""

    __slots__ = ('done', 'far', 'gen', 'key', 'members', 'need', 'rate', 'since', 'size', 'state', 'wake', 'wide')

    def __init__(self, key, size, done):
        self.key, self.size, self.done, self.members = key, size, done, []
        self.state, self.rate, self.since, self.gen, self.need, self.wake, self.far, self.wide = (
            'waiting',
            0.0,
            0,
            0,
            0,
            0,
            1,
            False,
        )


class Works:
    """Lets tasks work on minions, in virtual time."""

    __slots__ = ('bounds', 'jobs', 'obs', 'reach', 'teams', 'watching', 'w')

    def __init__(self, w, bounds, obs, reach):
        self.w, self.bounds, self.obs, self.reach = w, bounds, obs, reach
        self.jobs, self.teams, self.watching = {}, {}, False

    # --- checkpoints: 8 hex digits of ms done, 8 of whose they are
    def mark(self, team, done):
        return f'{int(done):08x}{zlib.crc32(repr(team.key[:4]).encode()):08x}'

    def _resumes(self, saved):
        try:
            return int(saved[:8], 16) if saved else 0
        except ValueError:
            return 0

    def saved(self, r, exact=False):
        """What the run has kept of its progress up to now."""
        if not r.spec.get('saves'):
            return ''
        t = r.team
        done = self.progress(t)
        if not exact:
            # kept each so often, counted from where this run began
            base = self._resumes(r.saved)
            done = base + (done - base) // self.bounds.checkpoint_ms * self.bounds.checkpoint_ms
        return self.mark(t, done) if done > 0 else ''

    def progress(self, t):
        if t.state != 'working':
            return t.done
        return min(t.need, t.done + max(0, self.w.t - t.since) * t.rate)

    def percent(self, r):
        t = r.team
        return int(100 * self.progress(t) / t.need) if t.need and not r.spec.get('lasts') else 0

    # --- starting
    def start(self, r):
        """The run begins on its minion: alone, or waiting for the others of its gang."""
        j, sp, rng = r.job, r.spec, self.w.rng
        gang = bool(sp.get('together'))
        r.key = (j.id, r.k, r.step, 'g' if gang else r.idx) if j else (r.task, 0, 0, 0)
        r.need = j.works[r.step][r.idx] if j else 500
        r.fail = self._fate(r, rng)
        key = r.key + (r.run,) if gang else r.key + (r.run, id(r))
        t = self.teams.get(key)
        if t is None:
            t = self.teams[key] = Team(key, sp.get('count', 1) if gang else 1, self._resumes(r.saved))
        t.members.append(r)
        r.team = t
        if gang and t.size > 1:
            self.w.after(self.bounds.gang_wait_ms, self._alone, r)
        self._whole(t)

    def _fate(self, r, rng):
        """At which part of the work the run fails, or None."""
        j, m = r.job, r.minion
        if j is None:
            return None
        if r.spec.get('lasts'):
            # after its start it may fail at any time: as ms of work
            return r.need + rng.expovariate(1.0) * 40_000 if j.fails else None
        if j.poison and r.step == 0 and r.idx == 0:
            return 0.05 + rng.random() * 0.9
        if rng.random() < max(j.fails, m.errors):
            return rng.random()
        return None

    def _alone(self, r):
        if r.end is None and not r.stopping and r.team.state == 'waiting':
            r.minion.ends(r, 'alone', self.saved(r))

    def _joined(self, t):
        ms = t.members
        return all(self.reach(a.minion.machine, b.minion.machine) for i, a in enumerate(ms) for b in ms[i + 1 :])

    def _whole(self, t):
        """Begins the work once all are there and reach one another."""
        if t.state != 'waiting' or len({r.idx for r in t.members}) < t.size:
            return
        # all must bring the same checkpoint
        if len({r.saved for r in t.members}) > 1:
            return
        if t.size > 1 and not self._joined(t):
            return self.w.after(LOOK, self._whole, t)
        lasts = t.members[0].spec.get('lasts')
        t.need = 1 << 40 if lasts else max(1, max(r.need for r in t.members))
        t.state = 'working'
        t.since = self.w.t + (self.bounds.restore_ms if t.members[0].saved else 0)
        racks = {r.minion.rack for r in t.members}
        t.wide = len(racks) > 1 and bool(t.members[0].spec.get('one_rack'))
        self.pace(t)

    # --- working
    def _rate(self, t):
        if t.size > 1 and not self._joined(t):
            return 0.0
        low = 1e9
        for r in t.members:
            m, near = r.minion, r.spec.get('near')
            x = m.rate()
            if near and m.rack != near:
                x /= self.bounds.far_factor
            low = min(low, x)
        return low / self.bounds.far_factor if t.wide else low

    def pace(self, t):
        """Reckons anew when the next thing happens: done, or a member fails."""
        if t.state != 'working':
            return
        done = self.progress(t)
        t.done, t.since, t.rate = done, max(self.w.t, t.since), self._rate(t)
        t.gen += 1
        if t.rate <= 0:
            return
        lasts = t.members[0].spec.get('lasts')
        fails = [((r.fail if lasts else r.fail * t.need), r) for r in t.members if r.fail is not None]
        at, who = min(fails, key=lambda f: f[0]) if fails else (t.need, None)
        if who is None and lasts:
            return
        left = max(0, (max(at, t.done) - t.done) / t.rate)
        self.w.after(int(t.since - self.w.t + left) + SHORT, self._due, t, t.gen, who)

    def _due(self, t, gen, who):
        if t.state != 'working' or t.gen != gen:
            return
        if who is None:
            t.done, t.state = t.need, 'over'
            for r in list(t.members):
                if r.end is None and not r.stopping:
                    r.minion.ends(r, 'done', '')
            return
        who.minion.ends(who, 'failed', self.saved(who))

    def paced(self, minion):
        """The minion's speed has changed."""
        for r in minion.runs.values():
            if r.team is not None:
                self.pace(r.team)

    def working(self, r):
        """Whether a lasting task is at work, past its start."""
        return r.end is None and r.team.state == 'working' and self.progress(r.team) >= r.need

    # --- ending
    def left(self, r):
        """The run works no more: it has ended, or is being stopped; a gang breaks with it."""
        t = r.team
        if t is None or r not in t.members:
            return
        t.done = self.progress(t)
        was, t.state = t.state, 'over'
        t.members.remove(r)
        t.gen += 1
        self.teams.pop(t.key, None)
        if was == 'over' or t.size < 2:
            return
        for o in list(t.members):
            far = not self.reach(r.minion.machine, o.minion.machine)
            self.w.after(APART if far else self.w.rng.randint(5, HEARD), self._broken, o)

    def _broken(self, r):
        if r.end is None and not r.stopping:
            r.minion.ends(r, 'broken', self.saved(r))

    def cut(self):
        """The network has changed: gangs that are apart for long break."""
        if not self.watching:
            self.watching = True
            self._look({})

    def _look(self, since):
        now, bad = self.w.t, False
        for t in list(self.teams.values()):
            if t.size < 2 or t.state != 'working' or self._joined(t):
                continue
            bad = True
            beg = since.setdefault(t.key, now)
            if beg == now:
                self.pace(t)
            elif now - beg >= APART:
                for r in list(t.members):
                    self._broken(r)
        for k in [k for k in since if k not in self.teams or self._joined(self.teams[k])]:
            del since[k]
            if k in self.teams:
                self.pace(self.teams[k])
        if bad or self.w.cuts or self.reach.islands():
            self.w.after(LOOK, self._look, since)
        else:
            self.watching = False
