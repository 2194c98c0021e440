"""Clocks: one that counts suspended time, and the wall."""

import time


def boot_ms():
    # CLOCK_BOOTTIME goes on while the machine sleeps, so a thawed node sees its true age
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms():
    return time.time_ns() // 1_000_000
