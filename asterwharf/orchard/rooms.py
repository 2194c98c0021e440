"""The room that minions have while a decision is made, and which of it a step may take. Pure."""

from asterwharf.base.mechanisms import Mechanism
from asterwharf.orchard.tender import REGISTERED, REGISTERING

# of the silence bound: the longest that work waits for the rack that suits it
PATIENCE = 2.5
# what a minion without runs uses of its processor, memory and GPUs
NOTHING = (0, 0, 0)


class Room:
    """One minion's room."""

    __slots__ = ('cpu', 'gpus', 'grade', 'labels', 'link', 'mem', 'mid', 'rack', 'ready', 'reserved')

    def __init__(self, link, used):
        self.mid, self.rack, self.labels, self.ready, self.grade = (
            link.mid,
            link.rack,
            link.labels,
            link.give is not None,
            0.0,
        )
        self.link, self.reserved = link, [0, 0, 0]
        self.cpu, self.mem, self.gpus = (size - taken for size, taken in zip(link.room, used or NOTHING, strict=True))

    def fits(self, need):
        """Whether there is room for `need` that is not reserved for other steps."""
        return need[0] <= self.cpu and need[1] <= self.mem and need[2] <= self.gpus

    def free_for(self, need):
        """Whether there is room for `need`, whoever it is reserved for."""
        free = self.unreserved()
        return all(wanted <= have for wanted, have in zip(need, free, strict=True))

    def unreserved(self):
        """What runs leave of the minion, reserved or not."""
        return self.cpu + self.reserved[0], self.mem + self.reserved[1], self.gpus + self.reserved[2]

    def take(self, need):
        self.cpu, self.mem, self.gpus = self.cpu - need[0], self.mem - need[1], self.gpus - need[2]

    def reserve(self, amounts):
        """Holds (cpu, memory, GPUs) back from the steps that are looked at from now on."""
        self.take(amounts)
        self.reserved = [held + more for held, more in zip(self.reserved, amounts, strict=True)]

    def release(self, amounts):
        """Undoes `reserve`."""
        self.reserve([-amount for amount in amounts])

    def times(self, need, most):
        """How many of `need` fit."""
        return max(0, min([most] + [int(f // d) for f, d in zip((self.cpu, self.mem, self.gpus), need) if d]))


class Rooms:
    """All of them, by group."""

    __slots__ = ('_held_for', '_in_use', 'b', 'by', 'by_id', 'p', 'racks', 'truncated')

    def __init__(self, placer):
        self.p, self.b, self.by, self.by_id, self.racks = placer, placer.b, {}, {}, {}
        # whether the decision was cut short, so that steps were not looked at
        self.truncated = False
        # reservations that hold room now -> what they hold; group -> the share of its room in use as the decision begins
        self._held_for, self._in_use = {}, {}
        mac, t, hlt, empty = placer.mac, placer.tender, placer.health, placer.b.atlas.emptied
        for mid, l in t.links.items():
            if not t.open(l) or l.zone in empty or mid in mac.drains or not hlt.trusted(l):
                continue
            r = Room(l, mac.used.get(mid))
            # what it holds that is no run of ours any more takes its room until it has ended
            for k, _ in t.strays(l):
                r.take(mac.need(k) or l.room)
            r.grade = hlt.grade(l)
            self.by.setdefault(l.group, []).append(r)
            self.by_id[mid] = r
            self.racks.setdefault((l.group, l.rack), []).append(l)

    @property
    def patience(self):
        return self.b.set.view.silence_ms * PATIENCE

    def _worth(self, s):
        """How long it may pay to wait for the rack that suits, ms: going elsewhere takes so much longer.

        Work that was started before has stood still already while its run was given up: it waits half as long.
        """
        if self.b.without(Mechanism.RACK_PATIENCE):
            return 0
        most = self.patience / 2 if any(t.top for t in s.tasks) else self.patience
        return min(most, s.estimate * (self.b.set.call.far_factor - 1))

    def patient(self, step, waited):
        """Whether a step may still wait for the rack that suits it."""
        return bool(step.near or step.one_rack) and waited < self._worth(step)

    def _held(self, s, rack, want):
        """Whether a rack could hold so many tasks of this step if it were empty."""
        n = 0
        for l in self.racks.get((s.job.group, rack), ()):
            if (not s.label or s.label in l.labels) and self.p.judge.may(s, l):
                n += min([want] + [int(f // d) for f, d in zip(l.room, s.need) if d])
        return n >= want

    def fit(self, s, waited):
        """Minions that may run a task of this step, best first."""
        ok = [r for r in self.by.get(s.job.group, ()) if r.fits(s.need) and (not s.label or s.label in r.labels)]
        ok = self.p.judge.land(s, ok)
        # a gang looks at the rack of its data by itself: its members go together
        if s.near and not s.together:
            near = [r for r in ok if r.rack == s.near]
            # the rack of its data is worth waiting for, if it could ever take the task
            if near or (waited < self._worth(s) and self._held(s, s.near, 1)):
                ok = near
        # small work goes where the least is left, so that room for large work stays whole
        if s.need[2]:
            ok.sort(key=lambda r: (-r.grade, r.gpus, not r.ready, r.cpu, r.mid))
        else:
            ok.sort(key=lambda r: (-r.grade, r.gpus > 0, not r.ready, r.cpu, r.mid))
        return self.p.judge.ranked(s, ok)

    def gang(self, s, waited):
        """All members at once, in one rack where that pays: [] or one bundle."""
        ok, got, want = self.fit(s, waited), None, len(s.tasks)
        wait = waited < self._worth(s) or self.p.reservations.worth_waiting(s)
        if s.near:
            got = self._whole(s, [r for r in ok if r.rack == s.near], want)
            if got is None and wait and self._held(s, s.near, want):
                return []
        if s.one_rack and got is None:
            racks = {}
            for r in ok:
                racks.setdefault(r.rack, []).append(r)
            # the rack that it fills best, of those that its policy likes best
            for nam in sorted(racks, key=lambda n: (-self.p.judge.worth(s, racks[n]), sum(r.cpu for r in racks[n]), n)):
                got = self._whole(s, racks[nam], want)
                if got:
                    break
            if got is None and wait and any(self._held(s, rack, want) for g, rack in self.racks if g == s.job.group):
                return []
        got = got or self._whole(s, ok, want)
        if got is None:
            return []
        run, items = max(t.top for t in s.tasks) + 1, []
        for t, r in zip(s.tasks, got):
            r.take(s.need)
            items.append({'task': t.key, 'run': run, 'mid': r.mid})
        return [{'items': items}]

    def _whole(self, s, rooms, want):
        """A room for each member, or None."""
        out = []
        for r in rooms:
            n = r.times(s.need, min(want - len(out), s.apart or want))
            out += [r] * n
            if len(out) == want:
                return out
        return None

    # --- reservations
    def hold(self, reservation):
        """Holds a reservation's room back, unless it is held already."""
        if id(reservation) in self._held_for:
            return
        held = {}
        for minion_id in reservation.places:
            if minion_id in self.by_id:
                held[minion_id] = reservation.held_on(minion_id, self.p.mac.on.get(minion_id, {}))
                self.by_id[minion_id].reserve(held[minion_id])
        self._held_for[id(reservation)] = held

    def release(self, reservation):
        """Gives a reservation's room back, for the step that it is for."""
        for minion_id, amounts in self._held_for.pop(id(reservation), {}).items():
            self.by_id[minion_id].release(amounts)

    def release_all(self):
        """Gives back what all reservations hold."""
        for held in self._held_for.values():
            for minion_id, amounts in held.items():
                self.by_id[minion_id].release(amounts)
        self._held_for = {}

    def in_use(self, group):
        """The share of a service's room that is in use, by what is scarcest.

        Minions that may be given nothing now (an emptied zone, a drain) count as room too: without them a service that
        is half idle looks full, and what is kept for one gang holds everybody else up.
        """
        if group not in self._in_use:
            self._in_use[group] = self._count_in_use(group)
        return self._in_use[group]

    def _count_in_use(self, group):
        free = {room.mid: room.unreserved() for room in self.by.get(group, ())}
        total, used = [0, 0, 0], [0, 0, 0]
        for mid, link in self.p.tender.links.items():
            if link.group != group or link.state not in (REGISTERED, REGISTERING):
                continue
            taken = self.p.mac.used.get(mid, NOTHING)
            for i, size in enumerate(link.room):
                total[i] += size
                used[i] += size - free[mid][i] if mid in free else taken[i]
        return max([used[i] / total[i] for i in range(3) if total[i]] or [1.0])
