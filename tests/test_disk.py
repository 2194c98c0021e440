"""The data folder: what is synced is there again; a folder that can't be read is never guessed at."""

import os
import random

import pytest

from asterwharf.base.settings import View
from asterwharf.disk.store import Corrupt, Store
from asterwharf.scheduler.cell import Cell
from asterwharf.view.seat import Seat
from asterwharf.wire import kinds  # noqa: F401
from asterwharf.wire.schema import pack


def alone(sto, now=0, keep=50):
    """A group of one seat over a real store."""
    s = Seat('g', 'a', sto.inc, View(keep_log=keep), random.Random(1), Cell(), sto.load('g'), now)
    if s.empty:
        s.found({'a': sto.inc})
    return s


def turn(s, sto, now):
    s.tick(now, now)
    while True:
        b, _, done = s.take()
        if b is None and not done:
            return
        if b:
            sto.write([('g', b)])
            s.synced(b.num, 0, now)


def job(i):
    return pack('t_submit', {'tenant': 't', 'id': f'j{i}', 'sum': str(i), 'at': 1,
                             'spec': {'class': 'default', 'tasks': [{'name': 'x', 'gang': 'é'}]}})


def test_rows_and_log_bring_back_every_delivered_change(tmp_path):
    sto = Store(str(tmp_path / 'd'))
    s = alone(sto)
    for now in range(0, 5000, 100):
        turn(s, sto, now)
    for i in range(230):
        assert s.propose(job(i), i)
        turn(s, sto, 5000 + i)
    assert s.log.rows_op > 100 and s.log.cut_op > 50
    inc = sto.inc
    sto.close()
    sto = Store(str(tmp_path / 'd'))
    assert sto.inc == inc
    s = alone(sto, 10000)
    for now in range(10000, 15000, 100):
        turn(s, sto, now)
    assert sorted(s.mac.jobs) == sorted(f't/j{i}' for i in range(230))
    sto.close()


def test_a_folder_that_is_no_store_is_refused_with_its_number(tmp_path):
    d = tmp_path / 'd'
    d.mkdir()
    (d / 'data.mdb').write_bytes(os.urandom(65536))
    with pytest.raises(Corrupt):
        Store(str(d))


def test_without_a_folder_each_start_is_another_incarnation():
    assert Store('').inc != Store('').inc


def test_a_sync_that_fails_is_told_and_nothing_counts_as_synced(tmp_path):
    sto = Store(str(tmp_path / 'd'))
    s = alone(sto)
    sto.env.close()
    with pytest.raises(Corrupt):
        turn(s, sto, 5000)
    assert s.desk.safe == 0 and s.desk.done == 0
