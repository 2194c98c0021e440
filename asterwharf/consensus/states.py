"""The states of a replica and the allowed changes between them."""

from dataclasses import dataclass
from enum import StrEnum


class State(StrEnum):
    """What a replica is in its group at this moment."""

    LEARNER = 'learner'
    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


# every allowed change of state; anything else is a programming error
ALLOWED_CHANGES = {
    State.LEARNER: {State.FOLLOWER},
    State.FOLLOWER: {State.PRE_CANDIDATE, State.CANDIDATE, State.LEARNER},
    State.PRE_CANDIDATE: {State.FOLLOWER, State.CANDIDATE, State.LEARNER, State.PRE_CANDIDATE},
    State.CANDIDATE: {State.FOLLOWER, State.LEADER, State.PRE_CANDIDATE, State.LEARNER, State.CANDIDATE},
    State.LEADER: {State.FOLLOWER, State.LEARNER},
}


@dataclass(frozen=True, slots=True)
class StateChange:
    """One change of state, for the log of the node."""

    old: State
    new: State
    view: int
    why: str
