"""Two large jobs come at once while the service is busy: can the minion that gets their tasks take its answer?"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standin'))
from rig import BOUNDS, CaseError, Client, Minion, config, ident, main, route, service  # noqa: E402

# tasks of each large job (the widest of the sites) and the bytes of its text (the most that PROTOCOL.md allows);
# seconds that its tasks take, and those that the service is busy with before
COUNT, SPEC, WORK, BUSY = 210, 4000, 1.0, 5.0
# Welsh and Danish letters: two bytes each
TEXT = 'ŵø' * (SPEC // 4)


def case(site, record, trouble):
    """The day; returns what was broken."""
    site.open(config(7, [route('r-a', '/lohu930/', 'analytics')], [service('analytics')]))
    client = Client(site, record)

    def work(task, run, spec):
        return {'busy': BUSY, 'beside': 60.0}.get(spec, WORK)

    minions = [
        Minion(site, record, f'i-{n}', 'analytics', work, cpu=64000, labels=('a', f'r1-{n}')) for n in (1, 2, 3, 4)
    ]
    for m in minions:
        m.start()
    site.until('all minions are known', lambda: all(m.acknowledged for m in minions))
    assert len(TEXT.encode()) == SPEC

    def submit(spec, **step):
        path = f'/lohu930/{ident()}'
        if client.submit(path, {'job_spec': spec, 'steps': [step]}) != 200:
            raise CaseError('a job was not accepted')
        return path

    # one small task on each minion, and work that fills the rest
    beside = submit('beside', count=4, cpu=1000, mem_mb=64, estimate_ms=60000, apart=1)
    site.until('it runs', lambda: all(m.runs for m in minions), 10)
    submit('busy', count=4, cpu=63000, mem_mb=64, estimate_ms=5000, apart=1)
    site.until('the service is full', lambda: all(len(m.runs) == 2 for m in minions), 10)
    for m in minions:
        m.quiet = True
    # with the trouble two large jobs come at once and wait; without, each comes when there is room for it
    large = []
    for n in range(2):
        if not trouble:
            time.sleep(BUSY + 2 if n == 0 else 4)
        large.append(submit(TEXT, count=COUNT, cpu=100, mem_mb=64, estimate_ms=1000))
    time.sleep(BUSY)
    # the traffic has ended; jobs are asked for `finish_s` later
    quiet = time.monotonic()
    time.sleep(BOUNDS['finish_s'])
    for m in minions:
        m.advance()
    states = [client.state(path) for path in large]
    all_runs = [(t, what, key) for m in minions for t, what, key, _ in m.history]
    began = [len({key for _, what, key in all_runs if what == 'starts' and key.startswith(p[-16:])}) for p in large]
    since = [
        any(what == 'starts' and key.startswith(p[-16:]) and t > quiet - WORK for t, what, key in all_runs)
        for p in large
    ]
    lapsed = [(m.mid, key) for m in minions for _, what, key, _ in m.history if what == 'end lapsed']
    record(
        f'{BOUNDS["finish_s"]} s after the traffic the large jobs are {states}; tasks begun: {began} of {COUNT} each'
    )
    record('the job beside them is', client.state(beside), '; runs that lapsed, their minions being up:', lapsed)
    record('answers of more than 4 MiB:', {m.mid: m.too_large for m in minions})
    for m in minions:
        m.stop()
    stuck = [
        p
        for p, state, n, late in zip(large, states, began, since, strict=True)
        if state != 'finished' and n < COUNT and not late
    ]
    if stuck:
        return (
            f'LOST: for {BOUNDS["finish_s"]} s {len(stuck)} accepted jobs had nothing running with room for them; '
            f'{sum(m.too_large for m in minions)} answers to beats were larger than 4 MiB; lapsed beside them: {lapsed}'
        )
    return ''


main(__file__, case)
