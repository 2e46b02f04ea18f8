"""Strict fleet-wide rate and burst limits of workspaces.

Each holder owns slots, which carry a part of every limit and are recorded in the
platform. It leases them for a short time to the pool node of the workspace's group,
which issues small grants. Slots that no pool node can reach stay with their holder, so
the sum never exceeds the limit.
"""

from typing import NamedTuple

from .allotment import Holder
from .entitlement import Entitlement
from .lending import Member, SlotLending
from .messages import PoolGrant
from .pool import Pool
from .pool_discovery import PoolDiscovery
from .shares import GROUP_COUNT, group_of, share_of_burst


class Admitted(NamedTuple):
    """The request is within the limit of its workspace."""

    workspace: str


class LimitsMachine:
    """Limits state of one node, except the grants in its `Reserve`.

    `now` is a time in seconds on the node's own monotonic clock, which must advance
    while the process or its instance is suspended.
    """

    def __init__(self, holder, timing):
        self._node_id = holder.node_id
        member = Member(holder.peer, holder.entry)
        self._pool = Pool(timing, holder.incarnation)
        self._lending = SlotLending(
            holder.node_id, member, holder.incarnation, timing, self._pool
        )
        self.entitlement = Entitlement(holder, timing)
        self._discovery = PoolDiscovery(timing.claim_seconds)
        self.is_non_holder = False
        self._limit_by_workspace = {}
        self._holders = ()

    def configure(self, limit_by_workspace, now):
        """Set the limit of each workspace, an object with `rate` and `burst`."""
        self._limit_by_workspace = limit_by_workspace
        self._pool.configure(limit_by_workspace, now)

    def plan_allotment(self, allotment, version, listed_ids, now):
        """Return the `Allotment` to write after a read, or None for no change."""
        planned = self.entitlement.plan(allotment, version, listed_ids, now)
        self._apply_allotment(planned or allotment, now)
        self._update_lending(now)
        return planned

    def allotment_written(self, allotment, version, started_at, now):
        """Apply an allotment that was written by a call begun at `started_at`."""
        self.entitlement.note_written(allotment, version, started_at, now)
        self._apply_allotment(allotment, now)
        self._update_lending(now)

    def tick(self, now):
        """Advance to `now`; return the due polls as pairs of node id and `Poll`."""
        self._update_lending(now)
        return self._lending.due_polls(now)

    def answer_poll(self, poll, settled, now):
        """Return the `Cession` that answers a `Poll` and returns `settled` grants."""
        slots = self.entitlement.slots(now)
        answer = self._lending.answer_poll(poll, slots, now)
        return answer._replace(settled=settled)

    def take_cession(self, cession, now):
        """Apply the answer to a poll of this node."""
        self._pool.settle(cession.settled, now)
        self._lending.take_cession(cession, now)

    def poll_failed(self, node_id, now):
        """Record that a poll timed out."""
        self._lending.poll_failed(node_id, now)

    def grant(self, request, now):
        """Return the `PoolGrant` that answers a `GrantRequest`."""
        if request.workspace not in self._limit_by_workspace:
            return PoolGrant(0, 0, 1.0)
        workspace = request.workspace
        granted = self._pool.grant(workspace, request.wanted, request.settled, now)
        return granted if granted.tokens else self._redirect(granted, workspace, now)

    def pool_named(self, workspace, grant):
        """Follow the redirect to another pool node in a `PoolGrant` without tokens."""
        self._discovery.note_redirect(group_of(workspace), grant.pool, grant.pool_peer)

    def ask_failed(self, pool, now):
        """Record that a grant request to `pool` timed out."""
        self._discovery.note_timeout(pool, now)

    def leave(self, now):
        """Stop being a pool node; the next allotment marks this node as leaving."""
        self.entitlement.leave()
        self._lending.leave(now)
        self._update_lending(now)

    def pool_by_group(self, now):
        """Return the ids of the nodes to request grants from, by group number."""
        return tuple(self._pool_of(group, now) for group in range(GROUP_COUNT))

    def peer_by_id(self):
        """Return the address for nodes of each other known node, by node id."""
        holders = {holder.node_id: holder.peer for holder in self._holders}
        discovered = self._discovery.peer_by_id if self.is_non_holder else {}
        return discovered | holders | self._lending.peer_by_id()

    def slots_in_use(self, group, now):
        """Return the slots that this node uses as pool node of a group at `now`."""
        return self._pool.slots_in_use(group, now)

    def is_ready(self, now):
        """Return whether this node has slots or knows another pool node."""
        others = set(self.pool_by_group(now)) - {self._node_id}
        return bool(others) or self.entitlement.slots(now) > 0

    def better_entry(self, workspace, now):
        """Return the entry that a caller refused here should try instead, or None.

        A pool node with a burst below one request can admit nothing. It returns the
        entry of the holder with the largest burst, if that is at least one request.
        """
        limit = self._limit_by_workspace.get(workspace)
        if limit is None or not self._is_pool_without_burst(workspace, now):
            return None
        burst_by_entry = {
            holder.entry: share_of_burst(workspace, limit.burst, holder.slots)
            for holder in self._holders
            if holder.node_id != self._node_id
        }
        best = max(burst_by_entry, key=burst_by_entry.get, default=None)
        return best if best is not None and burst_by_entry[best] >= 1 else None

    def _pool_of(self, group, now):
        if self.is_non_holder:
            return self._discovery.pool_of(group) or self._node_id
        return self._lending.pool_of(group, now)

    def _redirect(self, grant, workspace, now):
        pool = self._pool_of(group_of(workspace), now)
        peer = self.peer_by_id().get(pool)
        if pool == self._node_id or peer is None:
            return grant
        return grant._replace(pool=pool, pool_peer=peer)

    def _is_pool_without_burst(self, workspace, now):
        pool = self._pool_of(group_of(workspace), now)
        return pool == self._node_id and self._pool.share(workspace)[1] < 1

    def _update_lending(self, now):
        slots = self.entitlement.slots(now)
        self._lending.tick(slots, self.entitlement.valid_until, now)

    def _apply_allotment(self, allotment, now):
        holders = allotment.holder_by_id.values()
        self._holders = tuple(holder for holder in holders if not holder.leaving)
        members = {h.node_id: Member(h.peer, h.entry) for h in self._holders}
        self._lending.set_members(members, now)
        self.is_non_holder = self._node_id not in allotment.holder_by_id
        self._lending.set_non_holder(self.is_non_holder)
        self._discovery.set_holders({h.node_id: h.peer for h in self._holders})


def make_holder(node_id, instance_id, peer, entry, incarnation):
    """Return the `Holder` of a starting node, without slots.

    >>> make_holder("node-a", None, "h:1", "http://h:2", 7).slots
    0
    """
    return Holder(node_id, instance_id, peer, entry, incarnation, 0, False, False, 0)
