"""The data folder: what is synced is there again; a folder that can't be read is never guessed at."""

import os
import random
import subprocess
import sys

import pytest

from asterwharf.base.settings import View
from asterwharf.consensus.replica import Replica
from asterwharf.disk.store import Corrupt, Store
from asterwharf.scheduler.cell import Cell
from asterwharf.wire import kinds  # noqa: F401
from asterwharf.wire.schema import pack


def alone(sto, now=0, keep=50):
    """A group of one seat over a real store."""
    s = Replica('g', 'a', sto.inc, View(keep_log=keep), random.Random(1), Cell(), sto.load('g'), now)
    if s.empty:
        s.found({'a': sto.inc})
    return s


def turn(s, sto, now):
    s.tick(now, now)
    while True:
        out = s.take_output()
        if out.batch is None and not out.results:
            return
        if out.batch:
            sto.write([('g', out.batch)])
            s.synced(out.batch.num, 0, now)


def job(i):
    return pack(
        't_submit',
        {
            'tenant': 't',
            'id': f'j{i}',
            'sum': str(i),
            'at': 1,
            'spec': {'class': 'default', 'tasks': [{'name': 'x', 'gang': 'é'}]},
        },
    )


def test_rows_and_log_bring_back_every_delivered_change(tmp_path):
    sto = Store(str(tmp_path / 'd'))
    s = alone(sto)
    for now in range(0, 5000, 100):
        turn(s, sto, now)
    for i in range(230):
        assert s.propose(job(i), i)
        turn(s, sto, 5000 + i)
    assert s.log.snapshot_index > 100 and s.log.cut_index > 50
    inc = sto.inc
    sto.close()
    sto = Store(str(tmp_path / 'd'))
    assert sto.inc == inc
    s = alone(sto, 10000)
    for now in range(10000, 15000, 100):
        turn(s, sto, now)
    assert sorted(s.machine.jobs) == sorted(f't/j{i}' for i in range(230))
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
    assert s.outbox.safe == 0 and s.outbox.done == 0


CHILD = """
import resource, signal, sys
sys.path.insert(0, sys.argv[3])
from test_disk import alone, job, turn
from asterwharf.disk.store import Corrupt, Store
sto = Store(sys.argv[1])
s = alone(sto)
for now in range(0, 5000, 100):
    turn(s, sto, now)
if int(sys.argv[2]):
    # from here on no file grows beyond this: the disk is full
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (int(sys.argv[2]), int(sys.argv[2])))
was = len(s.machine.jobs)
for i in range(was, was + 100000):
    assert s.propose(job(i), i)
    try:
        turn(s, sto, 5000 + i)
    except Corrupt:
        print('full', flush=True)
        sys.exit(5)
    # what is printed is acknowledged: it was synced before
    print(i, flush=True)
"""


def child(path, limit):
    here = os.path.dirname(__file__)
    return subprocess.Popen(
        [sys.executable, '-c', CHILD, str(path), str(limit), here], stdout=subprocess.PIPE, text=True
    )


def reopened(path):
    """What a seat finds after a restart, with nothing in it that was not whole."""
    sto = Store(str(path))
    s = alone(sto, 10**6)
    for now in range(10**6, 10**6 + 5000, 100):
        turn(s, sto, now)
    n = len(s.machine.jobs)
    assert sorted(s.machine.jobs) == sorted(f't/j{i}' for i in range(n))
    sto.close()
    return n


def test_a_process_killed_in_the_middle_of_its_syncs_keeps_all_that_it_acknowledged(tmp_path):
    for after in (1, 60, 23, 90):
        p = child(tmp_path / 'd', 0)
        said = -1
        for _ in range(after):
            said = int(p.stdout.readline())
        # it is somewhere in a transaction, a sync or a checkpoint now
        p.kill()
        rest = [int(x) for x in p.stdout.read().split('\n') if x.strip()]
        p.wait()
        assert reopened(tmp_path / 'd') >= max([said, *rest]) + 1


def test_a_full_disk_ends_the_process_and_loses_nothing_acknowledged(tmp_path):
    p = child(tmp_path / 'd', 400000)
    rows = p.stdout.read().split()
    assert p.wait() == 5 and rows[-1] == 'full' and len(rows) > 10
    assert reopened(tmp_path / 'd') >= int(rows[-2]) + 1
    # with room again it goes on
    p = child(tmp_path / 'd', 0)
    assert int(p.stdout.readline()) >= int(rows[-2]) + 1
    p.kill()
    p.wait()
