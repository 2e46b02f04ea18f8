"""The nodes that keep workspaces' waiting tokens, by the coordinator's view."""

from sequoiaglade_decisions.gateway import (
    PROTOCOL_REVISION,
    eligible_nodes,
    token_keepers,
)

from .messages import TokenKeepers


class FleetTokenKeepers:
    """Finds the keepers of a workspace among the larger live nodes.

    The coordinator owns it; it reads the coordinator's nodes.
    """

    def __init__(self, own_state, nodes, is_settled, share):
        self._get_own_state = own_state
        self._nodes = nodes
        self._is_settled = is_settled
        self._get_share = share

    def find(self, workspace, now):
        """Return the `TokenKeepers`, or None; see `FindTokenKeepers`."""
        if not self._nodes.is_large:
            return None
        states = [*self._nodes.live(now), self._get_own_state()]
        if not all(state.protocol_revision >= PROTOCOL_REVISION for state in states):
            return None
        state_by_id = {s.node_id: s for s in states if not s.is_leaving}
        eligible = eligible_nodes({i: s.cores for i, s in state_by_id.items()})
        keepers = token_keepers(workspace, eligible)
        return TokenKeepers(
            tuple(state_by_id[i].peer_address for i in keepers),
            self._is_settled(now),
            self._get_share(now),
        )
