"""Rate and burst of each workspace, strictly over the fleet.

Each node owns slots of every limit, recorded in the platform. It cedes them for a
short time to the node that pools the workspace's group, which hands out small grants.
What nobody can reach stays with its owner, so the sum never exceeds the limit.
"""

from typing import NamedTuple

from .allotment import Holder
from .ceding import Ceding, Member
from .entitlement import Entitlement
from .guest import Guest
from .messages import PoolGrant
from .pool import Pool
from .shares import GROUP_COUNT, group_of, share_of_burst


class Admitted(NamedTuple):
    """The request is within the limit of its workspace."""

    workspace: str


class LimitsMachine:
    """All limits state of one node but the grants that it holds itself.

    `now` is the node's own monotonic clock, which must go on while the process, or
    its instance, is suspended.
    """

    def __init__(self, holder, timing):
        self._node_id = holder.node_id
        member = Member(holder.peer, holder.entry)
        self._pool = Pool(timing, holder.incarnation)
        self._ceding = Ceding(
            holder.node_id, member, holder.incarnation, timing, self._pool
        )
        self.entitlement = Entitlement(holder, timing)
        self._guest = Guest(timing.claim_seconds)
        self.is_non_holder = False
        self._limit_by_workspace = {}
        self._holders = ()

    def configure(self, limit_by_workspace, now):
        """Take over the limit, with `rate` and `burst`, of each workspace."""
        self._limit_by_workspace = limit_by_workspace
        self._pool.configure(limit_by_workspace, now)

    def plan_allotment(self, allotment, version, listed_ids, now):
        """Return the `Allotment` to write after a read, or None for no change."""
        planned = self.entitlement.plan(allotment, version, listed_ids, now)
        self._observe(planned or allotment, now)
        self._use_own_slots(now)
        return planned

    def allotment_written(self, allotment, version, started_at, now):
        """Take over an allotment that was written, in a call begun at `started_at`."""
        self.entitlement.written(allotment, version, started_at, now)
        self._observe(allotment, now)
        self._use_own_slots(now)

    def tick(self, now):
        """Let time pass; return the polls to send, as pairs of node id and `Poll`."""
        self._use_own_slots(now)
        return self._ceding.polls(now)

    def answer_poll(self, poll, settled, now):
        """Return the `Cession` that answers a `Poll`, with `settled` grants."""
        slots = self.entitlement.slots(now)
        answer = self._ceding.answer(poll, slots, now)
        return answer._replace(settled=settled)

    def take_cession(self, cession, now):
        """Take over the answer to a poll of this node."""
        self._pool.settle(cession.settled, now)
        self._ceding.take_cession(cession, now)

    def poll_failed(self, node_id, now):
        """Note that a poll had no answer within its time-out."""
        self._ceding.poll_failed(node_id, now)

    def grant(self, request, now):
        """Return the `PoolGrant` that answers a `GrantRequest`."""
        if request.workspace not in self._limit_by_workspace:
            return PoolGrant(0, 0, 1.0)
        workspace = request.workspace
        granted = self._pool.grant(workspace, request.wanted, request.settled, now)
        return granted if granted.tokens else self._name_pool(granted, workspace, now)

    def pool_named(self, workspace, grant):
        """Note the pool that a `PoolGrant` without tokens names."""
        self._guest.name(group_of(workspace), grant.pool, grant.pool_peer)

    def ask_failed(self, pool, now):
        """Note that a pool gave no `PoolGrant` in time."""
        self._guest.failed(pool, now)

    def leave(self, now):
        """Pool no more, and give up this node's slots with the next allotment."""
        self.entitlement.leave()
        self._ceding.leave(now)
        self._use_own_slots(now)

    def pool_by_group(self, now):
        """Return the ids of the nodes to ask for grants, by group number."""
        return tuple(self._pool_of(group, now) for group in range(GROUP_COUNT))

    def peer_by_id(self):
        """Return the address for nodes of each other member."""
        holders = {holder.node_id: holder.peer for holder in self._holders}
        named = self._guest.peer_by_id if self.is_non_holder else {}
        return named | holders | self._ceding.peer_by_id()

    def slots_in_use(self, group, now):
        """Return the set of slots that fill this node's pool of a group at `now`."""
        return self._pool.slots_in_use(group, now)

    def is_ready(self, now):
        """Return whether this node owns a share or knows another node that pools."""
        others = set(self.pool_by_group(now)) - {self._node_id}
        return bool(others) or self.entitlement.slots(now) > 0

    def better_entry(self, workspace, now):
        """Return the entry that a caller refused here had better try, or None.

        A node that pools alone, with a share of less than one request, names the
        entry of the node with the largest share.
        """
        limit = self._limit_by_workspace.get(workspace)
        if limit is None or not self._pools_alone(workspace, now):
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
            return self._guest.pool_of(group) or self._node_id
        return self._ceding.pool_of(group, now)

    def _name_pool(self, refused, workspace, now):
        pool = self._pool_of(group_of(workspace), now)
        peer = self.peer_by_id().get(pool)
        if pool == self._node_id or peer is None:
            return refused
        return refused._replace(pool=pool, pool_peer=peer)

    def _pools_alone(self, workspace, now):
        pool = self._pool_of(group_of(workspace), now)
        return pool == self._node_id and self._pool.share(workspace)[1] < 1

    def _use_own_slots(self, now):
        slots = self.entitlement.slots(now)
        self._ceding.tick(slots, self.entitlement.valid_until, now)

    def _observe(self, allotment, now):
        holders = allotment.holder_by_id.values()
        self._holders = tuple(holder for holder in holders if not holder.leaving)
        members = {h.node_id: Member(h.peer, h.entry) for h in self._holders}
        self._ceding.set_members(members, now)
        self.is_non_holder = self._node_id not in allotment.holder_by_id
        self._ceding.set_guest(self.is_non_holder)
        self._guest.set_holders({h.node_id: h.peer for h in self._holders})


def make_holder(node_id, instance_id, peer, entry, incarnation):
    """Return the `Holder` of a node that starts.

    >>> make_holder("node-a", None, "h:1", "http://h:2", 7).slots
    0
    """
    return Holder(node_id, instance_id, peer, entry, incarnation, 0, False, False, 0)
