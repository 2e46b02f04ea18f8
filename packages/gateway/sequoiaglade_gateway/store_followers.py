"""The nodes that follow the store for others, by the coordinator's view."""

from sequoiaglade_decisions.gateway import PROTOCOL_REVISION, store_followers


class FleetStoreFollowers:
    """Finds the followers of this node's failure domain.

    The coordinator owns it; it reads the coordinator's nodes.
    """

    def __init__(self, own_state, nodes):
        self._get_own_state = own_state
        self._nodes = nodes

    def find(self, now):
        """Return the followers' addresses, or None; see `FindStoreFollowers`."""
        own = self._get_own_state()
        if not self._nodes.is_large:
            return None
        states = [
            state
            for state in [*self._nodes.live(now), own]
            if state.protocol_revision >= PROTOCOL_REVISION
        ]
        followers = store_followers(own.failure_domain, states)
        if own.is_leaving or not followers or own in followers:
            return None
        return tuple(state.peer_address for state in followers)
