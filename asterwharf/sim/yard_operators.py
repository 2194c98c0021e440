"""Operators: they send configurations and evacuations, and send them again until the answer is clear."""

import copy

from asterwharf.sim.site_documents import document, idle_queue
from asterwharf.sim.yard_calls import find

# an operator's patience with one call (more for large bodies), and its pause before the next node
WAIT, PAUSE, PAUSES = 1000, 100, 4
# of so many changes of routes one gives a route another name
RENAMES = 3
# looks at every edge after a change: ms after its acknowledgement
LOOKS = (200, 700, 1300, 2050, 2600, 4000)


class Operators:
    """One or two operators at work on one system."""

    def __init__(self, fleet, clients):
        self.fleet, self.w, self.obs, self.clients = fleet, fleet.w, fleet.obs, clients
        self.vers, self.last = fleet.obs.versions, fleet.site.idle
        self.late = []

    # --- one order, until its answer is clear
    def order(self, op, args, then, size=0, till=None, node='', n=0):
        """`then(code, body)` gets the first clear answer; None once `till` has passed."""
        f = self.fleet
        node = f.pick(node)

        def act(nod, give):
            # the listener sees the end of the connection behind a request that was held up
            find(nod, 'RequestRouter').start(op, 'core', copy.deepcopy(args), give, WAIT - 50, lambda: not call.over)

        def got(code, body):
            if code in ('ok', 'stale', 'bad_config', 'bad_field', 'too_large', 'bad_json'):
                return then(code, body)
            self.obs.count['order_' + code] += 1
            if till is not None and self.w.t >= till:
                return then(None, None)
            self.w.after(min(1600, PAUSE << min(n, PAUSES)), self.order, op, args, then, size, till, node, n + 1)

        call = f.net.call('op', node, act, got, WAIT + size // 100)

    def _sent(self, op, args, v, then=None):
        beg, f = self.w.t, self.fleet
        calm = [f.sight.settled()]

        def got(code, body):
            if code == 'ok':
                self.vers.ack(v)
                took = self.w.t - beg
                self.obs.count['config_acked'] += 1
                if (
                    took > f.bounds.ack_ms + 3 * len(v.routes)
                    and calm[0]
                    and f.sight.settled()
                    and f.sight.calm(beg, 'config', 'cancel', 'poison')
                ):
                    self.late.append((op, took))
                self._looks(v)
            else:
                self.vers.refuse(v, code)
            if then:
                then(code)

        self.order(op, args, got, len(v.routes) * 100)

    def _looks(self, v):
        """Each edge is asked for what the change added, removed, and for what never was."""
        old = next((o for o in self.vers.sent if o.number == v.base and o.valid), None)
        new = sorted(set(v.routes) ^ set(old.routes if old else ()))[:3] + ['/never/']
        for ms in LOOKS:
            for e in self.fleet.edges:
                self.w.after(ms + self.w.rng.randint(0, 100), self.clients.look, self.w.rng.choice(new), e)

    # --- configurations
    def first(self):
        """The first one, sent before traffic begins and until it is taken."""
        doc = document(self.fleet.site, 1)
        v = self.vers.send(1, 0, doc, True, 'op')
        self._sent('queues_put', {'doc': doc, 'base': 0, 'by': 'op'}, v)

    def _next(self, number):
        return number + self.w.rng.randint(1, 4)

    def _now(self):
        v = self.vers.doc()
        return (v.number, copy.deepcopy(v.doc)) if v else (0, None)

    def changed(self, doc, how):
        """A copy of a document, changed; the names of queues that were added, and of those removed."""
        r, site = self.w.rng, self.fleet.site
        doc, add, drop = copy.deepcopy(doc), [], []
        qs = doc['queues']
        if how == 'timeout':
            q = r.choice(qs)
            q['timeout_ms'] += 500
            add.append(q)
        elif how == 'aim':
            q = r.choice(qs)
            q['aim_ms'] += 100
            add.append(q)
        elif how == 'route' and self.last % RENAMES == RENAMES - 1:
            # the same place under another name
            self.last += 1
            # by names it is taken out and put in anew, behind the others
            q = qs.pop(self.last % len(qs))
            qs.append(q)
            drop.append(q['name'])
            q['name'] = f'{q["name"].partition("~")[0]}~{self.last}'
            add.append(q)
        else:
            idle = [q for q in qs if q['name'].startswith('r-idle')]
            if idle and r.random() < 0.5:
                q = r.choice(idle)
                qs.remove(q)
                drop.append(q['name'])
            for _ in range(how if isinstance(how, int) else 1):
                self.last += 1
                q = idle_queue(site, self.last)
                qs.append(q)
                add.append(q)
        return doc, add, drop

    def change(self, how='route', by='op', then=None, named=None):
        """A proper change on top of the newest version."""
        base, doc = self._now()
        if doc is None:
            return None
        doc, add, drop = self.changed(doc, how)
        num = doc['number'] = self._next(base)
        v = self.vers.send(num, base, doc, True, by)
        self.fleet.sight.mark('config', self.w.t, self.w.t + 2000)
        if named if named is not None else self.w.rng.random() < 0.4:
            # what the same change says by names
            self._sent(
                'queues_change',
                {
                    'base': base,
                    'number': num,
                    'set': {'queues': add, 'groups': []},
                    'drop': {'queues': drop, 'groups': []},
                    'by': by,
                },
                v,
                then,
            )
        else:
            self._sent('queues_put', {'doc': doc, 'base': base, 'by': by}, v, then)
        return v

    def race(self):
        """Two operators on top of the same version at one moment."""
        for by in ('op', 'op2'):
            self.w.after(self.w.rng.randint(0, 5), self.change, 'route', by)

    def bad(self):
        """One that must be refused."""
        base, doc = self._now()
        if doc is None:
            return
        r = self.w.rng
        doc, _, _ = self.changed(doc, 'route')
        num = doc['number'] = self._next(base)
        how = r.choice(('unknown_service', 'same_place', 'no_timeout', 'old_version', 'wrong_type', 'no_queues'))
        if how == 'unknown_service':
            doc['queues'][-1]['group'] = 'nobody'
        elif how == 'same_place':
            doc['queues'].append(dict(doc['queues'][0], name='r-twin'))
        elif how == 'no_timeout':
            doc['queues'][-1]['timeout_ms'] = 0
        elif how == 'old_version':
            num = doc['number'] = base
        elif how == 'wrong_type':
            doc['queues'][-1]['prefix'] = 7
        else:
            del doc['queues']
        self.fleet.sight.mark('config', self.w.t, self.w.t + 1000)
        v = self.vers.send(num, base, doc, False, how)
        self._sent('queues_put', {'doc': doc, 'base': base, 'by': 'op'}, v)

    # --- evacuations
    def evacuate(self, zone, ms):
        f, beg = self.fleet, self.w.t
        f.sight.mark('evacuate', beg, beg + ms + f.bounds.evacuate_ms)

        def got(code, body):
            if code == 'ok':
                self.obs.evacuated(zone, self.w.t)
                self.obs.count['evacuated'] += 1
            elif f.sight.settled() and f.sight.calm(beg, 'evacuate', 'config', 'cancel', 'poison'):
                self.late.append(('evacuate', self.w.t - beg))

        self.order('zone_set', {'zone': zone, 'emptied': True}, got, till=beg + f.bounds.ack_ms)

        def back():
            self.obs.evacuated(zone, None)
            self.order(
                'zone_set', {'zone': zone, 'emptied': False}, lambda c, b: None, till=self.w.t + f.bounds.ack_ms * 3
            )

        self.w.after(ms, back)

    # --- reading back
    def read(self, till, then=None):
        """Asks for the newest configuration again and again; judged on every answer."""
        beg = self.w.t

        def got(code, body):
            if code == 'ok':
                self.vers.read((body or {}).get('doc'), beg)
            elif code is None:
                self.obs.no('CONFIG', what='the configuration could not be read back')
            if then:
                then(code)

        self.order('queues_get', {}, got, till=till)
