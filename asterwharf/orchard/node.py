"""The controllers of a core node and of an edge where minions call in by themselves, without their world. Pure."""

from asterwharf.base.board import Board, Node
from asterwharf.consensus.member import GroupMember
from asterwharf.mend.mender import Mender
from asterwharf.orchard.gangs import GangWatch
from asterwharf.orchard.gate import Gate
from asterwharf.orchard.health import Health
from asterwharf.orchard.late_jobs import LateJobs
from asterwharf.orchard.mover import Mover
from asterwharf.orchard.placer import Placer
from asterwharf.orchard.tender import Tender
from asterwharf.orchard.yard import Yard
from asterwharf.ring.meet import Meet
from asterwharf.ring.watch import Watch
from asterwharf.scheduler.atlas import COMMONS, Atlas
from asterwharf.scheduler.configuration.state_machine import ConfigurationStateMachine
from asterwharf.scheduler.news import Asker, Crier
from asterwharf.scheduler.request_router import RequestRouter
from asterwharf.wire.schema import PROTO


class Plot:
    """What a core node runs for the cell."""

    __slots__ = ('all', 'late_jobs', 'member', 'placer', 'tender')

    def __init__(self, b, load):
        self.member = GroupMember(b, COMMONS, Yard(), load(COMMONS))
        self.tender = Tender(b, self.member)
        hlt = Health(b, self.member, self.tender)
        self.placer = Placer(b, self.member, self.tender, hlt)
        # ends are learned from before places are given, places are given before beats are answered
        late = self.late_jobs = self.placer.wait_reasons.late_jobs = LateJobs(b, self.member, self.tender, self.placer)
        mover = Mover(b, self.member, self.tender, hlt, self.placer, late)
        gangs = GangWatch(b, self.member, self.tender, mover)
        self.all = self.member, hlt, late, self.placer, self.tender, mover, gangs


def control(st, inc, rng, load, now, wall, proto=PROTO):
    """`load(grp)` gives what the group had synced; the group members come first, so that they see time first."""
    b = Board(st, 'trellis', inc, rng, now, wall)
    b.atlas, b.load, b.proto = Atlas(), load, proto
    core = GroupMember(b, 'core', ConfigurationStateMachine(), load('core'))
    plt = b.cells[COMMONS] = Plot(b, load)
    return Node(
        b,
        [
            core,
            *plt.all,
            Meet(b, [core, plt.member]),
            Watch(b),
            Crier(b, core),
            Asker(b, core),
            Mender(b),
            Gate(b, core),
            RequestRouter(b),
        ],
    )


def edge(st, inc, rng, load, now, wall, proto=PROTO):
    b = Board(st, 'furrow', inc, rng, now, wall)
    b.atlas, b.load, b.proto = Atlas(), load, proto
    return Node(b, [Meet(b), Watch(b), Asker(b), Mender(b), RequestRouter(b)])
