"""`asterctl config` and `asterctl policy`."""

import difflib
import json
import os
import sys
from typing import Optional

from cyclopts import App

from asterwharf.sickle.ask import Refused, call
from asterwharf.sickle.common import At, File, Js, doors, read, show
from asterwharf.sickle.show import table

config = App(name='config', help='The whole configuration.')
policy = App(name='policy', help='Placement policies.')


@config.command(name='get')
def config_get(*, at: At = None, js: Js = False):
    """Prints the configuration in force; its sequence goes to standard error."""
    _, doc = call(doors(at), 'GET', '/v1/config')
    print(f'sequence {doc["sequence"]} by {doc["by"] or "-"}', file=sys.stderr)
    print(json.dumps(doc if js else doc['config'], indent=1))


@config.command(name='put')
def config_put(file: File, *, base: Optional[int] = None, at: At = None):
    """Replaces the whole configuration by FILE (JSON; - for standard input).

    Parameters
    ----------
    base
        The sequence FILE is based on; without it the present one is taken.
    """
    doc = read(file)
    ads = doors(at)
    if base is None:
        base = call(ads, 'GET', '/v1/config')[1]['sequence']
    _, got = call(ads, 'PUT', '/v1/config', doc, {'If-Match': f'"{base}"', 'X-Operator': os.environ.get('USER', '')})
    print(f'sequence {got["sequence"]} is in force')


@config.command(name='check')
def config_check(file: File, *, at: At = None):
    """Checks FILE as the core would, without putting it in force."""
    _, got = call(doors(at), 'POST', '/v1/config/check', read(file))
    print(f'good; policies: {", ".join(got["policies"]) or "-"}; cells: {", ".join(got["cells"]) or "-"}')


@config.command(name='log')
def config_log(*, most: int = 20, at: At = None, js: Js = False):
    """The configurations that were in force, newest first."""
    show(call(doors(at), 'GET', f'/v1/config/history?most={most}')[1], 'history', ('sequence', 'by', 'at', 'id'), js)


def _old(ads, seq):
    return call(ads, 'GET', f'/v1/config/history/{seq}')[1]['config']


@config.command(name='show')
def config_show(sequence: int, *, at: At = None):
    """The configuration of a sequence."""
    print(json.dumps(_old(doors(at), sequence), indent=1))


@config.command(name='diff')
def config_diff(one: int, two: Optional[int] = None, *, at: At = None):
    """What changed from one sequence to another, or to the one in force."""
    ads = doors(at)
    old = _old(ads, one)
    new = _old(ads, two) if two is not None else call(ads, 'GET', '/v1/config')[1]['config']
    rows = [json.dumps(d, indent=1, sort_keys=True).splitlines() for d in (old, new)]
    print('\n'.join(difflib.unified_diff(*rows, str(one), str(two or 'in force'), lineterm='')))


@config.command(name='restore')
def config_restore(sequence: int, *, at: At = None):
    """Puts the configuration of an older sequence in force again, as a new one."""
    ads = doors(at)
    old = _old(ads, sequence)
    got = edit(ads, lambda d: old)
    print(f'sequence {got["sequence"]} is in force, as {sequence} was')


def edit(ads, change, most=10):
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


@policy.command(name='check')
def policy_check(
    file: File,
    name: str,
    *,
    cls: str = 'default',
    tenant: str = '',
    cores: float = 1.0,
    gpus: int = 0,
    mem: int = 0,
    victim: str = '',
    at: At = None,
):
    """Judges a policy of the configuration in FILE against every known minion, without putting it in force.

    Parameters
    ----------
    name
        The policy's name.
    cls
        Class of the task it is tried with.
    victim
        A class: says also whether a task of it may be pushed out.
    """
    from asterwharf.scheduler import config as conf
    from asterwharf.scheduler.policy import Trial

    res = conf.check(read(file))
    if res.is_error():
        raise Refused(res.error.code, {'details': res.error.more})
    if name not in res.ok.policies:
        raise Refused('bad_policy', {'details': [f'policies: no {name!r}']})
    _, doc = call(doors(at), 'GET', '/v1/minions')
    tri = Trial(res.ok, name, cls, tenant, cores, gpus, mem, victim)
    rows = [tri.row(m) for m in doc['minions']]
    print(table(rows, ('minion', 'zone', 'may_land', 'score') + (('may_evict',) if victim else ())))
    if res.ok.policies[name].troubles:
        raise Refused('policy_trouble', {'details': [f'{res.ok.policies[name].troubles} judgements failed']})
