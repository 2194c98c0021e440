"""`asterctl queues`, and the zones whose called-in minions get no work."""

import json
import os
import sys
from typing import Optional
from urllib.parse import quote, urlencode

from cyclopts import App

from asterwharf.sickle.ask import Refused, call
from asterwharf.sickle.common import At, File, Js, doors, read, show

queues = App(
    name='queues', help='The queues document (queues, groups of minions, limits, policies), and the jobs in queues.'
)


@queues.command(name='get')
def queues_get(*, at: At = None, js: Js = False):
    """Prints the queues document in force; its number goes to standard error."""
    _, got = call(doors(at), 'GET', '/v1/queues')
    print(f'number {got["number"]} by {got["by"] or "-"}', file=sys.stderr)
    print(json.dumps(got if js else got['doc'], indent=1))


@queues.command(name='list')
def queues_list(*, at: At = None, js: Js = False):
    """Every queue: where clients reach it, which group runs it, how."""
    _, got = call(doors(at), 'GET', '/v1/queues')
    show(
        {'queues': got['doc'].get('queues', [])},
        'queues',
        ('name', 'host', 'prefix', 'group', 'kind', 'priority', 'tries', 'stretch', 'aim_ms', 'timeout_ms', 'policy'),
        js,
    )


def _send(at, method, doc, base, number=False):
    if not isinstance(doc, dict):
        raise Refused('bad_json', {'details': ['.: wanted one object']})
    ads = doors(at)
    if base is None:
        base = call(ads, 'GET', '/v1/queues')[1]['number']
    if number:
        doc.setdefault('number', base + 1)
    _, got = call(ads, method, '/v1/queues', doc, {'If-Match': f'"{base}"', 'X-Operator': os.environ.get('USER', '')})
    print(f'number {got["number"]} is in force')


@queues.command(name='put')
def queues_put(file: File, *, base: Optional[int] = None, at: At = None):
    """Replaces the queues document by FILE (JSON; - for standard input).

    Parameters
    ----------
    base
        The number FILE is based on; without it the present one is taken.
    """
    _send(at, 'PUT', read(file), base)


@queues.command(name='change')
def queues_change(file: File, *, base: Optional[int] = None, at: At = None):
    """Adds, replaces and drops named queues and groups as FILE says: {"number", "set", "drop"}.

    Parameters
    ----------
    base
        The number FILE is based on; without it the present one is taken. FILE may leave its own number out.
    """
    _send(at, 'PATCH', read(file), base, number=True)


def _job(queue, id):
    return f'/v1/queues/{quote(queue, safe="")}/jobs/{quote(id, safe="")}'


@queues.command(name='counts')
def queues_counts(*, queue: str = '', at: At = None, js: Js = False):
    """How much waits and runs in each queue that anything was handed in to."""
    show(
        call(doors(at), 'GET', '/v1/queues/counts?' + urlencode({'queue': queue}))[1],
        'queues',
        ('queue', 'waiting', 'running', 'ended', 'tasks_ready', 'tasks_running'),
        js,
    )


@queues.command(name='submit')
def queues_submit(queue: str, id: str, file: File, *, at: At = None):
    """Hands a job in to a queue; ID is 16 digits from 0 to f. The same body again is the same job."""
    sts, _ = call(doors(at), 'PUT', _job(queue, id), read(file))
    print(f'{"taken" if sts == 201 else "already kept"}: {queue}/{id}')


@queues.command(name='job')
def queues_job(queue: str, id: str, *, at: At = None):
    """One job of a queue: its steps, what runs, why it waits."""
    print(json.dumps(call(doors(at), 'GET', _job(queue, id))[1], indent=1))


@queues.command(name='why')
def queues_why(queue: str, id: str, *, at: At = None, js: Js = False):
    """Why each step of a queue's job waits, and why runs of it were stopped lately."""
    show(
        call(doors(at), 'GET', _job(queue, id))[1],
        'steps',
        ('time', 'step', 'count', 'waiting', 'ready', 'running', 'done', 'why', 'stopped'),
        js,
    )


@queues.command(name='cancel')
def queues_cancel(queue: str, id: str, *, at: At = None):
    """Cancels a job of a queue: no start comes after this."""
    call(doors(at), 'DELETE', _job(queue, id))
    print(f'cancelled: {queue}/{id}')


def evacuate(name: str, *, at: At = None):
    """Nothing more starts in the zone on minions that call in by themselves."""
    call(doors(at), 'PUT', f'/v1/zones/{quote(name, safe="")}/emptied')
    print(f'zone {name} is evacuated')


def readmit(name: str, *, at: At = None):
    """Minions that call in from the zone get work again."""
    call(doors(at), 'DELETE', f'/v1/zones/{quote(name, safe="")}/emptied')
    print(f'zone {name} is readmitted')


def zones_evacuated(*, at: At = None, js: Js = False):
    """Every zone that is evacuated, and since when."""
    show(call(doors(at), 'GET', '/v1/zones/emptied')[1], 'zones', ('zone', 'since'), js)
