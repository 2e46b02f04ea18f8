"""Division of a workspace's rate and burst among slots.

The limit of each workspace is divided among `SLOT_COUNT` slots. A set of slots is an
integer with bit *n* set for slot *n*. A slot carries an even part of the rate, and
a whole number of requests of the burst, assigned in an order derived from the
workspace's name. Each slot's part grows monotonically with the limit, so that nodes on
two configuration revisions together stay within the larger of both limits.
"""

from functools import lru_cache
from math import ceil

from xxhash import xxh64

SLOT_COUNT = 4096
GROUP_COUNT = 16
ALL_SLOTS = (1 << SLOT_COUNT) - 1


@lru_cache(maxsize=4096)
def group_of(workspace):
    """Return the number of a workspace's group; each group has one pool node.

    >>> group_of("salina") == group_of("salina") < GROUP_COUNT
    True
    """
    return _hash(workspace) % GROUP_COUNT


def pool_rank(group, node_id):
    """Return a node's rendezvous hash for a group; the highest is the pool node."""
    return _hash(f"{group}/{node_id}")


def share_of_rate(rate, slots):
    """Return the part of `rate`, in requests per second, that `slots` carry.

    >>> share_of_rate(8.0, slot_set([(0, 1024)]))
    2.0
    """
    return rate * slots.bit_count() / SLOT_COUNT


def share_of_burst(workspace, burst, slots):
    """Return the whole number of requests of `burst` that `slots` carry.

    >>> half = slot_set([(0, 2048)])
    >>> other = ALL_SLOTS & ~half
    >>> share_of_burst("hays", 7, half) + share_of_burst("hays", 7, other)
    7
    """
    whole, rest = divmod(burst, SLOT_COUNT)
    extra = (slots & _extra_burst_slots(workspace, rest)).bit_count()
    return whole * slots.bit_count() + extra


def slot_set(ranges):
    """Return the set of slots in `ranges`, pairs of first slot and end (exclusive)."""
    slots = 0
    for start, stop in ranges:
        slots |= ((1 << (stop - start)) - 1) << start
    return slots


def slot_ranges(slots):
    """Return a set of slots as a tuple of ranges, the inverse of `slot_set`.

    >>> slot_ranges(slot_set([(3, 5), (9, 10)]))
    ((3, 5), (9, 10))
    """
    ranges = []
    start = 0
    while slots:
        zeros = (slots & -slots).bit_length() - 1
        slots >>= zeros
        start += zeros
        ones = (~slots & (slots + 1)).bit_length() - 1
        ranges.append((start, start + ones))
        slots >>= ones
        start += ones
    return tuple(ranges)


def lowest_slots(slots, count):
    """Return the set of the `count` lowest of `slots`."""
    lowest = 0
    for start, stop in slot_ranges(slots):
        size = min(count, stop - start)
        if size <= 0:
            break
        lowest |= slot_set([(start, start + size)])
        count -= size
    return lowest


def fair_slot_count(node_count):
    """Return the maximum slots per node in a fair split among `node_count` nodes."""
    return ceil(SLOT_COUNT / max(1, node_count))


@lru_cache(maxsize=4096)
def _extra_burst_slots(workspace, count):
    seed = _hash(f"burst/{workspace}")
    step = (seed >> 16) | 1
    slots = 0
    for number in range(count):
        slots |= 1 << ((seed + number * step) % SLOT_COUNT)
    return slots


def _hash(text):
    return xxh64(text.encode()).intdigest()
