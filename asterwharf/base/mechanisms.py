"""The mechanisms of the cell whose minions call in that a trial can switch off, to learn what each is worth."""

from enum import StrEnum


class Mechanism(StrEnum):
    """A mechanism that decides; its value is its name in the setting `call.without`."""

    PACE = 'pace'  # runs on minions that have turned slow are moved
    STILLNESS = 'stillness'  # runs that make no progress are moved
    SUSPICION = 'suspicion'  # minions whose runs go badly get work last
    SHUNNING = 'shunning'  # a task is not tried again where it came to nothing
    EVICTION = 'eviction'  # less urgent runs make room for urgent work
    RESERVATIONS = 'reservations'  # room is held for steps that need much of it at once
    LATENESS = 'lateness'  # late work yields to equally urgent work that can be in time
    GUARANTEES = 'guarantees'  # less urgent work has a share of its group's room
    RACK_PATIENCE = 'rack_patience'  # work waits for the rack that suits it
    COPIES = 'copies'  # work that may be repeated is started again while its minion is silent
    LEAVING = 'leaving'  # runs that can't end before their minion leaves are moved at once


def unknown(names):
    """Those of the names that are no mechanism's."""
    return [name for name in names if name not in {mechanism.value for mechanism in Mechanism}]
