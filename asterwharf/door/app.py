"""The way of a request through the door: policies as plug-ins behind one interface."""

import json
from urllib.parse import parse_qs, unquote

from asterwharf.base import logs
from asterwharf.base.codes import TABLE, trouble
from asterwharf.clock.boot import boot_ms
from asterwharf.door.routes import match
from asterwharf.scheduler.request_router import RequestRouter

# of the time that leaving may take: how long callers still come, and how long nothing may have come before the end
LINGER, QUIET = 0.375, 0.075
# of the time a request may take
STALL = 6


class Request:
    """One request on its way."""

    __slots__ = ('args', 'b', 'body', 'doc', 'give', 'heads', 'method', 'path', 'query', 'route')

    def __init__(self, method, path, query, heads, body, give, b=None):
        self.method, self.path, self.heads, self.body, self.give = method, path, heads, body, give
        self.query = {k: v[-1] for k, v in parse_qs(query).items()}
        self.b, self.doc, self.route, self.args = b, None, None, {}


class Policy:
    """One stage: `judge` returns a Trouble to end the request, or None to let it go on."""

    __slots__ = ('app',)

    def __init__(self, app):
        self.app = app

    def judge(self, e):
        raise NotImplementedError


class Find(Policy):
    """Which route this is."""

    def judge(self, e):
        prts = [unquote(p) for p in e.path.strip('/').split('/')]
        e.route, e.args, oth = match(e.method, prts)
        if e.route is not None:
            return None
        if oth:
            return trouble('bad_method', f'{e.method}: this path takes {", ".join(oth)}')
        return trouble('no_path', e.path)


class Identify(Policy):
    """Who speaks: where a token is set, everything but fitness wants it."""

    def judge(self, e):
        tok = self.app.b.set.token
        if not tok or e.route.open or e.heads.get('Authorization', '') == f'Bearer {tok}':
            return None
        return trouble('bad_token', 'Authorization: wanted "Bearer" and the token of the settings')


class Parse(Policy):
    """The body, where the route takes one."""

    def judge(self, e):
        if not e.route.body:
            return None
        try:
            e.doc = json.loads(e.body.decode('utf-8'), parse_constant=_no_constant)
        except (ValueError, RecursionError) as x:
            return trouble('bad_json', str(x)[:200])
        return None if isinstance(e.doc, dict) else trouble('bad_json', '.: wanted one object')


class Admit(Policy):
    """Refuses early what could not be served in time: at once, with the time to come again."""

    def judge(self, e):
        a = self.app
        if e.route.open or len(a.router.pending) < a.b.set.request_limit:
            return None
        a.count['refused.overload'] += 1
        return trouble('overload', 'too many requests are under way here')


class Prepare(Policy):
    """The route's own reading of its arguments."""

    def judge(self, e):
        return e.route.prepare(e) if e.route.prepare else None


def _no_constant(txt):
    raise ValueError(f'{txt} is not JSON')


class App:
    """Takes requests from the protocol, hands them along the chain, gives the answers."""

    def __init__(self, daemon):
        self.dmn, self.b, self.node = daemon, daemon.b, daemon.node
        self.router = self.node.find(RequestRouter)
        self.chain = [p(self) for p in (Find, Identify, Parse, Admit, Prepare)]
        self.door, self.busy, self.last, self.left = None, 0, boot_ms(), 0

    @property
    def max_body(self):
        return self.b.set.max_body

    @property
    def stall_ms(self):
        # a request that takes so long to arrive will not arrive
        return self.b.set.request_ms * STALL

    @property
    def count(self):
        return self.b.count

    @property
    def leaving(self):
        return self.b.leaving

    def trouble(self, code, *more):
        return self._answer(code, {'details': list(more)})

    def take(self, method, path, query, heads, body, give):
        self.busy += 1
        self.last = boot_ms()
        self.count['requests'] += 1
        e = Request(method, path, query, heads, body, give, self.b)
        try:
            for p in self.chain:
                bad = p.judge(e)
                if bad is not None:
                    return self.give(e, bad.code, {'details': bad.more})
            self._run(e)
        except Exception as x:
            # a fault of ours must not cut the caller off
            logs.say(
                'error',
                'alarm',
                alarm='inner_fault',
                code=500,
                fault=f'{type(x).__name__}: {x}',
                path=path,
                trace=_trace(x),
            )
            self.give(e, 'inner', None)

    def _run(self, e):
        r = e.route
        if r.here:
            return self.give(e, *r.here(self, e))
        self.b.now = boot_ms()
        # a listener that can tell is asked whether the caller still waits
        waits = getattr(e.give, 'still_waiting', None)
        self.router.start(r.op, r.grp, e.args, lambda c, b: self.give(e, c, b), caller=waits)
        self.dmn.wake()

    def give(self, e, code, body):
        self.busy -= 1
        self.last = boot_ms()
        self.count[f'given.{code}'] += 1
        e.give(*self._answer(code, body))

    def _answer(self, code, body):
        row = TABLE.get(code) or TABLE['inner']
        body = dict(body or {})
        heads = {}
        rty = body.pop('retry_ms', None)
        if row.http in (202, 503, 504):
            # where it may come again, it is told when
            heads['Retry-After'] = str(max(1, -(-(rty or 1000) // 1000)))
        if 'sequence' in body:
            heads['ETag'] = f'"{body["sequence"]}"'
        if row.nam == 'bad_method' and body.get('details'):
            heads['Allow'] = str(body['details'][0]).rpartition('takes ')[2]
        if row.num not in (100, 101, 103):
            body = {'code': row.num, 'name': row.nam, 'text': row.text, 'cure': row.cure} | body
        raw = b'' if row.http == 304 else json.dumps(body).encode()
        return row.http, raw, heads

    # --- fitness and leaving
    def fit(self):
        """'' or why this node should get no callers."""
        b = self.b
        if b.leaving:
            return 'leaving'
        # in a cut-off cell an edge that reaches the cell's holder has callers to serve
        own = [g for g, p in b.cells.items()] + [
            c['gid']
            for n, c in b.atlas.cells.items()
            if b.config and n in b.config.cells and b.zone in b.config.cells[n].zones
        ]
        if not any(self._near(g) for g in ['commons', *own]):
            return 'no holder of a cell is in reach'
        return ''

    def _near(self, grp):
        n = self.b.holders.get(grp, ('', 0))[0]
        return n == self.b.me or n in self.b.links

    def idle(self):
        """While leaving: whether every caller has been seen to."""
        now = boot_ms()
        if not self.left:
            self.left = now
        if self.door is None:
            return True
        most = self.b.set.leave_ms
        # the platform asks for fitness every second; until it has, callers still come
        if now - self.left < most * LINGER:
            return False
        self.door.deafen()
        # an idle connection is closed behind its next answer, or at the very end: a request may be on its way to us
        return not self.busy and not self.door.callers and now - self.last > most * QUIET


def _trace(x):
    import traceback

    return ''.join(traceback.format_exception(x))[-2000:]
