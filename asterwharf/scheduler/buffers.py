"""What is ready to start, ordered so that a look costs what can be placed and not what waits. Pure.

One line for each tenant, class and shape; within a line the oldest first. What may not start yet waits in a heap
by time. Entries are checked when they come to the head, so a change of state elsewhere need not find them.
"""

import heapq

from asterwharf.scheduler.model import FINAL, READY

# entries taken in during one turn, after a change of holder has left them all to be read
SLICE = 1000
# ms until an entry that could not be judged yet is looked at again
SOON = 100


class Line:
    """All that waits of one shape."""

    __slots__ = ('cls', 'heap', 'needs', 'shape', 'tenant')

    def __init__(self, shape):
        self.shape, self.heap = shape, []
        self.tenant, self.cls, self.needs = shape


class Buffers:
    """The holder's own view of READY; made anew when a seat begins to hold."""

    __slots__ = ('beg', 'by', 'late', 'mac', 'there', 'todo')

    def __init__(self, mac):
        self.mac, self.by, self.late, self.beg, self.there = mac, {}, [], {}, {}
        self.todo = list(mac.by[READY])

    def bundle(self, nam):
        """The tasks that go together, or None where they are not all ready."""
        job, _, gang = nam.partition('#')
        if not gang:
            t = self.mac.tasks.get(nam)
            return [t] if t is not None and t.state == READY else None
        j = self.mac.jobs.get(job)
        grp = [t for t in j.gang(gang) if t.state not in FINAL] if j else []
        return grp if grp and all(t.state == READY for t in grp) else None

    def take(self, when, now, at):
        """Reads what has turned ready, at most a slice of it, and what was to wait until now."""
        turned, self.mac.turned = self.mac.turned, []
        self.todo += turned
        part, self.todo = self.todo[:SLICE], self.todo[SLICE:]
        for k in part:
            t = self.mac.tasks.get(k)
            if t is not None:
                self._put(f'{t.job.key}#{t.gang}' if t.gang else k, when, now, at)
        n = 0
        while self.late and self.late[0][0] <= at and n < SLICE:
            n += 1
            _, nam = heapq.heappop(self.late)
            if self.there.get(nam) == 'late':
                del self.there[nam]
                self._put(nam, when, now, at)

    def _put(self, nam, when, now, at):
        grp = self.bundle(nam)
        if grp is None or nam in self.there:
            return
        till = max(when(t) for t in grp)
        if till > at:
            self.there[nam] = 'late'
            return heapq.heappush(self.late, (till, nam))
        t = grp[0]
        shape = (t.job.tenant, t.job.cls, tuple((o.need, tuple(o.zones)) for o in grp))
        ln = self.by.setdefault(t.job.cls, {}).get(shape)
        if ln is None:
            ln = self.by[t.job.cls][shape] = Line(shape)
        heapq.heappush(ln.heap, (t.job.at, nam))
        self.there[nam] = shape
        self.beg.setdefault(nam, now)

    def head(self, ln):
        """(name, tasks) of the oldest that is still ready; None where the line is empty, and then it is gone."""
        while ln.heap:
            nam = ln.heap[0][1]
            grp = self.bundle(nam)
            if grp is not None and self.there.get(nam) == ln.shape:
                return nam, grp
            heapq.heappop(ln.heap)
            if self.there.get(nam) == ln.shape:
                self.drop(nam)
        self.by.get(ln.cls, {}).pop(ln.shape, None)
        return None

    def pop(self, ln):
        """The head was placed."""
        self.drop(heapq.heappop(ln.heap)[1])

    def drop(self, nam):
        self.there.pop(nam, None)
        self.beg.pop(nam, None)

    def later(self, ln, at):
        """The head can't be judged yet: those behind it need not wait for that."""
        _, nam = heapq.heappop(ln.heap)
        self.there[nam] = 'late'
        heapq.heappush(self.late, (at + SOON, nam))

    def lines(self, cls, most):
        """Up to `most` lines of a class; those not looked at this time come first the next."""
        own = self.by.get(cls, {})
        out = []
        for _, shape in zip(range(most), own):
            out.append(own[shape])
        if len(own) > most:
            for ln in out:
                own[ln.shape] = own.pop(ln.shape)
        return out

    def __len__(self):
        return len(self.there) + len(self.todo)
