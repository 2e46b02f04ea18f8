"""Gossip messages: a node's own state, and marks about other nodes."""

import math
from enum import Enum
from typing import NamedTuple


class PeerState(NamedTuple):
    """A node's report of its own state; the highest incarnation and sequence wins.

    `confirmed_age` is the age of the last confirmation of its revision, `failed_age`
    that of its last failed read of the platform, both in seconds.
    `in_flight_by_endpoint` has (online, batch) counts. `paying_batch_targets` are the
    models and services for which paying batch items wait for a slot there.
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
    """The status that a mark reports of a node."""

    ALIVE = 1
    FAILED = 2
    LEAVING = 3


class Mark(NamedTuple):
    """A status change of another node, observed `age` seconds ago."""

    node_id: str
    incarnation: int
    kind: MarkKind
    age: float
