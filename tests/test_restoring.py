"""A replica that begins anew from the rows of any checkpoint equals one that applied every change."""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from replica_histories import CellReplicas, ConfigurationReplicas, Replicas, YardReplicas

HISTORIES = 200
EVERY = (YardReplicas, CellReplicas, ConfigurationReplicas)


def draw(replicas: type[Replicas], **weights):
    """Plays drawn histories; the kinds in `weights` come more often."""

    # a shorter history reaches other states: what a seed fails with is looked at as it is
    @settings(max_examples=HISTORIES, deadline=None, derandomize=True, database=None, phases=[Phase.generate])
    @given(st.integers(0, 2**32))
    def play(seed):
        replicas().play(replicas.history(seed, weights))

    play()


@pytest.mark.parametrize('replicas', EVERY, ids=lambda r: r.machine_type.__name__)
def test_every_kind_of_change_is_drawn(replicas):
    assert replicas.kinds() and all(hasattr(replicas, kind) for kind in replicas.kinds())


def test_the_cell_whose_minions_call_in_is_what_its_rows_say():
    draw(YardReplicas, y_submit=3, y_start=8, y_end=5, y_lapse=2, y_due=3)


def test_a_cell_of_agents_is_what_its_rows_say():
    draw(CellReplicas, t_submit=3, t_register=3, t_place=6, t_status=8, t_down=2)


def test_the_configuration_is_what_its_rows_say():
    draw(ConfigurationReplicas)


def test_a_lost_mark_is_seen(monkeypatch):
    """Guards the comparison itself: a change that is not marked for the next checkpoint is found."""
    replicas = YardReplicas()
    replicas.y_submit(0, 1, 1)
    replicas.checkpoint()
    replicas.y_cancel(0, 0, 0)
    replicas.applied.dirty.clear()
    with pytest.raises(AssertionError):
        replicas.checkpoint()
