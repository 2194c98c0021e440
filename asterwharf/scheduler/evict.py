"""Who may be pushed out, and whose room is held free, so that nothing waits for ever. Pure."""

from asterwharf.scheduler.model import PLACED, RUNNING, STOPPING


def priority_of(cfg, cls):
    return (cfg.classes.get(cls) or cfg.classes['default']).priority


def priority(cfg, t):
    return priority_of(cfg, t.job.cls)


def victims(plc, t, cfg, at):
    """The least that must go so that `t` finds room on one minion: (minion's name, [tasks]), or None."""
    pol = cfg.policy(t.job.tenant)
    if pol is None or pol.evict is None:
        return None
    own, best = priority(cfg, t), None
    for m in plc.mac.minions.values():
        if plc.allowed(t, m, cfg):
            continue
        # whatever the policies say, only lesser work goes: two policies can't push each other out for ever
        cand = [
            v
            for v in (plc.mac.tasks[k] for k in m.load)
            if v.state in (PLACED, RUNNING)
            and priority(cfg, v) < own
            and plc.judged(pol.may_evict, pol, dict(plc.world(t, m, cfg), victim=_victim(v, cfg)))
        ]
        cand.sort(key=lambda v: (priority(cfg, v), bool(v.gang), -v.start, v.key))
        c, g, x = m.free
        got = []
        for v in cand:
            if t.cores <= c + 1e-9 and t.gpus <= g and t.mem <= x:
                break
            got.append(v)
            c, g, x = c + v.cores, g + v.gpus, x + v.mem
        if got and t.cores <= c + 1e-9 and t.gpus <= g and t.mem <= x:
            key = (max(priority(cfg, v) for v in got), len(got), m.name)
            if best is None or key < best[0]:
                best = (key, m.name, got)
    return best[1:] if best else None


def _victim(v, cfg):
    return {
        'class': v.job.cls,
        'tenant': v.job.tenant,
        'cores': float(v.cores),
        'gpus': v.gpus,
        'mem': v.mem,
        'gang': v.gang,
        'priority': priority(cfg, v),
    }


def evicting(mac):
    """How much room is being made already: tasks that stop because they were pushed out."""
    return sum(v.want == 'evict' for v in mac.by[STOPPING].values())


def hold_room(plc, bundle, grp, rooms, cfg):
    """Keeps minions free for a bundle that has waited long: they take nothing else until it fits.

    Only whole sizes count here: what is on them now will end. What was kept for the same bundle before stays kept, else
    what was drained for it is given away as soon as another minion has more room.
    """
    before = plc.kept[1] if plc.kept[0] == bundle else ()
    got, left = [], {r.m.name: [r.m.cores, r.m.gpus, r.m.mem] for r in rooms}
    by_choice = sorted(rooms, key=lambda r: (r.m.name not in before, -r.slack, r.m.name))
    for t in sorted(grp, key=lambda o: (-o.cores, o.key)):
        for r in by_choice:
            c, g, x = left[r.m.name]
            if t.cores <= c + 1e-9 and t.gpus <= g and t.mem <= x and not plc.allowed(t, r.m, cfg):
                left[r.m.name] = [c - t.cores, g - t.gpus, x - t.mem]
                got.append(r)
                break
        else:
            # no minion is large enough: it may wait, but it holds nothing back
            return []
    plc.kept = bundle, frozenset(r.m.name for r in got)
    return got
