"""What a new leader takes for the end of holds that the last one gave is never before the minion's own end of them."""

import pytest

from asterwharf.orchard.minion_link import RECOVERING
from asterwharf.orchard.tender import Tender
from asterwharf.sim import yard_days

# ms after a leader has begun: answers of the last one may still be on their way, and after the last of these none is taken
LOOKS = (0, 100, 300, 1000)
DAYS = [
    ('open', 31, ['disk_stall', 'roll_term', 'clock_step', 'core_cut']),
    ('open', 32, ['core_cut', 'srv_cut', 'node_freeze', 'node_kill']),
    ('open', 35, ['disk_stall', 'roll_term', 'clock_step', 'core_cut']),
]


class Inheritance:
    """Looks at each change of leader: at the bound of each silent minion, and at the hold that it really has."""

    def __init__(self, day):
        self.day, self.looked, self.early = day, 0, []

    def begun(self, tender):
        world = self.day.fleet.w
        begun_at, bounds = world.t, {mid: link.bound - tender.b.now for mid, link in tender.links.items()}
        for ms in LOOKS:
            world.after(ms, self._look, tender, tender.term, begun_at, bounds)

    def _look(self, tender, term, begun_at, bounds):
        if tender.term != term:
            return
        minions = {minion.id: minion for minion in self.day.fleet.minions.values() if minion.up}
        for mid, bound_ms in bounds.items():
            link, minion = tender.links.get(mid), minions.get(mid)
            if link is None or minion is None or link.state != RECOVERING or link.doc is not None or not minion.runs:
                continue
            self.looked += 1
            held_until = minion.born + minion.hold / minion.clock
            if held_until > begun_at + bound_ms:
                self.early.append((mid, begun_at, bound_ms, held_until))


@pytest.mark.parametrize(('site', 'seed', 'faults'), DAYS)
def test_no_minion_holds_a_run_beyond_what_a_new_leader_waits_for(site, seed, faults, monkeypatch):
    day = yard_days.Day(site, seed, length=20000, load=0.6)
    inheritance, turn = Inheritance(day), Tender._turn

    def watched(tender, term):
        turn(tender, term)
        if term >= 0:
            inheritance.begun(tender)

    monkeypatch.setattr(Tender, '_turn', watched)
    day.play([(2000 + 4000 * number, kind) for number, kind in enumerate(faults)], '')
    assert day.ok, day.text()
    assert inheritance.looked >= 20 and not inheritance.early
