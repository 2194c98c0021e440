"""How the configuration reaches the data plane: each node asks with its sequence and is answered when there is news."""

from asterwharf.base.board import Controller
from asterwharf.scheduler import config


class Crier(Controller):
    """On a core node: keeps the askers, answers them when a newer configuration is delivered."""

    __slots__ = ('askers', 'chair', 'seq')
    hears = ('ask',)

    def __init__(self, b, chair):
        super().__init__(b)
        self.chair, self.askers, self.seq = chair, {}, -1

    def on_ask(self, src, d):
        # only a holder may say "nothing newer", and only once a majority confirms it
        if not self.chair.holds:
            return self._say(src, d['id'], False)
        self.askers[src] = (d['id'], d['sequence'], self.b.now + d['wait'], d['dsequence'])
        self._look(src)

    def _look(self, src):
        nid, seq, _, dseq = self.askers[src]
        mac = self.chair.mac
        # an earlier release asks without a directory, and gets none
        rows = [{'k': k, 'op': op, 'v': v} for k, (op, v) in mac.atlas.rows.items() if op > dseq]
        if mac.sequence > seq or (rows and self.b.links[src]['proto'] > 1):
            del self.askers[src]
            self._say(src, nid, True, mac.sequence > seq, rows)

    def _say(self, src, nid, ok, full=False, rows=()):
        c = self.chair.mac.conf
        hnt = self.b.holders.get('core', ('', 0))[0]
        self.b.send(src, 'news', id=nid, ok=ok, sequence=c['sequence'], doc=c['doc'] if full else b'', hint=hnt,
                    rows=list(rows))

    def lost(self, peer):
        self.askers.pop(peer, None)

    def tick(self):
        b = self.b
        mac = self.chair.mac
        now = (mac.sequence, mac.atlas.top)
        if self.seq != now:
            self.seq = now
            adopt(b, mac.sequence, mac.conf['doc'])
            if b.history and mac.conf['doc']:
                b.history.record(mac.sequence, mac.conf['by'], mac.conf['at'], config.swell(mac.conf['doc']))
            b.atlas.merge([(k, op, v) for k, (op, v) in mac.atlas.rows.items()])
            for s in list(self.askers):
                self._look(s)
        for s, (nid, _, end, _) in list(self.askers.items()):
            if not self.chair.holds:
                del self.askers[s]
                self._say(s, nid, False)
            elif b.now >= end:
                del self.askers[s]
                self.chair.sure(lambda r, s=s, nid=nid: self._say(s, nid, r is not None))


class Asker(Controller):
    """On an edge: asks the holder of the core, and never goes back to a lower sequence."""

    __slots__ = ('due', 'id', 'n', 'to')
    hears = ('news',)

    def __init__(self, b):
        super().__init__(b)
        self.n, self.id, self.due, self.to = 0, '', 0, ''
        b.adopt = lambda seq, doc: adopt(b, seq, doc)

    def tick(self):
        b = self.b
        if b.now < self.due:
            return
        core = sorted(n for n, h in b.links.items() if h['role'] == 'trellis')
        if not core:
            return
        hld = b.holders.get('core', ('', 0))[0]
        self.to = hld if hld in core else core[self.n % len(core)]
        self.n += 1
        self.id = f'{b.inc}.{self.n}'
        b.send(self.to, 'ask', id=self.id, sequence=b.sequence, dsequence=b.atlas.top, wait=b.set.poll_ms)
        self.due = b.now + b.set.poll_ms + b.set.view.silence_ms * 2

    def lost(self, peer):
        if peer == self.to:
            self.due = self.b.now

    def on_news(self, src, d):
        if d['id'] != self.id:
            return
        self.due = self.b.now if d['ok'] else self.b.now + self.b.set.view.silence_ms // 4
        if d['ok']:
            self.b.atlas.merge([(r['k'], r['op'], r['v']) for r in d['rows']])
            adopt(self.b, d['sequence'], d['doc'])


def adopt(b, seq, doc):
    """Puts a delivered configuration in force here; an older one never comes back."""
    if not seq or not doc or (b.config and seq <= b.config.sequence):
        return
    res = config.check(config.swell(doc), seq)
    if res.is_error():
        # taken by a release that knew more than this one: the old one stays, an operator must look
        return b.log('error', 'alarm', alarm='config_unreadable', sequence=seq, details=res.error.more[:3])
    b.config, b.emptied = res.ok, res.ok.emptied
    res.ok.packed = doc
    b.log('info', 'config', sequence=seq)
