"""The controllers of a core node, without its world. Pure."""

from asterwharf.base.board import Board, Node
from asterwharf.consensus.member import GroupMember
from asterwharf.mend.mender import Mender
from asterwharf.ring.meet import Meet
from asterwharf.ring.watch import Watch
from asterwharf.scheduler.atlas import COMMONS, Atlas
from asterwharf.scheduler.configuration.state_machine import ConfigurationStateMachine
from asterwharf.scheduler.garden import Garden, Part, Warden
from asterwharf.scheduler.news import Asker, Crier
from asterwharf.scheduler.request_handlers import RequestHandlers
from asterwharf.scheduler.request_router import RequestRouter
from asterwharf.wire.schema import PROTO


def build(st, inc, rng, load, now, wall, proto=PROTO):
    """`load(grp)` gives what the group had synced; the group members come first, so that they see time first."""
    b = Board(st, 'trellis', inc, rng, now, wall)
    b.atlas, b.load, b.proto = Atlas(), load, proto
    core = GroupMember(b, 'core', ConfigurationStateMachine(), load('core'))
    com = b.cells[COMMONS] = Part(b, COMMONS)
    return Node(
        b,
        [
            core,
            *com.all,
            Meet(b, [core, com.member]),
            Watch(b),
            Crier(b, core),
            Asker(b, core),
            Warden(b, core),
            Garden(b),
            Mender(b),
            RequestHandlers(b, core),
            RequestRouter(b),
        ],
    )
