"""`asterctl trouble`: what is wrong, which part, and what to do next, from whatever still answers.

It needs no holder and no core: every node that it has heard of is asked for its own word, all at once.
"""

from concurrent.futures import ThreadPoolExecutor

from asterwharf.base.settings import address
from asterwharf.sickle.ask import one

TTL, MOST = 2, 64


def _ask(job):
    nam, adr = job
    try:
        sts, doc = one(adr, 'GET', '/status', ttl=TTL)
        return nam, adr, doc if sts == 200 and isinstance(doc, dict) else None
    except (OSError, ValueError):
        return nam, adr, None


def gather(ads):
    """({node: its status}, {address or node: why it could not be asked})."""
    got, mute, todo, asked = {}, {}, [('', a) for a in ads if address(a)], set()
    with ThreadPoolExecutor(16) as pool:
        while todo and len(asked) < MOST:
            asked |= {a for _, a in todo}
            new = {}
            for nam, adr, doc in pool.map(_ask, todo):
                if doc is None:
                    mute[nam or adr] = adr
                    continue
                got[doc['node']] = doc
                mute.pop(doc['node'], None)
                new.update({r['http']: n for n, r in doc.get('nodes', {}).items() if r['http']})
            todo = [(n, a) for a, n in new.items() if a not in asked]
    # a door that was only given as an address is named where another node knows it
    names = {r['http']: n for d in got.values() for n, r in d.get('nodes', {}).items()}
    return got, {names.get(a, n): a for n, a in mute.items()}


def _groups(got):
    """(group, seats that answered, holders named by view)."""
    out = {}
    for n, d in got.items():
        for g, s in d.get('seats', {}).items():
            out.setdefault(g, ({}, {}))[0][n] = s
        for g, h in d.get('holders', {}).items():
            out.setdefault(g, ({}, {}))[1][n] = (h['view'], h['name'])
    return out


def findings(got, mute):
    """[(part, what is wrong, what next)], the gravest first."""
    rows = []
    if not got:
        return [('fleet', 'no node answers', 'check the addresses, the network, and that the processes run')]
    roles = {n: r for d in got.values() for n, r in d.get('nodes', {}).items()}
    for g, (seats, named) in sorted(_groups(got).items()):
        holds = sorted(n for n, s in seats.items() if s['state'] in ('leader', 'holder'))
        size = max((s.get('size', 0) for s in seats.values()), default=0)
        good = sum(s['seated'] for s in seats.values())
        if not holds and size:
            what = f'nobody holds it; {good} of {size} seats answer and are seated'
            more = (
                'start its seats again'
                if 2 * good <= size
                else 'wait for the vote, some seconds; then look at the links between them'
            )
            rows.append((f'group {g}', what, f'{more}; runbook "node lost"'))
        elif good < size:
            rows.append(
                (
                    f'group {g}',
                    f'{good} of {size} seats answer and are seated',
                    'a second loss stops it; runbook "node lost"',
                )
            )
        if len(holds) > 1:
            rows.append(
                (
                    f'group {g}',
                    f'{", ".join(holds)} each think to hold it',
                    'one is cut off and will find out; runbook "cut"',
                )
            )
    for n, adr in sorted(mute.items()):
        r = roles.get(n)
        what = f'{r["role"]} in {r["zone"]} does not answer at {adr}' if r else f'no answer at {adr}'
        rows.append((n, what, 'runbook "node lost"'))
    top = max(d['sequence'] for d in got.values())
    for n, d in sorted(got.items()):
        if d['sequence'] < top:
            rows.append((n, f'has configuration {d["sequence"]}, others {top}', 'look at its links to the core'))
        if not d['fit'] and 'why' in d:
            rows.append((n, f'takes no callers: {d["why"]}', 'see the groups above'))
        for a in d.get('alarms', ()):
            rows.append((a['about'] or n, f'{a["number"]} {a["alarm"]}: {a["text"]} (told by {n})', a['cure']))
    return list(dict.fromkeys(rows))
