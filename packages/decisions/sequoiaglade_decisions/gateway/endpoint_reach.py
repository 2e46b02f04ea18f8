"""Whether a node has lost its own links to all endpoints.

Load pattern: some nodes, or all of a failure domain, are cut off from all endpoints for
seconds while callers, the store and the other nodes reach them. Connections hang, are
reset, or go on while new ones are refused.
"""

from .hashing import stable_hash

# Connections to this many endpoints have to fail, with none that succeeds in between;
# to all of them if there are fewer. Single endpoints crash one at a time.
UNREACHABLE_ENDPOINTS = 2
# Older failures say nothing: an endpoint that crashed is back after some seconds.
FAILURE_SECONDS = 5.0


class EndpointReach:
    """Tells a cut of this node's links from crashes of endpoints, by its connections.

    A node that takes crashes for a cut loses little: its requests take one hop more
    until a connection succeeds, which is tried all the while.

    >>> reach = EndpointReach()
    >>> reach.note_failure("e-1", endpoint_count=5, now=0.0)
    False
    >>> reach.note_failure("e-2", endpoint_count=5, now=0.3)
    True
    >>> reach.is_cut, reach.note_connected(), reach.is_cut
    (True, True, False)
    """

    def __init__(self):
        self._failed_at_by_id = {}
        self.is_cut = False

    def note_connected(self):
        """Record that a connection to an endpoint succeeded; return if a cut ended."""
        self._failed_at_by_id = {}
        was_cut, self.is_cut = self.is_cut, False
        return was_cut

    def note_failure(self, endpoint_id, endpoint_count, now):
        """Record that no connection to an endpoint succeeded; return if a cut began.

        `endpoint_count` is the number of endpoints that are known.
        """
        self._failed_at_by_id = {
            i: at
            for i, at in self._failed_at_by_id.items()
            if now - at <= FAILURE_SECONDS
        }
        self._failed_at_by_id[endpoint_id] = now
        needed = min(UNREACHABLE_ENDPOINTS, max(1, endpoint_count))
        if self.is_cut or len(self._failed_at_by_id) < needed:
            return False
        self.is_cut = True
        return True


def forwarding_nodes(spread, states):
    """Return the ids of the peers to forward a request, in the order to ask them.

    These are the ones that reach endpoints and are not stopping. `spread` is a text by
    which requests are spread over them.

    >>> from sequoiaglade_decisions.gateway import NodeState
    >>> states = [NodeState("a", 1, 1), NodeState("b", 1, 1, is_cut_off=True)]
    >>> forwarding_nodes("request-1", states)
    ['a']
    """
    ids = [s.node_id for s in states if not (s.is_leaving or s.is_cut_off)]
    return sorted(ids, key=lambda node_id: stable_hash("forward", spread, node_id))
