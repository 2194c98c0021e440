"""Claims: which node holds each minion, and which round of each task runs there. Pure."""

from asterwharf.scheduler.model import FINAL, GONE, PLACED, READY, RECOVERING, RUNNING, STOPPING, Minion

# what an agent may tell of a round; all but the first end it
ENDS = frozenset(('done', 'failed', 'stopped', 'refused', 'lost', 'fenced'))


class Claims:
    """The part of a cell that settles what minions run."""

    __slots__ = ()

    def t_register(self, d):
        """A newer registration replaces the old link everywhere; the rest is reconciled."""
        # on its way to another cell: it registers there
        if d['minion'] in self.yielded:
            return None
        m = self.minions.get(d['minion'])
        if m is None:
            m = self.minions[d['minion']] = Minion(name=d['minion'])
        fresh = m.inc != d['inc']
        m.inc, m.edge, m.zone, m.up, m.drain, m.at = d['inc'], d['edge'], d['zone'], True, d['drain'], d['at']
        m.cores, m.gpus, m.mem, m.labels, m.why = d['cores'], d['gpus'], d['mem'], d['labels'] or {}, ''
        m.link += 1
        self.dirty.add(f'minion:{m.name}')
        got = {(i['task'], i['round']) for i in d['inflight']}
        rec = self._reconcile(m, got, fresh, d['at'])
        rec += self._strays(m, got, fresh)
        return {'link': m.link, 'record': rec, 'drain': m.opdrain}

    def _reconcile(self, m, got, fresh, at):
        rec = []
        for k in list(m.load):
            t = self.tasks[k]
            hit = (k, t.round) in got
            if t.state == RECOVERING:
                self.move(t, t.pre or RUNNING, 'its agent is back', at)
            # an agent without memory can't tell a start that never came from one that did
            unsure = not hit and (t.state == RUNNING if not fresh else t.state == PLACED)
            if unsure:
                self.stop(t, 'retry', 'its agent does not know it', at)
            want = 'stop' if t.state == STOPPING else 'run'
            if hit or fresh or want == 'stop':
                rec.append({'task': k, 'round': t.round, 'want': want, 'need': self.needs(t), 'run': t.run})
        return rec

    def _strays(self, m, got, fresh):
        """Rounds that are not ours any more must be stopped, and take room until they are."""
        cur = {(k, self.tasks[k].round) for k in m.load}
        new = {}
        for k, r in sorted(got - cur):
            new[f'{k}#{r}'] = m.strays.get(f'{k}#{r}') or self._size(k)
        for s, ned in m.strays.items():
            # an agent that kept its memory and does not name it has ended it
            if fresh:
                new.setdefault(s, ned)
        m.strays = new
        return [
            {
                'task': s.rpartition('#')[0],
                'round': int(s.rpartition('#')[2]),
                'want': 'stop',
                'need': None,
                'run': None,
            }
            for s in new
        ]

    def _size(self, k):
        t = self.tasks.get(k)
        return t.need if t else (0.0, 0, 0)

    def needs(self, t):
        return {'cores': t.cores, 'gpus': t.gpus, 'mem': t.mem, 'class': t.job.cls, 'boot': t.boot}

    def t_down(self, d):
        m = self.minions.get(d['minion'])
        # word of an older link changes nothing
        if m is None or m.link != d['link'] or not m.up:
            return False
        m.up, m.why, m.at = False, d['why'], d['at']
        self.dirty.add(f'minion:{m.name}')
        for k in list(m.load):
            t = self.tasks[k]
            if t.state in (PLACED, RUNNING):
                t.pre = t.state
                self.move(t, RECOVERING, d['why'], d['at'])
        return True

    def t_drain(self, d):
        m = self.minions.get(d['minion'])
        if m is None:
            return 'unknown_minion'
        if d['by'] == 'agent':
            m.drain = d['on']
        else:
            m.opdrain, m.until = d['on'], d.get('until', 0) if d['on'] else 0
        self.dirty.add(f'minion:{m.name}')
        return 'ok'

    def t_gone(self, d):
        """An operator states that a minion is gone for good: its work may go elsewhere."""
        m = self.minions.get(d['minion'])
        if m is None:
            return 'unknown_minion'
        for k in list(m.load):
            self.lost(self.tasks[k], GONE, d['at'])
        del self.minions[m.name]
        self.dirty.add(f'minion:{m.name}')
        return 'ok'

    def t_status(self, d):
        m = self.minions.get(d['minion'])
        if m is None:
            return False
        for i in d['items']:
            self._item(m, d['link'], i, d.get('unheard'))
        return True

    def _item(self, m, link, i, unheard):
        t = self.tasks.get(i['task'])
        if i['what'] in ENDS and m.strays.pop(f'{i["task"]}#{i["round"]}', None) is not None:
            self.dirty.add(f'minion:{m.name}')
        if t is None:
            return
        # no newer round was delivered: this one is still the newest, and its ending decides
        if unheard and i['what'] in ('done', 'failed') and t.unheard and (t.round, t.minion) == (i['round'], m.name):
            return self.outcome(t, i['what'] == 'done', i['why'], i['at'])
        if t.round != i['round'] or t.minion != m.name or t.state not in (PLACED, RUNNING, RECOVERING, STOPPING):
            # a late outcome of an older round is history, never applied
            if i['what'] in ENDS and t.round != i['round']:
                self._late(m, t, i, unheard)
            return
        self._tell(m, link, t, i)

    def _late(self, m, t, i, unheard):
        txt = f'{i["round"]}@{m.name}: {i["what"]}'
        # told again: its first telling was counted already
        if any(h.startswith(txt) for h in t.hist):
            return
        txt += ', late'
        t.hist = (t.hist + [txt])[-8:]
        self.dirty.add(f'job:{t.job.key}')
        if i['what'] == 'done' and unheard and t.state not in FINAL:
            return self.succeeded(t, i['round'], i['at'])
        # a try that really failed is a try used up: the rule goes first
        if i['what'] == 'failed' and t.state not in FINAL:
            t.used += 1
            if t.used >= t.tries and t.state == READY:
                self.spent(t, i['at'])

    def _tell(self, m, link, t, i):
        wht, at = i['what'], i['at']
        if wht == 'started':
            if t.state == PLACED and m.link == link:
                t.boot = i['why']
                self.move(t, RUNNING, 'started', at)
            elif t.state == RECOVERING:
                t.pre, t.boot = RUNNING, i['why']
                self.dirty.add(f'job:{t.job.key}')
            return
        if wht in ('done', 'failed'):
            return self.outcome(t, wht == 'done', i['why'], at)
        if wht not in ENDS:
            return
        if wht == 'refused':
            self.seen.append((m.name, t.key, False))
            t.avoid = (t.avoid + [m.name])[-3:]
        self.lost(t, f'{wht}: {i["why"]}' if i['why'] else wht, at)
