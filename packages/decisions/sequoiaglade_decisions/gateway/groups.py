"""Groups of endpoints, each scheduled by one node of a large fleet."""

from .hashing import stable_hash

# Slots whose requests a whole core can place, beside the other work of its node: a
# request costs the scheduler about a millisecond and holds its slot some 300 ms.
SLOTS_PER_CORE = 300
# Nodes with at least this part of the largest node's cores may schedule.
ABLE_PART = 0.5
# Nodes that are asked in turn to place a request.
CANDIDATES = 2


def group_count(slots, cores):
    """Return into how many groups endpoints with so many slots fall.

    `cores` are those of the nodes that schedule. The count is a power of two, so that
    it changes seldom as endpoints come and go.

    >>> group_count(360, cores=2.15), group_count(360, cores=0.5)
    (1, 4)
    """
    count = 1
    while slots > count * cores * SLOTS_PER_CORE:
        count *= 2
    return count


def group_of(endpoint_id, count):
    """Return the number of an endpoint's group.

    >>> group_of("e-1", 1)
    0
    """
    return stable_hash("group", endpoint_id) % count


def eligible_nodes(cores_by_node):
    """Return the ids of the nodes that are large enough to schedule, sorted.

    >>> eligible_nodes({"a": 2.0, "b": 0.5, "c": 1.0})
    ['a', 'c']
    """
    most = max(cores_by_node.values(), default=0.0)
    return sorted(n for n, c in cores_by_node.items() if c >= most * ABLE_PART)


def schedulers(service, group, able):
    """Return the ids of the nodes to ask for a group's placements, first to last.

    All nodes that know the same fleet name the same ones. If one is lost the next
    takes over, and the groups of the others stay where they are.
    """
    order = sorted(able, key=lambda node_id: stable_hash(service, str(group), node_id))
    return order[:CANDIDATES]
