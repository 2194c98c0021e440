"""What callers and operators are shown of jobs, minions and claims. Pure."""

from asterwharf.scheduler.model import BUSY, FINAL


def task(t):
    out = {'name': t.name, 'state': t.state, 'round': t.round, 'tries': t.tries, 'used': t.used, 'why': t.why}
    if t.minion:
        out['minion'] = t.minion
    if t.state in FINAL:
        out['ended_at'] = t.end
    if t.hist:
        out['history'] = t.hist
    if t.due:
        out['due'] = t.due
    return out


def job(j):
    out = {
        'tenant': j.tenant,
        'id': j.id,
        'class': j.cls,
        'state': j.state,
        'submitted_at': j.at,
        'tasks': [task(t) for t in j.tasks.values()],
    }
    if j.why:
        out['why'] = j.why
    if j.over:
        out['ended_at'] = j.end
    return out


def brief(j):
    sts = [t.state for t in j.tasks.values()]
    return {
        'tenant': j.tenant,
        'id': j.id,
        'class': j.cls,
        'state': j.state,
        'submitted_at': j.at,
        'tasks': len(sts),
        'done': sts.count('done'),
        'busy': sum(s in BUSY for s in sts),
    }


def minion(m):
    c, g, x = m.free
    return {
        'name': m.name,
        'zone': m.zone,
        'edge': m.edge,
        'link_round': m.link,
        'up': m.up,
        'draining': m.drain or m.opdrain,
        'evict_at': m.until,
        'cores': m.cores,
        'gpus': m.gpus,
        'mem': m.mem,
        'labels': m.labels,
        'free': {'cores': round(c, 3), 'gpus': g, 'mem': x},
        'tasks': len(m.load),
        'strays': len(m.strays),
        'why': m.why,
    }


def claim(t):
    return {'task': t.key, 'round': t.round, 'minion': t.minion, 'state': t.state, 'since': t.start}
