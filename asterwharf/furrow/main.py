"""The data plane: `asterwharf edge` on edge machines, `asterwharf agent` beside each minion."""

import sys

from asterwharf.base.aliases import COMMANDS, warn
from asterwharf.base.command import settle
from asterwharf.clock.boot import boot_ms, wall_ms
from asterwharf.consensus.member import cut_short, leave
from asterwharf.furrow import node
from asterwharf.scheduler.policy import warm
from asterwharf.wire.daemon import Daemon, rng, run


class Edge(Daemon):
    """An edge, with the seats that cells may have given it."""

    def idle(self):
        return leave(self.node)

    def cut_short(self):
        cut_short(self.node)


def serve(st, path, over, cuts):
    from asterwharf.base import logs
    from asterwharf.base.settings import address
    from asterwharf.disk.store import Corrupt, Store
    from asterwharf.door.app import App
    from asterwharf.door.http import Door

    try:
        # an edge may have a small disk, for the cells it has a seat in
        sto = Store(st.data)
    except Corrupt as e:
        logs.say('error', 'alarm', alarm='corrupt', code=501, why=str(e))
        return 5
    dmn = Edge(node.serve(st, sto.inc, rng(), sto.load, boot_ms(), wall_ms()), sto, over=over, path=path, cuts=cuts)
    if st.http:
        dmn.parts.append(Door(address(st.http), App(dmn)).register(dmn))
    logs.say('info', 'started', role='furrow serve', bind=st.bind, http=st.http, zone=st.zone)
    warm()
    return run(dmn)


def tend(st, path, over, cuts):
    from asterwharf.base import logs
    from asterwharf.disk.store import Store
    from asterwharf.furrow.dialect import Dialect
    from asterwharf.link.keeper import Keeper

    if not st.minion:
        print('minion: missing; `asterwharf agent` needs the address of its minion')
        return 2
    sto = Store('')
    nod = node.tend(st, sto.inc, rng(), boot_ms(), wall_ms(), (st.cores, st.gpus, st.mem))
    dmn = Daemon(nod, sto, over=over, path=path, cuts=cuts)
    dmn.parts.append(Dialect(dmn, nod.find(Keeper), st.minion).register(dmn))
    logs.say('info', 'started', role='furrow tend', bind=st.bind, minion=st.minion, zone=st.zone)
    return run(dmn)


def main():
    """The old commands `furrow serve` and `furrow tend`."""
    old = ' '.join(['furrow', *sys.argv[1:2]])
    if old in COMMANDS:
        warn(old)
    app = settle(
        'furrow',
        'The data plane of asterwharf.',
        {'serve': 'An edge: the door for callers and operators.', 'tend': 'The agent beside one minion.'},
        {'serve': serve, 'tend': tend},
    )
    app()
