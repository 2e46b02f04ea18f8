"""Number of batch items that each node may run beside the online requests."""

# Slots of each endpoint that batch leaves free for arriving online requests. If the
# online load rises further, it preempts batch items, which continue elsewhere.
RESERVE_SLOTS = 1


def batch_allowance(free_slots_by_endpoint, reserve=RESERVE_SLOTS):
    """Return the number of slots for batch items over all endpoints.

    `free_slots_by_endpoint` has the slots that are not used by online requests.

    >>> batch_allowance({"a": 8, "b": 1, "c": 0})
    7
    """
    return sum(max(0, free - reserve) for free in free_slots_by_endpoint.values())


def batch_targets(allowance, backlog_by_node):
    """Return how many items each node may run, a dict by node id.

    Nodes see the same free slots at the same time. All compute the same shares from the
    state that they gossip, so that together they do not start more items than fit.
    Slots are distributed evenly among the nodes with remaining items.

    >>> batch_targets(5, {"a": 9, "b": 1, "c": 0})
    {'a': 4, 'b': 1, 'c': 0}
    """
    target_by_node = dict.fromkeys(backlog_by_node, 0)
    remaining = allowance
    unsatisfied = sorted(n for n, backlog in backlog_by_node.items() if backlog)
    while remaining > 0 and unsatisfied:
        each = max(1, remaining // len(unsatisfied))
        for node in list(unsatisfied):
            granted = min(each, remaining, backlog_by_node[node] - target_by_node[node])
            target_by_node[node] += granted
            remaining -= granted
            if target_by_node[node] >= backlog_by_node[node]:
                unsatisfied.remove(node)
    return target_by_node
