"""Evidence that no other node has taken over the jobs that a node holds."""

# Maximum age of an acknowledgement. Peers take over a node's jobs if its state was
# not renewed for `PEER_TIMEOUT_SECONDS`; this limit is lower to allow for calls in
# flight.
ACK_AGE_MAX_SECONDS = 1.0
# The same in a large fleet, where peers time out later and are contacted less often.
ACK_AGE_MAX_SECONDS_LARGE = 4.0


class PeerAcks:
    """When each peer last acknowledged a message of this node.

    Times are of a clock that also advances while the machine is suspended. The
    acknowledgements of a node that was frozen, suspended or partitioned are too old;
    it has to query the store before it responds about the jobs that it holds.

    >>> acks = PeerAcks()
    >>> acks.note_ack("b", sent_at=10.0)
    >>> acks.is_acknowledged_by_all(["b"], now=10.5)
    True
    >>> acks.is_acknowledged_by_all(["b"], now=11.5)
    False
    >>> acks.is_acknowledged_by_all(["b", "c"], now=10.5)
    False
    """

    def __init__(self):
        self._acknowledged_at_by_id = {}

    def note_ack(self, node_id, sent_at):
        """Record that a peer answered a message that was sent at `sent_at`."""
        previous = self._acknowledged_at_by_id.get(node_id, sent_at)
        self._acknowledged_at_by_id[node_id] = max(previous, sent_at)

    def acknowledged_at(self, node_id):
        """Return when the last acknowledged message was sent, 0.0 if none was."""
        return self._acknowledged_at_by_id.get(node_id, 0.0)

    def is_acknowledged_by_all(self, peer_ids, now):
        """Return whether all peers recently acknowledged this node."""
        return all(
            now - self.acknowledged_at(peer) <= ACK_AGE_MAX_SECONDS for peer in peer_ids
        )

    def is_acknowledged_by_any(self, peer_ids, now):
        """Return whether any peer did, for fleets too large to contact all."""
        return any(
            now - self.acknowledged_at(p) <= ACK_AGE_MAX_SECONDS_LARGE for p in peer_ids
        )
