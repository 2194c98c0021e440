"""Figures of a day: how promptly work ran, what it cost in messages, syncs and wasted core-seconds."""


def mean(xs):
    return sum(xs) / len(xs) if xs else 0.0


def top(xs, q):
    return sorted(xs)[min(len(xs) - 1, int(len(xs) * q))] if xs else 0


def chain(job, room):
    """The longest chain of work of one time of a job on sound minions, in ms; waves where a step is wide."""
    at = []
    for s, sp in enumerate(job.steps):
        cpu, n = sp.get('cpu', 0) or 1, sp.get('count', 1)
        waves = max(1.0, cpu * n / max(1, room / 4)) if not sp.get('together') else 1.0
        at.append(max([at[a] for a in sp.get('after', ())] or [0]) + max(job.works[s]) * waves)
    return max(at)


def aims(day):
    """{kind: [in aim, late, not at all]} of jobs without times that could be done and were not cancelled."""
    f, out = day.fleet, {}
    rooms = {}
    for s in f.shapes.values():
        rooms[s.group] = rooms.get(s.group, 0) + s.cpu
    for t in f.obs.jobs.values():
        j = t.job
        if j.lasts or j.times or t.cancel is not None or j.poison:
            continue
        row = out.setdefault(j.cls, [0, 0, 0])
        aim = j.stretch * chain(j, rooms[j.group]) + j.aim_ms
        took = t.final_at - t.first if t.final == 'finished' else 1 << 40
        row[0 if took <= aim else 1 if took <= 3 * aim else 2] += 1
    return out


def numbers(day):
    f = day.fleet
    c, w = f.obs.count, f.w
    rows = aims(day)
    tot = sum(sum(r) for r in rows.values())
    return {
        'jobs': tot,
        'in_aim': round(sum(r[0] for r in rows.values()) / tot, 3) if tot else 1.0,
        'late': round(sum(r[1] for r in rows.values()) / tot, 3) if tot else 0.0,
        'kinds': {k: round(r[0] / sum(r), 2) for k, r in sorted(rows.items())},
        'starts': c['starts'],
        'delay_ms': round(mean(f.obs.delays)),
        'delay_p95': top(f.obs.delays, 0.95),
        'ends': {k: c[k] for k in ('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone', 'crash') if c[k]},
        'turned_away': c['turned_away'],
        'wasted_core_s': round(sum(f.obs.waste.values())),
        'beats': c['beats'],
        'messages': sum(w.count.values()),
        'syncs': w.syncs,
        'idle_3s': len(f.obs.idle),
    }


def figures(day):
    return ' '.join(f'{k}={v}' for k, v in numbers(day).items()).replace("'", '')
