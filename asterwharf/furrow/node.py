"""The controllers of an edge and of an agent, without their world. Pure."""

from asterwharf.base.board import Board, Node
from asterwharf.link.agent import Agent
from asterwharf.link.edge import Hub
from asterwharf.link.keeper import Keeper
from asterwharf.mend.mender import Mender
from asterwharf.ring.meet import Meet
from asterwharf.ring.watch import Watch
from asterwharf.scheduler.atlas import Atlas
from asterwharf.scheduler.garden import Garden
from asterwharf.scheduler.news import Asker
from asterwharf.scheduler.request_handlers import RequestHandlers
from asterwharf.scheduler.request_router import RequestRouter
from asterwharf.wire.schema import PROTO


def serve(st, inc, rng, load, now, wall):
    b = Board(st, 'furrow', inc, rng, now, wall)
    b.atlas, b.load, b.proto = Atlas(), load, PROTO
    return Node(b, [Meet(b), Watch(b), Asker(b), Garden(b), Mender(b), Hub(b), RequestHandlers(b), RequestRouter(b)])


def tend(st, inc, rng, now, wall, size):
    b = Board(st, 'tend', inc, rng, now, wall)
    b.proto = PROTO
    agt = Agent(b)
    return Node(b, [agt, Keeper(b, agt, size)])
