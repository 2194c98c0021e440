"""The short form of the soak: whole processes, overlapping troubles, invariants on. The long form: `python tests/soak.py`."""

import pytest
from soak import play


@pytest.mark.parametrize('seed', [1, 2])
def test_nothing_is_broken_under_overlapping_troubles(seed, tmp_path):
    broken, figures, troubles = play(seed, 10.0, tmp_path)
    assert not broken, (broken[:5], troubles)
    # a run in which nothing happened proves nothing
    assert figures['jobs'] >= 10 and figures['done'] >= 30 and figures['troubles'] >= 4, figures
