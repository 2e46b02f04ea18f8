"""Rate and burst of a workspace, counted over the whole fleet."""

from .allotment import Allotment, Holder
from .bucket import TokenBucket
from .entitlement import MAX_HOLDERS
from .machine import Admitted, LimitsMachine, make_holder
from .messages import Cession, GrantRequest, Nonce, Poll, PoolGrant
from .reserve import Reserve
from .shares import (
    GROUP_COUNT,
    SLOT_COUNT,
    group_of,
    share_of_burst,
    slot_ranges,
    slot_set,
)
from .timing import Timing

__all__ = [
    "GROUP_COUNT",
    "MAX_HOLDERS",
    "SLOT_COUNT",
    "Admitted",
    "Allotment",
    "Cession",
    "GrantRequest",
    "Holder",
    "LimitsMachine",
    "Nonce",
    "Poll",
    "PoolGrant",
    "Reserve",
    "Timing",
    "TokenBucket",
    "group_of",
    "make_holder",
    "share_of_burst",
    "slot_ranges",
    "slot_set",
]
