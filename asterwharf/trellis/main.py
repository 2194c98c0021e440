"""The control plane, one on each core machine: `asterwharf controller`."""

import os

from asterwharf.base.aliases import warn
from asterwharf.base.command import settle
from asterwharf.clock.boot import boot_ms, wall_ms
from asterwharf.consensus.member import cut_short, leave
from asterwharf.scheduler.policy import warm
from asterwharf.trellis import node
from asterwharf.wire.daemon import Daemon, rng, run


class Trellis(Daemon):
    """A core node with its disk."""

    def idle(self):
        return leave(self.node)

    def cut_short(self):
        cut_short(self.node)


def start(st, path, over, cuts):
    from asterwharf.base import logs
    from asterwharf.base.settings import address
    from asterwharf.disk.history import History
    from asterwharf.disk.store import Corrupt, Store
    from asterwharf.door.app import App
    from asterwharf.door.http import Door

    try:
        sto = Store(st.data)
        nod = node.build(st, sto.inc, rng(), sto.load, boot_ms(), wall_ms())
    except Corrupt as e:
        # never a guess at what was kept: an operator decides, see the runbook
        logs.say('error', 'alarm', alarm='corrupt', code=501, why=str(e))
        return 5
    if st.data:
        nod.b.history = History(os.path.join(st.data, 'history'), logs.say)
    dmn = Trellis(nod, sto, over=over, path=path, cuts=cuts)
    if st.http:
        dmn.parts.append(Door(address(st.http), App(dmn)).register(dmn))
    logs.say('info', 'started', role='trellis', bind=st.bind, http=st.http, zone=st.zone, inc=sto.inc)
    warm()
    return run(dmn)


def main():
    """The old command `trellis`."""
    warn('trellis')
    app = settle('trellis', 'The control plane of asterwharf: one on each core machine.', None, start)
    app()
