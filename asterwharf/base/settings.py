"""Settings of one process: a TOML file, then flags; strict, every mistake listed.

Times are bounds in milliseconds; the constants of the code are ratios to them.
"""

import ipaddress
import tomllib
from dataclasses import dataclass, field, fields, replace

from expression import Error, Ok

from asterwharf.base.aliases import renamed
from asterwharf.base.checks import read
from asterwharf.base.mechanisms import unknown


@dataclass(frozen=True)
class Link:
    """The minion link; the defaults are the source design's figures."""

    auth_ms: int = 5000
    register_ms: int = 10000
    beat_ms: int = 30000
    unhealthy_ms: int = 90000
    close_ms: int = 180000
    grace_ms: int = 120000
    lease_ratio: float = 0.6
    stop_ratio: float = 0.1
    drift_ratio: float = 0.05
    base_ms: int = 1000
    multiplier: float = 1.5
    jitter: float = 0.5
    max_ms: int = 60000
    events: int = 5000
    logs: int = 10000
    fresh_ms: int = 1000


@dataclass(frozen=True)
class View:
    """The replicated groups; everything else is a ratio to `silence_ms`."""

    silence_ms: int = 1000
    beat_ratio: float = 0.12
    spread_ratio: float = 0.5
    slow_sync_ratio: float = 0.5
    # how many seats a group grows to where more core nodes than founders are there; 0 leaves it as founded
    seats: int = 0
    # the wait of a seat that has heard no holder since it started
    first_ratio: float = 0.4
    # silence after which a newcomer takes the seat of one that is lost
    lost_ratio: float = 30.0
    keep_log: int = 2000
    # bytes of log entries between two checkpoints at most
    keep_bytes: int = 16777216
    chunk: int = 262144


# a start with the longest payload and checkpoint, 4,000 bytes each, all of them control characters, in an eighth of it
LEAST_ANSWER_BYTES = 1 << 19


@dataclass(frozen=True)
class Calls:
    """Minions that call in by themselves, and their runs: bounds in milliseconds."""

    # how often an idle minion calls; the longest hold it takes, and the one that it is given
    beat_ms: int = 1500
    max_hold_ms: int = 6000
    hold_ms: int = 4000
    # a stop's end, a gang's wait for its members, work away from its data or rack (times as long)
    stop_grace_ms: int = 400
    gang_wait_ms: int = 3000
    far_factor: float = 3.0
    # between two checkpoints of a run; what a start from one costs
    checkpoint_ms: int = 1000
    restore_ms: int = 100
    # how long an ended job is answered for, how early a timed one may start, how soon a cancel must hold
    status_ms: int = 120000
    early_ms: int = 250
    cancel_ms: int = 3000
    # nothing more is started so long after a minion's word that it drains, or after a zone was emptied;
    # how much longer than `drain_ms` a minion serves that leaves in order
    drain_ms: int = 2000
    evacuate_ms: int = 5000
    leave_grace_ms: int = 1000
    # the largest answer that a minion takes, bytes of its body as sent
    answer_bytes: int = 4 << 20
    # how many ends a minion lists in one beat; the rest come again
    listed_ends: int = 500
    # for trials only: mechanisms that are switched off, by the names of base/mechanisms.py
    without: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class Settings:
    name: str
    bind: str
    seeds: list[str]
    zone: str = 'z1'
    http: str = ''
    calls: str = ''
    data: str = ''
    disk_mb: int = 4096
    minion: str = ''
    cores: float = 1.0
    gpus: int = 0
    mem: int = 1073741824
    core_size: int = 3
    found: bool = True
    founders: list[str] = field(default_factory=list)
    token: str = ''
    log_level: str = 'info'
    max_body: int = 8388608
    request_ms: int = 5000
    poll_ms: int = 10000
    request_limit: int = 2000
    leave_ms: int = 4000
    kept_jobs: int = 20000
    kept_ms: int = 86400000
    labels: dict[str, str] = field(default_factory=dict)
    link: Link = field(default_factory=Link)
    view: View = field(default_factory=View)
    call: Calls = field(default_factory=Calls)


def address(txt):
    """(host, port) of 'a.b.c.d:port', or None when it is no such thing."""
    hst, sep, prt = txt.rpartition(':')
    if not sep or not prt.isdigit() or not 0 < int(prt) < 65536:
        return None
    try:
        ipaddress.ip_address(hst)
    except ValueError:
        return None
    return hst, int(prt)


def _judge(s):
    bad = []
    for k in ('bind', 'http', 'calls', 'minion'):
        v = getattr(s, k)
        # agents and core nodes need no HTTP door, edges take no calls of minions
        if (v or k == 'bind') and address(v) is None:
            bad.append(f'{k}: {v!r} is not IP:port')
    if not s.name or not all(c.isalnum() or c in '-_.' for c in s.name):
        bad.append(f'name: {s.name!r} may hold letters, digits, "-", "_" and "." only')
    if not 1 <= len(s.seeds) <= 16:
        bad.append('seeds: between one and sixteen addresses are wanted')
    bad += [
        f'{k}[{i}]: {v!r} is not IP:port'
        for k in ('seeds', 'founders')
        for i, v in enumerate(getattr(s, k))
        if address(v) is None
    ]
    if s.founders and len(s.founders) != s.core_size:
        bad.append('founders: as many as core_size are wanted, or none')
    for o, p in ((s, ''), (s.link, 'link.'), (s.view, 'view.'), (s.call, 'call.')):
        for f in fields(o):
            v = getattr(o, f.name)
            if isinstance(v, (int, float)) and v <= 0 and f.name not in ('gpus', 'found', 'seats'):
                bad.append(f'{p}{f.name}: must be above zero')
    l = s.link
    # the fence: an agent must have stopped its work before anyone may start it anew
    if l.lease_ratio + l.stop_ratio + l.drift_ratio >= 1:
        bad.append('link: lease_ratio + stop_ratio + drift_ratio must stay below 1 (of grace_ms)')
    if l.lease_ratio * l.grace_ms < 2 * l.beat_ms:
        bad.append('link: lease_ratio * grace_ms must cover two beats (2 * beat_ms)')
    if not l.beat_ms < l.unhealthy_ms < l.close_ms:
        bad.append('link: wanted beat_ms < unhealthy_ms < close_ms')
    if s.view.beat_ratio > 0.34:
        bad.append('view.beat_ratio: at most 0.34, so that two beats may be lost')
    if s.call.hold_ms > s.call.max_hold_ms:
        bad.append('call.hold_ms: at most max_hold_ms, or minions cut it short')
    if s.call.answer_bytes < LEAST_ANSWER_BYTES:
        bad.append(f'call.answer_bytes: at least {LEAST_ANSWER_BYTES}, or an answer has no room for a start')
    bad += [f'call.without: {name!r} is no mechanism' for name in unknown(s.call.without)]
    if s.log_level not in ('debug', 'info', 'warning', 'error'):
        bad.append('log_level: one of debug, info, warning, error')
    return bad


def check(doc):
    """Result of Settings, or of the list of mistakes."""
    res = read(Settings, doc)
    if res.is_error():
        return res
    bad = _judge(res.ok)
    return Error(bad) if bad else Ok(res.ok)


def load(path, over):
    """Reads the file, lays the flags over it, checks the whole."""
    doc = {}
    if path:
        try:
            with open(path, 'rb') as f:
                doc = tomllib.load(f)
        except (OSError, tomllib.TOMLDecodeError) as e:
            return Error([f'{path}: {e}'])
    doc, twice = renamed(doc)
    if twice:
        return Error(twice)
    doc.update({k: v for k, v in over.items() if v is not None})
    return check(doc)


# what a running process may take over on SIGHUP; the rest needs a restart
SAFE = ('log_level', 'max_body', 'request_ms', 'poll_ms', 'request_limit', 'leave_ms', 'labels', 'seeds', 'call')


def reread(old, new):
    """The old settings with the safe part of the new, and the names left for a restart."""
    dif = [f.name for f in fields(Settings) if getattr(old, f.name) != getattr(new, f.name)]
    now = {k: getattr(new, k) for k in dif if k in SAFE}
    return replace(old, **now), [k for k in dif if k not in SAFE]
