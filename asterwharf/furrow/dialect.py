"""The one seam to the minion: our HTTP/JSON dialect of start, hold, stop, endings and draining.

Another minion's dialect is another file with a class like this one: `takes`, `carry`,
`idle`, `sweep`, and words told to the keeper. docs/minion.md lists the requests.
"""

from circuits import BaseComponent, handler

from asterwharf.clock.boot import boot_ms, wall_ms
from asterwharf.wire.ask import NEVER, Asks

WAIT = 5000


class Dialect(BaseComponent):
    """Starts and stops are idempotent by task and round, so each may be asked again."""

    channel = 'dialect'
    takes = 'minion'

    def init(self, dmn, keeper, addr):
        self.dmn, self.keeper, self.addr = dmn, keeper, addr
        self.asks = Asks().register(self)
        self.after, self.boot, self.polling, self.due = 0, '', False, 0

    def idle(self):
        return True

    def sweep(self):
        """Nothing here outlives its time: each request has its own."""

    def tell(self, what, *args, **kws):
        b = self.dmn.b
        b.now, b.wall = boot_ms(), wall_ms()
        self.keeper.minion(what, *args, **kws)
        self.dmn.wake()

    def carry(self, verb, task, rnd, need=None, run=None):
        doc = {'task': task, 'round': rnd}
        if verb == 'start':
            doc.update(need=need, run=run)
        if verb == 'hold':
            doc['on'] = bool(need)
        self.asks.request(self.addr, 'POST', f'/{verb}', doc, lambda *a: getattr(self, f'_{verb}')(task, rnd, *a))

    def _start(self, task, rnd, status, doc, heads):
        sta = doc.get('state') if isinstance(doc, dict) else ''
        if status == 200 and sta == 'started':
            return self.tell('started', task, rnd, boot=doc.get('boot', ''))
        if status == 200 and sta == 'ended':
            return self.tell('ended', task, rnd, ok=bool(doc.get('ok')), why=str(doc.get('why', '')))
        if status in (400, 409, 503) and sta == 'refused':
            return self.tell('refused', task, rnd, why=str(doc.get('why', '')))
        if status == 0 and doc == NEVER:
            return self.tell('refused', task, rnd, why='the minion can not be reached')
        # whether it runs is not known: the keeper has it stopped before it tells anything
        self.tell('unsure', task, rnd)

    def _hold(self, task, rnd, status, doc, heads):
        """Held, or gone on; the same request again says the same. It never starts what the minion does not know."""
        sta = doc.get('state') if isinstance(doc, dict) else ''
        if status == 200 and sta == 'ended':
            return self.tell('ended', task, rnd, ok=bool(doc.get('ok')), why=str(doc.get('why', '')))
        if status == 200 and sta in ('held', 'resumed', 'stopped'):
            return self.tell(sta, task, rnd)
        # not confirmed: the keeper asks again, or has it stopped

    def _stop(self, task, rnd, status, doc, heads):
        sta = doc.get('state') if isinstance(doc, dict) else ''
        if status == 200 and sta == 'stopped':
            return self.tell('stopped', task, rnd)
        if status == 200 and sta == 'ended':
            return self.tell('ended', task, rnd, ok=bool(doc.get('ok')), why=str(doc.get('why', '')))
        # not confirmed: the keeper asks again

    @handler('generate_events', channel='*')
    def _poll(self, event):
        now = boot_ms()
        if not self.polling and now >= self.due:
            self.polling = True
            self.asks.request(
                self.addr,
                'GET',
                f'/endings?after={self.after}&wait={WAIT}&boot={self.boot}',
                None,
                self._news,
                ttl=WAIT + 3000,
            )
        if not self.polling:
            event.reduce_time_left(max(0.0, (self.due - now) / 1000))

    def _news(self, status, doc, heads):
        self.polling = False
        if status != 200 or not isinstance(doc, dict):
            self.due = boot_ms() + 300
            return self.tell('absent') if doc == NEVER else None
        self.due = boot_ms()
        try:
            self._read(doc)
        except (KeyError, TypeError, ValueError) as e:
            self.due = boot_ms() + 1000
            self.dmn.b.alarm('minion_speaks_oddly', why=f'{type(e).__name__}: {e}')
            return self.dmn.wake()
        self.dmn.b.clear('minion_speaks_oddly')

    def _read(self, doc):
        if doc['boot'] != self.boot:
            # it began anew, and so does its count of endings; this answer has them all
            self.after, self.boot = 0, doc['boot']
            self.tell('boot', boot=self.boot, holds=bool(doc.get('holds')))
        self.tell('drain', on=bool(doc['draining']))
        for i in doc['endings']:
            self.after = max(self.after, int(i['n']))
            self.tell('ended', str(i['task']), int(i['round']), ok=bool(i['ok']), why=str(i.get('why', '')))
