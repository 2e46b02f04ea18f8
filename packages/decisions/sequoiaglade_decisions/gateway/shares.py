"""How many batch items each node may run beside the online requests."""

# Slots of each endpoint that batch leaves free for online requests that are on their
# way; the rest of a rising load takes slots of batch items, which go on elsewhere.
RESERVE_SLOTS = 1


def batch_allowance(free_slots_by_endpoint, reserve=RESERVE_SLOTS):
    """Return the slots for batch items over all endpoints.

    `free_slots_by_endpoint` has the slots that no online request uses.

    >>> batch_allowance({"a": 8, "b": 1, "c": 0})
    7
    """
    return sum(max(0, free - reserve) for free in free_slots_by_endpoint.values())


def batch_targets(allowance, backlog_by_node):
    """Return how many items each node may run, a dict by node id.

    Answers the load pattern of nodes that see the same free slots at the same moment:
    all compute the same shares from what they told each other, so that together they
    don't start more than fits. Slots are dealt in turns to nodes that have items left.

    >>> batch_targets(5, {"a": 9, "b": 1, "c": 0})
    {'a': 4, 'b': 1, 'c': 0}
    """
    target_by_node = dict.fromkeys(backlog_by_node, 0)
    left = allowance
    hungry = sorted(n for n, backlog in backlog_by_node.items() if backlog)
    while left > 0 and hungry:
        each = max(1, left // len(hungry))
        for node in list(hungry):
            given = min(each, left, backlog_by_node[node] - target_by_node[node])
            target_by_node[node] += given
            left -= given
            if target_by_node[node] >= backlog_by_node[node]:
                hungry.remove(node)
    return target_by_node
