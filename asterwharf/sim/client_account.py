"""What the clients of one simulated job were told."""


class Told:
    """What the clients of one job were told."""

    __slots__ = (
        'accepted',
        'asked',
        'cancel',
        'cancelled',
        'done_at',
        'final',
        'final_at',
        'first',
        'held',
        'job',
        'last',
        'live',
        'lone',
        'open',
        'starts',
        'stuck',
        'tries',
        'unclear',
    )

    def __init__(self, job, now):
        self.job, self.first, self.last, self.accepted, self.final, self.final_at = job, now, now, None, '', None
        # hand-ins under way, hand-ins answered by silence, hand-ins in all
        self.open, self.unclear, self.tries = 0, 0, 0
        self.cancel, self.cancelled, self.asked, self.stuck, self.done_at = None, None, 0, None, {}
        # runs there are, whether there ever was one, until when a minion that is gone may have held one, since when none is
        self.live, self.starts, self.held, self.lone = 0, False, 0, None
