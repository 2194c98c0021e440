"""Troubles of a day, after the kinds that the users' sites list. Each does its worst and undoes it by itself.

`TROUBLES` maps a kind to a function of the day; what would lose more than one counted machine at once waits its turn.
"""

from asterwharf.sim.fault_steps import ms
from asterwharf.sim.minion_faults import (
    burst,
    flap,
    hot_rack,
    poison,
    scale_in,
    spot,
    srv_crash,
    srv_cut,
    srv_grey,
    srv_hang,
    srv_slow,
)
from asterwharf.sim.node_faults import (
    after_ack_kill,
    after_ack_wipe,
    clock_step,
    core_cut,
    disk_stall,
    edge_kill,
    herd_kill,
    node_cut,
    node_freeze,
    node_kill,
    replace_core,
    reset_conns,
    roll_term,
)


def config_change(day):
    day.ops.change(day.rng.choice(('timeout', 'route', 'aim', 'route')))


def config_race(day):
    for i in range(ms(day, 1, 3)):
        day.fleet.w.after(i * ms(day, 900, 1500), day.ops.race)


def bad_config(day):
    for i in range(3):
        day.fleet.w.after(i * 1000, day.ops.bad)


def big_config(day):
    day.ops.change(ms(day, 200, 350))


def evacuate(day):
    day.ops.evacuate(day.rng.choice(day.site.zones), ms(day, 7000, 10000))


PLANS = {f.__name__: f for f in (config_change, config_race, bad_config, big_config, roll_term, scale_in, evacuate)}
FAULTS = {
    f.__name__: f
    for f in (
        node_kill,
        edge_kill,
        after_ack_wipe,
        after_ack_kill,
        herd_kill,
        disk_stall,
        node_freeze,
        core_cut,
        node_cut,
        replace_core,
        reset_conns,
        clock_step,
        srv_crash,
        flap,
        srv_cut,
        srv_slow,
        srv_hang,
        srv_grey,
        spot,
        burst,
        hot_rack,
        poison,
    )
}
TROUBLES = {**PLANS, **FAULTS}
