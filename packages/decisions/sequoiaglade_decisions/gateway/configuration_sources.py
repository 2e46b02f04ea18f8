"""Which peer a node asks for a newer configuration than its own."""

# A peer that did not answer is asked after all others for this long.
FAILURE_SECONDS = 5.0


class ConfigurationSources:
    """Chooses the peer to ask, for a node whose own watch of the store tells nothing.

    While a burst of changes meets the loss of single instances or links, the peer with
    the newest version may be the one that can't be reached, and stay known through
    others for as long as these reach it. So a peer that did not answer, or is in
    `unreachable_ids`, is asked only after all others with a newer version than the
    node's own. Among these the newest version is asked for first.

    >>> from .nodes import NodeState
    >>> peers = [
    ...     NodeState("b", 1, 1, configuration_version=9),
    ...     NodeState("c", 1, 1, configuration_version=6),
    ...     NodeState("d", 1, 1, configuration_version=3),
    ... ]
    >>> sources = ConfigurationSources()
    >>> sources.choose(peers, 3, [], now=10.0).node_id
    'b'
    >>> sources.note_failure("b", now=10.6)
    >>> sources.choose(peers, 3, [], now=10.6).node_id
    'c'
    >>> sources.choose(peers, 6, [], now=11.0).node_id
    'b'
    >>> sources.choose(peers, 3, ["c"], now=11.0).node_id
    'c'
    >>> sources.choose(peers, 9, [], now=11.0)
    """

    def __init__(self):
        self._failed_at_by_id = {}

    def note_failure(self, node_id, now):
        """Record that a peer did not answer."""
        self._failed_at_by_id[node_id] = now

    def choose(self, peers, version, unreachable_ids, now):
        """Return the state of the peer to ask, None if none has a newer version.

        If no peer is sound, the one that has not been asked for longest is.
        """
        self._failed_at_by_id = {
            node_id: at
            for node_id, at in self._failed_at_by_id.items()
            if now - at < FAILURE_SECONDS
        }
        newer = [state for state in peers if state.configuration_version > version]

        def rank(state):
            failed_at = self._failed_at_by_id.get(state.node_id, 0.0)
            is_unreachable = state.node_id in unreachable_ids
            return failed_at, is_unreachable, -state.configuration_version

        return min(newer, key=rank, default=None)
