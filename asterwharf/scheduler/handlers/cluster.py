"""Requests about cells, zones, nodes and the members of the replicated groups. Pure."""

import base64

from asterwharf.scheduler import jobs
from asterwharf.scheduler.handlers.base import RequestHandler
from asterwharf.wire.schema import unpack


class ClusterHandlers(RequestHandler):
    """Cells and who owns what, emptied zones, nodes and their replacement."""

    __slots__ = ()

    def do_cells(self, a, give, cell):
        def fn():
            at, cfg = self.b.atlas, self.b.config
            rows = [
                {
                    'name': n,
                    'group': c['gid'],
                    'seats': sorted(c['seats']),
                    'holder': self.b.holders.get(c['gid'], ('',))[0],
                    'owns': sorted(w for w, g in at.own.items() if g == c['gid']),
                    'going': not cfg or n not in cfg.cells,
                }
                for n, c in sorted(at.cells.items())
            ]
            rows += [
                {'name': n, 'group': '', 'seats': [], 'holder': '', 'owns': [], 'going': False}
                for n in (cfg.cells if cfg else ())
                if n not in at.cells
            ]
            give('ok', {'cells': rows})

        self._sure(self.core, give, fn)

    def do_own(self, a, give, cell):
        self._order(
            self.core,
            'c_own',
            {'what': a['what'], 'was': a['was'], 'cell': a['cell']},
            give,
            lambda r: give('ok' if r else 'stale', {'cell': self.core.mac.atlas.own.get(a['what'], '')}),
        )

    def do_import(self, a, give, cell):
        raws = [base64.b64decode(v) for v in a['rows']]
        # seats of an older release take jobs only
        raws = [v for v in raws if cell.floor > 2 or unpack(v)[0] == 'r_job']
        doc = {
            'tenant': a['tenant'],
            'was': a['was'],
            'part': a['part'],
            'last': a['last'],
            'rows': [{'v': v} for v in raws],
        }
        self._order(cell, 't_import', doc, give, lambda r: give('ok', {'part': r}))

    def do_zone_set(self, a, give, cell):
        zone, on = a.get('zone'), a.get('emptied')
        if not isinstance(zone, str) or not jobs.NAME.match(zone) or not isinstance(on, bool):
            return give('bad_field', {'details': [f'zone: {zone!r}, emptied: {on!r}']})
        self._order(
            self.core,
            'c_zone',
            {'zone': zone, 'emptied': on, 'at': self.core.wall},
            give,
            lambda r: give('ok', {'zone': zone, 'emptied': on}),
        )

    def do_emptied(self, a, give, cell):
        def fn():
            at = self.core.mac.atlas
            give('ok', {'zones': [{'zone': z, 'since': int(at.rows[f'empty:{z}'][1])} for z in sorted(at.emptied)]})

        self._sure(self.core, give, fn)

    def do_nodes(self, a, give, cell):
        def fn():
            b = self.b
            rows = [dict(r, connected=n in b.links or n == b.me) for n, r in sorted(b.nodes.items())]
            give('ok', {'nodes': rows, 'holders': {g: h[0] for g, h in b.holders.items()}})

        self._sure(self.core, give, fn)

    def do_seats(self, a, give, cell):
        out = {}
        for g, c in [('core', self.core)] + [(g, p.member) for g, p in self.b.cells.items()]:
            if c is None:
                continue
            s = c.replica
            out[g] = {
                'state': s.state,
                'view': s.view,
                'holder': self.b.holders.get(g, ('', 0))[0],
                'delivered': s.commit_index,
                'last': s.log.last,
                'seats': s.log.members,
                'changing': s.changing,
                'counts': s.counters,
            }
            if s.leadership:
                out[g]['siblings'] = {
                    n: {'acked': p.acked_index, 'heard_ms_ago': self.b.now - p.heard_at, 'slow': p.slow}
                    for n, p in s.leadership.progress.items()
                }
        give('ok', {'node': self.b.me, 'groups': out})

    def do_replace(self, a, give, cell):
        def fn():
            code = cell.replica.leadership.replace(a['old'], a['new'], a.get('sure', False))
            give(
                code,
                {
                    'groups': [{'group': cell.grp, 'seats': sorted(cell.replica.log.members)}],
                    'retry_ms': 1000,
                    **({} if code in ('ok', 'under_way') else {'details': [f'{cell.grp}: {a["old"]!r}, {a["new"]!r}']}),
                },
            )

        # without a majority that confirms this holder nothing is said of any seat
        self._sure(cell, give, fn)
