"""Resource usage of processes, read from ``/proc``."""

import os
from typing import NamedTuple

KIBIBYTE = 1024
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


class Usage(NamedTuple):
    """CPU time in seconds and resident memory in bytes."""

    cpu_seconds: float
    resident_bytes: int


def usage(pid):
    """Return the `Usage` of the process `pid` so far."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident = [line for line in file if line.startswith("VmRSS:")]
    kibibytes = int(resident[0].split()[1]) if resident else 0
    return Usage(ticks / _TICKS_PER_SECOND, kibibytes * KIBIBYTE)
