"""Answers the clients' requests at the holder of the cell whose minions call in. Pure."""

import hashlib
import json

from asterwharf.orchard.job_lookup import asked_for
from asterwharf.orchard.views import Views
from asterwharf.scheduler.handlers.base import NOBODY
from asterwharf.scheduler.request_handlers import RequestHandlers

# of the time that an ended job is answered for: how long it is remembered
KEEP = 2.0
# what only a cell of agents has, and what stands in its place
TENANTS = 'this fleet has queues, no tenants: see /v1/queues/{queue}/jobs/{id}'
CONFIG = 'this fleet has a queues document: see /v1/queues'
HOLDS = 'a minion that calls in is given up by itself when its hold has run out'
ELSEWHERE = {
    'submit': TENANTS,
    'job': TENANTS,
    'cancel': TENANTS,
    'why': TENANTS,
    'config_put': CONFIG,
    'judge': CONFIG,
    'gone': HOLDS,
    'own': 'this fleet has one cell',
    'import': 'this fleet has one cell',
}


class Gate(Views, RequestHandlers):
    """Looks a request up, judges it, orders the change, answers when it is delivered."""

    __slots__ = ('swept',)

    def on_request(self, src, d):
        if d['op'] not in ELSEWHERE:
            return super().on_request(src, d)
        self.b.send(src, 'response', id=d['id'], code='no_path', body={'details': [ELSEWHERE[d['op']]]}, hint='')

    def __init__(self, b, core):
        super().__init__(b, core)
        self.swept = 0

    def do_y_submit(self, a, give, cell):
        """A yes needs no confirming: it is a delivery, or follows from one. A no does."""
        mac = cell.mac
        sm = hashlib.sha256(json.dumps(a['spec'], sort_keys=True).encode()).hexdigest()[:24]
        old = mac.jobs.get(a['id'])
        if old is not None:
            same = old.sum == sm and old.is_at(a['queue']['name'], a['queue'].get('place', ''))
            return give('same') if same else self._sure(cell, give, lambda: give('other_body'))
        if mac.open >= self.b.set.kept_jobs or len(cell.replica.pending) >= self.b.set.request_limit:
            # a deposed holder must not refuse what its successor may have taken
            return self._sure(
                cell, give, lambda: give('overload', NOBODY) if a['id'] not in mac.jobs else give('unsure')
            )
        doc = {'id': a['id'], 'queue': [a['queue']], 'spec': a['spec'], 'sum': sm, 'at': cell.wall}
        return self._order(cell, 'y_submit', doc, give, lambda r: give(r))

    def do_y_state(self, a, give, cell):
        def fn():
            j = asked_for(cell.mac, a)
            if j is None:
                return give('unknown_job')
            give('ok', {'state': j.state})

        self._sure(cell, give, fn)

    def do_y_cancel(self, a, give, cell):
        def fn():
            j = asked_for(cell.mac, a)
            if j is None:
                return give('unknown_job')
            doc = {'id': a['id'], 'queue': a['queue'], 'place': a.get('place', ''), 'at': cell.wall}
            self._order(cell, 'y_cancel', doc, give, lambda r: give(r))

        self._sure(cell, give, fn)

    def do_y_waiting(self, a, give, cell):
        # jobs of an earlier release are counted by the queue's name until they have a place
        addresses = {a['queue'], a.get('place') or a['queue']}
        self._sure(cell, give, lambda: give('ok', {'waiting': sum(cell.mac.waiting.get(at, 0) for at in addresses)}))

    def tick(self):
        """Ended jobs are remembered for a time, then forgotten."""
        part = self.b.cells.get('commons')
        if part is None or not part.member.takes or self.b.now < self.swept:
            return
        keep = self.b.set.call.status_ms * KEEP
        self.swept = self.b.now + keep / 20
        at = part.member.wall
        self._place(part.member)
        old = [j.id for j in part.member.mac.jobs.values() if j.end and at - j.end > keep]
        if old:
            part.member.order('y_forget', {'ids': old[:1000]})

    def _place(self, member):
        """Gives jobs of an earlier release the places of their queues, before an operator renames one."""
        names = {j.queue for j in member.mac.jobs.values() if not j.place}
        queues = self.b.atlas.queues if names else None
        if queues is None:
            return
        known = [queues.queue(name) for name in sorted(names)]
        places = [{'name': q.name, 'place': q.place} for q in known if q is not None]
        if places:
            # false while a member of an earlier release is in the group
            member.order('y_place', {'queues': places})
