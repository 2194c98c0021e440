"""Requests about the configuration and the queues document, answered by the leader of the core group. Pure."""

from expression import Ok

from asterwharf.scheduler import config, queues
from asterwharf.scheduler.configuration import order_digest
from asterwharf.scheduler.configuration.accepted_orders import SINGLE_ROWS_PROTOCOL
from asterwharf.scheduler.handlers.base import NOBODY, RequestHandler


class ConfigurationHandlers(RequestHandler):
    """The configuration, its history, and the queues document."""

    __slots__ = ()

    def do_config_get(self, a, give, cell):
        def fn():
            c = self.core.mac.conf
            if c['sequence'] == a.get('known', -1):
                return give('no_news', {'sequence': c['sequence']})
            give(
                'ok',
                {
                    'sequence': c['sequence'],
                    'by': c['by'],
                    'at': c['at'],
                    'config': config.swell(c['doc']) if c['doc'] else {},
                },
            )

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
                # a leader that was deposed may know less than its successor: it must not refuse
                self._sure(self.core, give, lambda: give(code, body) if known() is None else accept(known()))

            def accept(sequence):
                give('ok', {'sequence': sequence})

            if known() is not None:
                return accept(known())
            self._good(a['config'], refuse, lambda got: self._put(a, marks[0], give))

        self.b.chore(order_digest.marking(a['base'], request, text.ok), marked)

    def _put(self, a, mark, give):
        doc = {
            'sequence': 0,
            'base': a['base'],
            'by': a.get('by', ''),
            'at': self.core.wall,
            'doc': config.squeeze(a['config']),
            'sum': mark,
        }
        self._order(
            self.core, 'c_config', doc, give, lambda r: give('ok' if r.accepted else 'stale', {'sequence': r.number})
        )

    def do_history(self, a, give, cell):
        def fn():
            his = self.b.history
            if 'sequence' not in a:
                return give('ok', {'history': his.log(a['most']) if his else []})
            doc = his.show(a['sequence']) if his else None
            if doc is None:
                return give('no_history', {'details': [f'sequence: {a["sequence"]}']})
            give('ok', {'of': a['sequence'], 'config': doc})

        self._sure(self.core, give, fn)

    def do_judge(self, a, give, cell):
        """Checks a configuration and says where each class of task could land, without putting it in force."""
        self._good(
            a['config'], give, lambda got: give('ok', {'policies': sorted(got.policies), 'cells': sorted(got.cells)})
        )

    def _seats(self, cfg):
        """A cell's seats must be nodes that are known."""
        b, bad = self.b, []
        for n, c in cfg.cells.items():
            bad += [f'cells.{n}.seats[{i}]: no node {x!r}' for i, x in enumerate(c.seats) if x not in b.nodes]
            if not c.seats and not any(r['zone'] in c.zones for r in b.nodes.values()):
                bad.append(f'cells.{n}.zones: no node is in them; name the seats')
        return bad

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
        self.b.chore(
            order_digest.marking(base, req, txt.ok), lambda marks: self._marked(a, give, req, make, base, txt.ok, marks)
        )

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
            doc = {
                'number': res.ok,
                'base': base,
                'by': str(a.get('by') or '')[:64],
                'at': self.core.wall,
                'sum': mark,
                'doc': queues.squeeze(txt if new.ok is req else queues.text(new.ok).ok),
            }
            self._order(self.core, 'c_queues', doc, give, then)

        def then(r):
            if not r.accepted and not r.stale:
                return give('bad_config', {'details': [f'number: {new.ok["number"]} is not above {r.number}']})
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
