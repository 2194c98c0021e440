"""The operations that travel between nodes, and which of them may be sent a second time. Pure.

The router sends a request again when its first attempt met silence, a lost connection or an unclear answer, so that
the caller need not. That is right only where a second delivery, however late, leaves things as the first one did.
"""

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """What a second delivery of an operation does."""

    # it changes nothing: a request given up on is answered "not taken"
    READ = 'read'
    # the second delivery finds what the first one did
    SAME = 'same'
    # carried out late, it would undo what came in between: sent once, and 504 where its outcome is not known
    ONCE = 'once'


@dataclass(frozen=True)
class Operation:
    """One operation: what repeating it does, and why."""

    name: str
    repeat: Repeat
    because: str = 'it changes nothing'
    # whether it must not be carried out any more once its caller has given up
    expires: bool = False


_READS = (
    'job',
    'y_state',
    'y_waiting',
    'y_job',
    'counts',
    'jobs',
    'minions',
    'zones',
    'claims',
    'config_get',
    'queues_get',
    'emptied',
    'nodes',
    'cells',
    'why',
    'seats',
    'history',
    'judge',
)
_CHANGES = (
    # a caller whose later tries were refused takes the job for refused
    Operation('submit', Repeat.SAME, 'the job identifier and the digest of its body name the request', True),
    Operation('y_submit', Repeat.SAME, 'the job identifier and the digest of its body name the request', True),
    Operation('cancel', Repeat.SAME, 'a job is cancelled for good: nothing takes the order back'),
    Operation('y_cancel', Repeat.SAME, 'a job is cancelled for good: nothing takes the order back'),
    Operation('config_put', Repeat.SAME, 'it is accepted on top of one number only'),
    Operation('queues_put', Repeat.SAME, 'it is accepted on top of one number only, and remembered by its digest'),
    Operation('queues_change', Repeat.SAME, 'it is accepted on top of one number only, and remembered by its digest'),
    Operation('own', Repeat.SAME, 'it names the owner that it replaces'),
    Operation('import', Repeat.SAME, 'the parts of a hand-over are numbered'),
    Operation('zone_set', Repeat.ONCE, 'an order that came in between may have taken it back', True),
    Operation('drain', Repeat.ONCE, 'an order that came in between may have taken it back', True),
    Operation('gone', Repeat.ONCE, 'the minion may have come back in between', True),
    Operation('replace', Repeat.ONCE, 'the node may have been replaced by another in between', True),
)
OPERATIONS = {o.name: o for o in (*(Operation(name, Repeat.READ) for name in _READS), *_CHANGES)}


def operation(name):
    """The operation; one that is not known here is neither repeated nor carried out late."""
    return OPERATIONS.get(name) or Operation(name, Repeat.ONCE, 'nothing is known of it', True)
