"""Stops runs that would do better elsewhere, or that stand in the way of more urgent work. Pure.

A stop is delivered like any change; the run's end, told by its minion, frees the room and brings its checkpoint.
"""

from asterwharf.base.board import Controller
from asterwharf.base.mechanisms import Mechanism

# of the silence bound: how often it looks
LOOK = 0.2
# of the time that its queue aims at: how long urgent work waits until lesser work is pushed out
PUSH = 0.4
# stops on their way for urgent work, at most; work thrown away for each unit of urgent work, at most
PUSHES, PRICE = 6, 0.5
# tasks whose pushes are remembered
KEPT = 4000
# a run is moved where it would take so many times longer to let it be
GAIN = 1.5
# so many times as long a run may stand still where others on its minion go on, or where it is a gang's
DOUBTFUL = 4


class Mover(Controller):
    """At the holder of the cell."""

    __slots__ = ('cell', 'due', 'health', 'late_jobs', 'placer', 'pushed', 'tender')

    def __init__(self, b, cell, tender, health, placer, late_jobs):
        super().__init__(b)
        self.late_jobs = late_jobs
        self.cell, self.tender, self.health, self.placer, self.due = cell, tender, health, placer, 0
        # task -> how often it was pushed out: the same one does not make room for everybody
        self.pushed = {}

    @property
    def mac(self):
        return self.cell.mac

    def tick(self):
        b = self.b
        if self.tender.term < 0 or not self.cell.takes or b.now < self.due:
            return
        self.due = b.now + int(b.set.view.silence_ms * LOOK)
        stops = {}
        staying = []
        for l in self.tender.links.values():
            if l.prog:
                gone = self._gone(l)
                staying.append(l) if gone is None else self._leave(l, stops, gone)
        self._judge(self.health.pace.observe(staying, self._mine), stops)
        if not self.b.without(Mechanism.EVICTION):
            self._push(stops)
        if stops:
            self.cell.order(
                'y_stop', {'at': self.cell.wall, 'items': [{'task': k, 'run': r} for k, r in stops.items()]}
            )

    def _stop(self, t, stops, why, **evidence):
        """A gang goes as one: its other members would only wait."""
        if t.key in stops:
            return
        for o in t.step.tasks if t.step.together else (t,):
            if o.mid and not o.stop:
                stops[o.key] = o.run
                self.late_jobs.stopped(o, why, evidence)
        self.b.count[f'moved.{why}'] += 1
        self.b.log('info', 'moved', task=t.key, minion=t.mid, why=why, **evidence)

    def _mine(self, l):
        """The runs that a minion has in hand and that are not being stopped: (task, progress)."""
        mac = self.mac
        for k, t in mac.on.get(l.mid, {}).items():
            p = l.prog.get(k)
            if p is not None and not t.stop and t.mid == l.mid and p[4] == t.run and not t.step.job.fate:
                yield t, p

    def _gone(self, l):
        """When nothing of ours may run there any more, by its own word or an operator's; None where that is open."""
        b, (_, _, until) = self.b, self.mac.drains.get(l.mid, ('', 0, 0))
        ends = [l.leaves or l.drain + b.set.call.drain_ms] if l.drain else []
        return min(ends + [b.now + until - self.cell.wall] * (until > 0), default=None)

    def _leave(self, l, stops, gone):
        """What can't end before the minion is gone goes now, with its checkpoint."""
        b = self.b
        if b.without(Mechanism.LEAVING):
            return
        for t, p in self._mine(l):
            left = self.health.left(p)
            if left is None:
                left = max(0, t.step.estimate * (100 - p[3]) / 100)
            # one that stands still seems to need less and less
            if t.step.lasts or max(0, left) > gone - b.now - b.set.call.stop_grace_ms:
                self._stop(t, stops, 'leaving', left_ms=round(max(0, left)), gone_in_ms=round(gone - b.now))

    # --- minions that stall or have turned slow
    def _judge(self, observations, stops):
        """Moves runs from minions that stand still or have turned slow, where they would be done sooner elsewhere."""
        health = self.health
        self._stalled(observations, stops)
        if self.b.without(Mechanism.PACE):
            return
        health.slow = health.pace.slow(observations)
        for minion_id, slowness in health.slow.items():
            health.suspect(minion_id, slowness.why, factor=round(slowness.factor, 1), runs=slowness.runs)
        for seen in observations:
            slowness = health.slow.get(seen.link.mid)
            if slowness is not None and not seen.task.step.together and self._pays(seen, slowness):
                health.shun(seen.task, seen.link.mid)
                health.pace.moved(seen)
                self._stop(seen.task, stops, 'slow_minion', factor=round(slowness.factor, 1), runs=slowness.runs)

    def _stalled(self, observations, stops):
        """Moves runs that stand still; where no fault of their minion is to be seen, much later than others."""
        health, going = self.health, set()
        for seen in observations:
            if seen.progress[3] > seen.progress[1] and not health.still(seen.task, seen.progress, seen.link):
                going.add(seen.link.mid)
        for seen in observations:
            task, minion_id = seen.task, seen.link.mid
            # a gang stands still as one: which member holds it up, only other runs tell
            doubtful = task.step.together or minion_id in going
            if not health.still(task, seen.progress, seen.link, DOUBTFUL if doubtful else 1):
                continue
            if not doubtful:
                health.suspect(minion_id, 'its runs stand still')
            if not task.step.together:
                health.shun(task, minion_id)
            health.stopped(task)
            self._stop(
                task, stops, 'still', still_ms=seen.link.recv - seen.progress[2], others_go_on=minion_id in going
            )

    def _pays(self, seen, slowness):
        """Whether a run on a slow minion would be done much sooner elsewhere, with what it has saved."""
        sound, percent, step = self.health.pace.sound_ms(seen, slowness), seen.progress[3], seen.task.step
        if sound is None or not self._elsewhere(step, seen.link.mid):
            return False
        left = sound * slowness.factor * (100 - percent) / 100
        again = sound * ((100 - percent) / 100 if step.saves else 1)
        call = self.b.set.call
        return left > (again + call.restore_ms * step.saves + call.stop_grace_ms) * GAIN

    def _elsewhere(self, step, minion_id):
        """Whether a minion that is not suspected has room for a task of the step."""
        links, used, slow = self.tender.links, self.mac.used, self.health.until
        return any(
            mid != minion_id
            and link.group == step.job.group
            and mid not in slow
            and (not step.label or step.label in link.labels)
            and self.tender.open(link)
            and all(
                need <= size - taken
                for need, size, taken in zip(step.need, link.room, used.get(mid, (0, 0, 0)), strict=True)
            )
            for mid, link in links.items()
        )

    # --- urgent work
    def _push(self, stops):
        """Lesser work makes room for urgent work that has waited."""
        mac, jdg = self.mac, self.placer.judge
        jdg.refill()
        self.placer.guarantees.begin()
        n, done = 0, set()
        going = sum(t.stop for box in mac.on.values() for t in box.values() if not t.step.job.fate)
        for s in sorted(mac.ready.values(), key=lambda s: (s.job.prio, s.job.at, s.job.id, s.n)):
            key = (s.job.group, s.job.prio, s.need, s.label, jdg.key(s))
            if s.together or s.lasts or key in done or going + n >= PUSHES or self.placer.waited(s) < s.job.aim * PUSH:
                continue
            done.add(key)
            # what is being stopped already makes room for some of its tasks
            want = s.ready - self._coming(s, stops) - self.placer.reservations.made(s)
            while want > 0 and going + n < PUSHES:
                got = self._victims(s, stops)
                if got is None:
                    break
                runs, fit, mid = got
                self.placer.reservations.hold_evicted(s, mid, min(fit, want), runs)
                for t in runs:
                    self._stop(t, stops, 'pushed', for_job=s.job.id)
                    self.pushed[t.key] = self.pushed.get(t.key, 0) + 1
                    if len(self.pushed) > KEPT:
                        del self.pushed[next(iter(self.pushed))]
                n, want = n + len(runs), want - fit

    def _coming(self, s, stops):
        """How many tasks of a step fit where runs are being stopped, once these have ended."""
        out = 0
        for mid, box in self.mac.on.items():
            l = self.tender.links.get(mid)
            gone = [t.step.need for k, t in box.items() if t.stop or k in stops]
            if l is not None and gone and l.group == s.job.group and (not s.label or s.label in l.labels):
                out += self._fit(s, mid, l, gone)
        return out

    def _fit(self, s, mid, l, gone):
        """How many tasks of a step fit on a minion without the runs that need `gone`."""
        used = self.mac.used.get(mid, (0, 0, 0))
        free = [r - u + sum(g[i] for g in gone) for i, (r, u) in enumerate(zip(l.room, used))]
        return int(min([f // d for f, d in zip(free, s.need) if d] or [1]))

    def _victims(self, s, stops):
        """The cheapest runs of lesser work whose end makes room on one minion, and for how many of the step, and the minion; or None."""
        best, most = None, (s.need[0] / 1000 + s.need[2] * 8) * max(s.estimate, 100) * PRICE
        for mid, l in self.tender.links.items():
            if l.group != s.job.group or not self.tender.open(l) or (s.label and s.label not in l.labels):
                continue
            if mid in self.mac.drains or not self.placer.judge.may(s, l):
                continue
            used = self.mac.used.get(mid, (0, 0, 0))
            held = self.placer.reservations.held_against(s, mid)
            free = [r - u - h for r, u, h in zip(l.room, used, held)]
            if any(d > r for d, r in zip(s.need, l.room)):
                continue
            # what is being stopped there will make room by itself
            if any(k in stops or t.stop for k, t in self.mac.on.get(mid, {}).items()):
                continue
            got, cost = [], 0.0
            mine = [
                (self._cost(t, p), t.key, t)
                for t, p in self._mine(l)
                if t.step.job.prio > s.job.prio
                and not (t.step.together or t.step.lasts)
                # few minions suit a label: there nothing is kept from urgent work
                and (s.label or not self.placer.guarantees.protects(t, s))
                and self.placer.judge.may_evict(s, l, t)
            ]
            for c, _, t in sorted(mine, key=lambda r: r[:2]):
                if all(f >= d for f, d in zip(free, s.need)):
                    break
                got.append(t)
                cost += c
                free = [f + d for f, d in zip(free, t.step.need)]
            if cost > most:
                continue
            if got and all(f >= d for f, d in zip(free, s.need)) and (best is None or (cost, mid) < best[:2]):
                best = cost, mid, got
        if best is None:
            return None
        _, mid, got = best
        return got, max(1, self._fit(s, mid, self.tender.links[mid], [t.step.need for t in got])), mid

    def _cost(self, t, p):
        """Core milliseconds lost, about; what is saved is not lost."""
        ms = self.b.now - p[0]
        if t.step.saves:
            ms = min(ms, self.b.set.call.checkpoint_ms / 2)
        c, _, g = t.step.need
        # what was pushed out before pays for it once more, so that another is found first
        return ms * (c / 1000 + g * 8) * 4 ** self.pushed.get(t.key, 0)
