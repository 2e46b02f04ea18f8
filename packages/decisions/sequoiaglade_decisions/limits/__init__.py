"""Rate and burst limits of workspaces, enforced strictly over the whole fleet.

Each limit is divided among slots. An `Allotment` in the platform assigns the slots to a
few holders. Workspaces are hashed to groups, and each group has a pool node. The
holders lease it their slots (`Poll` and `Cession`); any node that admits requests gets
small grants of tokens from it (`GrantRequest` and `PoolGrant`) and keeps them in its
`Reserve`.
"""

from .allotment import Allotment, Holder
from .bucket import TokenBucket
from .entitlement import MAX_HOLDERS
from .machine import Admitted, LimitsMachine, make_holder
from .messages import Cession, GrantRequest, Nonce, Poll, PoolGrant
from .patience import AskPatience
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
    "AskPatience",
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
