"""Loss of power: names that were not synced, writes that were not synced, a store cut off while it was made."""

import os
import random
import shutil

import lmdb
import pytest
from power import Folders

from asterwharf.consensus.outbox import WriteBatch
from asterwharf.disk import store as stores
from asterwharf.disk.history import History
from asterwharf.disk.store import Store


def batch(number, **rows):
    b = WriteBatch(number)
    b.meta, b.rows = {'view': number}, rows
    return b


@pytest.mark.parametrize('depth', [0, 1, 3])
def test_a_store_outlasts_the_loss_of_every_name_that_was_not_synced(tmp_path, monkeypatch, depth):
    root = tmp_path / 'machine'
    root.mkdir()
    folders = Folders(monkeypatch, root, tmp_path / 'shadow')
    path = str(root.joinpath(*[f'd{i}' for i in range(depth)]))
    store = Store(path)
    store.write([('g', batch(1, a=b'1'))])
    told = store.inc
    store.close()
    folders.lose()
    store = Store(path)
    assert store.inc == told and store.load('g')['rows'] == {'a': b'1'}
    store.close()


def test_a_store_whose_maker_was_killed_before_the_folder_was_synced_lasts_from_the_next_start(tmp_path, monkeypatch):
    root = tmp_path / 'machine'
    root.mkdir()
    folders = Folders(monkeypatch, root, tmp_path / 'shadow')
    path = str(root / 'd')
    with monkeypatch.context() as m:
        # as if it were killed in the middle: no sync of a folder takes place
        m.setattr(os, 'fsync', lambda fd: None)
        Store(path).close()
    store = Store(path)
    told = store.inc
    store.close()
    folders.lose()
    store = Store(path)
    assert store.inc == told
    store.close()


@pytest.mark.parametrize('size', [0, 1, 4096, 6000, 8192, 12288])
def test_a_store_cut_off_while_it_was_made_is_made_anew(tmp_path, size):
    """Nothing was told from it yet, and the process must not stay down for it."""
    made = tmp_path / 'made'
    store = Store(str(made))
    store.close()
    raw = (made / stores.DATA).read_bytes()
    torn = tmp_path / 'torn'
    torn.mkdir()
    (torn / stores.MAKING).write_bytes(raw[:size])
    store = Store(str(torn))
    store.write([('g', batch(1, a=b'1'))])
    assert store.load('g')['rows'] == {'a': b'1'} and os.listdir(torn) == [stores.DATA]
    store.close()


def test_a_store_gets_its_name_only_when_its_content_is_synced(tmp_path, monkeypatch):
    seen = []
    real = os.replace

    def replace(old, new):
        copy = tmp_path / 'copy'
        copy.mkdir()
        shutil.copy(old, copy / stores.DATA)
        seen.append((os.path.basename(old), os.path.basename(new)))
        real(old, new)

    monkeypatch.setattr(os, 'replace', replace)
    store = Store(str(tmp_path / 'd'))
    assert seen == [(stores.MAKING, stores.DATA)]
    # what was renamed had the incarnation in it
    copy = Store(str(tmp_path / 'copy'))
    assert copy.inc == store.inc
    copy.close()
    store.close()


class Environment:
    """Stands before lmdb's: notes commits and syncs in their order."""

    def __init__(self, real, done):
        self.real, self.done = real, done

    def begin(self, *args, **kws):
        if kws.get('write'):
            self.done.append('commit')
        return self.real.begin(*args, **kws)

    def sync(self, force=False):
        self.real.sync(force)
        self.done.append('sync' if force else 'maybe')

    def __getattr__(self, name):
        return getattr(self.real, name)


def test_every_write_ends_with_a_sync_of_the_whole_file(tmp_path, monkeypatch):
    """lmdb's page that makes a commit valid is written last: after its own sync, which does not cover that page."""
    done, real = [], lmdb.open
    monkeypatch.setattr(lmdb, 'open', lambda *a, **k: Environment(real(*a, **k), done))
    store = Store(str(tmp_path / 'd'))
    assert done[-1] == 'sync'
    for i in range(1, 4):
        del done[:]
        store.write([('g', batch(i, a=b'1')), ('h', batch(i, b=b'2'))])
        assert done == ['commit', 'sync'], done
    # the order of both syncs is ours: lmdb syncs the pages, then we the page that makes them valid
    assert not store.env.flags()['metasync'] and store.env.flags()['sync']
    store.close()


def grown(path, commits):
    """A store with `commits` changes; the file's bytes before the last and after it."""
    store = Store(str(path))
    file = path / stores.DATA
    was = b''
    for i in range(1, commits + 1):
        was = file.read_bytes()
        store.write([('g', batch(i, **{f'k{j}': bytes([i % 256]) * 700 for j in range(i % 7 + 1)}))])
    store.close()
    return was, file.read_bytes()


def opened(path, raw):
    path.mkdir()
    (path / stores.DATA).write_bytes(raw)
    store = Store(str(path))
    got = store.load('g')
    store.close()
    return got


META = 4096
# lmdb writes this part of the page that makes a commit valid: 120 bytes, the number of the commit last
FIRST, LAST = 32, 152


@pytest.mark.parametrize('commits', [2, 9, 40])
def test_writes_after_the_last_sync_may_be_there_missing_or_torn(tmp_path, commits):
    """The last commit was lost in its writes: the one before is whole, whatever came of each page."""
    was, now = grown(tmp_path / 'd', commits)
    before = opened(tmp_path / 'before', was)
    assert before['meta'] == {'view': commits - 1}
    was = was.ljust(len(now), b'\0')
    pages = [i for i in range(2, len(now) // META) if was[i * META : (i + 1) * META] != now[i * META : (i + 1) * META]]
    assert pages
    rng = random.Random(commits)
    for n in range(60):
        raw = bytearray(was)
        for i in pages:
            # each write is there, missing, or torn at any byte
            end = rng.choice((0, META, rng.randrange(META)))
            raw[i * META : i * META + end] = now[i * META : i * META + end]
        cut = rng.choice((len(now), len(now) - rng.randrange(META)))
        if len(opened_pages := raw[:cut]) < len(was.rstrip(b'\0')):
            opened_pages = raw
        assert opened(tmp_path / f't{n}', bytes(opened_pages)) == before


@pytest.mark.parametrize('commits', [2, 9, 40, 255, 256, 257])
def test_a_torn_last_page_of_a_commit_leaves_the_commit_before_or_the_whole(tmp_path, commits):
    """The page that makes a commit valid is torn behind any byte: its number comes last."""
    was, now = grown(tmp_path / 'd', commits)
    before, after = opened(tmp_path / 'before', was), opened(tmp_path / 'after', now)
    page = next(p for p in (0, META) if was[p : p + META] != now[p : p + META])
    assert was[page : page + FIRST] == now[page : page + FIRST]
    assert was[page + LAST : page + META] == now[page + LAST : page + META]
    got = []
    for n, end in enumerate(range(FIRST, LAST + 1)):
        raw = now[:page] + now[page : page + end] + was[page + end : page + META] + now[page + META :]
        got.append(opened(tmp_path / f't{n}', raw))
        assert got[-1] in (before, after), end
    assert got[0] == before and got[-1] == after


def test_the_history_outlasts_the_loss_of_every_name_that_was_not_synced(tmp_path, monkeypatch):
    root, said = tmp_path / 'machine', []
    root.mkdir()
    folders = Folders(monkeypatch, root, tmp_path / 'shadow')
    history = History(str(root / 'a' / 'history'), lambda *a, **k: said.append(k))
    for i in range(1, 4):
        history.record(i, 'op', i * 1000, {'note': str(i)})
    kept = history.log(9)
    folders.lose()
    history = History(str(root / 'a' / 'history'), lambda *a, **k: said.append(k))
    assert history.log(9) == kept and [history.show(i) for i in (1, 2, 3)] == [{'note': str(i)} for i in (1, 2, 3)]
    assert not said


def test_of_the_names_of_the_history_any_may_be_kept_or_lost(tmp_path, monkeypatch):
    """The power goes in the middle of a record: what was recorded before is there, and the next record goes well."""
    for seed in range(12):
        rng, said = random.Random(seed), []
        root = tmp_path / f'machine{seed}'
        root.mkdir()
        with monkeypatch.context() as m:
            folders = Folders(m, root, tmp_path / f'shadow{seed}')
            history = History(str(root / 'history'), lambda *a, **k: said.append(k))
            history.record(1, 'op', 1000, {'note': '1'})
            left = rng.randrange(12)
            real = os.fsync

            def fsync(fd, real=real):
                nonlocal left
                left -= 1
                if left == 0:
                    raise KeyboardInterrupt
                real(fd)

            m.setattr(os, 'fsync', fsync)
            try:
                history.record(2, 'op', 2000, {'note': '2'})
            except KeyboardInterrupt:
                pass
            folders.lose(lambda path, rng=rng: rng.random() < 0.5)
        history = History(str(root / 'history'), lambda *a, **k: said.append(k))
        assert history.show(1) == {'note': '1'} and not said, (seed, said)
        history.record(3, 'op', 3000, {'note': '3'})
        assert history.show(3) == {'note': '3'} and history.show(1) == {'note': '1'} and not said
