"""A change removes a route and adds one at the same place under another name: what becomes of accepted jobs?"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'standin'))
from rig import BOUNDS, CaseError, Client, Minion, config, ident, main, route, service  # noqa: E402

# seconds that a task of the first step takes, and of the second
WORK = 8.0


def case(site, record, trouble):
    """The day; returns what was broken."""
    site.open(config(7, [route('r-a', '/lohu930/', 'analytics')], [service('analytics')]))
    client, job, other = Client(site, record), f'/lohu930/{ident()}', f'/lohu930/{ident()}'
    minions = [Minion(site, record, f'i-{n}', 'analytics', lambda *a: WORK, labels=('a', f'r1-{n}')) for n in (1, 2)]
    for m in minions:
        m.start()
    site.until('all minions are known', lambda: all(m.acknowledged for m in minions))
    first = {'count': 1, 'cpu': 2000, 'mem_mb': 1000, 'estimate_ms': 8000}
    doc = {'job_spec': 'review', 'steps': [first, dict(first, depends_on=[0])]}
    for path in (job, other):
        if client.submit(path, doc) != 200:
            raise CaseError('a job was not accepted')
    accepted = time.monotonic()
    site.until('both run', lambda: sum(len(m.runs) for m in minions) == 2, 10)
    # the same place and the same service; with the trouble under another name, without it with another time-out
    new = route('r-b' if trouble else 'r-a', '/lohu930/', 'analytics', timeout_ms=2500)
    change = {'version': 9, 'add_or_replace': {'routes': [new]}}
    if trouble:
        change['remove'] = {'routes': ['r-a']}
    status, _ = site.operator('POST', '/config/change', change, 7)
    if status != 200:
        raise CaseError(f'the change was answered {status}')
    time.sleep(max(BOUNDS['config_apply_ms'], BOUNDS['visible_ms']) / 1000 + 0.5)
    late = time.monotonic() - accepted
    shown, again = client.ask('GET', job)[0], client.ask('POST', job, doc)[0]
    cancelled = client.ask('DELETE', other)[0]
    at = time.monotonic()
    time.sleep(WORK * 2)
    for m in minions:
        m.advance()
        m.stop()
    starts = [
        (t - at, key)
        for m in minions
        for t, what, key, _ in m.history
        if what == 'starts' and key.startswith(other[-16:])
    ]
    begun = [(round(t, 2), key) for t, key in starts if t > BOUNDS['cancel_ms'] / 1000]
    record('the job handed in again:', again, '; starts after its cancelling was acknowledged:', begun)
    out = []
    if shown == 410:
        out.append(f'LOST: an accepted job is answered 410, {late:.1f} s after the acknowledgement')
    if cancelled in (200, 410) and begun:
        out.append(
            f'UNASKED: its cancelling was acknowledged with {cancelled}, {begun} started later than cancel_ms after it'
        )
    return '; '.join(out)


main(__file__, case)
