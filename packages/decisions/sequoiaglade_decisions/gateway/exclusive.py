"""Whether a node can be sure that no other took over what it holds."""

# Peers take a node's jobs over once they have not heard of it for `SILENT_SECONDS`; a
# node trusts itself for less than that, in seconds, to allow for calls under way.
TRUST_SECONDS = 1.0
# The same in a large fleet, where nodes are given up later and told less often.
TRUST_SECONDS_LARGE = 4.0


class PeerAcks:
    """When each peer was last told of this node, by a clock that runs in suspension.

    A node that was frozen, suspended or cut off finds its contacts old, and asks the
    store before it answers for what it holds.

    >>> contacts = PeerAcks()
    >>> contacts.note_ack("b", sent_at=10.0)
    >>> contacts.is_acknowledged_by_all(["b"], now=10.5)
    True
    >>> contacts.is_acknowledged_by_all(["b"], now=11.5)
    False
    >>> contacts.is_acknowledged_by_all(["b", "c"], now=10.5)
    False
    """

    def __init__(self):
        self._told_at_by_id = {}

    def note_ack(self, node_id, sent_at):
        """Take note that a peer answered a message that was sent at `sent_at`."""
        known = self._told_at_by_id.get(node_id, sent_at)
        self._told_at_by_id[node_id] = max(known, sent_at)

    def acknowledged_at(self, node_id):
        """Return when a peer was last told, 0.0 if it never was."""
        return self._told_at_by_id.get(node_id, 0.0)

    def is_acknowledged_by_all(self, peer_ids, now):
        """Return whether all peers know that this node lives."""
        return all(
            now - self.acknowledged_at(peer) <= TRUST_SECONDS for peer in peer_ids
        )

    def is_acknowledged_by_any(self, peer_ids, now):
        """Return whether any peer knows it, for fleets too large to tell all."""
        return any(
            now - self.acknowledged_at(p) <= TRUST_SECONDS_LARGE for p in peer_ids
        )
