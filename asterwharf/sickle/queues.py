"""`sickle queues`, and the zones whose called-in minions get no work."""

import json
import os
import sys
from typing import Optional
from urllib.parse import quote

from cyclopts import App

from asterwharf.sickle.ask import Refused, call
from asterwharf.sickle.common import At, File, Js, doors, read, show

queues = App(name='queues', help='The queues document: queues, groups of minions, limits.')


@queues.command(name='get')
def queues_get(*, at: At = None, js: Js = False):
    """Prints the queues document in force; its number goes to standard error."""
    _, got = call(doors(at), 'GET', '/v1/queues')
    print(f"number {got['number']} by {got['by'] or '-'}", file=sys.stderr)
    print(json.dumps(got if js else got['doc'], indent=1))


@queues.command(name='list')
def queues_list(*, at: At = None, js: Js = False):
    """Every queue: where clients reach it, which group runs it, how."""
    _, got = call(doors(at), 'GET', '/v1/queues')
    show({'queues': got['doc'].get('queues', [])}, 'queues',
         ('name', 'host', 'prefix', 'group', 'kind', 'priority', 'tries', 'stretch', 'aim_ms', 'timeout_ms'), js)


def _send(at, method, doc, base, number=False):
    if not isinstance(doc, dict):
        raise Refused('bad_json', {'details': ['.: wanted one object']})
    ads = doors(at)
    if base is None:
        base = call(ads, 'GET', '/v1/queues')[1]['number']
    if number:
        doc.setdefault('number', base + 1)
    _, got = call(ads, method, '/v1/queues', doc, {'If-Match': f'"{base}"', 'X-Operator': os.environ.get('USER', '')})
    print(f"number {got['number']} is in force")


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


def evacuate(name: str, *, at: At = None):
    """Nothing more starts in the zone on minions that call in by themselves."""
    call(doors(at), 'PUT', f"/v1/zones/{quote(name, safe='')}/emptied")
    print(f'zone {name} is evacuated')


def readmit(name: str, *, at: At = None):
    """Minions that call in from the zone get work again."""
    call(doors(at), 'DELETE', f"/v1/zones/{quote(name, safe='')}/emptied")
    print(f'zone {name} is readmitted')


def zones_evacuated(*, at: At = None, js: Js = False):
    """Every zone that is evacuated, and since when."""
    show(call(doors(at), 'GET', '/v1/zones/emptied')[1], 'zones', ('zone', 'since'), js)
