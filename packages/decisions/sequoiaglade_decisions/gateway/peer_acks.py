"""Evidence that no other node has taken over the jobs that a node holds."""

from typing import NamedTuple

# Maximum age of an acknowledgement. Peers take over a node's jobs if its state was
# not renewed for `PEER_TIMEOUT_SECONDS`; this limit is lower to allow for calls in
# flight.
ACK_AGE_MAX_SECONDS = 1.0
# The same in a large fleet, where peers time out later and are contacted less often.
ACK_AGE_MAX_SECONDS_LARGE = 3.0
# In a large fleet a node takes part in its contact as a whole while it heard of more
# than this fraction of the known nodes lately: peers of its own failure domain answer
# also while the domain is cut off.
HEARD_SHARE_MIN = 0.5


class _Contact(NamedTuple):
    """Uninterrupted contact: no acknowledgement in it grew too old before the next."""

    began_at: float
    acknowledged_at: float


class PeerAcks:
    """When each peer last acknowledged a message of this node, and since when it has.

    Times are of a clock that also advances while the machine is suspended. A peer that
    did not acknowledge this node for some time may have taken over its jobs and may
    have released them again without this node's knowledge. So what this node knows of
    the jobs it held before counts only from the begin of the current contact.

    >>> acks = PeerAcks()
    >>> acks.note_ack("b", sent_at=10.0, now=10.1)
    >>> acks.note_ack("b", sent_at=10.5, now=10.6)
    >>> acks.contact_since(["b"], now=11.0), acks.contact_since(["b"], now=11.6)
    (10.1, None)
    >>> acks.note_ack("b", sent_at=12.0, now=12.1)
    >>> acks.contact_since(["b"], now=12.5), acks.contact_since(["b", "c"], now=12.5)
    (12.1, None)
    """

    def __init__(self):
        self._contact_by_id = {}
        self._any_contact = None
        self._is_isolated = False
        self._heard_since = 0.0

    def note_ack(self, node_id, sent_at, now):
        """Record that a peer answered a message that was sent at `sent_at`."""
        previous = self._contact_by_id.get(node_id)
        self._contact_by_id[node_id] = _extended(
            previous, sent_at, now, ACK_AGE_MAX_SECONDS
        )
        self._any_contact = _extended(
            self._any_contact, sent_at, now, ACK_AGE_MAX_SECONDS_LARGE
        )

    def acknowledged_at(self, node_id):
        """Return when the last acknowledged message was sent, 0.0 if none was."""
        contact = self._contact_by_id.get(node_id)
        return contact.acknowledged_at if contact else 0.0

    def contact_since(self, peer_ids, now):
        """Return since when all peers have acknowledged this node, None if not all do.

        Without peers, the contact has lasted since time 0.0.
        """
        contacts = [self._contact_by_id.get(peer_id) for peer_id in peer_ids]
        if not all(_is_recent(c, now, ACK_AGE_MAX_SECONDS) for c in contacts):
            return None
        return max((contact.began_at for contact in contacts), default=0.0)

    def note_heard_share(self, share, now):
        """Record the fraction of the known nodes that were heard of lately."""
        is_isolated = share <= HEARD_SHARE_MIN
        if is_isolated or self._is_isolated:
            self._heard_since = now
        self._is_isolated = is_isolated

    def any_contact_since(self, now):
        """Return since when some peer has acknowledged this node, None if none does.

        For fleets too large to contact all peers. Contact with few of them counts as
        none.

        >>> acks = PeerAcks()
        >>> acks.note_ack("b", sent_at=10.0, now=10.1)
        >>> acks.any_contact_since(now=11.0)
        10.1
        >>> acks.note_heard_share(0.2, now=11.0)
        >>> acks.any_contact_since(now=11.0)
        >>> acks.note_heard_share(0.9, now=12.0)
        >>> acks.any_contact_since(now=12.5)
        12.0
        """
        is_recent = _is_recent(self._any_contact, now, ACK_AGE_MAX_SECONDS_LARGE)
        if self._is_isolated or not is_recent:
            return None
        return max(self._any_contact.began_at, self._heard_since)

    def forget_except(self, peer_ids):
        """Remove the entries of all other peers."""
        for node_id in set(self._contact_by_id) - set(peer_ids):
            del self._contact_by_id[node_id]


def _extended(contact, sent_at, now, age_max):
    if not _is_recent(contact, now, age_max):
        return _Contact(now, sent_at)
    acknowledged_at = max(contact.acknowledged_at, sent_at)
    return contact._replace(acknowledged_at=acknowledged_at)


def _is_recent(contact, now, age_max):
    return contact is not None and now - contact.acknowledged_at <= age_max
