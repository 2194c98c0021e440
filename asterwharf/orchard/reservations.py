"""Room reserved for steps that need much of it at once: planned once, held until the step has started. Pure.

A reservation outlives the decision that made it. Choosing the place anew in each decision, by what is free at that moment,
gives away what was drained for a step as soon as another place looks better, and drains that from the start.
"""

from dataclasses import dataclass

from asterwharf.base.mechanisms import Mechanism
from asterwharf.orchard.minion_link import REGISTERED, REGISTERING

# of the silence bound: how long a step that needs much room has waited until room is reserved for it, and how long a
# reservation is kept at least before another place may be planned
PATIENCE, LEAST_AGE = 0.5, 10.0
# of the time that the plan foretold: how long a reservation is kept before another place may be planned
OVERDUE = 3.0
# of a group's room in use: from where room is reserved, and below which no reservation stands. The two differ, since
# draining room for a reservation lowers what is in use
RESERVE_FROM, RESERVE_DOWN_TO = 0.6, 0.5
# of the silence bound: for how long less is in use until reservations are dropped; room that was waited for comes free at once
LOW = 1.0
# of a minion's room: a single task that takes less of it is never starved by small work
LARGE_TASK = 0.5
# plans made in one decision, at most: each looks at all runs of a group
MOST_PLANS = 4
# of the time between beats: how long after a stop was ordered the room that it makes is held, beside the time to stop
EVICTED = 2.0


@dataclass(slots=True)
class Reservation:
    """Room for tasks of one step.

    places: minion id -> tasks that it is to take. awaited: minion id -> keys of the tasks whose runs there make room for them.
    known: minion id -> keys of all runs there when it was reserved.
    ready_at and until: ms of the node's clock, when the room was foretold to be free, and when the reservation ends at the
    latest. planned: made by a plan, not by an eviction. low_since: since when little of the group has been in use.
    """

    step: object
    places: dict
    awaited: dict
    known: dict
    ready_at: int
    until: int
    planned: bool
    low_since: int

    def held_on(self, minion_id, running):
        """(cpu, memory, GPUs) to hold back on a minion: what its tasks need beyond what awaited runs will still give.

        running: task key -> task, of the runs that the minion may hold.
        """
        coming = [running[key].step.need for key in self.awaited.get(minion_id, ()) if key in running]
        tasks = self.places.get(minion_id, 0)
        return tuple(max(0, need * tasks - sum(run[i] for run in coming)) for i, need in enumerate(self.step.need))


@dataclass(slots=True)
class Plan:
    """Where a step could start first: minion id -> tasks, minion id -> keys of the runs that end before, in how many ms."""

    places: dict
    awaited: dict
    wait_ms: float


@dataclass(slots=True, order=True)
class Slot:
    """Room for one more task of a step on a minion, free in `wait_ms`, when `awaited` have ended."""

    wait_ms: float
    minion_id: str
    awaited: tuple


class Reservations:
    """All of them, at the leader. A reservation holds room against steps that are as urgent as its own, or less."""

    def __init__(self, placer):
        self.placer, self.board = placer, placer.b
        self._by_step = {}
        self._plans_left = 0

    def clear(self):
        """A new leader begins with none."""
        self._by_step = {}

    def of(self, step):
        """The reservation of a step, or None."""
        return self._by_step.get(step.key)

    # --- a decision
    def begin(self, rooms):
        """A decision begins: what no longer stands is dropped."""
        self._plans_left = MOST_PLANS
        for key, reservation in list(self._by_step.items()):
            if not self._stands(key, reservation, rooms):
                del self._by_step[key]
            else:
                self._check(reservation)

    def _known(self, minion_ids):
        return {minion_id: frozenset(self.placer.mac.on.get(minion_id, ())) for minion_id in minion_ids}

    def _check(self, reservation):
        """Invariant: no less urgent work that came later stands in reserved room."""
        links, mac, step = self.placer.tender.links, self.placer.mac, reservation.step
        for minion_id, tasks in reservation.places.items():
            running, awaited = mac.on.get(minion_id, {}), reservation.awaited.get(minion_id, ())
            known = reservation.known.setdefault(minion_id, frozenset(running))
            staying = [task for key, task in running.items() if key not in awaited]
            later = [task for task in staying if task.key not in known and task.step.job.prio > step.job.prio]
            # more urgent work may take the room whoever it is reserved for
            counted = later + [task for task in staying if task.key in known]
            if later and any(
                need * tasks + sum(task.step.need[i] for task in counted) > links[minion_id].room[i]
                for i, need in enumerate(step.need)
            ):
                self.board.violated(
                    'reserved_room',
                    step=list(step.key),
                    minion=minion_id,
                    tasks=[task.key for task in later[:5]],
                )

    def _stands(self, key, reservation, rooms):
        step = self.placer.mac.ready.get(key)
        if step is None or self.board.now >= reservation.until:
            return False
        if reservation.planned and self._long_unneeded(reservation, rooms.in_use(step.job.group)):
            return False
        reservation.step = step
        return all(self._usable(minion_id) for minion_id in reservation.places)

    def _long_unneeded(self, reservation, in_use):
        """Whether so little of the group has been in use for a while that nobody needs reservations."""
        now = self.board.now
        if in_use >= RESERVE_DOWN_TO:
            reservation.low_since = now
        return now - reservation.low_since > self.board.set.view.silence_ms * LOW

    def _usable(self, minion_id):
        """Whether a minion may be given work, now or with its next beat."""
        link = self.placer.tender.links.get(minion_id)
        return (
            link is not None
            and link.state in (REGISTERED, REGISTERING)
            and not (link.drain or link.leaves or minion_id in self.placer.mac.drains)
            and link.zone not in self.board.atlas.emptied
        )

    def enter(self, step, rooms):
        """Before a step is looked at: others' reservations hold room against it, its own does not."""
        for other in self._by_step.values():
            if self._goes_before(other.step, step):
                rooms.hold(other)
        own = self.of(step)
        if own is not None:
            rooms.release(own)

    def leave(self, step, rooms, bundles=()):
        """After a step was looked at: what is left of its reservation holds room again; `bundles` are its new starts."""
        own = self.of(step)
        if own is None:
            return
        started = [item['mid'] for bundle in bundles for item in bundle['items']]
        left = step.ready - len(started)
        if left <= 0:
            del self._by_step[step.key]
            return
        for minion_id in started:
            if own.places.get(minion_id, 0) > 1:
                own.places[minion_id] -= 1
            else:
                own.places.pop(minion_id, None)
        if own.places:
            rooms.hold(own)
        else:
            del self._by_step[step.key]

    def _rank(self, step):
        return step.job.prio, self.placer.urgency.lateness(step)

    def _goes_before(self, other, step):
        """Whether room reserved for another step is held against this one: not where this one is the more urgent."""
        return other is not step and self._rank(other) <= self._rank(step)

    # --- a plan
    def consider(self, step, rooms, waited_ms):
        """Reserves room for a step that has found none: one planned reservation a group and priority at a time."""
        if self.board.without(Mechanism.RESERVATIONS):
            return
        if self._plans_left <= 0 or waited_ms < self.board.set.view.silence_ms * PATIENCE or self.of(step):
            return
        if any(
            other.planned and other.step.job.group == step.job.group and other.step.job.prio == step.job.prio
            for other in self._by_step.values()
        ):
            return
        candidates = self._candidates(step, rooms)
        if not candidates or self.placer.guarantees.owed_behind(step) or rooms.in_use(step.job.group) < RESERVE_FROM:
            return
        self._plans_left -= 1
        plan = self._plan(step, rooms, candidates)
        if plan is None:
            return
        now, least = self.board.now, self.board.set.view.silence_ms * LEAST_AGE
        until = now + int(max(plan.wait_ms * OVERDUE, least))
        reservation = Reservation(
            step,
            plan.places,
            plan.awaited,
            self._known(plan.places),
            now + int(plan.wait_ms),
            until,
            planned=True,
            low_since=now,
        )
        self._by_step[step.key] = reservation
        rooms.hold(reservation)
        self.board.count['room.kept'] += 1

    def _candidates(self, step, rooms):
        """Minions that could take a task of the step if they were empty, where the step is one that is starved by small work."""
        links = self.placer.tender.links
        able = [
            room
            for room in rooms.by.get(step.job.group, ())
            if room.grade == 0
            and (not step.label or step.label in room.labels)
            and all(need <= size for need, size in zip(step.need, links[room.mid].room, strict=True))
        ]
        if not step.together:
            able = [room for room in able if self._share(step, links[room.mid].room) >= LARGE_TASK]
        return self.placer.judge.land(step, able)

    def _share(self, step, size):
        return max((need / whole for need, whole in zip(step.need, size, strict=True) if whole), default=0)

    def _plan(self, step, rooms, candidates):
        """The place that is free for all members of a gang, or for one task of another step, soonest; or None."""
        if not step.together:
            return self._soonest(step, candidates, 1)
        want = len(step.tasks)
        if step.one_rack:
            racks = {}
            for room in candidates:
                racks.setdefault(room.rack, []).append(room)
            plans = [self._soonest(step, members, want) for members in racks.values()]
            plans = [plan for plan in plans if plan is not None]
            if plans:
                return min(plans, key=lambda plan: (plan.wait_ms, sorted(plan.places)))
        return self._soonest(step, candidates, want)

    def _soonest(self, step, candidates, want):
        slots = []
        for room in candidates:
            slots += self._slots(step, room, min(want, step.apart or want))
        slots = sorted(slots)[:want]
        if len(slots) < want:
            return None
        places, awaited = {}, {}
        for slot in slots:
            places[slot.minion_id] = places.get(slot.minion_id, 0) + 1
            awaited[slot.minion_id] = slot.awaited
        return Plan(places, awaited, slots[-1].wait_ms)

    def _slots(self, step, room, most):
        """Room on a minion for the first, the second, ... task of a step as its runs end, `most` of them."""
        free, ended, out = [room.cpu, room.mem, room.gpus], (), []
        running = self.placer.mac.on.get(room.mid, {}).values()
        runs = sorted((self._left_ms(task, room.link), task.key, task.step.need) for task in running)
        for left_ms, key, need in [(0.0, '', (0, 0, 0)), *runs]:
            if left_ms == float('inf'):
                break
            ended += (key,) if key else ()
            free = [have + given for have, given in zip(free, need, strict=True)]
            fit = min((have // size for have, size in zip(free, step.need, strict=True) if size), default=most)
            out += [Slot(left_ms, room.mid, ended)] * (min(most, int(fit)) - len(out))
        return out

    def _left_ms(self, task, link):
        """How long a run will need its room, as far as can be foretold."""
        if task.stop or task.step.job.fate:
            return float(self.board.set.call.stop_grace_ms)
        if task.step.lasts:
            return float('inf')
        progress = link.prog.get(task.key)
        left = self.placer.health.left_ms(progress) if progress else None
        if left is None:
            ran = self.board.now - progress.first_at if progress else 0
            left = task.step.estimate - ran
        return max(float(left), 0.0)

    def worth_waiting(self, step):
        """Whether the room reserved in one rack comes sooner than the time lost by running a gang across racks, ms."""
        own = self.of(step)
        if own is None or not own.planned:
            return False
        racks = {self.placer.tender.links[minion_id].rack for minion_id in own.places}
        lost_ms = step.estimate * (self.board.set.call.far_factor - 1)
        return len(racks) == 1 and own.ready_at - self.board.now < lost_ms

    # --- evictions
    def hold_evicted(self, step, minion_id, tasks, victims):
        """The room that stopping the tasks `victims` makes on a minion is for `tasks` tasks of this step."""
        call = self.board.set.call
        until = self.board.now + int(call.stop_grace_ms + call.beat_ms * EVICTED)
        own = self.of(step)
        if own is None:
            own = self._by_step[step.key] = Reservation(step, {}, {}, {}, until, until, planned=False, low_since=until)
        own.places[minion_id] = own.places.get(minion_id, 0) + tasks
        own.awaited[minion_id] = (*own.awaited.get(minion_id, ()), *(victim.key for victim in victims))
        # starts on their way are not counted as runs yet: the next decision knows them
        own.known.pop(minion_id, None)
        own.until = max(own.until, until)

    def made(self, step):
        """How many tasks of a step have room made already, that waits only for the minion's next beat."""
        own = self.of(step)
        if own is None:
            return 0
        running = self.placer.mac.on
        return sum(
            tasks
            for minion_id, tasks in own.places.items()
            if not any(key in running.get(minion_id, {}) for key in own.awaited.get(minion_id, ()))
        )

    def held_against(self, step, minion_id):
        """(cpu, memory, GPUs) of a minion that reservations hold against a step."""
        running = self.placer.mac.on.get(minion_id, {})
        held = [
            other.held_on(minion_id, running)
            for other in self._by_step.values()
            if minion_id in other.places and self._goes_before(other.step, step)
        ]
        return [sum(amounts) for amounts in zip((0, 0, 0), *held, strict=True)]
