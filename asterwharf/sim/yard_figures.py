"""Figures of a day: how promptly work ran, what it cost in messages, syncs and wasted core-seconds."""

from collections import Counter


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


# of a job's worth: what does not depend on its size, and what is left of it when it is late; the most a job can be worth
BASE_SHARE, LATE_SHARE, MOST_WORTH = 0.3, 0.3, 4.0


def core_ms(job):
    """The work of a job on sound minions, core milliseconds; a GPU counts as eight cores."""
    return sum(
        (step.get('cpu', 0) / 1000 + 8 * step.get('gpus', 0)) * sum(works)
        for step, works in zip(job.steps, job.works, strict=True)
    )


def class_worth(day):
    """{kind: share of its worth that was earned}, judged like the users' page: large jobs are worth more, late ones less.

    Jobs that last, have times, were cancelled or can never be done are left out.
    """
    rooms = Counter()
    for shape in day.fleet.shapes.values():
        rooms[shape.group] += shape.cpu
    by_kind = {}
    for told in day.fleet.obs.jobs.values():
        job = told.job
        if not (job.lasts or job.times or told.cancel is not None or job.poison):
            by_kind.setdefault(job.cls, []).append(told)
    return {kind: _earned(jobs, rooms) for kind, jobs in sorted(by_kind.items())}


def _earned(jobs, rooms):
    mean_work = mean([core_ms(told.job) for told in jobs])
    earned = owed = 0.0
    for told in jobs:
        job = told.job
        worth = min(MOST_WORTH, BASE_SHARE + (1 - BASE_SHARE) * core_ms(job) / mean_work)
        owed += worth
        if told.final != 'finished':
            continue
        took = told.final_at - told.first
        aim = job.stretch * chain(job, rooms[job.group]) + job.aim_ms
        earned += worth if took <= aim else worth * LATE_SHARE if took <= 3 * aim else 0.0
    return earned / owed


def sound_stopped(day):
    """Share of the runs on sound minions that were stopped by the scheduler, though their jobs went on."""
    return round(day.fleet.obs.sound_stopped / max(1, day.fleet.obs.sound_runs), 4)


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
        'worth': {kind: round(share, 2) for kind, share in class_worth(day).items()},
        'starts': c['starts'],
        'delay_ms': round(mean(f.obs.delays)),
        'delay_p95': top(f.obs.delays, 0.95),
        'ends': {k: c[k] for k in ('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone', 'crash') if c[k]},
        'sound_stopped': sound_stopped(day),
        'turned_away': c['turned_away'],
        'wasted_core_s': round(sum(f.obs.waste.values())),
        'beats': c['beats'],
        'messages': sum(w.count.values()),
        'syncs': w.syncs,
        'idle_3s': len(f.obs.idle),
    }


def figures(day):
    return ' '.join(f'{k}={v}' for k, v in numbers(day).items()).replace("'", '')
