"""A queue's job as its caller hands it in: checked whole, every mistake listed. Pure."""

from dataclasses import dataclass, field, fields

from expression import Error, Ok

from asterwharf.base.checks import read
from asterwharf.base.codes import trouble

# bounds of a job: bytes of its payload, steps, tasks of all steps, times, tasks of all times, bytes of a name
PAYLOAD, STEPS, TASKS, TIMES, ALL, NAME = 4000, 200, 10000, 10000, 100000, 200
# the largest number that any field may hold; a time in ms since 1970 is near 2 * 10 ** 12
BIG = 10**15


@dataclass(frozen=True)
class Step:
    """Tasks alike. `cpu` in thousandths of a core, `mem` in MiB, `estimate_ms` in ms; `after`: numbers of earlier steps."""

    count: int = 1
    cpu: int = 0
    mem: int = 0
    gpus: int = 0
    estimate_ms: int = 0
    apart: int = 0
    after: list[int] = field(default_factory=list)
    together: bool = False
    one_rack: bool = False
    copies: bool = False
    lasts: bool = False
    saves: bool = False
    label: str = ''
    near: str = ''


@dataclass(frozen=True)
class Spec:
    """`times` 0 is work that is due at once; else it is due at `first_ms` (since 1970) and every `every_ms`."""

    steps: list[Step]
    payload: str = ''
    times: int = 0
    first_ms: int = 0
    every_ms: int = 0


def _text(val, most, pth, bad):
    try:
        n = len(val.encode())
    except UnicodeEncodeError:
        return bad.append(f'{pth}: not UTF-8')
    if n > most:
        bad.append(f'{pth}: {n} bytes are more than {most}')


def _plain(obj, pth, bad):
    """The fields that say something; numbers and texts within their bounds."""
    out = {}
    for f in fields(obj):
        v = getattr(obj, f.name)
        if type(v) is int and not 0 <= v <= BIG:
            bad.append(f'{pth}{f.name}: {v} is not between 0 and {BIG}')
        if type(v) is str:
            _text(v, PAYLOAD if f.name == 'payload' else NAME, f'{pth}{f.name}', bad)
        if v and f.name not in ('steps', 'after'):
            out[f.name] = v
    return out


def _step(s, i, bad):
    pth = f'steps[{i}].'
    out = _plain(s, pth, bad)
    if not 1 <= s.count <= TASKS:
        bad.append(f'{pth}count: {s.count} is not between 1 and {TASKS}')
    bad += [f'{pth}after[{k}]: {n} is no earlier step' for k, n in enumerate(s.after) if not 0 <= n < i]
    if s.after:
        out['after'] = sorted(set(s.after))
    return out


def spec(doc):
    """Result of the specification as it is kept, what says nothing left out; or of every mistake with its path."""
    res = read(Spec, doc)
    if res.is_error():
        return Error(trouble('bad_field', *res.error))
    s, bad = res.ok, []
    out = {'payload': ''} | _plain(s, '', bad)
    if not 1 <= len(s.steps) <= STEPS:
        bad.append(f'steps: {len(s.steps)} are not between 1 and {STEPS}')
    out['steps'] = [_step(t, i, bad) for i, t in enumerate(s.steps[:STEPS])]
    n = sum(t.count for t in s.steps)
    if n > TASKS:
        bad.append(f'steps: {n} tasks are more than {TASKS}')
    if s.times > TIMES or n * s.times > ALL:
        bad.append(f'times: more than {TIMES}, or {ALL} tasks in all')
    return Error(trouble('bad_field', *bad)) if bad else Ok(out)
