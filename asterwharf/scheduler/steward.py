"""The holder's side of the minion links: registers, confirms beats, orders starts and stops, keeps the timers. Pure."""

from asterwharf.base.board import Controller
from asterwharf.scheduler.model import PLACED, RECOVERING, STOPPING
from asterwharf.scheduler.request_router import RequestRouter


class Tie:
    """What the holder knows of one minion's link beyond what is delivered."""

    __slots__ = ('beat', 'edge', 'ill', 'lost', 'probed', 'recv', 'stamp')

    def __init__(self, edge, now):
        self.edge, self.beat, self.recv, self.stamp = edge, now, -1 << 40, 0
        self.ill, self.probed, self.lost = False, -1 << 40, 0


class Steward(Controller):
    """Lives on every seat; acts only where the seat holds."""

    __slots__ = ('asked', 'cell', 'downs', 'sent', 'term', 'ties', 'timers')
    hears = ('register', 'beat', 'stamped', 'status', 'drain', 'down', 'attach')

    def __init__(self, b, cell):
        super().__init__(b)
        self.cell, self.term = cell, -1
        self._fresh()

    def _fresh(self):
        self.b.clear('link_unhealthy')
        self.ties, self.timers, self.sent, self.downs, self.asked = {}, {}, {}, set(), {}

    def heeds(self, src):
        # where an edge holds a cell, an agent's words come here twice: its own are the hub's to pass on
        return src == self.b.me or self.b.links[src]['role'] != 'tend'

    @property
    def mac(self):
        return self.cell.mac

    def _tie(self, nam, edge):
        t = self.ties.get(nam)
        if t is None or t.edge != edge:
            t = self.ties[nam] = Tie(edge, self.b.now)
        return t

    def _live(self, nam, link):
        m = self.mac.minions.get(nam)
        return m is not None and m.up and m.link == link and (nam, link) not in self.downs

    # --- registration
    def _here(self, nam):
        """Several cells may have their holder on this node: each minds its own minions."""
        if nam in self.mac.minions or nam in self.mac.yielded:
            return True
        return self.b.atlas.own.get('minion:' + nam, self.cell.grp) == self.cell.grp

    def on_register(self, src, d):
        if not self.cell.takes:
            return
        own = self.b.atlas.own.get('minion:' + d['minion'], '')
        # a core in the middle of a roll-out may not know of claims yet; then the commons own everything
        old = not own and self.cell.grp == 'commons' and self.cell.floor < 2
        if own != self.cell.grp and not old:
            return self._claim(d['minion'], d['zone'], own)
        doc = {k: d[k] for k in ('minion', 'inc', 'zone', 'cores', 'gpus', 'mem', 'labels', 'drain', 'inflight')}
        doc.update(edge=src, at=self.cell.wall)

        def got(r):
            if r is None:
                return
            res = r[1]
            if res is None:
                return
            tie = self.ties[d['minion']] = Tie(src, self.b.now)
            tie.stamp, tie.recv = d['stamp'], self.b.now
            for k in [k for k in self.sent if k[0] == d['minion']]:
                del self.sent[k]
            s = self.b.sequence
            self.b.send(
                src,
                'ack',
                minion=d['minion'],
                link=res['link'],
                nonce=d['nonce'],
                ok=True,
                why='',
                settings=self._terms(),
                sequence=s,
                emptied=d['zone'] in self.b.emptied,
                record=[dict(i, need=self._need(self.mac.tasks[i['task']])) if i['need'] else i for i in res['record']],
            )

        self.cell.order('t_register', doc, got)

    def _claim(self, nam, zone, own):
        """A minion that no cell owns yet is claimed at the core; the first claim wins."""
        b = self.b
        if own or (b.atlas.minion(nam, zone, b.config) != self.cell.grp and nam not in self.mac.minions):
            return
        what = 'minion:' + nam
        if what not in self.asked or b.now - self.asked[what] > b.set.view.silence_ms:
            self.asked[what] = b.now
            b.node.find(RequestRouter).start(
                'own', 'core', {'what': what, 'was': '', 'cell': self.cell.grp}, lambda c, x: None
            )

    def _terms(self):
        """The confirmed settings of the link, which the agent takes over."""
        l = self.b.set.link
        return {
            'beat_ms': l.beat_ms,
            'grace_ms': l.grace_ms,
            'tenure_ms': int(l.grace_ms * l.lease_ratio),
            'fresh_ms': l.fresh_ms,
        }

    # --- beats: answered only once a majority has confirmed this holder after hearing them
    def on_beat(self, src, d):
        if not self.cell.leads or not self._here(d['minion']):
            return
        if not self._live(d['minion'], d['link']):
            return self._detach(src, d['minion'], d['link'], 'link is not the newest')
        tie = self._tie(d['minion'], src)
        tie.beat, tie.stamp, tie.recv, tie.lost = self.b.now, d['stamp'], self.b.now, 0

        def sure(r):
            if r is None or not self._live(d['minion'], d['link']):
                return
            m = self.mac.minions[d['minion']]
            self.b.send(
                src,
                'beaten',
                minion=m.name,
                link=m.link,
                n=d['n'],
                drain=m.opdrain,
                sequence=self.b.sequence,
                emptied=m.zone in self.b.emptied,
            )

        # a heartbeat is counted from when it was sent: its answer may wait for the next beat of the group
        self.cell.confirm(sure, soon=False)

    def _detach(self, edge, nam, link, why):
        self.b.send(edge, 'detach', minion=nam, link=link, why=why)

    def on_stamped(self, src, d):
        if self._live(d['minion'], d['link']):
            tie = self._tie(d['minion'], src)
            tie.stamp, tie.recv = d['stamp'], self.b.now

    def on_attach(self, src, d):
        if not self.cell.leads:
            return
        got = {r['minion'] for r in d['links']}
        for m in list(self.mac.minions.values()):
            # a link that broke while its edge had nobody to tell
            if m.up and m.edge == src and m.name not in got:
                self._down(m.name, m.link, 'its edge does not know the link')
        for r in d['links']:
            if not self._here(r['minion']):
                continue
            if self._live(r['minion'], r['link']):
                self._tie(r['minion'], src).lost = 0
            else:
                self._detach(src, r['minion'], r['link'], 'link is not the newest')

    # --- what agents tell
    def on_status(self, src, d):
        if not self.cell.takes or not self._here(d['minion']):
            return
        ns = [str(i['n']) for i in d['items']]
        at = self.cell.wall
        doc = {'minion': d['minion'], 'link': d['link'], 'at': at, 'items': d['items'], 'unheard': True}
        if self._live(d['minion'], d['link']):
            tie = self._tie(d['minion'], src)
            tie.stamp, tie.recv = d['stamp'], self.b.now

        def got(r):
            # told again until it is delivered
            if r is not None:
                self.b.send(src, 'statused', minion=d['minion'], link=d['link'], n=ns)

        self.cell.order('t_status', doc, got)

    def on_drain(self, src, d):
        if d['minion'] not in self.mac.minions:
            return
        self.cell.order('t_drain', {'minion': d['minion'], 'on': d['on'], 'by': 'agent', 'at': self.cell.wall})

    def on_down(self, src, d):
        self._down(d['minion'], d['link'], d['why'], d['purpose'])

    def _down(self, nam, link, why, purpose=False):
        if not self._live(nam, link):
            return
        doc = {'minion': nam, 'link': link, 'why': why, 'purpose': purpose, 'at': self.cell.wall}
        if self.cell.order('t_down', doc, lambda r: self.downs.discard((nam, link))):
            # from here on no beat of this link is answered any more
            self.downs.add((nam, link))
            # it is not silent any more but gone, and shown as such
            self.b.clear('link_unhealthy', nam)
            self.b.count['links.down'] += 1

    # --- time
    def tick(self):
        if not self.cell.leads:
            if self.ties:
                self._fresh()
            return
        view = self.cell.replica.view
        if view != self.term:
            # a new holder starts every timer anew: what the old one answered lies before this
            self.term = view
            self._fresh()
        self._adopt()
        self._watch()
        self._recover()
        self._orders()

    def _adopt(self):
        c = self.b.config
        if c is not None and c.sequence > self.mac.sequence:
            self.cell.order('t_config', {'sequence': c.sequence, 'emptied': sorted(c.emptied), 'at': self.cell.wall})

    def _watch(self):
        b, l = self.b, self.b.set.link
        for m in list(self.mac.minions.values()):
            # registered under the release before this one
            if self.cell.floor > 1 and 'minion:' + m.name not in b.atlas.own:
                self._claim(m.name, m.zone, '')
            if not m.up:
                continue
            tie = self._tie(m.name, m.edge) if m.name not in self.ties else self.ties[m.name]
            old = b.now - tie.beat
            if old > l.close_ms:
                self._down(m.name, m.link, 'no heartbeat')
                self._detach(tie.edge, m.name, m.link, 'no heartbeat')
            elif old > l.unhealthy_ms and not tie.ill:
                tie.ill = True
                b.alarm('link_unhealthy', m.name, edge=tie.edge, silent_ms=old)
            elif old <= l.unhealthy_ms and tie.ill:
                tie.ill = False
                b.clear('link_unhealthy', m.name)
            # an edge out of reach for long has taken its links with it
            if tie.edge in b.links or tie.edge == b.me:
                tie.lost = 0
            elif not tie.lost:
                tie.lost = b.now
            if tie.lost and b.now - tie.lost > b.set.view.silence_ms * 3:
                self._down(m.name, m.link, f'edge {tie.edge} out of reach')

    def _recover(self):
        """One recovery timer for each task whose link dropped."""
        b, mac = self.b, self.mac
        live = set()
        for st in (RECOVERING, STOPPING):
            for t in mac.by[st].values():
                m = mac.minions.get(t.minion)
                if m is not None and not m.up:
                    live.add((t.key, t.round))
        for k in [k for k in self.timers if k not in live]:
            del self.timers[k]
        over = []
        for k in sorted(live):
            beg = self.timers.setdefault(k, b.now)
            if b.now - beg >= b.set.link.grace_ms and not self._kept(k[0]):
                over.append({'task': k[0], 'round': k[1]})
        if over:
            for i in over:
                # once ordered it is given time to be delivered
                self.timers[i['task'], i['round']] = b.now - b.set.link.grace_ms + b.set.view.silence_ms * 2
            b.count['expired'] += len(over)
            self.cell.order('t_expire', {'at': self.cell.wall, 'items': over})

    def _need(self, t):
        return dict(self.mac.needs(t), keep=self._kept(t.key))

    def _kept(self, key):
        t = self.mac.tasks[key]
        cls = self.b.config.classes.get(t.job.cls) if self.b.config else None
        # without its configuration nobody can tell that it may be stopped
        return cls is None or cls.unattended == 'keep'

    def _orders(self):
        mac = self.mac
        want = {}
        for st, what in ((PLACED, 'start'), (STOPPING, 'stop')):
            for t in mac.by[st].values():
                m = mac.minions.get(t.minion)
                if m is not None and m.up:
                    want[m.name, t.key, t.round, what] = t
        for m in mac.minions.values():
            if m.up:
                for s in m.strays:
                    k, _, r = s.rpartition('#')
                    want[m.name, k, int(r), 'stop'] = None
        for k in [k for k in self.sent if k not in want]:
            del self.sent[k]
        for k, t in want.items():
            if self.b.now - self.sent.get(k, -1 << 40) >= self.b.set.link.fresh_ms:
                self._order(k, t)

    def _order(self, k, t):
        b, (nam, key, rnd, what) = self.b, k
        m = self.mac.minions[nam]
        tie = self.ties.get(nam) or self._tie(nam, m.edge)
        if tie.edge not in b.links and tie.edge != b.me:
            return
        # a start must carry a fresh reading of the agent's clock, or the agent could not tell its age
        if what == 'start' and b.now - tie.recv > b.set.link.fresh_ms // 2:
            if b.now - tie.probed > b.set.link.fresh_ms // 4:
                tie.probed = b.now
                b.send(tie.edge, 'probe', minion=nam, link=m.link)
            return
        self.sent[k] = b.now
        b.count[f'order.{what}'] += 1
        b.send(
            tie.edge,
            'order',
            minion=nam,
            link=m.link,
            what=what,
            task=key,
            round=rnd,
            stamp=tie.stamp,
            need=self._need(t) if t else None,
            run=t.run if t and what == 'start' else None,
            sequence=b.sequence,
        )
