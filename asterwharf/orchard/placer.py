"""Decides which run starts on which minion, at the holder of the cell. Pure."""

from asterwharf.base.board import Controller
from asterwharf.orchard.model import READY

# starts in one decision
MOST = 400


class Room:
    """One minion's room while a decision is made."""

    __slots__ = ('cpu', 'gpus', 'grade', 'l', 'mem', 'mid', 'rack', 'ready', 'zone')

    def __init__(self, l, used, ready):
        self.l, self.mid, self.rack, self.zone, self.ready = l, l.mid, l.rack, l.zone, ready
        c, m, g = l.room
        self.cpu, self.mem, self.gpus = (c - used[0], m - used[1], g - used[2]) if used else (c, m, g)
        self.grade = 0.0

    def fits(self, need):
        return need[0] <= self.cpu and need[1] <= self.mem and need[2] <= self.gpus

    def take(self, need, n=1):
        self.cpu, self.mem, self.gpus = self.cpu - need[0] * n, self.mem - need[1] * n, self.gpus - need[2] * n


class Placer(Controller):
    """Urgent queues first, then who came first; a gang whole or not at all."""

    __slots__ = ('busy', 'cell', 'due', 'first', 'health', 'stale', 'tender', 'term')

    def __init__(self, b, cell, tender, health):
        super().__init__(b)
        self.cell, self.tender, self.health = cell, tender, health
        self.busy, self.due, self.term, self.stale = False, 0, -1, True
        # step -> when it was first looked at with something to place
        self.first = {}

    @property
    def mac(self):
        return self.cell.mac

    def tick(self):
        if self.tender.term != self.term:
            self.term, self.busy = self.tender.term, False
        if self.term < 0 or not self.cell.takes:
            return
        self._times()
        # what waited for time alone: a rack's data, a minion back in touch
        if self.b.now >= self.due:
            self.stale = True

    def _times(self):
        """Times of jobs that fall due, by the median clock."""
        at = self.cell.wall
        items = [{'id': j.id, 'k': j.next} for j in self.mac.timed.values() if j.due(j.next) <= at]
        if items:
            self.cell.order('y_due', {'items': items, 'at': at})

    def flush(self):
        if self.term < 0 or self.busy or not self.mac.ready or not self.cell.takes:
            return
        if not (self.stale or self.mac.changed or self.tender.look):
            return
        self.stale, self.due = False, self.b.now + 60
        bundles = self._decide()
        if bundles:
            self._send(bundles)

    def _send(self, bundles):
        term = self.term

        def done(r):
            if term == self.term:
                self.busy, self.stale = False, True
            self.b.count['placed'] += len(r[1]) if r is not None else 0
        self.busy = self.cell.order('y_start', {'at': self.cell.wall, 'bundles': bundles}, done)
        self.cell.flush()

    # --- a decision
    def _rooms(self):
        out, mac, t = {}, self.mac, self.tender
        empty = self.b.atlas.emptied
        for mid, l in t.links.items():
            if not t.open(l) or l.zone in empty or not self.health.trusted(l):
                continue
            r = Room(l, mac.used.get(mid), l.give is not None)
            # what it runs that is no run of ours any more takes its room until it has ended
            for k, _ in t.strays(l):
                r.take(mac.need(k) or l.room)
            r.grade = self.health.grade(l)
            out.setdefault(l.group, []).append(r)
        return out

    def _order(self):
        return sorted(self.mac.ready.values(), key=lambda s: (s.job.prio, s.job.due(s.k) or s.job.at, s.job.id, s.n))

    def _decide(self):
        rooms, out, n, full = self._rooms(), [], 0, {}
        self.first = {k: v for k, v in self.first.items() if k in self.mac.ready}
        for s in self._order():
            grp = rooms.get(s.job.group)
            if not grp or n >= MOST:
                continue
            # what found no room a moment ago leaves none for what asks for as much
            key = (s.job.group, s.need, s.label, s.near, s.one_rack, len(s.tasks) if s.together else 0, s.apart and s)
            if key in full:
                continue
            got = self._gang(s, grp) if s.together else self._each(s, grp)
            n += sum(len(g['items']) for g in got)
            out += got
            if s.ready > sum(len(g['items']) for g in got):
                full[key] = True
        return out

    def _fit(self, s, rooms):
        """Minions that may run a task of this step, best first."""
        ok = [r for r in rooms if r.fits(s.need) and (not s.label or s.label in r.l.labels)]
        if not ok:
            return ok
        if s.near:
            near = [r for r in ok if r.rack == s.near]
            far = self.b.set.call.far_factor
            wait = self.b.now - self._since(s)
            # the rack of its data is worth waiting for, as long as going far would cost
            if near:
                ok = near
            elif any(r.rack == s.near for r in rooms) and wait < s.estimate * (far - 1):
                return []
        big = s.need[2] > 0
        ok.sort(key=lambda r: (-r.grade, not r.ready, r.gpus if big else r.cpu, r.mid))
        return ok

    def _since(self, s):
        return self.first.setdefault((s.job.id, s.k, s.n), self.b.now)

    def _each(self, s, rooms):
        out, ok = [], self._fit(s, rooms)
        if not ok:
            return out
        on = self._spread(s) if s.apart else {}
        for t in s.tasks:
            if t.state != READY:
                continue
            r = next((r for r in ok if r.fits(s.need) and not (s.apart and on.get(r.mid, 0) >= s.apart)
                      and not self.health.shuns(t, r.l)), None)
            if r is None:
                break
            r.take(s.need)
            on[r.mid] = on.get(r.mid, 0) + 1
            out.append({'items': [{'task': t.key, 'run': t.top + 1, 'mid': r.mid}]})
        return out

    def _spread(self, s):
        on = {}
        for t in s.tasks:
            for mid in (t.mid, t.spare[1] if t.spare else ''):
                if mid:
                    on[mid] = on.get(mid, 0) + 1
        return on

    def _gang(self, s, rooms):
        """All members at once, in one rack where that pays."""
        ok = self._fit(s, rooms)
        racks = {}
        for r in ok:
            racks.setdefault(r.rack, []).append(r)
        got = None
        if s.one_rack:
            # the rack that it fills best
            for nam in sorted(racks, key=lambda n: (sum(r.cpu for r in racks[n]), n)):
                got = self._whole(s, racks[nam])
                if got:
                    break
            if got is None and (len(racks) < 2 or self.b.now - self._since(s) < s.estimate * (self.b.set.call.far_factor - 1)):
                return []
        got = got or self._whole(s, ok)
        if got is None:
            return []
        run = max(t.top for t in s.tasks) + 1
        items = []
        for t, r in zip(s.tasks, got):
            r.take(s.need)
            items.append({'task': t.key, 'run': run, 'mid': r.mid})
        return [{'items': items}]

    def _whole(self, s, rooms):
        """A room for each member, or None."""
        need, out, want = s.need, [], len(s.tasks)
        for r in rooms:
            n = min([f // d for f, d in zip((r.cpu, r.mem, r.gpus), need) if d] or [want])
            n = min(n, s.apart or n, want - len(out))
            out += [r] * int(n)
            if len(out) == want:
                return out
        return None
