"""Clocks of a gateway beside the steady one."""

import time


def boot_seconds():
    """Return the seconds of a clock that includes the time of a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
