"""A system is founded once: whenever its processes end, and with the first start's word gone from the settings."""

from dataclasses import replace

import pytest

from asterwharf.base.settings import Settings
from asterwharf.disk.founding import Founding
from asterwharf.disk.store import Store
from asterwharf.sim.fleet import Fleet

GROUPS = ('core', 'commons')


def platform(seed, core=3, founders=3):
    """A fleet whose settings say that it starts for the first time at the first start of each process only."""
    f = Fleet(seed, core=core, minions=0, edges=0)
    named = [f.w.hosts[n].addr for n in f.core[:founders]]
    for n in f.core:
        h = f.w.hosts[n]
        was, first_disk = h.build, h.disk

        def build(h, inc, rng, now, wall, was=was, first_disk=first_disk):
            node = was(h, inc, rng, now, wall)
            first = h.life == 1
            # later files name other seeds, and nobody as a founder
            seeds = named if first else [f.w.hosts[n].addr for n in f.core[::-1][:founders]]
            read = replace(node.b.set, found=first, founders=named if first else seeds, core_size=founders, seeds=seeds)
            if first and h.disk is first_disk:
                h.disk.founding = Founding.of(read)
            node.b.set = h.disk.founding.resume(read) if h.disk.founding else read
            return node

        h.build = build
        f.w.after(f.w.rng.randint(0, 100), f.w.start, n)
    return f


def founded(f, n):
    """Whether a machine's disk holds both groups."""
    return all(f.w.hosts[n].disk.load(g)['meta'] for g in GROUPS)


def led(f, most=20000):
    return f.w.until(lambda: all(f.holder(g) for g in GROUPS), most)


def one_group(f):
    """All that have seats agree on who has them."""
    for g in GROUPS:
        got = {tuple(sorted(f.member(n, g).replica.log.members.items())) for n in f.core if f.node(n)} - {()}
        assert len(got) == 1, got


def end_all(f, wiped=()):
    for n in f.core:
        f.w.kill(n)
    for n in wiped:
        f.w.wipe(n)
    for i, n in enumerate(f.core):
        f.w.after(100 + 150 * i, f.w.start, n)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('core', [3, 5])
def test_it_is_founded_whenever_all_processes_are_killed_at_the_first_start(seed, core):
    f = platform(seed, core)
    assert led(f)
    whole = f.w.t
    for at in range(101, whole, 23):
        f = platform(seed, core)
        f.w.run(at)
        end_all(f)
        assert led(f), (at, [founded(f, n) for n in f.core])
        f.w.run(f.w.t + 5000)
        one_group(f)


def half_founded(seed, core, kept):
    """A fleet of which just `kept` founders have synced the founding."""
    for near in range(20):
        f = platform(seed + 100 * near, core)
        assert f.w.until(lambda: sum(founded(f, n) for n in f.core[:3]) >= kept, 20000, step=1)
        if sum(founded(f, n) for n in f.core[:3]) == kept:
            return f
    raise AssertionError('all synced in the same millisecond each time')


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('core', [3, 5])
@pytest.mark.parametrize('kept', [1, 2])
def test_a_founding_that_only_some_have_synced_is_completed(seed, core, kept):
    f = half_founded(seed, core, kept)
    end_all(f)
    assert led(f)
    f.w.run(f.w.t + 5000)
    one_group(f)


@pytest.mark.parametrize('seed', range(4))
def test_one_disk_lost_before_the_founding_does_not_stop_it(seed):
    f = platform(seed)
    f.w.run(110)
    assert not any(founded(f, n) for n in f.core)
    end_all(f, wiped=[f.core[1]])
    assert led(f)
    f.w.run(f.w.t + 5000)
    one_group(f)


def test_a_minority_of_founders_begins_no_second_group():
    """Two of three disks are lost: the third may have been cut off since its first second, and others may have gone on."""
    f = platform(5)
    f.w.run(110)
    assert not any(founded(f, n) for n in f.core)
    end_all(f, wiped=f.core[:2])
    f.w.run(f.w.t + 30000)
    assert not any(f.holder(g) for g in GROUPS) and not any(founded(f, n) for n in f.core)


def test_the_disk_of_the_first_start_remembers_the_founders(tmp_path):
    first = Settings(
        name='t', bind='10.0.0.1:1', seeds=['10.0.0.1:1'], founders=['10.0.0.1:1', '10.0.0.2:1'], core_size=2
    )
    later = replace(first, found=False, founders=['10.0.0.9:1'], seeds=['10.0.0.9:1'], core_size=1)
    store = Store(str(tmp_path / 'd'), 4, Founding.of(first))
    store.close()
    # a later start keeps nothing new
    store = Store(str(tmp_path / 'd'), 4, Founding.of(later))
    now = store.founding.resume(later)
    assert now.found and now.founders == first.founders and now.core_size == 2 and now.seeds == later.seeds
    store.close()


def test_a_disk_made_at_a_later_start_founds_nothing(tmp_path):
    read = Settings(
        name='t', bind='10.0.0.1:1', seeds=['10.0.0.1:1'], founders=['10.0.0.1:1'], core_size=1, found=False
    )
    assert Founding.of(read) is None and Founding.of(replace(read, found=True, bind='10.0.0.3:1')) is None
    store = Store(str(tmp_path / 'd'), 4, Founding.of(read))
    assert store.founding is None
    store.close()
    # nor does it when its settings name a first start afterwards
    store = Store(str(tmp_path / 'd'), 4, Founding.of(replace(read, found=True)))
    assert store.founding is None
    store.close()
