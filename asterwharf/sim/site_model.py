"""What a simulated deployment is described by: bounds, minions, services, kinds of jobs."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Bounds:
    """The users' time bounds in ms, except `far_factor`."""

    beat_ms: int = 1400
    lag_ms: int = 3000
    in_touch_ms: int = 3000
    ack_ms: int = 4000
    catch_up_ms: int = 4000
    drain_ms: int = 2000
    grace_ms: int = 6000
    config_ms: int = 2000
    downgrade_ms: int = 250
    stretch_ms: int = 5000
    evacuate_ms: int = 5000
    recovery_ms: int = 12000
    hold_ms: int = 6000
    stop_ms: int = 400
    gang_wait_ms: int = 3000
    cancel_ms: int = 3000
    visible_ms: int = 3000
    early_ms: int = 250
    finish_ms: int = 14000
    status_ms: int = 120000
    checkpoint_ms: int = 1000
    restore_ms: int = 100
    far_factor: float = 3


@dataclass(frozen=True)
class Shape:
    """One minion: cpu in thousandths of a core, mem in MB."""

    group: str
    zone: str
    rack: str
    kind: str
    speed: float
    cpu: int
    mem: int
    gpus: int
    guards: bool


@dataclass(frozen=True)
class Service:
    """Minions of one kind of work: `zones` gives how many are in each."""

    name: str
    zones: tuple
    cpu: int
    mem: int
    gpus: int
    kinds: tuple
    sizes: tuple
    speeds: tuple
    rack: int
    guards: bool


@dataclass(frozen=True)
class Kind:
    """One kind of job: a rate a second, and what its jobs look like; shares are parts of 1, means are of lognormal draws."""

    name: str
    group: str
    rate: float
    work_ms: float
    steps: float
    width: float
    cpu: int
    mem: int
    aim_ms: int
    priority: int
    tries: int
    stretch: float
    spread: float = 0.5
    spread_cpu: float = 0.0
    uneven: float = 0.15
    off: float = 0.9
    gpus: tuple = ()
    fails: float = 0.02
    poison: float = 0.0
    gang: float = 0.0
    tight: float = 0.0
    saves: float = 0.0
    label: float = 0.0
    near: float = 0.0
    copies: float = 0.0
    apart: float = 0.0
    cancel: float = 0.0
    timed: float = 0.0
    times: int = 4
    every_ms: int = 3000
    lasts: bool = False
    stay_ms: int = 0
    early: int = 0


@dataclass(frozen=True)
class Site:
    """A deployment; `edges` and `core` give machines by zone, `survive` how many of the core may be lost at once."""

    name: str
    edges: tuple
    core: tuple
    services: tuple
    kinds: tuple
    bounds: Bounds
    zones: tuple = ('z1', 'z2', 'z3')
    idle: int = 8
    survive: int = 1
