"""A store that can't be read: set aside once and begun anew as another incarnation, never removed."""

import os
import random

import lmdb
import pytest

from asterwharf.consensus.outbox import WriteBatch
from asterwharf.disk.founding import Founding
from asterwharf.disk.recovery import ASIDE, open_store
from asterwharf.disk.store import DATA, Corrupt, Store, Unreadable

PAGE = 4096


def filled(path, founding=None):
    """A store of some size: (its incarnation, the bytes of its file)."""
    store = Store(str(path), 64, founding)
    for i in range(1, 30):
        batch = WriteBatch(i)
        batch.meta, batch.rows, batch.log = {'view': i}, {f'k{i}': bytes([i]) * 9000}, [(i, b'entry' * 100)]
        store.write([('core', batch), ('commons', batch)])
    store.close()
    return store.inc, (path / DATA).read_bytes()


def short(raw):
    return raw[: len(raw) // 2 // PAGE * PAGE]


def torn(raw):
    return raw[:6000]


def garbage(raw):
    return random.Random(1).randbytes(len(raw))


def zeroed(raw):
    return raw[: 2 * PAGE] + bytes(len(raw) - 2 * PAGE)


@pytest.mark.parametrize('damage', [short, torn, garbage, zeroed])
def test_a_store_that_can_not_be_read_is_set_aside_and_begun_anew(tmp_path, damage):
    said = []
    inc, raw = filled(tmp_path / 'd', Founding(('10.0.0.1:1',)))
    (tmp_path / 'd' / DATA).write_bytes(damage(raw))
    store = open_store(str(tmp_path / 'd'), 64, Founding(('10.0.0.1:1',)), lambda *a, **k: said.append(k['alarm']))
    assert said == ['store_set_aside']
    # its group knows it as a member that has lost its disk; it founds nothing
    assert store.inc != inc and store.founding is None
    assert store.load('core') == {'meta': None, 'log': [], 'rows': {}}
    store.close()
    # what was there may still be examined
    assert (tmp_path / 'd' / ASIDE).read_bytes()[: len(damage(raw))] == damage(raw)
    again = open_store(str(tmp_path / 'd'), 64, None, lambda *a, **k: said.append(k['alarm']))
    assert again.inc == store.inc and said == ['store_set_aside']
    again.close()


def test_a_whole_store_is_opened_as_it_is(tmp_path):
    inc, _ = filled(tmp_path / 'd')
    store = open_store(str(tmp_path / 'd'), 64, None, None)
    assert store.inc == inc and store.load('core')['meta'] == {'view': 29} and os.listdir(tmp_path / 'd') == [DATA]
    store.close()


def test_a_second_time_is_for_an_operator(tmp_path):
    _, raw = filled(tmp_path / 'd')
    (tmp_path / 'd' / ASIDE).write_bytes(b'first')
    (tmp_path / 'd' / DATA).write_bytes(garbage(raw))
    with pytest.raises(Corrupt):
        open_store(str(tmp_path / 'd'), 64, None, None)
    assert (tmp_path / 'd' / ASIDE).read_bytes() == b'first' and (tmp_path / 'd' / DATA).read_bytes() == garbage(raw)


def test_without_room_for_two_nothing_is_removed(tmp_path):
    _, raw = filled(tmp_path / 'd')
    (tmp_path / 'd' / DATA).write_bytes(garbage(raw))
    with pytest.raises(Corrupt):
        open_store(str(tmp_path / 'd'), 1, None, None)
    assert (tmp_path / 'd' / DATA).read_bytes() == garbage(raw) and os.listdir(tmp_path / 'd') == [DATA]


def test_a_disk_in_trouble_is_no_damage(tmp_path, monkeypatch):
    """Reading that is refused now may go well later: the store must stay what it is."""
    inc, raw = filled(tmp_path / 'd')
    with monkeypatch.context() as m:

        def refused(*args, **kws):
            raise lmdb.Error('Input/output error')

        m.setattr(lmdb, 'open', refused)
        with pytest.raises(Corrupt) as e:
            open_store(str(tmp_path / 'd'), 64, None, None)
        assert not isinstance(e.value, Unreadable)
    assert (tmp_path / 'd' / DATA).read_bytes() == raw
    store = open_store(str(tmp_path / 'd'), 64, None, None)
    assert store.inc == inc
    store.close()


def test_a_file_of_no_bytes_is_begun_anew(tmp_path):
    """As an older release may leave it that lost power while it made its store."""
    (tmp_path / 'd').mkdir()
    (tmp_path / 'd' / DATA).write_bytes(b'')
    store = open_store(str(tmp_path / 'd'), 64, None, lambda *a, **k: None)
    assert store.inc
    store.close()
