"""Permits for requests to endpoints that limit the requests a second that they take.

Load pattern: an endpoint names a limit of a few requests a second, or of a fraction of
one, for all nodes together, or is cold and takes only its service's cold rate; each of
3 to 400 nodes has requests for it. Nodes start, leave, fall silent and are cut off from
each other.
"""

import math
from collections import deque
from enum import Enum
from typing import NamedTuple

from .hashing import stable_hash

# Unused permits are kept for this time, and one more, for the load peaks that follow
# troughs. In four seconds an endpoint then gets at most one request more than five
# times its limit.
BURST_SECONDS = 1.0
# A batch item leaves this part of the permits that can be kept beyond one.
ITEM_RESERVE_FRACTION = 0.5
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
# The time over which the requests to a cold endpoint are bounded.
COLD_WINDOW_SECONDS = 1.0
# A permit for a cold endpoint is used within this time of the question for it, or not
# at all: a granter answers within 0.15 s, and the rest is for the connection.
PERMIT_USE_SECONDS = 0.25
# Requests that reach an endpoint in one window had their permits within this time.
COLD_PERMIT_SECONDS = COLD_WINDOW_SECONDS + PERMIT_USE_SECONDS
# A part of a cold endpoint's rate that has grown holds after this time, when what
# another granter gave before has left the window. Nodes look at their part once in a
# round of gossip, which takes up to a second.
COLD_SETTLING_SECONDS = COLD_PERMIT_SECONDS + 1.0


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


class PermitSource(Enum):
    """Why an endpoint needs permits."""

    NAMED = "named limit"
    COLD = "cold"


class PermitRate(NamedTuple):
    """How a granter gives the permits of one source for an endpoint.

    `rate` is in permits a second, `capacity` how many unused ones are kept at most;
    below one, none is given.
    """

    rate: float
    capacity: float


def named_rate(limit, share):
    """Return the `PermitRate` of a granter with a share of a limit that is named.

    >>> named_rate(10.0, share=0.5)
    PermitRate(rate=5.0, capacity=11.0)
    """
    return PermitRate(max(limit, RATE_MIN) * share, 1.0 + limit * BURST_SECONDS)


class ColdBound(NamedTuple):
    """The requests that a cold endpoint may get from all nodes together.

    That is `rate` in the mean, and at most `rate` x `overshoot` + `slack` in any one
    second.

    >>> ColdBound(8.5, 1.5, 5.0).counts
    (13, 4)

    Where there is no room for two granters, the second one gives less or nothing.

    >>> ColdBound(8.5, 1.0, 0.0).counts, ColdBound(0.5, 1.0, 0.0).counts
    ((8, 0), (0, 0))
    """

    rate: float
    overshoot: float
    slack: float

    @property
    def most(self):
        """The most requests in any one second."""
        return math.floor(self.rate * self.overshoot + self.slack + ROUNDING)

    @property
    def counts(self):
        """The most permits of the first and of the second granter.

        They hold in any `COLD_PERMIT_SECONDS`, whose permits may be used in one second.
        The first granter gets what the whole rate needs, and else four fifths.
        """
        needed = math.ceil(self.rate * COLD_PERMIT_SECONDS - ROUNDING)
        first = math.floor(self.most / (1.0 + SECOND_GRANTER_SHARE))
        first = min(self.most, max(first, needed))
        return first, self.most - first

    def granter_rate(self, rank, share):
        """Return the `PermitRate` of the granter of a rank, 0 for the first one.

        `share` is the part of the known nodes that it reaches. Each part of a split
        fleet has its granters, whose counts add up to at most those of one fleet.

        >>> ColdBound(8.5, 1.5, 5.0).granter_rate(0, share=1.0)
        PermitRate(rate=8.5, capacity=3.375)
        >>> ColdBound(8.5, 1.5, 5.0).granter_rate(1, share=1.0)
        PermitRate(rate=2.125, capacity=2.34375)
        >>> ColdBound(1.0, 1.0, 0.0).granter_rate(0, share=1.0)
        PermitRate(rate=0.8, capacity=1.0)
        >>> ColdBound(1.0, 1.0, 0.0).granter_rate(0, share=0.5)
        PermitRate(rate=0.0, capacity=0.0)
        """
        count = math.floor(self.counts[rank] * share + ROUNDING)
        if count < 1:
            return PermitRate(0.0, 0.0)
        part = 1.0 if rank == 0 else SECOND_GRANTER_SHARE
        rate = min(self.rate * part * share, count / COLD_PERMIT_SECONDS)
        # The n-th permit of the time follows the first of a full level by at least
        # (n - capacity) / rate, which is the whole time for n = count + 1.
        capacity = count + 1.0 - rate * COLD_PERMIT_SECONDS
        return PermitRate(rate, min(capacity, 1.0 + self.rate * BURST_SECONDS))


class ColdRanks:
    """This node's rank and share as a granter of cold endpoints, once they settled.

    Permits that another granter gave may be used together with those of its successor,
    so that a higher rank or a greater share holds after `COLD_SETTLING_SECONDS`.

    >>> ranks = ColdRanks()
    >>> ranks.update("e-1", part=0.25, share=1.0, now=0.0)
    (1, 1.0)
    >>> [ranks.update("e-1", 1.0, 0.5, now)[0] for now in (1.0, 2.2, 2.3)]
    [1, 1, 0]
    """

    def __init__(self):
        self._settled_by_id = {}

    def update(self, endpoint_id, part, share, now):
        """Record this node's `granter_share` and share; return those that hold.

        The result is the pair of its rank, 0 for the first granter, and its share,
        which is 0 while it is no granter.
        """
        if endpoint_id not in self._settled_by_id:
            self._settled_by_id[endpoint_id] = SettledShare(), SettledShare()
        parts, shares = self._settled_by_id[endpoint_id]
        part = parts.update(part, now, COLD_SETTLING_SECONDS)
        share = shares.update(share, now, COLD_SETTLING_SECONDS)
        return (0 if part == 1.0 else 1), (share if part else 0.0)

    def keep_only(self, endpoint_ids):
        """Forget all other endpoints."""
        self._settled_by_id = {
            i: settled
            for i, settled in self._settled_by_id.items()
            if i in endpoint_ids
        }


class _Level(NamedTuple):
    permits: float
    at: float


class PermitLevels:
    """The permits that this node may grant, by endpoint and source.

    One node grants all permits for an endpoint, so that the sum over the fleet keeps to
    the limit however many nodes there are, and however little each of them sends. Each
    level starts at one permit, so that a change of the granting node adds no more. In a
    partition each part has a granter, with its share of the known nodes as its part of
    the limit. An endpoint with rates of several sources needs a permit of each.

    >>> levels = PermitLevels()
    >>> rates = {PermitSource.NAMED: named_rate(2.0, share=1.0)}
    >>> levels.grant("e-1", rates, now=0.0)
    Permit(is_granted=True, retry_seconds=0.0)
    >>> levels.grant("e-1", rates, now=0.0)
    Permit(is_granted=False, retry_seconds=0.5)
    >>> levels.grant("e-1", rates, now=0.5).is_granted
    True

    A batch item gets what online requests leave: it needs a higher level.

    >>> levels.grant("e-1", rates, now=1.0, is_batch=True).is_granted
    False
    >>> levels.grant("e-1", rates, now=1.5, is_batch=True).is_granted
    True
    """

    def __init__(self):
        self._level_by_key = {}

    def grant(self, endpoint_id, rate_by_source, now, is_batch=False):
        """Take a permit of each source for an endpoint; return the `Permit`.

        `rate_by_source` has the `PermitRate` of this node by `PermitSource`.
        """
        seconds = self.seconds_until(endpoint_id, rate_by_source, now, is_batch)
        if seconds > 0.0:
            return Permit(False, seconds)
        for source in rate_by_source:
            permits = self._level_by_key[endpoint_id, source].permits
            level = _Level(max(0.0, permits - 1.0), now)
            self._level_by_key[endpoint_id, source] = level
        return Permit(True)

    def seconds_until(self, endpoint_id, rate_by_source, now, is_batch=False):
        """Return in how many seconds a permit may be taken, 0 if now."""
        times = [
            self._seconds_until((endpoint_id, source), rate, now, is_batch)
            for source, rate in rate_by_source.items()
        ]
        return max(times, default=0.0)

    def _seconds_until(self, key, rate, now, is_batch):
        level = self._level_by_key.get(key, _Level(1.0, now))
        permits = level.permits + rate.rate * (now - level.at)
        permits = min(rate.capacity, permits)
        self._level_by_key[key] = _Level(permits, now)
        needed = 1.0
        if is_batch:
            needed += max(0.0, rate.capacity - 1.0) * ITEM_RESERVE_FRACTION
        missing = needed - permits
        if missing <= ROUNDING:
            return 0.0
        return missing / rate.rate if rate.rate else RETRY_SECONDS_MAX

    def keep_only(self, endpoint_ids):
        """Forget the levels of all other endpoints."""
        self._level_by_key = {
            key: level
            for key, level in self._level_by_key.items()
            if key[0] in endpoint_ids
        }


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
