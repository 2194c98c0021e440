"""Requests about jobs, minions and claims, answered by the leader of a cell. Pure."""

import heapq

from asterwharf.scheduler import jobs, show
from asterwharf.scheduler.emptier import zones
from asterwharf.scheduler.handlers.base import NOBODY, RequestHandler
from asterwharf.scheduler.model import FINAL


class JobHandlers(RequestHandler):
    """Jobs, minions and claims of one cell."""

    __slots__ = ()

    def _key(self, a):
        return f'{a["tenant"]}/{a["id"]}'

    def do_submit(self, a, give, cell):
        """A yes needs no confirming: it is a delivery, or follows from one. A no does."""
        mac, dig = cell.mac, jobs.digest(a['spec'])
        bad = self._refusal(a, dig, cell)
        if bad is not None:
            # a holder that was deposed may know less than its successor: it must not refuse
            return self._sure(cell, give, lambda: give(*(self._refusal(a, dig, cell) or ('unsure', NOBODY))))
        old = mac.jobs.get(self._key(a))
        if old is not None:
            return give('same', show.job(old))
        spec = {'class': a['spec'].get('class', 'default'), 'tasks': a['spec']['tasks']}
        doc = {'tenant': a['tenant'], 'id': a['id'], 'sum': dig, 'spec': spec, 'at': cell.wall}

        def then(r):
            if r in ('taken', 'same'):
                return give(r, show.job(mac.jobs[self._key(a)]))
            give(r)

        self._order(cell, 't_submit', doc, give, then)

    def _refusal(self, a, dig, cell):
        """(code, body) or None. The identifier goes first: an earlier sending may have been taken."""
        mac = cell.mac
        if not mac.ours(a['tenant'], cell.grp):
            return 'moving', NOBODY
        # after a restart this node may not have the configuration yet that the cell has seen
        cfg = self.b.config
        if cfg is None or cfg.sequence < mac.sequence:
            return 'no_holder', NOBODY
        old = mac.jobs.get(self._key(a))
        if old is not None:
            return None if old.sum == dig else ('other_body', {'details': [f'id: {a["id"]!r}']})
        if mac.forgot(self._key(a)):
            return 'forgotten', None
        res = jobs.shape(a['spec'])
        bad = res.error if res.is_error() else jobs.judge(res.ok, cfg, a['tenant'])
        if bad:
            return bad.code, {'details': bad.more}
        if mac.open.get(a['tenant'], 0) >= cfg.tenants[a['tenant']].max_jobs:
            return 'tenant_full', {'retry_ms': 5000}
        if len(cell.replica.pending) >= self.b.set.request_limit:
            return 'overload', {'retry_ms': 1000}
        return None

    def do_job(self, a, give, cell):
        def fn():
            if self._theirs(cell, a['tenant'], give):
                return
            mac = cell.mac
            j = mac.jobs.get(self._key(a))
            if j is None:
                return give(
                    'forgotten' if mac.forgot(self._key(a)) else 'unknown_job', {'details': [f'id: {a["id"]!r}']}
                )
            give('ok', show.job(j))

        self._sure(cell, give, fn)

    def do_jobs(self, a, give, cell):
        def fn():
            got = [j for j in cell.mac.jobs.values() if not a.get('tenant') or j.tenant == a['tenant']]
            if a.get('state'):
                got = [j for j in got if j.state == a['state']]
            # only what is shown is put in order
            top = heapq.nlargest(a.get('most', 200), got, key=lambda j: (j.at, j.key))
            give('ok', {'total': len(got), 'jobs': [show.brief(j) for j in top]})

        self._sure(cell, give, fn)

    def do_cancel(self, a, give, cell):
        def fn():
            if self._theirs(cell, a['tenant'], give):
                return
            doc = {'tenant': a['tenant'], 'id': a['id'], 'at': cell.wall}

            def then(r):
                j = cell.mac.jobs.get(self._key(a))
                # confirmed only when nothing of it can run any more; before that "under way"
                give(r, dict(show.job(j), retry_ms=1000) if j else {'details': [f'id: {a["id"]!r}']})

            self._order(cell, 't_cancel', doc, give, then)

        self._sure(cell, give, fn)

    def do_minions(self, a, give, cell):
        self._sure(
            cell,
            give,
            lambda: give(
                'ok',
                {
                    'minions': [
                        dict(show.minion(m), suspect=n in self.b.cells[cell.grp].placer.weak)
                        for n, m in sorted(cell.mac.minions.items())
                    ]
                },
            ),
        )

    def do_zones(self, a, give, cell):
        def fn():
            if self.b.config is None:
                return give('no_holder', NOBODY)
            give('ok', {'zones': zones(cell.mac, self.b.config, cell.wall, cell.grp)})

        self._sure(cell, give, fn)

    def do_claims(self, a, give, cell):
        def fn():
            mac = cell.mac
            rows = [show.claim(mac.tasks[k]) for m in mac.minions.values() for k in m.load]
            give('ok', {'claims': sorted(rows, key=lambda r: (r['minion'], r['task']))})

        self._sure(cell, give, fn)

    def do_drain(self, a, give, cell):
        till = cell.wall + a['within'] if a.get('within') is not None else 0
        doc = {'minion': a['minion'], 'on': a['on'], 'by': 'operator', 'at': cell.wall, 'until': till}
        self._order(
            cell,
            't_drain',
            doc,
            give,
            lambda r: give(r, {'minion': a['minion'], 'draining': a['on'], 'evict_at': till}),
        )

    def do_gone(self, a, give, cell):
        self._order(
            cell, 't_gone', {'minion': a['minion'], 'at': cell.wall}, give, lambda r: give(r, {'minion': a['minion']})
        )

    def do_why(self, a, give, cell):
        def fn():
            if self._theirs(cell, a['tenant'], give):
                return
            j = cell.mac.jobs.get(self._key(a))
            if j is None:
                return give('unknown_job', {'details': [f'id: {a["id"]!r}']})
            rows = [
                {
                    'task': t.name,
                    'state': t.state,
                    'why': t.why if t.state in FINAL else self.b.cells[cell.grp].placer.why(t),
                }
                for t in j.tasks.values()
            ]
            give('ok', {'job': j.key, 'state': j.state, 'tasks': rows})

        self._sure(cell, give, fn)
