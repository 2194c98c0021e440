"""Answers requests at the holders: the core's and the cell's. Pure."""

import base64
import heapq

from expression import Ok

from asterwharf.base.board import Controller
from asterwharf.scheduler import config, jobs, queues, show
from asterwharf.scheduler.configuration import order_digest
from asterwharf.scheduler.configuration.accepted_orders import SINGLE_ROWS_PROTOCOL
from asterwharf.scheduler.emptier import zones
from asterwharf.scheduler.model import FINAL
from asterwharf.wire.schema import unpack

NOBODY = {'retry_ms': 1000}


class Response:
    """Answers one request: called with a code and a body, once."""

    __slots__ = ('_board', '_deadline', '_group', '_id', '_to')

    def __init__(self, board, to, request):
        self._board, self._to, self._id, self._group = board, to, request['id'], request['grp']
        self._deadline = request.get('deadline', 0)

    @property
    def late(self):
        """Whether its caller has given up: carried out now, it might undo what came since."""
        return 0 < self._deadline < self._board.now

    @property
    def clock(self):
        """What the asking node needs to tell the deadline better."""
        return {'clock': self._board.now}

    def __call__(self, code, body=None):
        hint = self._board.holders.get(self._group, ('', 0))[0] if code == 'no_holder' else ''
        self._board.send(self._to, 'response', id=self._id, code=code, body=body, hint=hint)


class Clerk(Controller):
    """Looks a request up, judges it, orders the change, answers when it is delivered."""

    __slots__ = ('core',)
    hears = ('request',)

    def __init__(self, b, core=None):
        super().__init__(b)
        self.core = core

    def member(self, grp):
        if grp == 'core':
            return self.core
        part = self.b.cells.get(grp)
        return part.member if part else None

    def on_request(self, src, d):
        member, give = self.member(d['grp']), Response(self.b, src, d)
        fn = getattr(self, 'do_' + d['op'], None)
        if fn is None:
            return give('no_path', {'details': [f"{d['grp']}.{d['op']}"]})
        if member is None or not member.leads:
            return give('no_holder', NOBODY)
        if give.late:
            return give('late', give.clock)
        self.b.count[f"request.{d['op']}"] += 1
        fn(d['args'] or {}, give, member)

    def _theirs(self, cell, ten, give):
        """Another cell answers for this tenant, or soon will."""
        if cell.mac.ours(ten, cell.grp):
            return False
        give('moving', NOBODY)
        return True

    def _sure(self, member, give, fn):
        """Runs `fn` once a majority confirms that this node still holds the group."""
        if not member.confirm(lambda r: fn() if r is not None else give('no_holder', NOBODY)):
            give('no_holder', NOBODY)

    def _order(self, member, knd, doc, give, then):
        def got(r):
            if r is None:
                # neither taken nor not taken: the caller sends it again
                return give('unsure', NOBODY)
            then(r[1])
        # time may have passed in a check or a confirmation
        if give.late:
            return give('late', give.clock)
        if not member.order(knd, doc, got):
            give('no_holder', NOBODY)

    # --- the core
    def do_config_get(self, a, give, cell):
        def fn():
            c = self.core.mac.conf
            if c['sequence'] == a.get('known', -1):
                return give('no_news', {'sequence': c['sequence']})
            give('ok', {'sequence': c['sequence'], 'by': c['by'], 'at': c['at'],
                        'config': config.swell(c['doc']) if c['doc'] else {}})
        self._sure(self.core, give, fn)

    def _good(self, raw, give, then):
        """`then` gets the checked configuration; or the mistakes are given."""
        def done(res):
            if res.is_error():
                return give(res.error.code, {'details': res.error.more})
            bad = self._seats(res.ok)
            if not bad:
                return then(res.ok)
            # a leader that was deposed may not know every node: it must not refuse
            self._sure(self.core, give, lambda: give('bad_config', {'details': bad}))
        self.b.chore(config.checking(raw), done)

    def do_config_put(self, a, give, cell):
        # in a field of its own: a queues document of the same content is another order, and so is another operator's
        request = {'config': a['config'], 'by': a.get('by', '')}
        text = queues.text(request)
        if text.is_error():
            return give(text.error.code, {'details': text.error.more})

        def marked(marks):
            def known():
                return self.core.mac.accepted.number(marks[0])

            def refuse(code, body):
                # a holder that was deposed may know less than its successor: it must not refuse
                self._sure(self.core, give, lambda: give(code, body) if known() is None else accept(known()))

            def accept(sequence):
                give('ok', {'sequence': sequence})

            if known() is not None:
                return accept(known())
            self._good(a['config'], refuse, lambda got: self._put(a, marks[0], give))
        self.b.chore(order_digest.marking(a['base'], request, text.ok), marked)

    def _put(self, a, mark, give):
        doc = {'sequence': 0, 'base': a['base'], 'by': a.get('by', ''), 'at': self.core.wall,
               'doc': config.squeeze(a['config']), 'sum': mark}
        self._order(self.core, 'c_config', doc, give,
                    lambda r: give('ok' if r.accepted else 'stale', {'sequence': r.number}))

    def do_history(self, a, give, cell):
        def fn():
            his = self.b.history
            if 'sequence' not in a:
                return give('ok', {'history': his.log(a['most']) if his else []})
            doc = his.show(a['sequence']) if his else None
            if doc is None:
                return give('no_history', {'details': [f"sequence: {a['sequence']}"]})
            give('ok', {'of': a['sequence'], 'config': doc})
        self._sure(self.core, give, fn)

    def do_judge(self, a, give, cell):
        """Checks a configuration and says where each class of task could land, without putting it in force."""
        self._good(a['config'], give, lambda got: give('ok', {'policies': sorted(got.policies), 'cells': sorted(got.cells)}))

    def _seats(self, cfg):
        """A cell's seats must be nodes that are known."""
        b, bad = self.b, []
        for n, c in cfg.cells.items():
            bad += [f'cells.{n}.seats[{i}]: no node {x!r}' for i, x in enumerate(c.seats) if x not in b.nodes]
            if not c.seats and not any(r['zone'] in c.zones for r in b.nodes.values()):
                bad.append(f'cells.{n}.zones: no node is in them; name the seats')
        return bad

    def do_cells(self, a, give, cell):
        def fn():
            at, cfg = self.b.atlas, self.b.config
            rows = [{'name': n, 'group': c['gid'], 'seats': sorted(c['seats']), 'holder': self.b.holders.get(c['gid'], ('',))[0],
                     'owns': sorted(w for w, g in at.own.items() if g == c['gid']),
                     'going': not cfg or n not in cfg.cells} for n, c in sorted(at.cells.items())]
            rows += [{'name': n, 'group': '', 'seats': [], 'holder': '', 'owns': [], 'going': False}
                     for n in (cfg.cells if cfg else ()) if n not in at.cells]
            give('ok', {'cells': rows})
        self._sure(self.core, give, fn)

    def do_own(self, a, give, cell):
        self._order(self.core, 'c_own', {'what': a['what'], 'was': a['was'], 'cell': a['cell']}, give,
                    lambda r: give('ok' if r else 'stale', {'cell': self.core.mac.atlas.own.get(a['what'], '')}))

    def do_import(self, a, give, cell):
        raws = [base64.b64decode(v) for v in a['rows']]
        # seats of an older release take jobs only
        raws = [v for v in raws if cell.floor > 2 or unpack(v)[0] == 'r_job']
        doc = {'tenant': a['tenant'], 'was': a['was'], 'part': a['part'], 'last': a['last'], 'rows': [{'v': v} for v in raws]}
        self._order(cell, 't_import', doc, give, lambda r: give('ok', {'part': r}))

    # --- queues, groups, emptied zones
    def do_queues_get(self, a, give, cell):
        def fn():
            head, doc = self.core.mac.queues
            if head['number'] == a.get('known', -1):
                return give('no_news', {'number': head['number']})
            give('ok', dict(head, doc=doc or {}))
        self._sure(self.core, give, fn)

    def do_queues_put(self, a, give, cell):
        self._queues(a, give, a.get('doc'), Ok)

    def do_queues_change(self, a, give, cell):
        req = {k: a[k] for k in ('number', 'set', 'drop') if k in a}
        self._queues(a, give, req, lambda r: queues.changed(self.core.mac.queues[1], r))

    def _queues(self, a, give, req, make):
        """Orders the document that `make` gives for the request; a yes needs no confirming, a stale base does."""
        base, txt = a.get('base'), queues.text(req)
        if type(base) is not int or not 0 <= base <= queues.BIG:
            return give('bad_field', {'details': [f'base: {base!r} is not a number']})
        if txt.is_error():
            return give(txt.error.code, {'details': txt.error.more})
        self.b.chore(order_digest.marking(base, req, txt.ok), lambda marks: self._marked(a, give, req, make, base, txt.ok, marks))

    def _marked(self, a, give, req, make, base, txt, marks):
        got = self._settled(marks, base)
        if got and got[0] != 'ok':
            # a holder that was deposed may know less than its successor: it must not refuse
            return self._sure(self.core, give, lambda: give(*(self._settled(marks, base) or ('unsure', NOBODY))))
        if got:
            return give(*got)
        def refuse(mistake):
            # nor may it for a mistake: an order that was accepted since isn't called invalid
            def confirmed():
                now = self._settled(marks, base)
                give(*(now if now and now[0] == 'ok' else (mistake.code, {'details': mistake.more})))
            self._sure(self.core, give, confirmed)

        new = make(req)
        if new.is_error():
            return refuse(new.error)

        def done(res):
            if res.is_error():
                return refuse(res.error)
            # while a replica of an earlier release is there, the digest that it would look for
            mark = marks[0] if self.core.floor >= SINGLE_ROWS_PROTOCOL else marks[1]
            doc = {'number': res.ok, 'base': base, 'by': str(a.get('by') or '')[:64], 'at': self.core.wall, 'sum': mark,
                   'doc': queues.squeeze(txt if new.ok is req else queues.text(new.ok).ok)}
            self._order(self.core, 'c_queues', doc, give, then)

        def then(r):
            if not r.accepted and not r.stale:
                return give('bad_config', {'details': [f"number: {new.ok['number']} is not above {r.number}"]})
            # another copy may have been accepted under its other digest, by a leader of an earlier release
            give(*(('ok', {'number': r.number}) if r.accepted else self._settled(marks, base)))
        self.b.chore(queues.checking(new.ok, base), done)

    def _settled(self, marks, base):
        """(code, body) where the order was accepted before, or its base is not the number in force; else None."""
        mac = self.core.mac
        for mark in marks:
            number = mac.accepted.number(mark)
            if number is not None:
                return 'ok', {'number': number}
        return ('stale', {'number': mac.number}) if base != mac.number else None

    def do_zone_set(self, a, give, cell):
        zone, on = a.get('zone'), a.get('emptied')
        if not isinstance(zone, str) or not jobs.NAME.match(zone) or not isinstance(on, bool):
            return give('bad_field', {'details': [f'zone: {zone!r}, emptied: {on!r}']})
        self._order(self.core, 'c_zone', {'zone': zone, 'emptied': on, 'at': self.core.wall}, give,
                    lambda r: give('ok', {'zone': zone, 'emptied': on}))

    def do_emptied(self, a, give, cell):
        def fn():
            at = self.core.mac.atlas
            give('ok', {'zones': [{'zone': z, 'since': int(at.rows[f'empty:{z}'][1])} for z in sorted(at.emptied)]})
        self._sure(self.core, give, fn)

    def do_nodes(self, a, give, cell):
        def fn():
            b = self.b
            rows = [dict(r, connected=n in b.links or n == b.me) for n, r in sorted(b.nodes.items())]
            give('ok', {'nodes': rows, 'holders': {g: h[0] for g, h in b.holders.items()}})
        self._sure(self.core, give, fn)

    def do_seats(self, a, give, cell):
        out = {}
        for g, c in [('core', self.core)] + [(g, p.member) for g, p in self.b.cells.items()]:
            if c is None:
                continue
            s = c.replica
            out[g] = {'state': s.state, 'view': s.view, 'holder': self.b.holders.get(g, ('', 0))[0],
                      'delivered': s.commit_index, 'last': s.log.last, 'seats': s.log.members, 'changing': s.changing,
                      'counts': s.counters}
            if s.leadership:
                out[g]['siblings'] = {n: {'acked': p.acked_index, 'heard_ms_ago': self.b.now - p.heard_at, 'slow': p.slow}
                                      for n, p in s.leadership.progress.items()}
        give('ok', {'node': self.b.me, 'groups': out})

    def do_replace(self, a, give, cell):
        def fn():
            code = cell.replica.leadership.replace(a['old'], a['new'], a.get('sure', False))
            give(code, {'groups': [{'group': cell.grp, 'seats': sorted(cell.replica.log.members)}], 'retry_ms': 1000,
                        **({} if code in ('ok', 'under_way') else {'details': [f"{cell.grp}: {a['old']!r}, {a['new']!r}"]})})
        # without a majority that confirms this holder nothing is said of any seat
        self._sure(cell, give, fn)

    # --- the cell
    def _key(self, a):
        return f"{a['tenant']}/{a['id']}"

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
            return None if old.sum == dig else ('other_body', {'details': [f"id: {a['id']!r}"]})
        if mac.forgot(self._key(a)):
            return 'forgotten', None
        res = jobs.shape(a['spec'])
        bad = res.error if res.is_error() else jobs.judge(res.ok, cfg, a['tenant'])
        if bad:
            return bad.code, {'details': bad.more}
        if mac.open.get(a['tenant'], 0) >= cfg.tenants[a['tenant']].max_jobs:
            return 'tenant_full', {'retry_ms': 5000}
        if len(cell.replica.pending) >= self.b.set.buffer:
            return 'overload', {'retry_ms': 1000}
        return None

    def do_job(self, a, give, cell):
        def fn():
            if self._theirs(cell, a['tenant'], give):
                return
            mac = cell.mac
            j = mac.jobs.get(self._key(a))
            if j is None:
                return give('forgotten' if mac.forgot(self._key(a)) else 'unknown_job',
                            {'details': [f"id: {a['id']!r}"]})
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
                give(r, dict(show.job(j), retry_ms=1000) if j else {'details': [f"id: {a['id']!r}"]})
            self._order(cell, 't_cancel', doc, give, then)
        self._sure(cell, give, fn)

    def do_minions(self, a, give, cell):
        self._sure(cell, give, lambda: give('ok', {
            'minions': [dict(show.minion(m), suspect=n in self.b.cells[cell.grp].placer.weak)
                        for n, m in sorted(cell.mac.minions.items())]}))

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
        self._order(cell, 't_drain', doc, give,
                    lambda r: give(r, {'minion': a['minion'], 'draining': a['on'], 'evict_at': till}))

    def do_gone(self, a, give, cell):
        self._order(cell, 't_gone', {'minion': a['minion'], 'at': cell.wall}, give,
                    lambda r: give(r, {'minion': a['minion']}))

    def do_why(self, a, give, cell):
        def fn():
            if self._theirs(cell, a['tenant'], give):
                return
            j = cell.mac.jobs.get(self._key(a))
            if j is None:
                return give('unknown_job', {'details': [f"id: {a['id']!r}"]})
            rows = [{'task': t.name, 'state': t.state, 'why': t.why if t.state in FINAL else self.b.cells[cell.grp].placer.why(t)}
                    for t in j.tasks.values()]
            give('ok', {'job': j.key, 'state': j.state, 'tasks': rows})
        self._sure(cell, give, fn)
