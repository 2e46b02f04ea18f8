"""Permits for requests to endpoints that limit the requests a second that they take.

Load pattern: an endpoint names a limit of a few requests a second, or of a fraction of
one, for all nodes together; each of 3 to 400 nodes has requests for it. Nodes start,
leave, fall silent and are cut off from each other.
"""

from collections import deque
from typing import NamedTuple

from .hashing import stable_hash

# Unused permits are kept for this time, and one more, for the load peaks that follow
# troughs. In four seconds an endpoint then gets at most one request more than five
# times its limit.
BURST_SECONDS = 1.0
# A batch item needs the permits of this time, and one more.
ITEM_RESERVE_SECONDS = 0.5
# Permits for an endpoint with a lower limit, or one of 0: without any request no
# response could tell that the limit has ended.
RATE_MIN = 0.2
# All nodes hear of a start or a loss within this time. Until then a node that has just
# started grants no permits, and a lost node is still taken for the granter.
SETTLING_SECONDS = 1.0
SETTLING_SECONDS_LARGE = 4.0
# Part of the limit that the second granter gives while the first does not answer. It is
# small enough that both together stay within one and a half times the limit.
SECOND_GRANTER_SHARE = 0.25
GRANTERS = 2
# A node asks again for a permit that was denied after a time in this range.
RETRY_SECONDS_MIN = 0.05
RETRY_SECONDS_MAX = 1.0
# Tolerance of sums of fractions.
ROUNDING = 1e-9


class Permit(NamedTuple):
    """Whether a request may be sent now, and else in how many seconds one may be."""

    is_granted: bool
    retry_seconds: float = 0.0


def permit_granters(endpoint_id, node_ids, count=GRANTERS):
    """Return the ids of the nodes that grant permits for an endpoint, the first first.

    All nodes with the same view of the fleet compute the same ones. If one is lost the
    next one takes over, and the granters of other endpoints stay.

    >>> permit_granters("e-1", ["a", "b"]) == permit_granters("e-1", ["b", "a"])
    True
    """
    ranked = sorted(
        node_ids, key=lambda node_id: stable_hash("permits", endpoint_id, node_id)
    )
    return ranked[:count]


def granter_share(node_id, granters):
    """Return the part of a limit that a node may grant.

    >>> [granter_share(node_id, ["a", "b"]) for node_id in "abc"]
    [1.0, 0.25, 0.0]
    """
    if node_id not in granters:
        return 0.0
    return 1.0 if granters[0] == node_id else SECOND_GRANTER_SHARE


class SettledShare:
    """The smallest share of the known nodes that were live within the settling time.

    After a partition two nodes grant permits until they hear of each other; meanwhile
    their shares stay as they were.

    >>> share = SettledShare()
    >>> [share.update(value, at, 1.0) for value, at in ((1.0, 0.0), (0.5, 2.0))]
    [1.0, 0.5]
    >>> [share.update(1.0, at, 1.0) for at in (2.5, 3.5)]
    [0.5, 1.0]
    """

    def __init__(self):
        self._rows = deque()

    def update(self, share, now, settling_seconds):
        """Record the share now; return the smallest one of the settling time."""
        while self._rows and self._rows[-1][1] >= share:
            self._rows.pop()
        self._rows.append((now, share))
        while now - self._rows[0][0] >= settling_seconds and len(self._rows) > 1:
            self._rows.popleft()
        return self._rows[0][1]


class _Level(NamedTuple):
    permits: float
    at: float


class PermitLevels:
    """The permits that this node may grant, by endpoint.

    One node grants all permits for an endpoint, so that the sum over the fleet keeps to
    the limit however many nodes there are, and however little each of them sends. Each
    level starts at one permit, so that a change of the granting node adds no more. In a
    partition each part has a granter, with its share of the known nodes as its part of
    the limit.

    >>> levels = PermitLevels()
    >>> levels.grant("e-1", limit=2.0, share=1.0, now=0.0)
    Permit(is_granted=True, retry_seconds=0.0)
    >>> levels.grant("e-1", limit=2.0, share=1.0, now=0.0)
    Permit(is_granted=False, retry_seconds=0.5)
    >>> levels.grant("e-1", limit=2.0, share=1.0, now=0.5).is_granted
    True

    A batch item gets what online requests leave: it needs a higher level.

    >>> levels.grant("e-1", limit=2.0, share=1.0, now=1.0, is_batch=True).is_granted
    False
    >>> levels.grant("e-1", limit=2.0, share=1.0, now=1.5, is_batch=True).is_granted
    True
    """

    def __init__(self):
        self._level_by_id = {}

    def grant(self, endpoint_id, limit, share, now, is_batch=False):
        """Take a permit for an endpoint; return the `Permit`.

        `share` is the fraction of the known nodes that this node reaches.
        """
        seconds = self.seconds_until(endpoint_id, limit, share, now, is_batch)
        if seconds > 0.0:
            return Permit(False, seconds)
        permits = self._level_by_id[endpoint_id].permits
        self._level_by_id[endpoint_id] = _Level(max(0.0, permits - 1.0), now)
        return Permit(True)

    def seconds_until(self, endpoint_id, limit, share, now, is_batch=False):
        """Return in how many seconds a permit may be taken, 0 if now."""
        rate = max(limit, RATE_MIN) * share
        capacity = permit_capacity(limit)
        level = self._level_by_id.get(endpoint_id, _Level(1.0, now))
        permits = min(capacity, level.permits + rate * (now - level.at))
        self._level_by_id[endpoint_id] = _Level(permits, now)
        reserve = limit * ITEM_RESERVE_SECONDS if is_batch else 0.0
        missing = 1.0 + reserve - permits
        return missing / rate if missing > ROUNDING else 0.0

    def keep_only(self, endpoint_ids):
        """Forget the levels of all other endpoints."""
        self._level_by_id = {
            i: level for i, level in self._level_by_id.items() if i in endpoint_ids
        }


def permit_capacity(limit):
    """Return how many permits for an endpoint are kept at most.

    >>> permit_capacity(0.5), permit_capacity(10.0)
    (1.5, 11.0)
    """
    return 1.0 + limit * BURST_SECONDS


class DeniedPermits:
    """Endpoints for which this node was denied permits, until it may ask again.

    >>> denied = DeniedPermits()
    >>> denied.note("e-1", Permit(False, 0.4), is_batch=False, now=0.0)
    >>> denied.until("e-1", is_batch=False, now=0.3)
    0.4
    >>> denied.until("e-1", is_batch=False, now=0.4)

    Items that are denied one say nothing of online requests, which need fewer permits.

    >>> denied.note("e-1", Permit(False, 0.4), is_batch=True, now=1.0)
    >>> denied.until("e-1", is_batch=False, now=1.1)
    """

    def __init__(self):
        self._until_by_key = {}

    def note(self, endpoint_id, permit, is_batch, now):
        """Record a `Permit` that was denied."""
        seconds = min(max(permit.retry_seconds, RETRY_SECONDS_MIN), RETRY_SECONDS_MAX)
        self._until_by_key = {k: u for k, u in self._until_by_key.items() if u > now}
        self._until_by_key[endpoint_id, is_batch] = now + seconds

    def until(self, endpoint_id, is_batch, now):
        """Return until when not to ask for a permit, None if it may be asked now."""
        until = self._until_by_key.get((endpoint_id, False), 0.0)
        if is_batch:
            until = max(until, self._until_by_key.get((endpoint_id, True), 0.0))
        return until if until > now else None
