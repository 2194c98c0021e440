"""What a minion's silence brings about: starts taken back, runs that recover, runs given up when their holds are over. Pure."""

from asterwharf.orchard.minion_link import CLOSED, RECOVERING, REGISTERED, REGISTERING

# of the time between beats: silence after which starts that were never told are taken back, after which runs recover,
# and after which a minion that holds nothing is forgotten
OVERDUE, SILENT, FORGOTTEN = 0.5, 2.0, 20


class LeaseTimers:
    """The part of the lease controller that watches the time."""

    __slots__ = ()

    def _recover(self, link):
        """A timer for each run that the minion may hold."""
        mac = self.mac
        link.timers = {k: (mac.run_of(t, link.mid), link.lapse) for k, t in mac.on.get(link.mid, {}).items()}

    def _untold(self, link):
        """Takes back what was placed on a minion that has not called since: no answer ever told it, so it began nowhere."""
        mac = self.mac
        items = [
            {'task': k, 'run': mac.run_of(t, link.mid), 'mid': link.mid, 'how': 'never', 'save': ''}
            for k, t in mac.on.get(link.mid, {}).items()
            if not link.may_hold(k)
        ]
        if items and self.cell.order('y_lapse', {'at': self.cell.wall, 'items': items, 'late': True}):
            link.gave.update((i['task'], i['run']) for i in items)
            self.b.count['untold'] += len(items)
            self._given_up(link, 'untold', items)

    def _given_up(self, link, why, items):
        """One log line for runs of a minion that are given up."""
        now = self.b.now
        hold_left_ms = max(0, link.lapse - now)
        silent_ms = link.silent_ms(now)
        self.b.log(
            'info',
            'runs given up',
            minion=link.mid,
            why=why,
            runs=len(items),
            silent_ms=silent_ms,
            hold_left_ms=hold_left_ms,
        )

    def _watch(self, link):
        """Looks at one minion: how long it has been silent, and what follows from that."""
        now, beat_ms = self.b.now, self.b.set.call.beat_ms
        holds = bool(self.mac.on.get(link.mid))
        if link.old and now >= link.bound:
            # no hold of an earlier holder lasts any more, and ours went to what was listed
            link.old = {}
        silent_ms = link.silent_ms(now)
        if link.doc is not None and silent_ms > beat_ms * OVERDUE:
            self._untold(link)
        if link.state in (REGISTERING, REGISTERED) and silent_ms > beat_ms * SILENT:
            link.turn(RECOVERING)
            self._recover(link)
        if not link.timers and (link.state == CLOSED or (link.state == RECOVERING and holds)):
            self._recover(link)
        if link.timers and link.state in (RECOVERING, CLOSED):
            self._expire(link)
        if (
            not self.mac.on.get(link.mid)
            and link.state in (CLOSED, RECOVERING)
            and now - link.recv > beat_ms * FORGOTTEN
        ):
            del self.links[link.mid]

    def _expire(self, link):
        over = {k: r for k, (r, at) in link.timers.items() if self.b.now >= at}
        if not over:
            return
        items = [
            {
                'task': k,
                'run': r,
                'mid': link.mid,
                'how': 'lapsed',
                'save': link.running.get(k, (0, ''))[1] if link.running.get(k, (0,))[0] == r else '',
            }
            for k, r in over.items()
        ]
        if self.cell.order('y_lapse', {'at': self.cell.wall, 'items': items}):
            self.b.count['lapsed'] += len(items)
            self._given_up(link, 'lapsed', items)
            link.gave.update((i['task'], i['run']) for i in items)
            link.timers = {k: v for k, v in link.timers.items() if k not in over}
