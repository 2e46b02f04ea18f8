"""Choice of the peers that a node of a large fleet exchanges states with in a round.

Load pattern: a round a second at each of 14 to 400 nodes, in up to seven failure
domains. Each exchange relays the states of most nodes, and bytes between domains are
dear.
"""

# Part of the rounds in which a node exchanges states with a peer of another domain.
# States then spread about as fast as with peers chosen from all nodes.
REMOTE_PROBABILITY = 0.5
# With fewer live peers in its domain a node chooses from all nodes, since states would
# stay within the domain for too long.
LOCAL_PEERS_MIN = 8


def choose_targets(live, domain, count, asked_at, random):
    """Return `count` of the live peers' states, at most one of another domain.

    Those that were asked last the longest ago come first; `asked_at` returns the time
    by node id. `domain` is the node's own one, `random` has the methods of
    `random.Random`.

    >>> from random import Random
    >>> from sequoiaglade_decisions.gateway import NodeState
    >>> live = [
    ...     NodeState(f"{domain}{n}", 1, 1, failure_domain=domain)
    ...     for domain in "ab"
    ...     for n in range(10)
    ... ]
    >>> choose = lambda seed: choose_targets(live, "a", 2, lambda i: 0, Random(seed))
    >>> chosen = [choose(seed) for seed in range(9)]
    >>> {states[0].failure_domain for states in chosen}
    {'a'}
    >>> sorted({states[1].failure_domain for states in chosen})
    ['a', 'b']
    """
    live = list(live)
    random.shuffle(live)
    live.sort(key=lambda state: asked_at(state.node_id))
    local = [state for state in live if state.failure_domain == domain]
    if len(local) < LOCAL_PEERS_MIN or len(local) == len(live):
        return live[:count]
    if random.random() >= REMOTE_PROBABILITY:
        return local[:count]
    remote = next(state for state in live if state.failure_domain != domain)
    return [*local[: count - 1], remote]
