"""How soon a lost member of the core is given up, by the figures of the users' pages."""

import pytest
from test_platform import CORE, settings, written


@pytest.mark.parametrize(('in_touch_ms', 'catch_up_s'), [(3000, 4), (4000, 6)])
def test_a_lost_leader_is_given_up_within_the_time_to_catch_up(tmp_path, in_touch_ms, catch_up_s):
    rows = CORE | {'time_bounds.in_touch_ms': str(in_touch_ms), 'time_bounds.catch_up_s': str(catch_up_s)}
    view = settings.load(written(tmp_path, rows)).ok.view
    # the successor of the leader begins to count when it is elected; the longest wait for that without a split vote
    election_ms = view.silence_ms * (1 + view.spread_ratio)
    assert election_ms + view.silence_ms * view.lost_ratio <= 1000 * catch_up_s - view.silence_ms / 2
