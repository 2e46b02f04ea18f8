"""Discovery of pool nodes by a non-holder, which has no slots and receives no polls.

A non-holder asks the highest-ranked holder for grants. A node that is not the pool node
of the group redirects it to the one that is. A holder that leaves requests unanswered
for as long as holders themselves wait for a claim is skipped until another node
redirects to it.
"""

from .shares import pool_rank

_NEVER = float("-inf")


class PoolDiscovery:
    """Pool nodes known to a non-holder, with their addresses for nodes.

    >>> discovery = PoolDiscovery(claim_seconds=2.5)
    >>> discovery.set_holders({"node-a": "h:1"})
    >>> discovery.note_redirect(3, "node-b", "h:2")
    >>> discovery.pool_of(3), discovery.pool_of(4), discovery.peer_by_id["node-b"]
    ('node-b', 'node-a', 'h:2')
    """

    def __init__(self, claim_seconds):
        self._claim_seconds = claim_seconds
        self._holder_ids = frozenset()
        self._redirect_by_group = {}
        self._failed_since_by_id = {}
        self._last_failed_at_by_id = {}
        self._unresponsive_ids = set()
        self.peer_by_id = {}

    def set_holders(self, peer_by_id):
        """Replace the holders, given as their addresses for nodes by id."""
        self._holder_ids = frozenset(peer_by_id)
        redirected = set(self._redirect_by_group.values())
        kept = {i: peer for i, peer in self.peer_by_id.items() if i in redirected}
        self.peer_by_id = kept | peer_by_id
        for node_id in set(self._last_failed_at_by_id) - set(self.peer_by_id):
            self._last_failed_at_by_id.pop(node_id)
            self._failed_since_by_id.pop(node_id)
            self._unresponsive_ids.discard(node_id)

    def pool_of(self, group):
        """Return the id of the node to ask for grants of a group, or None."""
        redirect = self._redirect_by_group.get(group)
        if redirect is not None and redirect not in self._unresponsive_ids:
            return redirect
        trusted = self._holder_ids - self._unresponsive_ids
        return max(trusted, key=lambda n: pool_rank(group, n), default=None)

    def note_redirect(self, group, pool, peer):
        """Record a redirect to `pool`, at address `peer`, as pool node of a group."""
        self._redirect_by_group[group] = pool
        self.peer_by_id = self.peer_by_id | {pool: peer}
        self._unresponsive_ids.discard(pool)

    def note_timeout(self, pool, now):
        """Record that a grant request to `pool` timed out."""
        last_failed_at = self._last_failed_at_by_id.get(pool, _NEVER)
        if now - last_failed_at > self._claim_seconds:
            self._failed_since_by_id[pool] = now
        self._last_failed_at_by_id[pool] = now
        if now - self._failed_since_by_id[pool] >= self._claim_seconds:
            self._unresponsive_ids.add(pool)
