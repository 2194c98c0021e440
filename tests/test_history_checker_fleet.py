"""The history checker on a simulated fleet: what operators saw is linearizable, and mutants of the product are caught."""

import pytest
from test_queues import doc, queue
from test_queues_fleet import fleet

from asterwharf.base.settings import View
from asterwharf.scheduler import queues
from asterwharf.scheduler.configuration.state_machine import ConfigurationStateMachine, OrderResult
from asterwharf.scheduler.request_router import RequestRouter
from asterwharf.sim.history_checker import History, Outcome, check, content_digest

CLEAR = {'ok': 'ok', 'stale': 'stale', 'bad_config': 'invalid'}


class Recorder:
    """Operators' calls on a fleet, each recorded with its times on the world's clock."""

    def __init__(self, f):
        self.f, self.history = f, History()

    def order(self, document, base, at='e0', kind='replace', request=None, then=None):
        """Sends an order; its answer is recorded whenever it comes."""
        call = self.history.invoke(
            kind,
            self.f.w.t,
            base,
            document['number'],
            content_digest(document),
            content_digest(request) if request else '',
        )
        op, args = ('queues_change', request) if request else ('queues_put', {'doc': document})

        def answered(code, body):
            if code in CLEAR:
                self.history.returned(call, CLEAR[code], self.f.w.t)
            if then:
                then(code)

        self.send(op, dict(args, base=base, by='op'), at, answered)

    def read(self, at='e0'):
        call = self.history.invoke('read', self.f.w.t)

        def answered(code, body):
            if code == 'ok':
                number = body['number']
                self.history.returned(call, 'ok', self.f.w.t, number, content_digest(body['doc']) if number else '')

        self.send('queues_get', {}, at, answered)

    def send(self, op, args, at, then):
        host = self.f.w.hosts[at]
        if not host.alive or host.frozen:
            return

        def act():
            host.node.b.now, host.node.b.wall = self.f.w.clocks(host)
            host.node.find(RequestRouter).start(op, 'core', args, then)

        self.f.w._do(host, act)

    def verdict(self):
        return check(self.history.operations)


def wait(f, ms):
    f.w.run(f.w.t + ms)


@pytest.mark.parametrize('seed', range(3))
def test_eight_orders_under_way_among_faults_are_linearizable(seed):
    f = fleet(300 + seed, view=View(keep_log=10, chunk=2000))
    recorder, rng, sent, current = Recorder(f), f.w.rng, [], 0
    for turn in range(25):
        # the newest version known, not always up to date
        top = max([o.number for o in recorder.history.operations if o.result == 'ok'], default=0)
        current = top if rng.random() < 0.9 else current
        for i in range(rng.randint(1, 8)):
            if sent and rng.random() < 0.5:
                document, base = rng.choice(sent[-12:])
            else:
                document, base = doc(current + rng.randint(1, 3), 1, queues=[queue(9, kind=f'{turn}.{i}')]), current
                sent.append((document, base))
            f.w.after(rng.randint(0, 60), recorder.order, document, base, rng.choice(f.core + f.edges))
        for _ in range(2):
            f.w.after(rng.randint(0, 400), recorder.read, rng.choice(f.core + f.edges))
        name = f.holder('core') or f.core[0]
        if turn % 3 == 0:
            strike(f, name, rng.choice(('kill', 'cut', 'freeze')))
        wait(f, rng.randint(300, 1200))
        heal(f)
        if turn % 3 == 0:
            wait(f, 2500)
    wait(f, 15000)
    recorder.read()
    wait(f, 5000)
    operations = recorder.history.operations
    verdict = recorder.verdict()
    assert verdict.ok, verdict
    results = [o.result for o in operations if o.kind != 'read']
    assert (
        results.count('ok') > 20
        and results.count('stale') > 5
        and sum(o.kind == 'read' and o.result == 'ok' for o in operations) > 20
    )


def strike(f, name, how):
    if how == 'kill':
        f.w.kill(name)
    elif how == 'cut':
        f.w.part([name], [n for n in f.core + f.edges if n != name])
    else:
        f.w.freeze(name)


def heal(f):
    f.w.heal()
    for n in f.core:
        f.w.thaw(n)
        if not f.w.hosts[n].alive:
            f.w.start(n)


# --- stories that a mutant of the product fails
def two_rivals(f, recorder):
    recorder.order(doc(1), 0)
    wait(f, 1000)
    recorder.order(doc(2), 1, 'e0')
    recorder.order(doc(3), 1, 'e1')
    wait(f, 2000)


def all_restart(f, recorder):
    for n in range(1, 25):
        recorder.order(doc(n, 1), n - 1)
        wait(f, 300)
    for n in f.core:
        f.w.kill(n)
    for n in f.core:
        f.w.start(n)
    wait(f, 8000)
    recorder.read()
    wait(f, 3000)


def read_at_an_edge_cut_off(f, recorder):
    recorder.order(doc(1), 0)
    wait(f, 3000)
    f.w.part(['e1'], f.core + ['e0'])
    recorder.order(doc(2), 1, 'e0')
    wait(f, 2000)
    recorder.read('e1')
    wait(f, 3000)
    heal(f)
    wait(f, 8000)


def repeated_after_newer_versions(f, recorder):
    for n in range(1, 4):
        recorder.order(doc(n), n - 1)
        wait(f, 1000)
    recorder.order(doc(1), 0, 'e1')
    wait(f, 1000)


def base_ignored(monkeypatch):
    """Both of two rivals are acknowledged."""

    def put(self, op, d):
        self._put(op, 'queues', queues.row(d))
        return OrderResult(d['number'], accepted=True)

    monkeypatch.setattr(ConfigurationStateMachine, 'c_queues', put)


def row_not_written(monkeypatch):
    """An acknowledged change isn't in the rows that a restart begins with."""
    old = ConfigurationStateMachine.delta

    def delta(self):
        return {k: v for k, v in old(self).items() if k != 'queues'}

    monkeypatch.setattr(ConfigurationStateMachine, 'delta', delta)


def read_from_a_copy(monkeypatch):
    """A node answers reads from its own copy, unconfirmed."""
    old = RequestRouter.start

    def start(self, op, grp, args, then, ttl=0):
        if op != 'queues_get':
            return old(self, op, grp, args, then, ttl)
        here = self.b.atlas.queues
        return then('ok', {'number': here.number, 'doc': here.doc})

    monkeypatch.setattr(RequestRouter, 'start', start)


def nothing_remembered(monkeypatch):
    """A repeated order is judged as if it were new."""
    monkeypatch.setattr(
        'asterwharf.scheduler.configuration.accepted_orders.AcceptedOrders.number', lambda self, digest: None
    )


STORIES = [
    (two_rivals, base_ignored),
    (all_restart, row_not_written),
    (read_at_an_edge_cut_off, read_from_a_copy),
    (repeated_after_newer_versions, nothing_remembered),
]


def played(story, seed):
    f = fleet(seed, view=View(keep_log=10, chunk=2000))
    recorder = Recorder(f)
    story(f, recorder)
    return recorder


@pytest.mark.parametrize('story, mutant', STORIES)
def test_a_mutant_is_caught_and_the_product_is_not(story, mutant, monkeypatch):
    recorder = played(story, 7)
    assert recorder.verdict().ok and any(o.result == 'ok' for o in recorder.history.operations), recorder.verdict()
    mutant(monkeypatch)
    assert played(story, 7).verdict().outcome is Outcome.VIOLATED
