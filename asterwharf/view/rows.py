"""How a seat's rows move up to what is delivered, and how a seat far behind is brought up by them. Pure."""

from asterwharf.view.log import Log


class Rows:
    """The part of a seat that deals with checkpoints and snapshots."""

    __slots__ = ()

    def _checkpoint(self):
        """The rows move up to what is delivered; a tail of the log stays for siblings."""
        dlt = self.mac.delta()
        b = self.desk.page()
        b.rows.update(dlt)
        for k, v in dlt.items():
            if v is None:
                self.rows.pop(k, None)
            else:
                self.rows[k] = v
        self.log.settle(self.upto)
        b.drop = self.upto - self.cfg.keep_log // 2
        self.log.drop(b.drop)
        self._mark()

    # --- snapshots
    def on_snap(self, src, m):
        if m['view'] < self.view:
            return
        self._follow(m['view'], src)
        self.heard = self.now
        if m['op'] <= self.upto and not self.empty:
            return self.desk.vow(src, 'snapped', {'grp': self.grp, 'view': m['view'], 'op': m['op'], 'part': -1})
        if m['part'] == 0:
            self.parts = []
        if m['part'] < len(self.parts):
            # heard already; only our word of it was lost
            return self.desk.vow(src, 'snapped', {'grp': self.grp, 'view': m['view'], 'op': m['op'], 'part': m['part']})
        if m['part'] != len(self.parts):
            return
        self.parts.append(m['rows'])
        if m['last']:
            self._install(m)
        self.desk.vow(
            src, 'snapped', {'grp': self.grp, 'view': m['view'], 'op': m['op'], 'part': -1 if m['last'] else m['part']}
        )

    def _install(self, m):
        self.rows = {r['k']: r['v'] for p in self.parts for r in p}
        self.parts = []
        self._prove_rows()
        self.mac.load(self.rows)
        self.log = Log(m['op'], m['stamp'], m['op'], m['stamp'], m['seats'])
        self.upto = m['op']
        self.desk.cut(m['op'] + 1)
        b = self.desk.page()
        b.wipe, b.trim, b.drop, b.log, b.rows = True, None, None, [], dict(self.rows)
        self._mark()
        self._sit()
