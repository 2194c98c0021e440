"""A rolling restart of the core: is work that was shown as finished started again?

The first step of a job may be repeated; it gets a second run (a copy), because a beat of its first minion comes late.
The copy ends `done` first, the second step runs, and the job is shown as finished. An ordinary load runs beside it, so
that the core takes checkpoints.
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standin'))
from rig import BOUNDS, CaseError, Client, Minion, config, ident, main, route, service  # noqa: E402

# seconds: the first step on a minion that is slow and on a sound one, the second step, how late one beat comes, the
# rest between two events of the day
SLOW, SOUND, SECOND, LATE, REST = 90.0, 28.0, 2.0, 2.0, 11.0
# jobs a second of the load, and the bytes of the text of each
RATE, SPEC = 90, 3900


def load(site, record, until):
    """Small jobs at a steady rate, each handed in once."""
    threads, n = 6, [0, 0]

    def one(k):
        client, due = Client(site, record, quiet=True), time.monotonic()
        while not until.is_set():
            job = {'job_spec': 'x' * SPEC, 'steps': [{'count': 1, 'cpu': 100, 'mem_mb': 10, 'estimate_ms': 50}]}
            status, _ = client.ask('POST', f'/load/{ident()}', job)
            n[0 if status == 200 else 1] += 1
            due = max(due + threads / RATE, time.monotonic() - 1)
            time.sleep(max(0.0, due - time.monotonic()))

    for k in range(threads):
        threading.Thread(target=one, args=(k,), daemon=True).start()
    return n


def case(site, record, trouble):
    """The day; returns what was broken."""
    routes = [route('r-a', '/lohu930/', 'analytics'), route('r-b', '/load/', 'modelling')]
    site.open(config(7, routes, [service('analytics'), service('modelling')]))
    until = threading.Event()

    def work(task, run, spec):
        if task.split('.')[2] == '1':
            return SECOND
        # the first minion is slow
        return SLOW if run == 1 else SOUND

    minions = [Minion(site, record, f'i-{n}', 'analytics', work, labels=('a', f'r1-{n}')) for n in (1, 2, 3)]
    crowd = [
        Minion(site, record, f'j-{n}', 'modelling', lambda *a: 0.05, labels=('a', f'r2-{n}'), quiet=True)
        for n in range(4)
    ]
    for m in [*minions, *crowd]:
        m.start()
    site.until('all minions are known', lambda: all(m.acknowledged for m in minions))
    counts = load(site, record, until)
    client, path = Client(site, record), f'/lohu930/{ident()}'
    first = {'count': 1, 'cpu': 2000, 'mem_mb': 1000, 'estimate_ms': int(SOUND * 1000), 'may_repeat': True}
    second = {'count': 2, 'cpu': 2000, 'mem_mb': 1000, 'estimate_ms': int(SECOND * 1000), 'depends_on': [0]}
    if client.submit(path, {'job_spec': 'localise', 'steps': [first, second]}) != 200:
        raise CaseError('the job was not accepted')
    mine = site.until('the first step starts', lambda: next((m for m in minions if m.runs), None), 10)
    time.sleep(REST)
    record('the load:', counts)
    if trouble:
        record('one beat of', mine.mid, 'comes late')
        mine.late = LATE
        site.until('the first step has a copy', lambda: any(m.runs for m in minions if m is not mine), 10)
        time.sleep(REST)
        record('the load:', counts)
        # a rolling restart: the machines that follow first, the one that leads last
        leader = site.leader()
        for name in [n for n in site.confs if n.startswith('core') and n != leader]:
            site.stop(name)
            time.sleep(0.5)
            site.start(name)
            time.sleep(BOUNDS['catch_up_s'])
    site.until('the job is shown as finished', lambda: client.state(path) == 'finished', 100, 0.5)
    shown = time.monotonic()
    until.set()
    time.sleep(2)
    if trouble:
        name = site.leader()
        site.stop(name)
        time.sleep(0.5)
        site.start(name)
    states = []
    while time.monotonic() - shown < SOUND + 12:
        time.sleep(2)
        state = client.state(path)
        states += [state] if states[-1:] != [state] else []
    for m in minions:
        m.advance()
        m.stop()
    record('states of the job after it was shown as finished:', states)
    again = []
    for index in range(second['count']):
        key = f'{path[-16:]}.0.1.{index}'
        rows = sorted((t, what, run, m.mid) for m in minions for t, what, k, run in m.history if k == key)
        done = [t for t, what, _, _ in rows if what == 'noted done']
        if done:
            again += [(key, run, mid, t - done[0]) for t, what, run, mid in rows if what == 'starts' and t > done[0]]
    return (
        'TWICE: '
        + '; '.join(
            f'{key} starts as run {run} on {mid} {late:.1f} s after its end `done` was taken note of'
            for key, run, mid, late in again
        )
        if again
        else ''
    )


main(__file__, case)
