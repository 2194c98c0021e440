"""The controllers of a core node, without its world. Pure."""

from asterwharf.base.board import Board, Node
from asterwharf.ring.meet import Meet
from asterwharf.ring.watch import Watch
from asterwharf.scheduler.cell import Cell
from asterwharf.scheduler.clerk import Clerk
from asterwharf.scheduler.core import Core
from asterwharf.scheduler.ferry import Ferry
from asterwharf.scheduler.janitor import Janitor
from asterwharf.scheduler.news import Crier
from asterwharf.scheduler.placer import Placer
from asterwharf.scheduler.steward import Steward
from asterwharf.view.chair import Chair

GROUPS = ('core', 'commons')


def build(st, inc, rng, load, now, wall):
    """`load(grp)` gives what the group had synced; the chairs come first, so that they see time first."""
    b = Board(st, 'trellis', inc, rng, now, wall)
    core = Chair(b, 'core', Core(), load('core'))
    cell = Chair(b, 'commons', Cell(), load('commons'))
    plc = Placer(b, cell)
    return Node(b, [core, cell, Meet(b, [core, cell]), Watch(b), Crier(b, core), Steward(b, cell), plc,
                    Janitor(b, cell), Clerk(b, core, cell, plc), Ferry(b)])


def chairs(node):
    return {c.grp: c for c in node.ctl if isinstance(c, Chair)}


def leave(node):
    """Hands over every duty; True when nothing is held here any more."""
    left = [c for c in chairs(node).values() if c.seat.ten is not None]
    for c in left:
        if not c.seat.ten.heir:
            c.seat.hand_over()
    return not left
