"""An HTTP/1.1 caller on the circuits loop: circuits' response parser over our dialler.

One request at a time on each connection; a pool opens as many connections as are busy.
"""

import json

from circuits import BaseComponent, handler
from circuits.net.events import connect
from circuits.protocols.http import HTTP

from asterwharf.base.settings import address
from asterwharf.clock.boot import boot_ms
from asterwharf.wire.tcp import Dialer

NEVER, UNSURE = 'never', 'unsure'


class Wire(BaseComponent):
    """One connection: idle, dialling, or with one request out."""

    nums = 0

    def __init__(self, addr):
        Wire.nums += 1
        super().__init__(channel=f'ask{Wire.nums}')
        self.addr, self.job, self.live, self.dead, self.end, self.used = addr, None, False, False, 0, False
        self.tcp = Dialer(channel=self.channel, bufsize=1 << 18).register(self)
        HTTP(channel=self.channel).register(self.tcp)

    def go(self, raw, then, ttl):
        self.job, self.end, self.raw = then, boot_ms() + ttl, raw
        if self.live:
            self.used = True
            self.tcp.push(raw)

    @handler('ready')
    def _on_ready(self, *args):
        self.fire(connect(*address(self.addr)))

    @handler('connected')
    def _on_connected(self, *args):
        self.live = True
        if self.job:
            self.tcp.push(self.raw)

    @handler('unreachable')
    def _on_unreachable(self, *args):
        self.close(NEVER)

    @handler('response')
    def _on_response(self, res):
        job, self.job = self.job, None
        if job is None:
            return
        try:
            doc = json.loads(res.read() or b'null')
        except ValueError:
            doc = None
        if res.headers.get('Connection', '').lower() == 'close':
            self.close(UNSURE)
        job(res.status, doc, dict(res.headers.items()))

    @handler('disconnected')
    def _on_disconnected(self):
        self.close(UNSURE)

    @handler('error')
    def _on_error(self, *args):
        self.close(UNSURE if self.live else NEVER)

    def close(self, why):
        if self.dead:
            return
        self.dead, self.live = True, False
        self.tcp._close()
        job, self.job = self.job, None
        self.unregister()
        if job:
            job(0, why, {})


class Asks(BaseComponent):
    """Calls `then(status, document, headers)`; status 0 with 'never' where nothing was sent, else 'unsure'."""

    channel = 'asks'

    def init(self, tick=50):
        self.pool, self.due, self.step = {}, 0, tick

    def request(self, addr, method, path, doc, then, ttl=5000, heads=()):
        body = b'' if doc is None else json.dumps(doc).encode()
        rows = [
            f'{method} {path} HTTP/1.1',
            f'Host: {addr}',
            f'Content-Length: {len(body)}',
            'Content-Type: application/json',
            *(f'{k}: {v}' for k, v in heads),
        ]
        raw = ('\r\n'.join(rows) + '\r\n\r\n').encode() + body
        lst = self.pool[addr] = [w for w in self.pool.get(addr, ()) if not w.dead]
        idle = next((w for w in lst if w.live and w.job is None), None)
        if idle is None:
            idle = Wire(addr).register(self)
            lst.append(idle)
        idle.go(raw, then, ttl)

    @handler('generate_events', channel='*')
    def _tick(self, event):
        now = boot_ms()
        if now >= self.due:
            self.due = now + self.step
            for lst in list(self.pool.values()):
                for w in list(lst):
                    if w.job and now > w.end:
                        w.close(UNSURE)
        event.reduce_time_left(max(0.0, (self.due - now) / 1000))
