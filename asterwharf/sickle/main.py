"""`asterctl`: the operators' command line over the whole fleet. It asks any node."""

import json
import os
import sys
import time
from collections import Counter
from urllib.parse import quote, urlencode

from cyclopts import App

from asterwharf.base.aliases import warn
from asterwharf.base.codes import TABLE
from asterwharf.sickle.ask import Refused, call, nodes
from asterwharf.sickle.common import At, File, Js, Within, doors, read, show
from asterwharf.sickle.config import config, edit, policy
from asterwharf.sickle.queues import evacuate, queues, readmit, zones_evacuated
from asterwharf.sickle.show import table
from asterwharf.sickle.trouble import findings, gather

app = App(name='asterctl', help="The operators' command line of asterwharf.", help_format='plaintext')
zone = App(name='zone', help='Empty a zone, and take it back.')
minion = App(name='minion', help='Drain a minion, take it back, state that it is gone.')
job = App(name='job', help='One job.')
seat = App(name='seat', help='Replace a core machine that is gone for good.')
for a in (config, policy, queues, zone, minion, job, seat):
    app.command(a)
OPERATOR = {'X-Operator': os.environ.get('USER', '')}
for n, f in (('evacuate', evacuate), ('readmit', readmit), ('evacuated', zones_evacuated)):
    zone.command(f, name=n)


def _zone(name, on, at, within=None):
    end = 0
    if within is not None:
        # the schedulers' median clock decides, so it is asked for the time
        rows = call(doors(at), 'GET', '/v1/zones')[1]['zones']
        end = max(r['now'] for r in rows) + int(within * 1000)

    def change(doc):
        if name not in doc.get('zones', {}):
            raise Refused('unknown_zone', {'details': [f'zone: {name!r}']})
        doc['zones'][name] = {'emptied': on, **({'evict_at': end} if end else {})}
        return doc

    got = edit(doors(at), change)
    print(
        f'zone {name} {"emptied" if on else "taken back"} with sequence {got["sequence"]}'
        + (f'; what still runs there in {within:g} s is pushed out' if end else '')
    )


@zone.command(name='empty')
def zone_empty(name: str, *, within: Within = None, at: At = None):
    """No task starts in the zone any more; what runs there ends by itself, or is pushed out after WITHIN seconds."""
    _zone(name, True, at, within)


@zone.command(name='list')
def zone_list(*, at: At = None, js: Js = False):
    """Every zone, whether it is emptied, and what still runs there."""
    _, doc = call(doors(at), 'GET', '/v1/zones')
    for r in doc['zones']:
        r['pushed_out_in_s'] = max(0, r['evict_at'] - r['now']) // 1000 if r['evict_at'] else ''
    show(doc, 'zones', ('zone', 'cell', 'emptied', 'pushed_out_in_s', 'minions', 'up', 'tasks', 'stopping'), js)


@zone.command(name='restore')
def zone_restore(name: str, *, at: At = None):
    """Takes an emptied zone back."""
    _zone(name, False, at)


def _minion(name):
    return f'/v1/minions/{quote(name, safe="")}'


@minion.command(name='drain')
def minion_drain(name: str, *, within: Within = None, at: At = None):
    """No task starts on the minion any more; what still runs after WITHIN seconds is pushed out."""
    more = f'?within_ms={int(within * 1000)}' if within is not None else ''
    call(doors(at), 'PUT', _minion(name) + f'/drain{more}', heads=OPERATOR)
    print(f'minion {name} is draining' + (f'; what still runs there in {within:g} s is pushed out' if more else ''))


@minion.command(name='undrain')
def minion_undrain(name: str, *, at: At = None):
    """Takes a drained minion back."""
    call(doors(at), 'DELETE', _minion(name) + '/drain')
    print(f'minion {name} takes work again')


@minion.command(name='gone')
def minion_gone(name: str, *, yes: bool = False, at: At = None):
    """States that a minion is gone for good, so that its work may start elsewhere at once.

    Parameters
    ----------
    yes
        Wanted: if the minion still runs, its tasks will run twice.
    """
    if not yes:
        raise Refused('bad_field', {'details': ['--yes: wanted; look that the minion is really off']})
    call(doors(at), 'DELETE', f'/v1/minions/{name}')
    print(f'minion {name} is stated gone')


@app.command
def minions(*, at: At = None, js: Js = False):
    """Every known minion, its node, its room."""
    doc = call(doors(at), 'GET', '/v1/minions')[1]
    # minions that call in by themselves have a link's state of their own
    cols = (
        (
            'group',
            'zone',
            'rack',
            'kind',
            'link',
            'draining',
            'evict_at',
            'suspect',
            'beat_ms_ago',
            'free.cpu',
            'free.mem',
            'free.gpus',
            'tasks',
            'strays',
        )
        if any('link' in r for r in doc['minions'])
        else (
            'zone',
            'edge',
            'link_round',
            'up',
            'draining',
            'evict_at',
            'suspect',
            'cores',
            'gpus',
            'free.cores',
            'free.gpus',
            'tasks',
            'strays',
            'why',
        )
    )
    show(doc, 'minions', ('name', *cols), js)


@app.command
def cells(*, at: At = None, js: Js = False):
    """Every cell: its seats, its holder, what it owns."""
    _, doc = call(doors(at), 'GET', '/v1/cells')
    for r in doc['cells']:
        r.update(seats=','.join(r['seats']), owns=','.join(r['owns']))
    show(doc, 'cells', ('name', 'group', 'seats', 'holder', 'going', 'owns'), js)


@app.command
def watch(*, every: float = 2.0, rounds: int = 0, at: At = None):
    """A line of the fleet's state now and then; ends after ROUNDS, or when interrupted."""
    n = 0
    while not rounds or n < rounds:
        n += 1
        _, m = call(doors(at), 'GET', '/v1/minions')
        _, j = call(doors(at), 'GET', '/v1/jobs?most=5000')
        sts = Counter(r['state'] for r in j['jobs'])
        mis = f' missing {",".join(m["missing"])}' if 'missing' in m else ''
        print(
            time.strftime('%H:%M:%S'),
            f'minions {sum(r["up"] for r in m["minions"])}/{len(m["minions"])}',
            f'busy {sum(r["tasks"] for r in m["minions"])}',
            *(f'{k} {v}' for k, v in sorted(sts.items())),
            mis,
            flush=True,
        )
        if not rounds or n < rounds:
            time.sleep(every)


@app.command
def claims(*, at: At = None, js: Js = False):
    """Which round of each task is held by which minion."""
    doc = call(doors(at), 'GET', '/v1/claims')[1]
    runs = any('run' in r for r in doc['claims'])
    show(
        doc,
        'claims',
        ('task', 'run', 'minion', 'state', 'since', 'percent')
        if runs
        else ('task', 'round', 'minion', 'state', 'since'),
        js,
    )


@app.command(name='nodes')
def nodes_(*, at: At = None, js: Js = False):
    """Every known node, whether it answers, and the sequence it has in force."""
    ads = doors(at)
    _, doc = call(ads, 'GET', '/v1/nodes')
    rows = nodes(doc['nodes'], doc['holders'])
    show({'nodes': rows}, 'nodes', ('name', 'role', 'zone', 'addr', 'http', 'answers', 'fit', 'sequence', 'holds'), js)


@app.command
def seats(*, at: At = None):
    """The seats of each group as its holder sees them."""
    print(json.dumps(call(doors(at), 'GET', '/v1/seats')[1], indent=1))


@seat.command(name='replace')
def seat_replace(old: str, new: str, *, wait: bool = True, at: At = None):
    """NEW, an empty core machine that is there, takes the seat of OLD, which is gone for good.

    Parameters
    ----------
    wait
        Ask again until the newcomer has the seat.
    """
    while True:
        sts, got = call(doors(at), 'PUT', f'/v1/seats/{old}/replaced-by/{new}')
        if sts == 200 or not wait:
            break
        time.sleep(1)
    print(f'{new} has the seat of {old}' if sts == 200 else f'under way: {new} takes the seat of {old}')


@app.command
def jobs(*, tenant: str = '', queue: str = '', state: str = '', most: int = 50, at: At = None, js: Js = False):
    """Jobs, newest first; of one tenant, or of one queue."""
    doc = call(
        doors(at), 'GET', '/v1/jobs?' + urlencode({'tenant': tenant, 'queue': queue, 'state': state, 'most': most})
    )[1]
    own = ('queue', 'id') if any('queue' in r for r in doc['jobs']) else ('tenant', 'id', 'class')
    show(doc, 'jobs', (*own, 'state', 'tasks', 'done', 'busy', 'submitted_at'), js)


def _job(tenant, id):
    return f'/v1/tenants/{tenant}/jobs/{id}'


@job.command(name='get')
def job_get(tenant: str, id: str, *, at: At = None):
    """One job with its tasks."""
    print(json.dumps(call(doors(at), 'GET', _job(tenant, id))[1], indent=1))


@job.command(name='put')
def job_put(tenant: str, id: str, file: File, *, at: At = None):
    """Hands a job in; the same body again is the same job."""
    doc = read(file)
    sts, got = call(doors(at), 'PUT', _job(tenant, id), doc)
    print(f'{"taken" if sts == 201 else "already kept"}: {tenant}/{id} is {got["state"]}')


@job.command(name='cancel')
def job_cancel(tenant: str, id: str, *, at: At = None):
    """Cancels a job; "under way" until nothing of it can run any more."""
    sts, got = call(doors(at), 'DELETE', _job(tenant, id))
    print('cancelled' if sts == 200 else f'under way: {got["state"]}')
    sys.exit(0)


@app.command
def why(tenant: str, id: str, *, at: At = None, js: Js = False):
    """Why each task of a job waits, or how it ended."""
    show(call(doors(at), 'GET', _job(tenant, id) + '/why')[1], 'tasks', ('task', 'state', 'why'), js)


@app.command
def trouble(*, at: At = None, js: Js = False):
    """What is wrong, which part, what next; also when the core, a zone or the first door is gone. Leaves with 4 if anything is."""
    got, mute = gather(doors(at))
    rows = [{'part': p, 'what': w, 'next': n} for p, w, n in findings(got, mute)]
    if js:
        print(json.dumps({'trouble': rows, 'answered': sorted(got), 'not_asked': mute}, indent=1))
    else:
        print(f'{len(got)} nodes answered; not to be asked: {", ".join(sorted(mute)) or "none"}')
        print(table(rows, ('part', 'what', 'next')) if rows else 'nothing is wrong')
    sys.exit(4 if rows else 0)


@app.command
def metrics(*, at: At = None):
    """Counters, gauges and standing alarms of the asked node."""
    print(json.dumps(call(doors(at), 'GET', '/metrics')[1], indent=1))


@app.command
def status(*, at: At = None):
    """What the asked node knows of itself."""
    print(json.dumps(call(doors(at), 'GET', '/status')[1], indent=1))


@app.command
def lines(name: str, *, at: At = None):
    """The last lines of a minion's agent, from the edge that holds it."""
    _, doc = call(doors(at), 'GET', f'/v1/minions/{name}/lines')
    for r in doc['lines']:
        print(r['at'], r['what'], r['text'])


def main():
    """The command `asterctl`."""
    try:
        app()
    except Refused as e:
        row = TABLE.get(e.code, TABLE['inner'])
        print(f'{row.num} {row.nam}: {row.text} {row.cure}', file=sys.stderr)
        for m in (e.body or {}).get('details') or ():
            print(f'  {m}', file=sys.stderr)
        sys.exit(row.exit)


def old_main():
    """The old command `asterctl`."""
    warn('sickle')
    main()


if __name__ == '__main__':
    main()
