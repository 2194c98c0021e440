"""`sickle`: the operators' command line over the whole fleet. It asks any node."""

import json
import os
import sys
from pathlib import Path
from typing import Annotated, Optional

from cyclopts import App, Parameter

from asterwharf.base.codes import TABLE
from asterwharf.sickle.ask import Refused, call, nodes
from asterwharf.sickle.show import table

app = App(name='sickle', help="The operators' command line of asterwharf.", help_format='plaintext')
config = App(name='config', help='The whole configuration.')
zone = App(name='zone', help='Empty a zone, and take it back.')
minion = App(name='minion', help='Drain a minion, take it back, state that it is gone.')
job = App(name='job', help='One job.')
for a in (config, zone, minion, job):
    app.command(a)

At = Annotated[Optional[str], Parameter(name='--at', help='addresses of doors, comma separated; else $ASTERWHARF_AT')]
Js = Annotated[bool, Parameter(name='--json', help='JSON instead of a table', negative=())]


def _at(at):
    got = at or os.environ.get('ASTERWHARF_AT', '')
    if not got:
        raise Refused('no_reach', {'details': ['no address: give --at or set ASTERWHARF_AT']})
    return got.split(',')


def _show(doc, key, cols, js):
    if js:
        print(json.dumps(doc, indent=1))
    else:
        print(table(doc[key], cols))


@config.command(name='get')
def config_get(*, at: At = None, js: Js = False):
    """Prints the configuration in force; its sequence goes to standard error."""
    _, doc = call(_at(at), 'GET', '/v1/config')
    print(f"sequence {doc['sequence']} by {doc['by'] or '-'}", file=sys.stderr)
    print(json.dumps(doc if js else doc['config'], indent=1))


@config.command(name='put')
def config_put(file: Path, *, base: Optional[int] = None, at: At = None):
    """Replaces the whole configuration by FILE (JSON; - for standard input).

    Parameters
    ----------
    base
        The sequence FILE is based on; without it the present one is taken.
    """
    try:
        doc = json.load(sys.stdin if str(file) == '-' else open(file, encoding='utf-8'))
    except (OSError, ValueError) as e:
        raise Refused('bad_json', {'details': [f'{file}: {e}']}) from None
    ads = _at(at)
    if base is None:
        base = call(ads, 'GET', '/v1/config')[1]['sequence']
    _, got = call(ads, 'PUT', '/v1/config', doc, {'If-Match': f'"{base}"', 'X-Operator': os.environ.get('USER', '')})
    print(f"sequence {got['sequence']} is in force")


def _edit(ads, change, most=10):
    """Gets, changes, puts; begins again when another operator was quicker."""
    for _ in range(most):
        _, cur = call(ads, 'GET', '/v1/config')
        doc = change(cur['config'])
        try:
            return call(ads, 'PUT', '/v1/config', doc, {'If-Match': f'"{cur["sequence"]}"'})[1]
        except Refused as e:
            if e.code != 'stale':
                raise
    raise Refused('stale', {'details': [f'{most} rounds were lost to other operators']})


def _zone(name, on, at):
    def change(doc):
        if name not in doc.get('zones', {}):
            raise Refused('unknown_zone', {'details': [f'zone: {name!r}']})
        doc['zones'][name]['emptied'] = on
        return doc
    got = _edit(_at(at), change)
    print(f"zone {name} {'emptied' if on else 'taken back'} with sequence {got['sequence']}")


@zone.command(name='empty')
def zone_empty(name: str, *, at: At = None):
    """No task starts in the zone any more; what runs there ends by itself."""
    _zone(name, True, at)


@zone.command(name='restore')
def zone_restore(name: str, *, at: At = None):
    """Takes an emptied zone back."""
    _zone(name, False, at)


@minion.command(name='drain')
def minion_drain(name: str, *, at: At = None):
    """No task starts on the minion any more."""
    call(_at(at), 'PUT', f'/v1/minions/{name}/drain')
    print(f'minion {name} is draining')


@minion.command(name='undrain')
def minion_undrain(name: str, *, at: At = None):
    """Takes a drained minion back."""
    call(_at(at), 'DELETE', f'/v1/minions/{name}/drain')
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
    call(_at(at), 'DELETE', f'/v1/minions/{name}')
    print(f'minion {name} is stated gone')


@app.command
def minions(*, at: At = None, js: Js = False):
    """Every known minion, its node, its room."""
    _show(call(_at(at), 'GET', '/v1/minions')[1], 'minions',
          ('name', 'zone', 'edge', 'link_round', 'up', 'draining', 'cores', 'gpus', 'free.cores', 'free.gpus', 'tasks',
           'strays', 'why'), js)


@app.command
def claims(*, at: At = None, js: Js = False):
    """Which round of each task is held by which minion."""
    _show(call(_at(at), 'GET', '/v1/claims')[1], 'claims', ('task', 'round', 'minion', 'state', 'since'), js)


@app.command(name='nodes')
def nodes_(*, at: At = None, js: Js = False):
    """Every known node, whether it answers, and the sequence it has in force."""
    ads = _at(at)
    _, doc = call(ads, 'GET', '/v1/nodes')
    rows = nodes(doc['nodes'], doc['holders'])
    _show({'nodes': rows}, 'nodes', ('name', 'role', 'zone', 'addr', 'http', 'answers', 'fit', 'sequence', 'holds'), js)


@app.command
def seats(*, at: At = None):
    """The seats of each group as its holder sees them."""
    print(json.dumps(call(_at(at), 'GET', '/v1/seats')[1], indent=1))


@app.command
def jobs(*, tenant: str = '', state: str = '', most: int = 50, at: At = None, js: Js = False):
    """Jobs, newest first."""
    pth = f'/v1/jobs?tenant={tenant}&state={state}&most={most}'
    _show(call(_at(at), 'GET', pth)[1], 'jobs', ('tenant', 'id', 'class', 'state', 'tasks', 'done', 'busy', 'submitted_at'), js)


def _job(tenant, id):
    return f'/v1/tenants/{tenant}/jobs/{id}'


@job.command(name='get')
def job_get(tenant: str, id: str, *, at: At = None):
    """One job with its tasks."""
    print(json.dumps(call(_at(at), 'GET', _job(tenant, id))[1], indent=1))


@job.command(name='put')
def job_put(tenant: str, id: str, file: Path, *, at: At = None):
    """Hands a job in; the same body again is the same job."""
    try:
        doc = json.load(sys.stdin if str(file) == '-' else open(file, encoding='utf-8'))
    except (OSError, ValueError) as e:
        raise Refused('bad_json', {'details': [f'{file}: {e}']}) from None
    sts, got = call(_at(at), 'PUT', _job(tenant, id), doc)
    print(f"{'taken' if sts == 201 else 'already kept'}: {tenant}/{id} is {got['state']}")


@job.command(name='cancel')
def job_cancel(tenant: str, id: str, *, at: At = None):
    """Cancels a job; "under way" until nothing of it can run any more."""
    sts, got = call(_at(at), 'DELETE', _job(tenant, id))
    print('cancelled' if sts == 200 else f"under way: {got['state']}")
    sys.exit(0)


@app.command
def why(tenant: str, id: str, *, at: At = None, js: Js = False):
    """Why each task of a job waits, or how it ended."""
    _show(call(_at(at), 'GET', _job(tenant, id) + '/why')[1], 'tasks', ('task', 'state', 'why'), js)


@app.command
def status(*, at: At = None):
    """What the asked node knows of itself."""
    print(json.dumps(call(_at(at), 'GET', '/status')[1], indent=1))


@app.command
def lines(name: str, *, at: At = None):
    """The last lines of a minion's agent, from the edge that holds it."""
    _, doc = call(_at(at), 'GET', f'/v1/minions/{name}/lines')
    for r in doc['lines']:
        print(r['at'], r['what'], r['text'])


def main():
    try:
        app()
    except Refused as e:
        row = TABLE.get(e.code, TABLE['inner'])
        print(f'{row.num} {row.nam}: {row.text} {row.cure}', file=sys.stderr)
        for m in (e.body or {}).get('details') or ():
            print(f'  {m}', file=sys.stderr)
        sys.exit(row.exit)


if __name__ == '__main__':
    main()
