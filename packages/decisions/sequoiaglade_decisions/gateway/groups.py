"""Groups of endpoints, each of which one node of a large fleet schedules."""

from functools import lru_cache

from .hashing import stable_hash

# Endpoint slots per core of a scheduling node, which also does other work. Placing a
# request takes about 1 ms of CPU time; a request occupies its slot for about 300 ms.
SLOTS_PER_CORE = 300
# Nodes with at least this fraction of the largest node's cores may schedule.
ELIGIBLE_CORES_FRACTION = 0.5
# Nodes that are asked in order to place a request of a group.
SCHEDULERS_PER_GROUP = 2
# Choices that are kept: those of the groups of some services, for some views of the
# fleet.
KEPT_CHOICES = 256


def group_count(slots, cores):
    """Return the number of groups for endpoints with `slots` slots in total.

    `cores` is the total of the scheduling nodes. The count is a power of two, so that
    it rarely changes as endpoints come and go.

    >>> group_count(360, cores=2.15), group_count(360, cores=0.5)
    (1, 4)
    """
    count = 1
    while slots > count * cores * SLOTS_PER_CORE:
        count *= 2
    return count


def group_of(endpoint_id, count):
    """Return the index of an endpoint's group, below `count`.

    >>> group_of("e-1", 1)
    0
    """
    return stable_hash("group", endpoint_id) % count if count > 1 else 0


def eligible_nodes(cores_by_node):
    """Return the ids of the nodes that are large enough to schedule, sorted.

    >>> eligible_nodes({"a": 2.0, "b": 0.5, "c": 1.0})
    ['a', 'c']
    """
    max_cores = max(cores_by_node.values(), default=0.0)
    return sorted(
        n for n, c in cores_by_node.items() if c >= max_cores * ELIGIBLE_CORES_FRACTION
    )


def schedulers(service, group, eligible):
    """Return the ids of the nodes that schedule a group, in the order to ask them.

    This is rendezvous hashing: all nodes with the same view of the fleet compute the
    same result. If a node is lost the next one takes over, and the groups of the other
    nodes do not move.
    """
    # A hash of each node costs far more than all else in finding a scheduler, and the
    # nodes rarely change.
    return list(_schedulers(service, group, tuple(eligible)))


@lru_cache(KEPT_CHOICES)
def _schedulers(service, group, eligible):
    ranked = sorted(
        eligible, key=lambda node_id: stable_hash(service, str(group), node_id)
    )
    return ranked[:SCHEDULERS_PER_GROUP]
