"""The memory that the process itself has."""

import contextlib
import ctypes
import resource

# What a process has after its start, where the system does not tell it.
IDLE_BYTES = 66_000_000
# M_MMAP_THRESHOLD of mallopt(3), and the default of glibc.
MMAP_THRESHOLD = -3
MMAP_BYTES = 131_072


def return_large_blocks():
    """Let the allocator return each freed block of over 128 kB to the system.

    By default glibc raises the threshold up to 32 MB with the sizes that are freed;
    each thread's arena then keeps blocks of the size of bodies.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(MMAP_THRESHOLD, MMAP_BYTES)


def resident_bytes():
    """Return the resident memory of this process in bytes."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return IDLE_BYTES
