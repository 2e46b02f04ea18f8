"""Token buckets of a pool node, refilled by leased slots, and grants from them."""

from typing import NamedTuple

from ..outcomes import check_invariant
from .messages import PoolGrant
from .pool_bucket import MAX_RETRY_SECONDS, PoolBucket
from .shares import group_of, share_of_burst, share_of_rate
from .timing import conservative_rate, lender_wait_seconds, usable_seconds


class _LentSlots(NamedTuple):
    """Slots that a lender leases to this node; times are on this node's clock."""

    slots: int
    issued_at: float
    usable_until: float


class Pool:
    """State of this node as pool node: slots leased to it, and a bucket per workspace.

    The slots of a lease are used until a grant's term before the lease expires, so
    that each grant has expired before the slots behind it return to their holder. Ids
    of grants start at `incarnation`, a start time in nanoseconds, so that they don't
    repeat after a restart.
    """

    def __init__(self, timing, incarnation):
        self._grant_wait_seconds = lender_wait_seconds(timing.grant_seconds)
        self._limit_by_workspace = {}
        self._workspaces_by_group = {}
        self._lent_slots_by_group = {}
        self._next_expiry_by_group = {}
        self._bucket_by_workspace = {}
        self._next_grant_id = incarnation

    def configure(self, limit_by_workspace, now):
        """Set the limit of each workspace, an object with `rate` and `burst`."""
        for group in list(self._lent_slots_by_group):
            self._remove_expired(group, now)
        self._limit_by_workspace = limit_by_workspace
        self._workspaces_by_group = {}
        for workspace in limit_by_workspace:
            group = group_of(workspace)
            self._workspaces_by_group.setdefault(group, []).append(workspace)
            if workspace not in self._bucket_by_workspace:
                self._bucket_by_workspace[workspace] = PoolBucket(now)
        for group in self._workspaces_by_group:
            self._resize_group(group, now)
        for workspace in set(self._bucket_by_workspace) - set(limit_by_workspace):
            del self._bucket_by_workspace[workspace]

    def take_cession(self, cession, now):
        """Use the slots leased by a `Cession`, whose term starts at its nonce."""
        issued_at = cession.nonce.issued_at
        end = issued_at + usable_seconds(cession.term) - self._grant_wait_seconds
        for group in cession.groups:
            self.add_slots(group, cession.sender, cession.slots, issued_at, end, now)

    def add_slots(self, group, lender_id, slots, issued_at, usable_until, now):
        """Use the `slots` of a lender in a group until `usable_until`.

        A lease issued before the one in use is ignored.
        """
        self._remove_expired(group, now)
        lent_by_id = self._lent_slots_by_group.setdefault(group, {})
        known = lent_by_id.get(lender_id)
        if usable_until <= now or (known is not None and known.issued_at > issued_at):
            return
        lent = _LentSlots(slots, issued_at, usable_until)
        lent_by_id[lender_id] = lent
        next_expiry = self._next_expiry_by_group.get(group, usable_until)
        self._next_expiry_by_group[group] = min(next_expiry, usable_until)
        if known is None or known.slots != slots:
            self._resize_group(group, now)

    def remove_slots(self, group, lender_id, now):
        """Stop using the slots of a lender in a group."""
        self._remove_expired(group, now)
        if self._lent_slots_by_group.get(group, {}).pop(lender_id, None) is not None:
            self._resize_group(group, now)

    def settle(self, settled, now):
        """Settle grants, given as pairs of grant id and number of unspent tokens."""
        if not settled:
            return
        for bucket in self._bucket_by_workspace.values():
            bucket.refill(now)
            for grant_id, unspent in settled:
                bucket.settle(grant_id, unspent)

    def grant(self, workspace, wanted, settled, now):
        """Issue a `PoolGrant` from the workspace's bucket, after settling others."""
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is None:
            return PoolGrant(0, 0, MAX_RETRY_SECONDS)
        self._remove_expired(group_of(workspace), now)
        bucket.refill(now)
        for grant_id, unspent in settled:
            bucket.settle(grant_id, unspent)
        tokens = bucket.grant(
            self._next_grant_id, wanted, now + self._grant_wait_seconds
        )
        if not tokens:
            return PoolGrant(0, 0, bucket.seconds_until_token(now))
        self._next_grant_id += 1
        return PoolGrant(self._next_grant_id - 1, tokens, 0.0, bucket.is_contended)

    def share(self, workspace):
        """Return the workspace's rate and burst that the slots in use carry."""
        bucket = self._bucket_by_workspace.get(workspace)
        return (bucket.rate, bucket.burst) if bucket is not None else (0.0, 0)

    def slots_in_use(self, group, now):
        """Return the slots that this node uses as pool node of a group at `now`."""
        self._remove_expired(group, now)
        return self._slots(group)

    def _remove_expired(self, group, now):
        if now < self._next_expiry_by_group.get(group, 0.0):
            return
        lent_by_id = self._lent_slots_by_group.get(group, {})
        expired = sorted(
            (lent.usable_until, lender_id)
            for lender_id, lent in lent_by_id.items()
            if lent.usable_until <= now
        )
        for expired_at, lender_id in expired:
            del lent_by_id[lender_id]
            self._resize_group(group, expired_at)
        expiries = [lent.usable_until for lent in lent_by_id.values()]
        self._next_expiry_by_group[group] = min(expiries, default=float("inf"))

    def _resize_group(self, group, now):
        slots = self._slots(group)
        for workspace in self._workspaces_by_group.get(group, ()):
            self._resize(workspace, slots, now)

    def _resize(self, workspace, slots, now):
        limit = self._limit_by_workspace[workspace]
        rate = conservative_rate(share_of_rate(limit.rate, slots))
        burst = share_of_burst(workspace, limit.burst, slots)
        self._bucket_by_workspace[workspace].resize(rate, burst, now)

    def _slots(self, group):
        slots = 0
        for lent in self._lent_slots_by_group.get(group, {}).values():
            check_invariant(not slots & lent.slots, "a slot has one lender")
            slots |= lent.slots
        return slots
