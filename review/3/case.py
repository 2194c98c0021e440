"""A rolling restart of the core: is work that was shown as finished started again?

A task that may be repeated gets a second run (a copy), because a beat of its first minion comes late. The copy ends
`done` first and the job is shown as finished. Beside it runs an ordinary load, so that the core takes checkpoints.
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standin'))
from rig import BOUNDS, Client, Minion, config, ident, main, route, service  # noqa: E402

# seconds: what the task takes on a slow minion and on the others, how late one beat comes, the rest between two steps
SLOW, SOUND, LATE, REST = 90.0, 34.0, 2.0, 12.0
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
    until, slow = threading.Event(), []

    def work(mid):
        def took(task, run, spec):
            if spec == 'fill':
                return 12.0
            if not slow:
                slow.append(mid)
            return SLOW if slow[0] == mid else SOUND

        return took

    minions = [Minion(site, record, f'i-{n}', 'analytics', work(f'i-{n}'), labels=('a', f'r1-{n}')) for n in (1, 2, 3)]
    crowd = [
        Minion(site, record, f'j-{n}', 'modelling', lambda *a: 0.05, labels=('a', f'r2-{n}'), quiet=True)
        for n in range(4)
    ]
    for m in [*minions, *crowd]:
        m.start()
    site.until('all minions are known', lambda: all(m.acknowledged for m in minions))
    counts = load(site, record, until)
    client, path = Client(site, record), f'/lohu930/{ident()}'
    step = {'count': 1, 'cpu': 2000, 'mem_mb': 1000, 'estimate_ms': int(SOUND * 1000), 'may_repeat': True}
    assert client.submit(path, {'job_spec': 'localise', 'steps': [step]}) == 200
    mine = site.until('the task starts', lambda: next((m for m in minions if m.runs), None), 10)
    task = next(iter(mine.runs))[0]
    record('the load:', counts)
    time.sleep(REST)
    last = 0.0
    if trouble:
        record('one beat of', mine.mid, 'comes late')
        mine.late = LATE
        site.until('the task has a copy', lambda: any(m.runs for m in minions if m is not mine), 10)
        record('the load:', counts)
        time.sleep(REST)
        record('the load:', counts)
        # a rolling restart: the machines that follow first, the one that leads last
        leader = site.leader()
        for name in [n for n in site.confs if n.startswith('core') and n != leader]:
            site.stop(name)
            time.sleep(0.5)
            site.start(name)
            time.sleep(BOUNDS['catch_up_s'])
    else:
        time.sleep(REST)
    site.until('the job is shown as finished', lambda: client.state(path) == 'finished', 100, 0.5)
    shown = time.monotonic()
    until.set()
    # other work, which fills the service
    fill = [{'count': 3, 'cpu': 16000, 'mem_mb': 1000, 'estimate_ms': 12000}]
    assert client.submit(f'/lohu930/{ident()}', {'job_spec': 'fill', 'steps': fill}) == 200
    time.sleep(1.5)
    if trouble:
        name = site.leader()
        site.stop(name)
        time.sleep(0.5)
        site.start(name)
        last = time.monotonic()
    states = set()
    for _ in range(10):
        time.sleep(1.6)
        states.add(client.state(path))
    for m in minions:
        m.advance()
        m.stop()
    record('states of the job after it was shown as finished:', states)
    # the rule is that of starts by machines in touch: the core was last disturbed `in_touch_ms` before
    touch = last + BOUNDS['in_touch_ms'] / 1000
    again = [
        (t, m.mid, run)
        for m in minions
        for t, what, key, run in m.history
        if what == 'starts' and key == task and t > shown + 1
    ]
    record('starts of the task more than 1 s after that:', [(round(t - shown, 2), mid, run) for t, mid, run in again])
    broken = [(t, mid, run) for t, mid, run in again if t > touch]
    return (
        'TWICE: '
        + '; '.join(
            f'{task} starts as run {run} on {mid} {t - shown:.2f} s after its job was shown as finished, '
            f'{t - last:.2f} s after the last restart of a core machine'
            for t, mid, run in broken
        )
        if broken
        else ''
    )


main(__file__, case)
