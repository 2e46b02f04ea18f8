"""What this node may write into the allotment, and which slots it may use."""

from ..outcomes import check_invariant
from .allotment import Allotment
from .shares import SLOT_COUNT, fair_count, take_slots
from .timing import usable_seconds, withheld_seconds

MAX_HOLDERS = 8

_NEVER = float("-inf")


class Entitlement:
    """This node's slots, claimed, renewed, given up and reclaimed by plan.

    `plan` makes the next allotment out of one read from the platform; the caller
    writes it by conditional update and reports a success to `written`. Only its
    holder, or a reclaim after its term, takes a slot from a node. Each plan that
    changes the own entry has a renewal number of its own, since a write whose answer
    was lost may have been seen by others. There are at most
    `HOLDERS_MOST` holders; who comes later is a guest and waits for a place.
    """

    def __init__(self, holder, timing):
        self._own = holder
        self._timing = timing
        self._slots = 0
        self._valid_until = _NEVER
        self._usable_from = _NEVER
        self._renew_at = _NEVER
        self._releasing = 0
        self._release_at = _NEVER
        self._leaving = False
        self._has_predecessor = False
        self._version = 0
        self._highest_renewal = 0
        self._seen_by_id = {}
        self._missing_since_by_start = {}

    @property
    def valid_until(self):
        """Time on this node's clock up to which its slots are its own."""
        return self._valid_until

    def slots(self, now):
        """Return the set of slots that this node may use or cede at `now`."""
        if self._leaving or not self._usable_from <= now < self._valid_until:
            return 0
        return self._slots

    def leave(self):
        """Use no slot from now on; the next plan marks the entry as leaving."""
        self._leaving = True

    def plan(self, allotment, version, listed_ids, now):
        """Return the `Allotment` to write over `version`, or None for no change.

        `listed_ids` are the instances in the platform's list, None if unknown.
        """
        if version < self._version:
            return None
        self._version = version
        kept = self._without_gone(allotment, listed_ids, now)
        known = kept.holder_by_id.get(self._own.node_id)
        if known is not None and not self._is_successor(known):
            self._lose()
            return kept if kept != allotment else None
        is_full = len(kept.holder_by_id) >= MAX_HOLDERS
        if known is None and (is_full or self._leaving):
            self._lose()
            return kept if kept != allotment else None
        changed = self._own_entry(known, kept, listed_ids, now)
        holders = kept.holder_by_id | {self._own.node_id: changed}
        planned = Allotment(holders)
        if planned == allotment:
            self._start_release(allotment, now)
            return None
        return planned

    def written(self, allotment, version, started_at, now):
        """Take over an allotment that was written; the write began at `started_at`."""
        own = allotment.holder_by_id.get(self._own.node_id)
        self._version = version
        if own is None:
            self._lose()
            return
        if self._has_predecessor:
            wait = withheld_seconds(self._timing.cession_seconds)
            self._usable_from = now + wait
            self._has_predecessor = False
        self._own = own
        self._releasing &= own.slots
        self._slots = own.slots & ~self._releasing
        term = usable_seconds(self._timing.entitlement_seconds)
        self._valid_until = started_at + term
        self._renew_at = started_at + self._timing.renewal_seconds

    def _is_successor(self, known):
        """Tell whether the entry is this process's or its ended predecessor's.

        Two processes can't listen on one peer address of one instance at once.
        """
        own = self._own
        is_same = (known.instance_id, known.peer) == (own.instance_id, own.peer)
        return is_same and known.incarnation <= own.incarnation

    def _lose(self):
        self._slots = 0
        self._releasing = 0
        self._valid_until = _NEVER

    def _own_entry(self, known, allotment, listed_ids, now):
        if known is None:
            self._lose()
            slots, renewal = 0, self._own.renewal
        else:
            slots, renewal = known.slots, max(known.renewal, self._own.renewal)
            self._has_predecessor |= known.incarnation < self._own.incarnation
        if known is not None and known.incarnation == self._own.incarnation:
            lost = self._slots & ~slots
            check_invariant(not lost, "nobody takes a holder's slots within its term")
        is_settled = slots == self._slots | self._releasing
        self._releasing &= slots
        if self._releasing and now >= self._release_at:
            slots &= ~self._releasing
        if not self._leaving:
            slots |= self._claim(slots, allotment)
        is_due = known is None or not is_settled or now >= self._renew_at
        own = self._own._replace(slots=slots, renewal=renewal, leaving=self._leaving)
        listed = listed_ids is not None and own.instance_id in listed_ids
        own = own._replace(instance_listed=own.instance_listed or listed)
        if own == known and not is_due:
            return known
        self._highest_renewal = max(renewal, self._highest_renewal) + 1
        return own._replace(renewal=self._highest_renewal)

    def _claim(self, slots, allotment):
        free = allotment.free_slots()
        counts = _counts(allotment, self._own.node_id)
        lacking = fair_count(len(counts)) - slots.bit_count()
        if not free or lacking <= 0 or self._releasing:
            return 0
        is_new = self._own.node_id not in allotment.holder_by_id
        most = free.bit_count() // 2 if is_new else lacking
        return take_slots(free, max(1, most))

    def _start_release(self, allotment, now):
        counts = _counts(allotment, self._own.node_id)
        surplus = self._slots.bit_count() - fair_count(len(counts))
        floor = SLOT_COUNT // max(1, len(counts))
        if surplus > 0 and not self._releasing and min(counts) < floor:
            self._release(take_slots(self._slots, surplus), now)

    def _release(self, slots, now):
        self._slots &= ~slots
        self._releasing |= slots
        self._release_at = now + withheld_seconds(self._timing.cession_seconds)

    def _without_gone(self, allotment, listed_ids, now):
        holders = {
            node_id: holder
            for node_id, holder in allotment.holder_by_id.items()
            if not self._is_gone(holder, listed_ids, now)
        }
        for node_id in set(self._seen_by_id) - set(holders):
            del self._seen_by_id[node_id]
        return Allotment(holders)

    def _is_gone(self, holder, listed_ids, now):
        if holder.node_id == self._own.node_id and self._is_successor(holder):
            return False
        if self._is_missing(holder, listed_ids, now):
            return True
        start = (holder.incarnation, holder.renewal)
        seen, since = self._seen_by_id.get(holder.node_id, (None, now))
        if seen != start:
            self._seen_by_id[holder.node_id] = (start, now)
            return False
        timing = self._timing
        term = withheld_seconds(timing.entitlement_seconds)
        return now - since > term + 2 * withheld_seconds(timing.cession_seconds)

    def _is_missing(self, holder, listed_ids, now):
        start = (holder.node_id, holder.incarnation)
        is_unlisted = holder.instance_listed and (
            listed_ids is not None and holder.instance_id not in listed_ids
        )
        if not (is_unlisted or holder.leaving):
            self._missing_since_by_start.pop(start, None)
            return False
        since = self._missing_since_by_start.setdefault(start, now)
        if now - since < self._timing.gone_seconds:
            return False
        del self._missing_since_by_start[start]
        return True


def _counts(allotment, own_id):
    """Return how many slots each node that stays holds, this node included."""
    holders = allotment.holder_by_id
    counts = {own_id: 0} | {
        node_id: holder.slots.bit_count()
        for node_id, holder in holders.items()
        if not holder.leaving
    }
    return list(counts.values())
