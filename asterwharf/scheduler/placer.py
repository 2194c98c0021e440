"""Placement: which ready tasks go where, decided by the holder, settled by delivery. Pure."""

import heapq

from asterwharf.base.board import Controller
from asterwharf.scheduler.buffers import Buffers
from asterwharf.scheduler.evict import evicting, hold_room, priority, priority_of, victims
from asterwharf.scheduler.fitness import Fitness
from asterwharf.scheduler.model import READY, WAITING

# of one look: bundles placed, lines tried, programs judged that were not judged before, tries at pushing out
MOST, LINES, JUDGED, PUSHES = 400, 500, 40, 10
# of the groups' bound: when a waiting bundle may push others out, when room is held free for it, between two looks
EVICT, STARVE, PACE = 0.5, 10, 0.02
LATER = 'not judged yet'


class Room:
    """A working copy of one minion's room while a turn's placement is worked out."""

    __slots__ = ('c', 'g', 'held', 'm', 'owner', 'took', 'x')

    def __init__(self, m):
        self.m, self.held, self.took, self.owner = m, False, 0, ''
        self.c, self.g, self.x = m.free

    def fits(self, t):
        return t.cores <= self.c + 1e-9 and t.gpus <= self.g and t.mem <= self.x

    def take(self, t):
        self.took += 1
        self.c, self.g, self.x = self.c - t.cores, self.g - t.gpus, self.x - t.mem

    def back(self, t):
        self.took -= 1
        self.c, self.g, self.x = self.c + t.cores, self.g + t.gpus, self.x + t.mem

    @property
    def slack(self):
        return self.c / self.m.cores if self.m.cores else 0.0


class Placer(Controller):
    """Takes urgent classes first, then the tenant that has least for its weight."""

    __slots__ = (
        'buf',
        'busy',
        'cell',
        'dim',
        'due',
        'fit',
        'kept',
        'left',
        'lit',
        'made',
        'now',
        'steps',
        'verdicts',
        'weak',
    )

    def __init__(self, b, cell):
        super().__init__(b)
        self.cell, self.busy, self.due, self.fit, self.weak = cell, False, 0, Fitness(), set()
        self.buf, self.dim, self.lit, self.left, self.steps, self.verdicts = None, -1 << 40, 0, JUDGED, 0, {}
        # minion -> (bundle that others were pushed out for, until when); the bundle that is tried just now
        self.made, self.now = {}, ''
        # the bundle for which room is held, and the minions that are kept free for it
        self.kept = '', frozenset()

    @property
    def mac(self):
        return self.cell.mac

    # --- which tasks
    def _when(self, cfg):
        """From which time on a task may start, by its due time and its rest after a failed try."""

        def when(t):
            if not t.used or not t.hold:
                return t.due
            cls = cfg.classes.get(t.job.cls) or cfg.classes['default']
            return max(t.due, t.hold + min(cls.retry_ms * 2 ** (t.used - 1), cls.retry_ms * 32))

        return when

    def _links(self):
        """Notes when most links are gone: the fault is then likely on this side of them."""
        mns = self.mac.minions.values()
        if 2 * sum(m.up for m in mns) < len(mns):
            self.dim = self.b.now

    def _redial(self):
        # the longest wait between two dials, after one that was still under way and came to nothing
        return self.b.set.link.max_ms + self.b.set.link.auth_ms

    def _early(self, t, nam, calm):
        """Given up unheard in an outage of many links: its agent has the time of one redial to tell its ending."""
        return not calm and t.unheard and self._waited(nam) < self._redial()

    def _waited(self, nam):
        """How long this bundle could have started and did not, by this holder's clock."""
        return self.b.now - max(self.buf.beg.get(nam, self.b.now), self.lit)

    def _lines(self, cfg, at):
        """Class by class, the most urgent first: for each the tenants' lines that have a head that may start."""
        stray, calm, left = self.mac.astray(), self.b.now - self.dim > self._redial(), LINES
        when = self._when(cfg)
        for cls in sorted(self.buf.by, key=lambda c: (-priority_of(cfg, c), c)):
            out = {}
            # a class that is full of shapes leaves the others something of each look
            for ln in self.buf.lines(cls, max(left, LINES // 10)):
                left -= 1
                if ln.tenant not in cfg.tenants or ln.tenant in self.mac.leaving:
                    continue
                got = self.buf.head(ln)
                while got and (any(t.key in stray or when(t) > at or self._early(t, got[0], calm) for t in got[1])):
                    self.buf.later(ln, at)
                    got = self.buf.head(ln)
                if got:
                    out.setdefault(ln.tenant, []).append(ln)
            if out:
                yield out

    def _order(self, lev, cfg, use):
        """Within one class always the tenant with the least in use for its weight, and its oldest bundle."""
        tops = {ten: [(ln.heap[0], n, ln) for n, ln in enumerate(lns) if self.buf.head(ln)] for ten, lns in lev.items()}
        tops = {ten: q for ten, q in tops.items() if q}
        for q in tops.values():
            heapq.heapify(q)
        while tops:
            ten = min(tops, key=lambda n: (use.get(n, 0) / cfg.tenants[n].weight, n))
            q = tops[ten]
            _, n, ln = heapq.heappop(q)
            got = self.buf.head(ln)
            if got and (yield ten, ln, *got):
                # placed: the next of this line stands in turn again
                if self.buf.head(ln):
                    heapq.heappush(q, (ln.heap[0], n, ln))
            if not q:
                del tops[ten]

    # --- where
    def world(self, t, m, cfg):
        ten = cfg.tenants[t.job.tenant]
        # only what does not change with load: so one judgement serves a whole class of cases
        return {
            'task': {
                'class': t.job.cls,
                'cores': float(t.cores),
                'gpus': t.gpus,
                'mem': t.mem,
                'gang': t.gang,
                'priority': priority(cfg, t),
                'zones': t.zones,
            },
            'tenant': {'name': t.job.tenant, 'weight': float(ten.weight)},
            'minion': {
                'name': m.name,
                'zone': m.zone,
                'cores': float(m.cores),
                'gpus': m.gpus,
                'mem': m.mem,
                'labels': m.labels,
            },
            'zone': {'name': m.zone, 'emptied': m.zone in cfg.emptied},
        }

    def allowed(self, t, m, cfg):
        """'' where the task may land, else why not."""
        if not m.up:
            return 'not connected'
        if not m.open:
            return 'draining'
        if self.b.atlas.gid(cfg.cell_of_minion(m.name, m.zone)) not in ('', self.cell.grp):
            return 'moves to another cell'
        if m.zone in cfg.emptied or m.zone in self.mac.emptied:
            return f'zone {m.zone} is emptied'
        if t.zones and m.zone not in t.zones:
            return 'not in the zones asked for'
        pol = cfg.policy(t.job.tenant)
        if pol is None:
            return ''
        ok = self.judged(pol.may_land, pol, self.world(t, m, cfg))
        return LATER if ok is None else '' if ok else 'the placement policy says no'

    def judged(self, fn, pol, wld):
        """A program's word, or None where this look has judged enough that was not judged before."""
        if not pol.knows(wld):
            if self.left <= 0:
                return None
            self.left -= 1
        return fn(wld)

    def _verdict(self, t, m, cfg):
        """(whether it may land, its score), asked once a look for each shape and minion."""
        key = (t.job.tenant, t.job.cls, t.need, t.gang, tuple(t.zones), m.name)
        got = self.verdicts.get(key)
        if got is None:
            self.steps += 1
            pol, ok = cfg.policy(t.job.tenant), not self.allowed(t, m, cfg)
            got = self.verdicts[key] = (ok, pol.score(self.world(t, m, cfg)) if ok and pol else 0.0)
        return got

    def _land(self, t, rooms, cfg):
        best = None
        for r in rooms:
            # a suspect minion gets one probe at a time
            if r.m.name in self.weak and (r.m.load or r.took):
                continue
            # room made by pushing others out is for the one that it was made for
            if r.held or r.owner not in ('', self.now) or not r.fits(t):
                continue
            ok, rate = self._verdict(t, r.m, cfg)
            if not ok:
                continue
            key = (r.m.name not in t.avoid, r.m.name not in self.weak, rate, r.slack)
            if best is None or key > best[0]:
                best = (key, r)
        return best[1] if best else None

    def _fit(self, grp, rooms, cfg):
        out = []
        for t in grp:
            r = self._land(t, rooms, cfg)
            if r is None:
                for o, q in out:
                    q.back(o)
                return None
            r.take(t)
            out.append((t, r))
        return out

    def tick(self):
        b, cfg = self.b, self.b.config
        if not self.cell.takes:
            if self.buf is not None:
                # what this holder thought of minions is for its successor to find
                self.b.clear('minion_suspect')
            self.busy, self.buf = False, None
            self.mac.turned = []
            return
        self._links()
        if self.buf is None:
            self.buf = Buffers(self.mac)
        if self.busy or cfg is None or b.now < self.due:
            return
        # one decision at a time
        self.due = b.now + int(b.set.view.silence_ms * PACE)
        at = self.cell.wall
        self.buf.take(self._when(cfg), b.now, at)
        if not self.buf.by:
            return
        rooms = [Room(m) for m in self.mac.minions.values() if m.open and m.zone not in cfg.emptied]
        # where nothing can land, nothing has begun to wait
        if not rooms:
            self.lit = b.now
            return
        self._judge()
        self.left, self.steps, self.verdicts = JUDGED, 0, {}
        bundles = self._look(rooms, cfg, at)
        if bundles:
            self._send(bundles, at)

    def _look(self, rooms, cfg, at):
        bundles, full, n, use = [], [], 0, dict(self.mac.use)
        self.made = {m: r for m, r in self.made.items() if r[1] > self.b.now and r[0] in self.buf.there}
        for r in rooms:
            r.owner = self.made.get(r.m.name, ('',))[0]
        levels = list(self._lines(cfg, at))
        self._starved(levels, rooms, cfg, use, bundles)
        for lev in levels:
            todo, done = self._order(lev, cfg, use), None
            while n < MOST:
                try:
                    ten, ln, nam, grp = todo.send(done)
                except StopIteration:
                    break
                done = self._try(ten, ln, grp, rooms, cfg, use, bundles)
                n += done * len(grp)
                if not done:
                    full.append((ln, nam, grp))
        for ln, nam, grp in full[:PUSHES]:
            if self._waited(nam) > self.b.set.view.silence_ms * EVICT:
                self._push(nam, grp, cfg, at)
        return bundles

    def _try(self, ten, ln, grp, rooms, cfg, use, bundles):
        """Whether the head of a line found its room; if not, the line finds none in this look."""
        self.steps += 1
        need = sum(o.cores for o in grp)
        if use.get(ten, 0) + need > cfg.tenants[ten].max_cores:
            return False
        self.now = ln.heap[0][1]
        got = self._fit(grp, rooms, cfg)
        if got is None:
            return False
        use[ten] = use.get(ten, 0) + need
        self._take(got, bundles)
        self.buf.pop(ln)
        return True

    def _judge(self):
        self.fit.learn(self.mac.seen)
        self.weak = self.fit.suspects(self.mac.minions)
        new, old = self.fit.news(self.weak)
        for m in new:
            self.b.alarm('minion_suspect', m, failed=len(self.fit.bad[m]))
        for m in old:
            self.b.clear('minion_suspect', m)

    def _take(self, got, bundles):
        bundles.append({'items': [{'task': o.key, 'round': o.round + 1, 'minion': r.m.name} for o, r in got]})

    def _starved(self, levels, rooms, cfg, use, bundles):
        """What has waited longest beyond all measure comes first, and room is held for it."""
        heads = [
            (self._waited(ln.heap[0][1]), ln.heap[0][1], ten, ln)
            for lev in levels
            for ten, lns in lev.items()
            for ln in lns
        ]
        old = heapq.nlargest(20, (r for r in heads if r[0] > self.b.set.view.silence_ms * STARVE), key=lambda r: r[:2])
        # one at a time, so that urgent work loses no more than one bundle's room
        for _, nam, ten, ln in old:
            grp = self.buf.bundle(nam)
            if sum(o.cores for o in grp) > cfg.tenants[ten].max_cores:
                continue
            if self._try(ten, ln, grp, rooms, cfg, use, bundles):
                break
            keep = hold_room(self, nam, grp, rooms, cfg)
            for r in keep:
                r.held = True
            if keep:
                self.b.count['room.held'] += 1
                break

    def _push(self, nam, grp, cfg, at):
        """Pushes lesser work out where a policy lets it; the place is taken once the end is confirmed."""
        if evicting(self.mac) >= len(self.mac.minions):
            return
        for t in grp:
            got = victims(self, t, cfg, at)
            if got is None:
                continue
            items = [{'task': v.key, 'round': v.round} for v in got[1]]
            self.b.count['evicted'] += len(items)
            self.buf.beg[nam] = self.b.now
            self.made[got[0]] = nam, self.b.now + int(self.b.set.view.silence_ms * EVICT * 4)
            self.cell.order('t_evict', {'at': at, 'why': f'pushed out by {t.key}', 'items': items})
            return

    def _send(self, bundles, at):
        keys = [i['task'] for b in bundles for i in b['items']]

        def done(r):
            self.busy = False
            got = r[1] if r is not None else ()
            self.b.count['placed'] += len(got)
            # what was not delivered, or not known to be, is looked at again
            self.mac.turned += [k for k in keys if k not in got]

        doc = {'at': at, 'sequence': self.b.config.sequence, 'bundles': bundles, 'apart': True}
        self.busy = self.cell.order('t_place', doc, done)
        if not self.busy:
            self.mac.turned += keys

    # --- why a task waits
    def why(self, t):
        cfg = self.b.config
        if t.state == WAITING:
            return 'waits for ' + ', '.join(a for a in t.after if t.job.tasks[a].state != 'done')
        if t.state != READY:
            return t.why
        if cfg is None or t.job.tenant not in cfg.tenants:
            return 'its tenant is not in the configuration in force'
        if t.job.tenant in self.mac.leaving:
            return 'its tenant moves to another cell'
        at = self.cell.wall
        if t.due > at:
            return f'due in {t.due - at} ms'
        if t.key in self.mac.astray():
            return 'an older round of it is still being stopped'
        if self._when(cfg)(t) > at:
            return f'rests after a failed try; {t.why}'
        nos = {}
        for m in self.mac.minions.values():
            w = self.allowed(t, m, cfg)
            if not w:
                w = 'no room now' if not m.fits(t.need) else 'has room'
                if t.cores > m.cores or t.gpus > m.gpus or t.mem > m.mem:
                    w = 'too small'
            nos[w] = nos.get(w, 0) + 1
        if not nos:
            return 'no minion is known'
        return '; '.join(f'{n} minions: {w}' for w, n in sorted(nos.items(), key=lambda r: -r[1]))
