"""A minion that drains has more than 500 ends to tell at once: do the tasks that a beat has no place for run again?"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standin'))
from rig import CaseError, Client, Minion, config, ident, main, route, service  # noqa: E402

# jobs that come at once and tasks of each (the widest of the sites); seconds that a task takes, that the service is
# busy with before, and for which the minion serves on (`drain_ms` and a little longer)
JOBS, COUNT, WORK, BUSY, SERVES_ON = 3, 210, 4.0, 3.0, 4.0


def case(site, record, trouble):
    """The day; returns what was broken."""
    site.open(config(7, [route('r-a', '/lohu930/', 'analytics')], [service('analytics')]))
    client = Client(site, record)

    def work(task, run, spec):
        return BUSY if spec == 'busy' else WORK

    minions = [
        Minion(site, record, f'i-{n}', 'analytics', work, cpu=64000, labels=('a', f'r1-{n}'), quiet=True)
        for n in (1, 2, 3)
    ]
    for m in minions:
        m.start()
    site.until('all minions are known', lambda: all(m.acknowledged for m in minions))

    def submit(spec, **step):
        path = f'/lohu930/{ident()}'
        if client.submit(path, {'job_spec': spec, 'steps': [step]}) != 200:
            raise CaseError('a job was not accepted')
        return path

    # the service is busy when the jobs come; one minion is free first and gets them all
    submit('busy', count=3, cpu=64000, mem_mb=64, estimate_ms=3000, apart=1)
    site.until('the service is full', lambda: all(m.runs for m in minions), 10)
    jobs = [submit('small', count=COUNT, cpu=100, mem_mb=64, estimate_ms=4000) for _ in range(JOBS)]
    mine = site.until(
        'one minion runs them all', lambda: next((m for m in minions if len(m.runs) == JOBS * COUNT), None), 20
    )
    ends = min(r['done'] for r in mine.runs.values())
    if trouble:
        # it is to be taken away in order, and says so a second before its tasks end
        time.sleep(max(0.0, ends - time.monotonic() - 1.0))
        mine.state = 'draining'
        record(mine.mid, 'drains')
        # `drain_ms` and a little longer afterwards it leaves and ends
        threading.Timer(SERVES_ON, lambda: setattr(mine, 'leaving', (0.0, mine.crash))).start()
    site.until('the jobs are finished', lambda: all(client.state(p) == 'finished' for p in jobs), 40, 1.0)
    time.sleep(2)
    for m in minions:
        m.advance()
        m.stop()
    rows = sorted((t, what, key, run, m.mid) for m in minions for t, what, key, run in m.history)
    for row in rows:
        record('minion', row[4], row[1], row[2], 'run', row[3], at=row[0])
    keys = {key for _, _, key, _, _ in rows if key[:16] in {p[-16:] for p in jobs}}
    again = []
    for key in keys:
        done = [(t, run, mid) for t, what, k, run, mid in rows if k == key and what == 'end done']
        noted = {run for _, what, k, run, _ in rows if k == key and what == 'noted done'}
        later = [(t, run, mid) for t, what, k, run, mid in rows if k == key and what == 'starts']
        again += [key for d in done if d[1] in noted and any(s[0] > d[0] for s in later)]
    lapsed = sum(what == 'end lapsed' for _, what, _, _, _ in rows)
    record(f'tasks {len(keys)}, started again after a noted end `done`: {len(again)}; runs lapsed: {lapsed}')
    return (
        f'TWICE: {len(again)} of {len(keys)} tasks were started again after a run that ended `done`, and that end was '
        f'taken note of; no hold lapsed ({lapsed})'
        if again
        else ''
    )


main(__file__, case)
