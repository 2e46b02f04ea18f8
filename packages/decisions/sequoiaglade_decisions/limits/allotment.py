"""Assignment of slots to nodes, stored as one object in the platform."""

import json
from typing import NamedTuple

from .shares import ALL_SLOTS, slot_ranges, slot_set


class Holder(NamedTuple):
    """A node's entry: its addresses, incarnation, number of renewals, and slots.

    `peer` and `entry` are the addresses for nodes and for callers. `instance_listed`
    is set once the platform's list of instances has contained the instance, so that
    its absence later means that the instance was removed. A `leaving` node no longer
    uses its slots.
    """

    node_id: str
    instance_id: str | None
    peer: str
    entry: str
    incarnation: int
    renewal: int
    instance_listed: bool
    leaving: bool
    slots: int


class Allotment(NamedTuple):
    """All holders by node id. A slot has at most one holder.

    >>> holder = Holder("node-a", None, "h:1", "h:2", 7, 1, False, False, 0b1100)
    >>> allotment = Allotment({"node-a": holder})
    >>> Allotment.decode(allotment.encode()) == allotment
    True
    """

    holder_by_id: dict[str, Holder]

    def free_slots(self):
        """Return the set of slots without a holder."""
        free = ALL_SLOTS
        for holder in self.holder_by_id.values():
            free &= ~holder.slots
        return free

    def encode(self):
        """Return the allotment as JSON bytes, with the slots as ranges."""
        rows = [
            [*holder[:-1], slot_ranges(holder.slots)]
            for holder in self.holder_by_id.values()
        ]
        return json.dumps(rows, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data):
        """Return the `Allotment` of bytes from `encode`."""
        rows = json.loads(data)
        holders = [Holder(*row[:-1], slot_set(row[-1])) for row in rows]
        return cls({holder.node_id: holder for holder in holders})
