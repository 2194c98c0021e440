"""What a leader knows of each other replica."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class SnapshotTransfer:
    """The snapshot under way to one replica, frozen at its begin; `cuts` are the first rows of the parts so far."""

    index: int
    view: int
    members: dict
    rows: list
    cuts: list = field(default_factory=lambda: [0])


class FollowerProgress:
    """How far one replica has come; times are in ms of the leader's monotonic clock."""

    __slots__ = (
        'acked_index',
        'appended_at',
        'clock_offset',
        'heard_at',
        'heartbeat',
        'incarnation',
        'leaving',
        'leaving_since',
        'next_index',
        'part',
        'part_sent_at',
        'released',
        'slow',
        'snapshot',
    )

    def __init__(self, now, next_index, incarnation):
        # the newest heartbeat that it answered, and the last index that it has on disk
        self.heartbeat, self.acked_index = 0, 0
        self.heard_at, self.next_index, self.incarnation = now, next_index, incarnation
        self.clock_offset, self.slow, self.snapshot, self.part = None, False, None, 0
        self.part_sent_at, self.appended_at = 0, 0
        # its process was told to end, when that was first heard, and whether it was told that it may
        self.leaving, self.leaving_since, self.released = False, now, False
