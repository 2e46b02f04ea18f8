"""Ownership of this node's slots, and the changes it may make to the allotment."""

from ..outcomes import check_invariant
from .allotment import Allotment
from .shares import SLOT_COUNT, fair_slot_count, lowest_slots
from .timing import lender_wait_seconds, usable_seconds

MAX_HOLDERS = 8

_NEVER = float("-inf")


class Entitlement:
    """Claims, renews and releases this node's slots and reclaims those of ended nodes.

    `plan` derives the next allotment from one read from the platform. The caller
    writes it by conditional update and reports success to `note_written`. A slot is
    released by its holder only, or reclaimed after the holder's term. Each plan that
    changes the own entry gets a new renewal number, since a write whose answer was
    lost may have been seen by others. There are at most `MAX_HOLDERS` holders; later
    nodes are non-holders until an entry is removed.
    """

    def __init__(self, holder, timing):
        self._holder = holder
        self._timing = timing
        self._slots = 0
        self._valid_until = _NEVER
        self._usable_from = _NEVER
        self._renew_at = _NEVER
        self._releasing_slots = 0
        self._release_at = _NEVER
        self._leaving = False
        self._has_predecessor = False
        self._version = 0
        self._highest_renewal = 0
        self._last_renewal_by_id = {}
        self._missing_since_by_incarnation = {}

    @property
    def valid_until(self):
        """Time on this node's clock at which the entitlement to its slots expires."""
        return self._valid_until

    def slots(self, now):
        """Return the set of slots that this node may use or lease at `now`."""
        if self._leaving or not self._usable_from <= now < self._valid_until:
            return 0
        return self._slots

    def leave(self):
        """Stop using slots; the next plan marks the entry as leaving."""
        self._leaving = True

    def plan(self, allotment, version, listed_ids, now):
        """Return the `Allotment` to write over `version`, or None for no change.

        `listed_ids` are the instances in the platform's list, None if unknown.
        """
        if version < self._version:
            return None
        self._version = version
        current = self._without_gone_holders(allotment, listed_ids, now)
        recorded = current.holder_by_id.get(self._holder.node_id)
        if recorded is not None and not self._is_successor(recorded):
            self._drop_slots()
            return current if current != allotment else None
        is_full = len(current.holder_by_id) >= MAX_HOLDERS
        if recorded is None and (is_full or self._leaving):
            self._drop_slots()
            return current if current != allotment else None
        entry = self._next_entry(recorded, current, listed_ids, now)
        holders = current.holder_by_id | {self._holder.node_id: entry}
        planned = Allotment(holders)
        if planned == allotment:
            self._start_release(allotment, now)
            return None
        return planned

    def note_written(self, allotment, version, started_at, now):
        """Apply an allotment that was written by a call begun at `started_at`."""
        own = allotment.holder_by_id.get(self._holder.node_id)
        self._version = version
        if own is None:
            self._drop_slots()
            return
        if self._has_predecessor:
            wait = lender_wait_seconds(self._timing.cession_seconds)
            self._usable_from = now + wait
            self._has_predecessor = False
        self._holder = own
        self._releasing_slots &= own.slots
        self._slots = own.slots & ~self._releasing_slots
        term = usable_seconds(self._timing.entitlement_seconds)
        self._valid_until = started_at + term
        self._renew_at = started_at + self._timing.renewal_seconds

    def _is_successor(self, entry):
        """Return whether an entry is this process's or its ended predecessor's.

        Two processes can't listen on the same peer address of an instance, so an
        entry with the same address and a lower incarnation is of an ended process.
        """
        own = self._holder
        is_same = (entry.instance_id, entry.peer) == (own.instance_id, own.peer)
        return is_same and entry.incarnation <= own.incarnation

    def _drop_slots(self):
        self._slots = 0
        self._releasing_slots = 0
        self._valid_until = _NEVER

    def _next_entry(self, recorded, allotment, listed_ids, now):
        if recorded is None:
            self._drop_slots()
            slots, renewal = 0, self._holder.renewal
        else:
            slots, renewal = recorded.slots, max(recorded.renewal, self._holder.renewal)
            self._has_predecessor |= recorded.incarnation < self._holder.incarnation
        if recorded is not None and recorded.incarnation == self._holder.incarnation:
            lost = self._slots & ~slots
            check_invariant(not lost, "a holder keeps its slots within its term")
        is_recorded = slots == self._slots | self._releasing_slots
        self._releasing_slots &= slots
        if self._releasing_slots and now >= self._release_at:
            slots &= ~self._releasing_slots
        if not self._leaving:
            slots |= self._claimable_slots(slots, allotment)
        is_due = recorded is None or not is_recorded or now >= self._renew_at
        own = self._holder._replace(slots=slots, renewal=renewal, leaving=self._leaving)
        listed = listed_ids is not None and own.instance_id in listed_ids
        own = own._replace(instance_listed=own.instance_listed or listed)
        if own == recorded and not is_due:
            return recorded
        self._highest_renewal = max(renewal, self._highest_renewal) + 1
        return own._replace(renewal=self._highest_renewal)

    def _claimable_slots(self, slots, allotment):
        free = allotment.free_slots()
        counts = _slot_counts(allotment, self._holder.node_id)
        deficit = fair_slot_count(len(counts)) - slots.bit_count()
        if not free or deficit <= 0 or self._releasing_slots:
            return 0
        is_new = self._holder.node_id not in allotment.holder_by_id
        count = free.bit_count() // 2 if is_new else deficit
        return lowest_slots(free, max(1, count))

    def _start_release(self, allotment, now):
        counts = _slot_counts(allotment, self._holder.node_id)
        surplus = self._slots.bit_count() - fair_slot_count(len(counts))
        floor = SLOT_COUNT // max(1, len(counts))
        if surplus > 0 and not self._releasing_slots and min(counts) < floor:
            self._release(lowest_slots(self._slots, surplus), now)

    def _release(self, slots, now):
        self._slots &= ~slots
        self._releasing_slots |= slots
        self._release_at = now + lender_wait_seconds(self._timing.cession_seconds)

    def _without_gone_holders(self, allotment, listed_ids, now):
        holders = {
            node_id: holder
            for node_id, holder in allotment.holder_by_id.items()
            if not self._is_gone(holder, listed_ids, now)
        }
        for node_id in set(self._last_renewal_by_id) - set(holders):
            del self._last_renewal_by_id[node_id]
        return Allotment(holders)

    def _is_gone(self, holder, listed_ids, now):
        if holder.node_id == self._holder.node_id and self._is_successor(holder):
            return False
        if self._is_missing(holder, listed_ids, now):
            return True
        latest = (holder.incarnation, holder.renewal)
        seen, since = self._last_renewal_by_id.get(holder.node_id, (None, now))
        if seen != latest:
            self._last_renewal_by_id[holder.node_id] = (latest, now)
            return False
        timing = self._timing
        term = lender_wait_seconds(timing.entitlement_seconds)
        return now - since > term + 2 * lender_wait_seconds(timing.cession_seconds)

    def _is_missing(self, holder, listed_ids, now):
        key = (holder.node_id, holder.incarnation)
        is_unlisted = holder.instance_listed and (
            listed_ids is not None and holder.instance_id not in listed_ids
        )
        if not (is_unlisted or holder.leaving):
            self._missing_since_by_incarnation.pop(key, None)
            return False
        since = self._missing_since_by_incarnation.setdefault(key, now)
        if now - since < self._timing.gone_seconds:
            return False
        del self._missing_since_by_incarnation[key]
        return True


def _slot_counts(allotment, own_id):
    """Return the slot counts of the nodes that aren't leaving and of this node."""
    holders = allotment.holder_by_id
    counts = {own_id: 0} | {
        node_id: holder.slots.bit_count()
        for node_id, holder in holders.items()
        if not holder.leaving
    }
    return list(counts.values())
