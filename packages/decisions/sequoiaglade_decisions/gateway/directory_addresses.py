"""Choice of the instances whose addresses an answer of the directory names.

Load pattern: in fleets of up to some hundred nodes, instances are killed, switched off
or removed all the time. Callers ask a node for addresses once a second and connect to
what it names. A state of a node reaches others over several hops of gossip of up to a
second each, so that its arrival tells little of its age.
"""

# A lost instance may be named for the time that counts as stable and this time more.
LOST_SECONDS = 3.0
# Part of it that is left for messages on their way, which the age of a state lacks. A
# call of gossip that takes longer in all has failed.
DELAY_SECONDS = 0.5


def running_nodes(nodes, now, stable_seconds):
    """Return the states of the peers that run, and the ids of those left out, sorted.

    `nodes` is a `NodeTable`. `stable_seconds` is how long a node has to be undisturbed
    to count as connected. Peers left out were heard of in the last seconds, but their
    states are too old. If all states are older than `stable_seconds`, this node has
    lost its contact, and the ages tell nothing of its peers: then all of them that
    still count as live are returned.

    >>> from sequoiaglade_decisions.gateway import NodeState, NodeTable
    >>> nodes = NodeTable("a")
    >>> nodes.observe_state(NodeState("b", 1, 1), now=0.0)
    True
    >>> nodes.observe_state(NodeState("c", 1, 1), now=0.0, age=5.0)
    True
    >>> states, left_out = running_nodes(nodes, 1.0, stable_seconds=3.0)
    >>> [state.node_id for state in states], left_out
    (['b'], ('c',))
    """
    live = nodes.live(now)
    age_by_id = nodes.ages(live, now)
    if min(age_by_id.values(), default=0.0) > stable_seconds:
        running = live
    else:
        age_max = stable_seconds + LOST_SECONDS - DELAY_SECONDS
        running = [state for state in live if age_by_id[state.node_id] <= age_max]
    running_ids = {state.node_id for state in running}
    left_out = {s.node_id for s in nodes.known(now) if not s.is_leaving} - running_ids
    return running, tuple(sorted(left_out))


def addresses_in_regions(region_by_address, homes, caller_region):
    """Return the addresses that an answer names for a host with these homes.

    `region_by_address` has the region of each running instance, None if it is unknown.
    `homes` is empty for a host without homes, `caller_region` is None if unknown. An
    answer is empty only if there is no address at all.

    >>> region_by_address = {"a:1": "north", "b:1": "south", "c:1": "west"}
    >>> addresses_in_regions(region_by_address, frozenset(), "north")
    ['a:1', 'b:1', 'c:1']
    >>> homes = frozenset({"north", "west"})
    >>> [addresses_in_regions(region_by_address, homes, r) for r in ("west", "south")]
    [['c:1'], ['a:1', 'c:1']]
    >>> addresses_in_regions({"b:1": "south", "c:1": "west"}, {"north"}, "south")
    ['b:1']
    >>> addresses_in_regions({"b:1": "south"}, {"north"}, None)
    ['b:1']
    """
    if not homes:
        return sorted(region_by_address)
    choices = [homes, {caller_region} - {None}]
    if caller_region in homes:
        choices.insert(0, {caller_region})
    for regions in choices:
        chosen = [a for a, region in region_by_address.items() if region in regions]
        if chosen:
            return sorted(chosen)
    return sorted(region_by_address)
