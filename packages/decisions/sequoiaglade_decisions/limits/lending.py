"""Election of each group's pool node, and leases of this node's slots to it."""

from typing import NamedTuple

from .messages import Cession, Nonce, Poll
from .shares import GROUP_COUNT, pool_rank
from .timing import lender_wait_seconds, usable_seconds

_FOREVER = float("inf")


class Member(NamedTuple):
    """A candidate pool node, with its addresses for nodes and for callers."""

    peer: str
    entry: str


class _Claim(NamedTuple):
    """The groups that a peer's last poll claims, to be their pool node."""

    groups: tuple[int, ...]
    received_at: float
    incarnation: int


class _Lease(NamedTuple):
    """Lease of this node's slots in one group; times are on this node's clock.

    From `reclaimable_at` on, the slots may be used by another pool node.
    """

    pool_id: str
    incarnation: int
    leased_at: float
    reclaimable_at: float


class SlotLending:
    """Leases this node's slots, group by group, to one pool node at a time.

    The pool node of a group is elected by rendezvous hashing among the nodes that
    claim it. Nodes may disagree on the result, which is safe: a slot is used either by
    its holder or by the one node that leases it. Without a reachable pool node, a node
    is the pool node of only its own slots.
    """

    def __init__(self, node_id, member, incarnation, timing, pool):
        self._node_id = node_id
        self._member = member
        self._incarnation = incarnation
        self._timing = timing
        self._pool = pool
        self._leaving = False
        self._is_non_holder = False
        self._member_by_id = {}
        self._top_ranked_by_group = None
        self._last_contact_by_id = {}
        self._suspected_ids = set()
        self._left_incarnation_by_id = {}
        self._awaited_claim_by_group = {}
        self._claim_by_id = {}
        self._lease_by_group = {}
        self._next_poll_at_by_id = {}

    def set_members(self, member_by_id, now):
        """Replace the candidate nodes; an entry for this node is ignored."""
        for node_id in set(self._member_by_id) - set(member_by_id):
            self._next_poll_at_by_id.pop(node_id, None)
            self._suspected_ids.discard(node_id)
            self._left_incarnation_by_id.pop(node_id, None)
        self._member_by_id = {
            node_id: member
            for node_id, member in member_by_id.items()
            if node_id != self._node_id
        }
        self._top_ranked_by_group = None

    def set_non_holder(self, is_non_holder):
        """Set whether this node is a non-holder, which is never a pool node."""
        if is_non_holder == self._is_non_holder:
            return
        self._is_non_holder = is_non_holder
        self._suspected_ids.clear()
        self._awaited_claim_by_group.clear()
        self._top_ranked_by_group = None

    def leave(self, now):
        """Stop claiming groups, and announce that to each member by the next poll."""
        self._leaving = True
        self._top_ranked_by_group = None
        self._next_poll_at_by_id = dict.fromkeys(self._member_by_id, now)

    def tick(self, slots, valid_until, now):
        """Use the own `slots` in the groups for which this node is the pool node.

        The slots belong to this node until `valid_until`.
        """
        self._detect_failures(now)
        for group in range(GROUP_COUNT):
            if self._elected_pool(group, now) == self._node_id:
                self._pool_own_slots(group, slots, valid_until, now)
            else:
                self._stop_pooling_own_slots(group, now)

    def due_polls(self, now):
        """Return the polls that are due, as pairs of node id and `Poll`."""
        if self._is_non_holder:
            return []
        groups = self._claimed_groups()
        due = []
        for node_id in sorted(self._member_by_id):
            next_at = self._next_poll_at_by_id.get(node_id, now)
            is_first = node_id not in self._next_poll_at_by_id
            if next_at > now or not (groups or is_first or self._leaving):
                continue
            self._next_poll_at_by_id[node_id] = now + self._timing.poll_seconds
            nonce = Nonce(self._incarnation, now)
            poll = Poll(self._node_id, *self._member, nonce, groups, self._leaving)
            due.append((node_id, poll))
        return due

    def poll_failed(self, node_id, now):
        """Schedule another poll of a node after the retry interval."""
        if node_id in self._next_poll_at_by_id:
            self._next_poll_at_by_id[node_id] = now + self._timing.retry_seconds

    def answer_poll(self, poll, slots, now):
        """Return the `Cession` that answers a `Poll`, leasing `slots` to its sender."""
        self._record_poll(poll, now)
        leased = tuple(g for g in poll.groups if self._lend(g, poll, now))
        term = self._timing.cession_seconds
        return Cession(self._node_id, poll.nonce, leased, slots, term)

    def take_cession(self, cession, now):
        """Use the slots that a peer leases, if it quotes a nonce of this incarnation.

        A peer that does not lease a claimed group is polled again after the retry
        interval.
        """
        self._record_contact(cession.sender, now)
        if cession.nonce.incarnation == self._incarnation:
            self._pool.take_cession(cession, now)
        if set(self._claimed_groups()) - set(cession.groups):
            self.poll_failed(cession.sender, now)

    def peer_by_id(self):
        """Return the address for nodes of each member."""
        return {i: member.peer for i, member in self._member_by_id.items()}

    def pool_of(self, group, now):
        """Return the id of the node to ask for grants of a group."""
        lease = self._lease_by_group.get(group)
        if lease is not None and lease.pool_id in self._claim_by_id:
            usable = usable_seconds(self._timing.cession_seconds)
            usable -= lender_wait_seconds(self._timing.grant_seconds)
            is_claim_recent = self._is_recent(self._claim_by_id[lease.pool_id], now)
            if is_claim_recent and now < lease.leased_at + usable:
                return lease.pool_id
        return self._elected_pool(group, now)

    def _record_poll(self, poll, now):
        self._record_contact(poll.sender, now)
        if poll.sender not in self._member_by_id:
            self._member_by_id[poll.sender] = Member(poll.peer, poll.entry)
            self._top_ranked_by_group = None
        claim = _Claim(poll.groups, now, poll.nonce.incarnation)
        self._claim_by_id[poll.sender] = claim
        left = self._left_incarnation_by_id.get(poll.sender)
        if poll.leaving:
            self._left_incarnation_by_id[poll.sender] = poll.nonce.incarnation
            self._top_ranked_by_group = None
        elif left is not None and left < poll.nonce.incarnation:
            del self._left_incarnation_by_id[poll.sender]
            self._top_ranked_by_group = None

    def _record_contact(self, node_id, now):
        self._last_contact_by_id[node_id] = now
        if node_id in self._suspected_ids:
            self._suspected_ids.discard(node_id)
            self._top_ranked_by_group = None

    def _suspect_node(self, node_id):
        self._suspected_ids.add(node_id)
        self._top_ranked_by_group = None

    def _lend(self, group, poll, now):
        if self._elected_pool(group, now) != poll.sender:
            return False
        self._stop_pooling_own_slots(group, now)
        lease = self._lease_by_group.get(group)
        borrower = (poll.sender, poll.nonce.incarnation)
        if lease is not None and (lease.pool_id, lease.incarnation) != borrower:
            if now < lease.reclaimable_at:
                return False
        reclaimable_at = now + lender_wait_seconds(self._timing.cession_seconds)
        self._lease_by_group[group] = _Lease(*borrower, now, reclaimable_at)
        return True

    def _pool_own_slots(self, group, slots, valid_until, now):
        lease = self._lease_by_group.get(group)
        if lease is not None and lease.pool_id != self._node_id:
            if now < lease.reclaimable_at:
                return
        own = _Lease(self._node_id, self._incarnation, now, _FOREVER)
        self._lease_by_group[group] = own
        usable_until = valid_until - lender_wait_seconds(self._timing.grant_seconds)
        self._pool.add_slots(group, self._node_id, slots, now, usable_until, now)

    def _stop_pooling_own_slots(self, group, now):
        lease = self._lease_by_group.get(group)
        if lease is None or lease.reclaimable_at != _FOREVER:
            return
        self._pool.remove_slots(group, self._node_id, now)
        reclaimable_at = now + lender_wait_seconds(self._timing.grant_seconds)
        self._lease_by_group[group] = lease._replace(reclaimable_at=reclaimable_at)

    def _elected_pool(self, group, now):
        claimants = [
            node_id
            for node_id, claim in self._claim_by_id.items()
            if group in claim.groups and self._is_recent(claim, now)
        ]
        if not claimants or self._top_ranked(group) == self._node_id:
            claimants.append(self._node_id)
        return max(claimants, key=lambda node_id: pool_rank(group, node_id))

    def _is_recent(self, claim, now):
        return now - claim.received_at <= self._timing.claim_seconds

    def _claimed_groups(self):
        groups = range(GROUP_COUNT)
        return tuple(g for g in groups if self._top_ranked(g) == self._node_id)

    def _top_ranked(self, group):
        if self._top_ranked_by_group is None:
            self._top_ranked_by_group = self._rank_nodes()
        return self._top_ranked_by_group[group]

    def _rank_nodes(self):
        trusted = set(self._member_by_id) - self._suspected_ids
        trusted -= set(self._left_incarnation_by_id)
        if not self._leaving and not self._is_non_holder:
            trusted.add(self._node_id)
        return [
            max(trusted, key=lambda n: pool_rank(group, n), default=None)
            for group in range(GROUP_COUNT)
        ]

    def _detect_failures(self, now):
        if self._is_non_holder:
            return
        for group in range(GROUP_COUNT):
            top = self._top_ranked(group)
            if top is None or top == self._node_id:
                self._awaited_claim_by_group.pop(group, None)
                continue
            awaited, since = self._awaited_claim_by_group.get(group, (None, now))
            if awaited != top:
                self._awaited_claim_by_group[group] = (top, now)
                continue
            since = max(since, self._last_contact_by_id.get(top, since))
            if now - since > self._timing.claim_seconds:
                self._suspect_node(top)
