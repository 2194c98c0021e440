"""Simulated callers and operators: they send, send again after silence, ask, and cancel."""

DOC = {
    'zones': {'z1': {}, 'z2': {}, 'z3': {}},
    'tenants': {'basin': {'weight': 2.0, 'policy': 'near'}, 'sweeps': {'weight': 1.0}},
    'classes': {'surge': {'priority': 100}, 'leak': {'priority': 50}, 'sweep': {'priority': 0}},
    'policies': {'near': {'may_land': 'minion.cores >= task.cores', 'score': 'minion.zone == "z1" ? 1.0 : 0.5'}},
}


class Caller:
    """One request at a time per job: submit until answered, then ask until it is finished."""

    def __init__(self, w, edges, obs, name='caller'):
        self.w, self.edges, self.obs, self.name, self.n = w, edges, obs, name, 0
        self.silence, self.took = 6000, []

    def _edge(self):
        up = [e for e in self.edges if self.w.hosts[e].alive and not self.w.hosts[e].frozen]
        return self.w.rng.choice(up or self.edges)

    def _call(self, op, grp, args, then):
        """One request through some edge; `then` gets None after silence."""
        w, e = self.w, self._edge()
        h = w.hosts[e]
        box = {'done': False}

        def got(code, body):
            if not box['done']:
                box['done'] = True
                w.after(w.rng.randint(1, 3), then, code, body)

        def quiet():
            if not box['done']:
                box['done'] = True
                then(None, None)

        def act():
            f = next(c for c in h.node.ctl if type(c).__name__ == 'RequestRouter')
            h.node.b.now, h.node.b.wall = w.clocks(h)
            f.start(op, grp, args, got)

        if h.alive:
            w._do(h, act)
        w.after(self.silence, quiet)

    def submit(self, tenant, jid, spec, resend=0.0, cancel=0):
        job, beg = f'{tenant}/{jid}', self.w.t
        self.obs.submitted(job, spec)
        self._submit(job, tenant, jid, spec, beg)
        if resend and self.w.rng.random() < resend:
            self.w.after(self.w.rng.randint(1, 3000), self._submit, job, tenant, jid, spec, None)
        if cancel:
            self.w.after(cancel, self.cancel, tenant, jid)

    def _submit(self, job, tenant, jid, spec, beg):
        def then(code, body):
            if code is not None:
                self.obs.told(job, 'submit', code, body)
            if code in (None, 'no_holder', 'unsure', 'overload', 'tenant_full'):
                return self.w.after(self.w.rng.randint(500, 1500), self._submit, job, tenant, jid, spec, beg)
            if code in ('taken', 'same') and beg is not None:
                self.took.append(self.w.t - beg)
                self.w.after(500, self.ask, tenant, jid)

        self._call('submit', 'cell', {'tenant': tenant, 'id': jid, 'spec': spec}, then)

    def ask(self, tenant, jid):
        job = f'{tenant}/{jid}'

        def then(code, body):
            if code is not None:
                self.obs.told(job, 'job', code, body)
            if job not in self.obs.final:
                self.w.after(self.w.rng.randint(800, 1500), self.ask, tenant, jid)

        self._call('job', 'cell', {'tenant': tenant, 'id': jid}, then)

    def cancel(self, tenant, jid):
        job = f'{tenant}/{jid}'
        self.obs.cancel_asked(job)

        def then(code, body):
            if code is not None:
                self.obs.told(job, 'cancel', code, body)
            # unknown while its own sending is still under way: it may be taken yet
            if code in ('ok', 'ended') or (code == 'unknown_job' and job in self.obs.kept):
                return
            self.w.after(1000, self.cancel, tenant, jid)

        self._call('cancel', 'cell', {'tenant': tenant, 'id': jid}, then)

    def configure(self, change, by='op', tries=30):
        """Gets, changes, puts; on a lost race it begins again."""
        if tries <= 0:
            return
        since = self.w.t

        def put(code, body):
            if code != 'ok':
                return self.w.after(300, self.configure, change, by, tries - 1)
            self.obs.config_read(body['sequence'], body['config'], since)
            doc, base = change(body['config']), body['sequence']
            self.obs.config_asked(doc, base, by)

            def then(code2, b2):
                if code2 == 'ok':
                    return self.obs.config_told(base, b2['sequence'], doc, by)
                if code2 == 'stale':
                    self.obs.config_refused(doc, base, by)
                # unsure: it may have been taken; reading it again tells
                self.w.after(300, self.configure, change, by, tries - 1)

            self._call('config_put', 'core', {'base': base, 'config': doc, 'by': by}, then)

        self._call('config_get', 'core', {}, put)


def job(rng, kind, ms=300):
    """A specification of one of the mixes: surge checks, leak runs with steps and gangs, sweeps."""
    r = {'ms': max(20, int(rng.gauss(ms, ms / 4)))}
    if kind == 'surge':
        return {'class': 'surge', 'tasks': [{'name': 'check', 'cores': 2, 'run': r}]}
    if kind == 'leak':
        gang = [
            {'name': f'fit{i}', 'cores': 8, 'gpus': 1, 'after': ['load'], 'gang': 'fit', 'run': {'ms': ms * 2}}
            for i in range(4)
        ]
        return {
            'class': 'leak',
            'tasks': [{'name': 'load', 'cores': 1, 'run': r}]
            + gang
            + [{'name': 'rank', 'cores': 1, 'after': [f'fit{i}' for i in range(4)], 'run': r}],
        }
    flaky = rng.random() < 0.3
    tks = [
        {'name': f's{i}', 'cores': 1, 'tries': 3, 'run': dict(r, fail=1 if flaky and i == 0 else 0)} for i in range(3)
    ]
    tks.append({'name': 'sum', 'cores': 1, 'after': ['s0', 's1', 's2'], 'run': r})
    return {'class': 'sweep', 'tasks': tks}
