"""How a newer configuration reaches the nodes: each asks with the sequence it has and is answered when there is news.

Any seat of the core may bring news, for what it has delivered was delivered by a majority. Only the holder may
say that there is none. So the loss of one link keeps no node from its news.
"""

from asterwharf.base.board import Controller
from asterwharf.scheduler import config

# of the groups' bound: how long a seat leaves the news to the holder, and how long until an asker asks again
AFTER, AGAIN = 0.5, 0.25


class Crier(Controller):
    """On a core node: keeps the askers, answers them when a newer configuration is delivered."""

    __slots__ = ('askers', 'at', 'member', 'seq')
    hears = ('ask',)

    def __init__(self, b, member):
        super().__init__(b)
        self.member, self.askers, self.seq, self.at = member, {}, -1, 0

    @property
    def _hears(self):
        """Whether this replica has its news first hand: it leads, or it hears the leader."""
        s = self.member.replica
        return self.member.leads or (
            s.leadership is None and bool(s.leader) and self.b.now - s.leader_heard < s.settings.silence_ms
        )

    def on_ask(self, src, d):
        if not self._hears:
            return self._say(src, d['id'], False)
        self.askers[src] = (d['id'], d['sequence'], self.b.now + d['wait'], d['dsequence'], self.b.now)
        self._look(src)

    def _look(self, src):
        nid, seq, _, dseq, beg = self.askers[src]
        b, mac = self.b, self.member.mac
        # the holder's answer is on its way to most; another seat's is for those whom it does not reach
        if not self.member.leads and b.now < max(self.at, beg) + b.set.view.silence_ms * AFTER:
            return
        # an earlier release asks without a directory, and gets none
        rows = [{'k': k, 'op': op, 'v': v} for k, (op, v) in mac.atlas.rows.items() if op > dseq]
        if mac.sequence > seq or (rows and b.links[src]['proto'] > 1):
            del self.askers[src]
            self._say(src, nid, True, mac.sequence > seq, rows)

    def _say(self, src, nid, ok, full=False, rows=()):
        c = self.member.mac.conf
        hnt = self.b.holders.get('core', ('', 0))[0]
        self.b.send(
            src, 'news', id=nid, ok=ok, sequence=c['sequence'], doc=c['doc'] if full else b'', hint=hnt, rows=list(rows)
        )

    def lost(self, peer):
        self.askers.pop(peer, None)

    def tick(self):
        b = self.b
        mac = self.member.mac
        now = (mac.sequence, mac.atlas.top)
        if self.seq != now:
            self.seq, self.at = now, b.now
            adopt(b, mac.sequence, mac.conf['doc'])
            if b.history and mac.conf['doc']:
                b.history.record(mac.sequence, mac.conf['by'], mac.conf['at'], config.swell(mac.conf['doc']))
            b.atlas.merge([(k, op, v) for k, (op, v) in mac.atlas.rows.items()])
        for s, (nid, _, end, _, _) in list(self.askers.items()):
            self._look(s)
            if s not in self.askers:
                continue
            if not self._hears:
                del self.askers[s]
                self._say(s, nid, False)
            elif b.now >= end:
                del self.askers[s]
                # nothing newer: that is for the holder to say, once a majority confirms it
                if self.member.leads:
                    self.member.confirm(lambda r, s=s, nid=nid: self._say(s, nid, r is not None), soon=False)
                else:
                    self._say(s, nid, False)


class Asker(Controller):
    """Asks every core node in reach, and never goes back to a lower sequence.

    On a core node it asks only while its own seat hears no holder.
    """

    __slots__ = ('asks', 'n', 'own')
    hears = ('news',)

    def __init__(self, b, own=None):
        super().__init__(b)
        self.n, self.asks, self.own = 0, {}, own
        b.adopt = lambda seq, doc: adopt(b, seq, doc)

    def _need(self):
        if self.own is None:
            return True
        s = self.own.replica
        return not self.own.leads and self.b.now - s.leader_heard > s.settings.silence_ms * AFTER

    def tick(self):
        b = self.b
        if not self._need():
            return
        for n in sorted(n for n, h in b.links.items() if h['role'] == 'trellis'):
            if b.now < self.asks.get(n, ('', 0))[1]:
                continue
            self.n += 1
            nid = f'{b.inc}.{self.n}'
            self.asks[n] = (nid, b.now + b.set.poll_ms + b.set.view.silence_ms * 2)
            b.send(n, 'ask', id=nid, sequence=max(b.sequence, b.adopting), dsequence=b.atlas.top, wait=b.set.poll_ms)

    def lost(self, peer):
        self.asks.pop(peer, None)

    def on_news(self, src, d):
        b = self.b
        if d['id'] != self.asks.get(src, ('', 0))[0]:
            return
        self.asks[src] = ('', b.now if d['ok'] else b.now + int(b.set.view.silence_ms * AGAIN))
        if not d['ok']:
            return
        was = b.adopting, b.atlas.top
        b.atlas.merge([(r['k'], r['op'], r['v']) for r in d['rows']])
        adopt(b, d['sequence'], d['doc'])
        # the others need not bring the same again
        if (b.adopting, b.atlas.top) != was:
            self.asks = {}


def adopt(b, seq, doc):
    """Puts a delivered configuration in force here; an older one never comes back."""
    if not seq or not doc or seq <= max(b.adopting, b.sequence):
        return
    b.adopting = seq

    def done(res):
        if res.is_error():
            # taken by a release that knew more than this one: the old one stays, an operator must look
            return b.alarm('config_unreadable', lvl='error', sequence=seq, details=res.error.more[:3])
        if seq <= b.sequence:
            return None
        b.config, b.emptied = res.ok, res.ok.emptied
        res.ok.packed = doc
        b.clear('config_unreadable')
        b.log('info', 'config', sequence=seq)

    b.chore(config.checking(config.swell(doc), seq), done)
