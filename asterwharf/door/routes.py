"""The paths of the door; docs/http.md describes each."""

import re

from asterwharf.base.codes import trouble
from asterwharf.door.specs import spec
from asterwharf.scheduler.jobs import NAME
from asterwharf.scheduler.queues import DEPTH, deep

# identifiers that minions who call in give themselves, and those of queues' jobs
MINION = re.compile(r'[A-Za-z0-9][A-Za-z0-9._~:@%+-]{0,127}\Z')
ID = re.compile(r'[0-9A-Fa-f]{16}\Z')
# rows of a listing that the holder is asked for, where the caller says nothing
ROWS = 5000


class Route:
    """One method on one path: a request to a holder, or something this node knows itself."""

    __slots__ = ('body', 'grp', 'here', 'method', 'op', 'open', 'parts', 'prepare')

    def __init__(self, method, path, grp='', op='', body=False, prepare=None, here=None, open=False):
        self.method, self.parts = method, path.strip('/').split('/')
        self.grp, self.op, self.body, self.prepare, self.here, self.open = grp, op, body, prepare, here, open


def _names(e):
    """Names in the path must be names."""
    bad = [
        f'{k}: {e.args[k]!r} is not a name'
        for k in ('tenant', 'id', 'minion', 'old', 'new')
        if k in e.args and not (MINION if k == 'minion' else NAME).match(e.args[k])
    ]
    return trouble('bad_field', *bad) if bad else None


def _submit(e):
    bad = _names(e)
    e.args['spec'] = e.doc
    return bad


def _seq(txt):
    txt = (txt or '').strip().strip('"')
    return int(txt) if txt.isdigit() and len(txt) < 16 else None


def _based(e):
    """What a change is based on, and who makes it."""
    raw = e.heads.get('If-Match')
    if raw is None:
        return trouble('need_match', 'If-Match: missing')
    seq = _seq(raw)
    if seq is None:
        return trouble('bad_field', f'If-Match: {raw!r} is not a sequence')
    e.args.update(base=seq, by=e.heads.get('X-Operator', '')[:64])
    return None


def _config_put(e):
    e.args['config'] = e.doc
    return _based(e)


def _queues_put(e):
    # too deep a document would not pass the wire between the nodes
    if deep(e.doc):
        return trouble('bad_config', f'.: nested deeper than {DEPTH}')
    e.args['doc'] = e.doc
    return _based(e)


def _queues_change(e):
    if deep(e.doc):
        return trouble('bad_config', f'.: nested deeper than {DEPTH}')
    bad = [f'{k}: unknown; known are drop, number, set' for k in e.doc if k not in ('number', 'set', 'drop')]
    e.args.update(e.doc)
    return trouble('bad_field', *bad) if bad else _based(e)


def _zone(e):
    e.args['emptied'] = e.method == 'PUT'
    zone = e.args['zone']
    return None if NAME.match(zone) else trouble('bad_field', f'zone: {zone!r} is not a name')


def _config_get(e):
    seq = _seq(e.heads.get('If-None-Match'))
    if seq is not None:
        e.args['known'] = seq


def _history(e):
    if 'sequence' in e.args:
        seq = _seq(e.args['sequence'])
        if seq is None:
            return trouble('bad_field', f'sequence: {e.args["sequence"]!r} is not a sequence')
        e.args['sequence'] = seq
        return None
    return _listing(e)


def _check(e):
    e.args['config'] = e.doc


def _listing(e):
    raw = e.query.get('most', '200')
    if not raw.isdigit() or not 1 <= int(raw) <= 5000:
        return trouble('bad_field', f'most: {raw!r} is not between 1 and 5000')
    e.args.update(
        tenant=e.query.get('tenant', ''), queue=e.query.get('queue', ''), state=e.query.get('state', ''), most=int(raw)
    )
    return None


def _rows(e):
    raw = e.query.get('most', str(ROWS))
    if not raw.isdigit() or not 1 <= int(raw) <= ROWS:
        return trouble('bad_field', f'most: {raw!r} is not between 1 and {ROWS}')
    e.args['most'] = int(raw)
    return None


def _queue_job(e):
    """The identifier of a queue's job must be one; the queue's place is looked up by the document in force here."""
    if not ID.match(e.args['id']):
        return trouble('bad_field', f'id: {e.args["id"]!r} is not 16 digits from 0 to f')
    queue = e.b.atlas.queues and e.b.atlas.queues.queue(e.args['queue'])
    e.args['place'] = queue.place if queue else ''
    return None


def _queue_submit(e):
    bad = _queue_job(e)
    if bad:
        return bad
    # the queue is looked up here, by the document in force at this node, as clients' paths are
    qs = e.b.atlas.queues
    if qs is None:
        return trouble('no_config')
    q = qs.queue(e.args['queue'])
    if q is None:
        return trouble('unknown_queue', f'queue: {e.args["queue"]!r}')
    res = spec(e.doc)
    if res.is_error():
        return res.error
    e.args.update(spec=res.ok, queue=q.terms())
    return None


def _counts(e):
    e.args['queue'] = e.query.get('queue', '')


def _on(e):
    e.args.update(on=e.method == 'PUT', by=e.heads.get('X-Operator', '')[:64])
    raw = e.query.get('within_ms')
    if raw is not None:
        if not raw.isdigit() or len(raw) > 12 or e.method != 'PUT':
            return trouble('bad_field', f'within_ms: {raw!r} is not a time in ms, or not wanted here')
        e.args['within'] = int(raw)
    return _names(e)


# --- what this node knows itself
def _fitness(app, e):
    why = app.fit()
    return ('not_ready' if why else 'ok'), {'ready': not why, 'details': [why] if why else []}


def _status(app, e):
    b = app.b
    out = {
        'node': b.me,
        'role': b.role,
        'zone': b.zone,
        'inc': b.inc,
        'leaving': b.leaving,
        'sequence': b.sequence,
        'queues': b.atlas.number,
        'fit': app.fit() == '',
        'holders': {g: {'name': n, 'view': v} for g, (n, v) in b.holders.items()},
        'links': sorted(b.links),
        'requests': len(app.router.pending),
        'counts': dict(sorted(b.count.items())),
        'nodes': {
            n: {k: r[k] for k in ('role', 'zone', 'http')} for n, r in sorted(b.nodes.items()) if r['role'] != 'tend'
        },
        'alarms': b.alarms.rows(),
    }
    if app.fit():
        out['why'] = app.fit()
    for c in app.node.ctl:
        if hasattr(c, 'teths'):
            out['minions'] = {
                t.peer: {'state': t.state, 'link_round': t.link, 'tasks': len(t.rounds)} for t in c.teths.values()
            }
        if hasattr(c, 'replica'):
            out.setdefault('seats', {})[c.grp] = {
                'state': c.replica.state,
                'seated': c.replica.is_member,
                'size': len(c.replica.log.members),
            }
        if hasattr(c, 'sight'):
            out['out_of_sight'] = sorted(n for n, v in c.sight.items() if v)
    return 'ok', out


def _metrics(app, e):
    """Numbers for a monitoring system: counters that only rise, gauges, and the alarms that stand."""
    b, gau = (
        app.b,
        {
            'requests_open': len(app.router.pending),
            'links': len(app.b.links),
            'sequence': app.b.sequence,
            'queues': app.b.atlas.number,
            'fit': int(app.fit() == ''),
            'leaving': int(app.b.leaving),
        },
    )
    for c in app.node.ctl:
        if hasattr(c, 'replica'):
            s = c.replica
            gau.update(
                {
                    f'group.{c.grp}.holds': int(s.leadership is not None),
                    f'group.{c.grp}.view': s.view,
                    f'group.{c.grp}.delivered': s.commit_index,
                    f'group.{c.grp}.last': s.log.last,
                    f'group.{c.grp}.sync_ms': round(s.sync_lag, 2),
                }
            )
        if hasattr(c, 'buf') and c.buf is not None:
            gau[f'group.{c.cell.grp}.ready'] = len(c.buf)
            gau[f'group.{c.cell.grp}.minions_up'] = sum(m.up for m in c.mac.minions.values())
    return 'ok', {
        'node': b.me,
        'role': b.role,
        'counters': dict(sorted(b.count.items())),
        'gauges': gau,
        'alarms': b.alarms.rows(),
    }


def _lines(app, e):
    for c in app.node.ctl:
        if hasattr(c, 'teths'):
            got = c.lines.get(e.args['minion'])
            return ('ok', {'lines': list(got)}) if got is not None else ('unknown_minion', {})
    return 'unknown_minion', {}


JOB, QUEUE_JOB = '/v1/tenants/:tenant/jobs/:id', '/v1/queues/:queue/jobs/:id'
ROUTES = (
    Route('GET', '/fitness', here=_fitness, open=True),
    Route('GET', '/status', here=_status, open=True),
    Route('GET', '/metrics', here=_metrics, open=True),
    Route('GET', '/v1/config', 'core', 'config_get', prepare=_config_get),
    Route('PUT', '/v1/config', 'core', 'config_put', body=True, prepare=_config_put),
    Route('POST', '/v1/config/check', 'core', 'judge', body=True, prepare=_check),
    Route('GET', '/v1/config/history', 'core', 'history', prepare=_history),
    Route('GET', '/v1/config/history/:sequence', 'core', 'history', prepare=_history),
    Route('GET', '/v1/queues', 'core', 'queues_get', prepare=_config_get),
    Route('PUT', '/v1/queues', 'core', 'queues_put', body=True, prepare=_queues_put),
    Route('PATCH', '/v1/queues', 'core', 'queues_change', body=True, prepare=_queues_change),
    Route('GET', '/v1/queues/counts', 'commons', 'counts', prepare=_counts),
    Route('PUT', QUEUE_JOB, 'commons', 'y_submit', body=True, prepare=_queue_submit),
    Route('GET', QUEUE_JOB, 'commons', 'y_job', prepare=_queue_job),
    Route('DELETE', QUEUE_JOB, 'commons', 'y_cancel', prepare=_queue_job),
    Route('GET', '/v1/zones/emptied', 'core', 'emptied'),
    Route('PUT', '/v1/zones/:zone/emptied', 'core', 'zone_set', prepare=_zone),
    Route('DELETE', '/v1/zones/:zone/emptied', 'core', 'zone_set', prepare=_zone),
    Route('GET', '/v1/nodes', 'core', 'nodes'),
    Route('GET', '/v1/seats', 'core', 'seats'),
    Route('PUT', '/v1/seats/:old/replaced-by/:new', 'both', 'replace', prepare=_names),
    Route('GET', '/v1/cells', 'core', 'cells'),
    Route('PUT', JOB, 'cell', 'submit', body=True, prepare=_submit),
    Route('GET', JOB, 'cell', 'job', prepare=_names),
    Route('DELETE', JOB, 'cell', 'cancel', prepare=_names),
    Route('GET', JOB + '/why', 'cell', 'why', prepare=_names),
    Route('GET', '/v1/jobs', 'all', 'jobs', prepare=_listing),
    Route('GET', '/v1/minions', 'all', 'minions', prepare=_rows),
    Route('GET', '/v1/claims', 'all', 'claims', prepare=_rows),
    Route('GET', '/v1/zones', 'all', 'zones'),
    Route('PUT', '/v1/minions/:minion/drain', 'cell', 'drain', prepare=_on),
    Route('DELETE', '/v1/minions/:minion/drain', 'cell', 'drain', prepare=_on),
    Route('DELETE', '/v1/minions/:minion', 'cell', 'gone', prepare=_names),
    Route('GET', '/v1/minions/:minion/lines', here=_lines),
)


def match(method, parts):
    """(route, arguments, other methods of the path)."""
    oth = []
    for r in ROUTES:
        if len(r.parts) != len(parts):
            continue
        if any(not (p.startswith(':') and q) and p != q for p, q in zip(r.parts, parts)):
            continue
        if r.method == method:
            return r, {p[1:]: q for p, q in zip(r.parts, parts) if p.startswith(':')}, []
        oth.append(r.method)
    return None, {}, oth
