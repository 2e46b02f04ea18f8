"""What nodes tell one another about themselves and about third ones."""

import math
from enum import Enum
from typing import NamedTuple


class PeerState(NamedTuple):
    """What a node says of itself; the highest incarnation and sequence wins.

    `confirmed_age` and `failed_age` are the ages, in seconds, of its evidence for its
    revision and of its last failed read of the platform. `paying_batch_targets` are
    the models and services for which paying batch items wait for a slot there.
    """

    node_id: str
    incarnation: int
    sequence: int
    leaving: bool
    revision: int
    confirmed_age: float
    in_flight_by_endpoint: dict[str, tuple[int, int]]
    failed_age: float = math.inf
    paying_batch_targets: tuple[str, ...] = ()


class MarkKind(Enum):
    """What a mark says of a node."""

    ALIVE = 1
    FAILED = 2
    LEAVING = 3


class Mark(NamedTuple):
    """News about a third node, `age` seconds old."""

    node_id: str
    incarnation: int
    kind: MarkKind
    age: float
