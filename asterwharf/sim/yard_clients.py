"""Clients: they hand jobs in, hand them in again after silence, ask for states, cancel, and look at queues."""

import math

from asterwharf.sim.yard_calls import BROKEN, CLOSED, SILENT, find
from asterwharf.sim.yard_work import Job

# how long a client waits for an answer, the further tries it makes, its pause before the first of them
WAIT, TRIES, PAUSE = 3000, 4, 100
# between two questions about one job's state; after its last task has ended
ASK, SOON = (2500, 4500), (80, 300)
# the router is told to be done a moment before the client gives up
MARGIN = 60
# what an edge says by itself: a path that no queue has, no configuration yet
NO_QUEUE, NO_CONFIG = 'no_queue', 'no_config'
TAKEN, NEVER = ('taken', 'same', 'ok'), ('no_holder', 'overload', 'tenant_full', NO_QUEUE, NO_CONFIG)


# from here on the sizes of a step's tasks are drawn lognormally, with this as the spread of the logarithm
VERY_UNEVEN = 0.5
# the longest text in bytes, of how many jobs one has it, and what it is made of: each letter takes more bytes as sent
TEXT_BYTES, LONG_TEXTS, LETTERS = 4000, 12, ('x', '"', '\u0175', '\x01', '\U0001f30a')


def draw(rng, mean, spread, most):
    """A lognormal draw with this mean, cut off."""
    if spread <= 0:
        return mean
    s = math.sqrt(math.log(1 + spread * spread))
    return min(most, mean * math.exp(rng.gauss(0, s) - s * s / 2))


def text(name, jid, number):
    """The text of a job: mostly short, of each so many one of the longest size, in all kinds of letters in turn."""
    if number % LONG_TEXTS:
        return f'{name} {jid}'
    unit = LETTERS[number // LONG_TEXTS % len(LETTERS)]
    return unit * (TEXT_BYTES // len(unit.encode()))


class Maker:
    """Draws jobs of a kind that the site's minions can do."""

    def __init__(self, fleet):
        # `hot`: whoever wants a rack wants the same one; `rng`: set where jobs are to be drawn apart from how the world rolls,
        # so that days of two releases have the same jobs
        self.fleet, self.n, self.hot, self.rng = fleet, 0, False, None
        by = {}
        for s in fleet.shapes.values():
            by.setdefault(s.group, []).append(s)
        self.by = by

    @staticmethod
    def _size(uneven, rng):
        """How large a task of a step is against the others: a few are many times as large where they are very uneven."""
        if uneven > VERY_UNEVEN:
            return math.exp(rng.gauss(0, uneven) - uneven * uneven / 2)
        return 1 + uneven * (2 * rng.random() - 1)

    def make(self, kind, poison=False, queue=None):
        """(job, ms after which its client cancels it or 0)."""
        r, grp = self.rng or self.fleet.w.rng, self.by[kind.group]
        self.n += 1
        jid = f'{r.getrandbits(32):08x}{self.n:08x}'
        steps, works = [], []
        for s in range(max(1, min(round(draw(r, kind.steps, 0.4, kind.steps * 2.5)), 5))):
            steps.append(self._step(kind, grp, s, r))
            mean = draw(r, kind.work_ms, kind.spread, kind.work_ms * 2.5)
            works.append([max(30, int(mean * self._size(kind.uneven, r))) for _ in range(steps[-1]['count'])])
            steps[-1]['estimate_ms'] = max(1, int(mean * math.exp(r.uniform(-1, 1) * kind.off)))
        spec = {'payload': text(kind.name, jid, self.n), 'steps': steps}
        if kind.timed and r.random() < kind.timed:
            spec.update(
                times=r.randint(1, kind.times),
                first_ms=self.fleet.obs.wall() + r.randint(500, 3000),
                every_ms=kind.every_ms,
            )
        q = queue or {
            'name': f'r-{kind.name}',
            'prefix': f'/{kind.name}/',
            'group': kind.group,
            'priority': kind.priority,
            'tries': kind.tries,
            'stretch': kind.stretch,
            'aim_ms': kind.aim_ms,
        }
        job = Job(jid, q, spec, works, kind.fails, poison or r.random() < kind.poison, kind.name)
        cancel = r.randint(300, 6000) if r.random() < kind.cancel else 0
        if kind.lasts:
            cancel = int(draw(r, kind.stay_ms, 0.7, kind.stay_ms * 3))
        return job, cancel

    def _step(self, k, grp, s, r):
        sp = {'gpus': r.choice(k.gpus) if k.gpus else 0}
        sp['cpu'], sp['mem'] = (int(draw(r, x, k.spread_cpu, x * 3)) for x in (k.cpu, k.mem))
        lab = r.choice(sorted({m.kind for m in grp})) if r.random() < k.label else ''
        fit = [
            m
            for m in grp
            if (not lab or m.kind == lab) and m.gpus >= sp['gpus'] and m.cpu >= sp['cpu'] and m.mem >= sp['mem']
        ]
        while not fit:
            # what no minion could do is drawn smaller
            lab, sp['gpus'], sp['cpu'], sp['mem'] = '', sp['gpus'] // 2, sp['cpu'] * 2 // 3, sp['mem'] * 2 // 3
            fit = [m for m in grp if m.gpus >= sp['gpus'] and m.cpu >= sp['cpu'] and m.mem >= sp['mem']]
        sp['count'] = max(1, round(draw(r, k.width, 0.8, k.width * 6)))
        if lab:
            sp['label'] = lab
        if s:
            sp['after'] = [s - 1] if r.random() < 0.7 else list(range(s))
        if r.random() < k.gang and sp['count'] > 1:
            # a gang must find room beside other work
            room = sum(
                min(m.cpu // max(1, sp['cpu']), m.mem // max(1, sp['mem']), m.gpus // sp['gpus'] if sp['gpus'] else 99)
                for m in fit
            )
            sp['count'] = max(2, min(sp['count'], room // 3))
            sp['together'] = True
            if r.random() < k.tight:
                sp['one_rack'] = True
        for word, share in (('saves', k.saves), ('copies', k.copies)):
            if r.random() < share:
                sp[word] = True
        if k.near and r.random() < k.near:
            racks = sorted({m.rack for m in grp})
            sp['near'] = racks[0] if self.hot else r.choice(racks)
        if k.apart and r.random() < k.apart:
            sp['apart'] = r.randint(1, 2)
        if k.lasts:
            sp['lasts'] = True
            sp['count'] = min(sp['count'], 20)
        return {w: v for w, v in sp.items() if v}


class Clients:
    """All clients of a day."""

    def __init__(self, fleet):
        self.fleet, self.w, self.obs, self.make = fleet, fleet.w, fleet.obs, Maker(fleet)
        self.over, self.live = False, {}

    # --- one request at an edge
    def _call(self, zone, edge, op, path, args, then, wait=WAIT):
        """`then(edge, life, level, asked, code, body)`; a path that the edge does not know gives 'no_queue'."""
        f, w = self.fleet, self.w
        h, asked = w.hosts[edge], w.t
        box = [0]

        def act(node, give):
            box[0] = h.life
            ats = getattr(node.b.atlas, 'queues', None)
            if ats is None:
                return give(NO_CONFIG)
            got = ats.find('jobs.example', path)
            if got is None:
                return give(NO_QUEUE)
            q = got[0]
            where = {'queue': q.terms()} if op == 'y_submit' else {'queue': q.name, 'place': q.place}
            ttl = max(50, wait - MARGIN - (w.t - asked))
            return find(node, 'RequestRouter').start(op, 'commons', args | where, give, ttl)

        def got(code, body):
            if code in (SILENT, BROKEN, CLOSED):
                return then(edge, 0, '', asked, code, body)
            lvl = f.sight.level(edge)
            if code != NO_CONFIG:
                f.obs.versions.handled(edge, box[0], lvl, asked, '/' + path.split('/')[1] + '/', code != NO_QUEUE)
            return then(edge, box[0], lvl, asked, code, body)

        f.net.call(f'c-{zone}', edge, act, got, wait)

    # --- handing in
    def submit(self, kind, zone, poison=False):
        job, cancel = self.make.make(kind, poison)
        self.hand(job, zone)
        if cancel:
            self.w.after(cancel, self.cancel, job, zone)
        return job

    def hand(self, job, zone, tries=TRIES, last='', pause=PAUSE):
        f = self.fleet
        f.works.jobs[job.id] = job
        self.obs.handed(job)

        def then(edge, life, lvl, asked, code, body):
            took = code in TAKEN
            self.obs.answered(job, 'taken' if took else 'refused' if code in NEVER or code == CLOSED else 'unclear')
            self.obs.count['hand_' + code] += 1
            if took:
                if job.id not in self.live:
                    self.live[job.id] = (job, zone)
                    self.w.after(self.w.rng.randint(*ASK), self.ask, job, zone)
                    self.w.after(self.w.rng.randint(300, 800), self.keen, job, zone)
                # now and then a client that has its answer sends again all the same
                if tries and self.w.rng.random() < 0.03:
                    self.w.after(self.w.rng.randint(1, 2000), self.hand, job, zone, 0)
                return
            if tries and code != NO_QUEUE:
                wait = (body or {}).get('retry_ms') if isinstance(body, dict) and code in NEVER else None
                self.w.after(wait if wait is not None else pause, self.hand, job, zone, tries - 1, edge, pause * 2)

        edge = f.door(zone, last)
        self._call(zone, edge, 'y_submit', job.path + job.id, {'id': job.id, 'spec': job.spec}, then)

    # --- asking
    def ask(self, job, zone, again=True, last=''):
        def then(edge, life, lvl, asked, code, body):
            if code in ('ok', 'unknown_job', 'forgotten'):
                self.obs.state(job, edge, body['state'] if code == 'ok' else 'unknown')
            if again and not self.over and not self.obs.jobs[job.id].final:
                self.w.after(self.w.rng.randint(*ASK), self.ask, job, zone, True, '' if code == 'ok' else edge)

        self._call(zone, self.fleet.door(zone, last), 'y_state', job.path + job.id, {'id': job.id}, then)

    def keen(self, job, zone):
        """Asks soon after the last task has ended."""
        tld = self.obs.jobs[job.id]
        if self.over or tld.final or job.lasts:
            return
        if all(self.obs.done(job, k, s) for k in range(job.rounds) for s in range(len(job.steps))):
            self.w.after(self.w.rng.randint(*SOON), self.ask, job, zone, False)
        self.w.after(250, self.keen, job, zone)

    def cancel(self, job, zone, tries=8):
        self.obs.cancel_asked(job)
        self.fleet.sight.mark('cancel', self.w.t, self.w.t)

        def then(edge, life, lvl, asked, code, body):
            if code in ('ok', 'unknown_job', 'forgotten'):
                return self.obs.cancel_told(job, edge, 'ok' if code == 'ok' else 'unknown')
            if tries:
                self.w.after(400, self.cancel, job, zone, tries - 1)

        self._call(zone, self.fleet.door(zone), 'y_cancel', job.path + job.id, {'id': job.id}, then)

    def look(self, path, edge):
        """Asks one edge for a count, as the platform does after routes were added or removed."""

        def then(e, life, lvl, asked, code, body):
            self.obs.count['looks'] += 1

        self._call('z', edge, 'y_waiting', path, {}, then)

    # --- the end of the day
    def last(self, tries=6):
        """Every accepted job is asked for once more."""
        beg = self.w.t
        self.over = True

        def one(job, zone, left):
            def then(edge, life, lvl, asked, code, body):
                if code in ('ok', 'unknown_job', 'forgotten'):
                    return self.obs.state(job, edge, body['state'] if code == 'ok' else 'unknown')
                if left:
                    self.w.after(200, one, job, zone, left - 1)

            self._call(zone, self.fleet.door(zone), 'y_state', job.path + job.id, {'id': job.id}, then)

        for i, (job, zone) in enumerate(list(self.live.values())):
            self.w.after(i * 3, one, job, zone, tries)
        return beg
