"""Concurrency limits of endpoints that have started or recovered, and their speed now.

Load pattern: many nodes send short requests to endpoints that fill up within a fraction
of a second. An endpoint that has just started is empty, so that it is chosen first and
gets as many requests as it has slots before its first answer is there.
"""

from typing import NamedTuple

from .endpoint_starts import EndpointStarts
from .endpoints import DEFAULT_SLOTS
from .work_figures import WorkFigures

# Concurrent requests of an endpoint that has just started or recovered, as specified.
START_REQUESTS = 2.0
# An available endpoint always gets one request: only answers can raise its limit.
MIN_REQUESTS = 1.0
# Answers within this part of what callers need leave room for twice the requests, so
# that the limit doubles in each response time; later ones raise it by one in that time,
# as do all answers of an endpoint that has failed repeatedly.
EARLY_LATENESS = 0.5
# An answer is late if it takes longer than callers need.
LATE_LATENESS = 1.0
# An endpoint whose last answer was late counts as late for this time, after which
# callers give a stream up.
LATE_SECONDS = 2.0
# Factor of the limit when answers are late or refused.
FALL_FACTOR = 0.5
# Refusals and breaks within this time have one cause: nodes report them within 50 ms.
FALL_SECONDS = 0.1
# Streams whose events are this many times as far apart as usual are late.
LATE_INTERVAL_RATIO = 4.0
# A limit that no answer has confirmed ends after this time. Nodes that do not schedule
# an endpoint get none; the slowest starts that are known take a few seconds.
LAPSE_SECONDS = 10.0
# What schedulers told of limits is repeated to their successors within this time, which
# is longer than nodes take to agree on a successor.
TOLD_SECONDS = 5.0
# Messages between nodes take less than this time.
TOLD_MARGIN_SECONDS = 0.1
# An endpoint that fails again within this time may do so once more: the longest time
# that a crashing endpoint is known to work in between.
REPEATED_FAILURE_SECONDS = 10.0
# Nodes of a small fleet share the ends of limits for this time, several gossip rounds.
ENDED_SECONDS = 2.0
# Limits of a node are logged at most this often per endpoint when they fall.
LOG_FALL_SECONDS = 1.0
BEGAN, FELL, ENDED, LAPSED = "began", "fell", "ended", "lapsed"
# The limit ended because too many endpoints started at the same time.
LIFTED = "lifted"
# Why a limit is in force after a start, before an answer is late.
STARTED = "started"
FAILED = "failed"


class PaceLimit(NamedTuple):
    """How many concurrent requests an endpoint gets from all nodes, and why.

    A limit is firm if answers of the endpoint, or failures, show that it can't take
    more. `requests` is 0 in what a scheduler tells of an endpoint without a limit.
    `age_seconds` is the time since an answer last confirmed it.
    """

    endpoint_id: str
    requests: float
    is_firm: bool = False
    reason: str = ""
    age_seconds: float = 0.0


class PaceChange(NamedTuple):
    """A limit that began, fell, ended or lapsed, for operators."""

    endpoint_id: str
    change: str
    requests: float
    reason: str


class _Limit(NamedTuple):
    requests: float
    is_firm: bool
    reason: str
    # When the limit began or last fell, and when an answer last confirmed it.
    changed_at: float
    heard_at: float
    is_unstable: bool = False


class _Told(NamedTuple):
    pace: PaceLimit
    at: float


class EndpointPaces:
    """One concurrency limit for each endpoint that has started or recovered.

    The limit is found from the endpoint's answers. `is_on` is whether it applies to all
    endpoints; if not, it applies to those that tell how long their work takes now, and
    to those whose evacuation ended.

    >>> from sequoiaglade_decisions.gateway import Endpoint
    >>> paces = EndpointPaces(is_on=True)
    >>> others = [Endpoint("b", "s", "", "d", 8), Endpoint("c", "s", "", "d", 8)]
    >>> paces.note_list(others, now=0.0, unix_seconds=0.0)
    >>> paces.note_endpoint(Endpoint("a", "s", "", "d", 8), now=1.0)
    >>> paces.limits(now=1.0)["a"].requests
    2.0
    >>> for _ in range(6):
    ...     paces.note_answer("a", lateness=0.3, seconds=0.1, now=1.2)
    >>> paces.limits(now=1.2)
    {}
    """

    def __init__(self, is_on=False):
        self._is_on = is_on
        self._starts = EndpointStarts()
        self._figures = WorkFigures()
        self._failed_at_by_id = {}
        self._late_at_by_id = {}
        self._limit_by_id = {}
        self._ended_at_by_id = {}
        self._logged_fall_at_by_id = {}
        self._told_by_id = {}
        self._changes = []

    def note_list(self, endpoints, now, unix_seconds):
        """Note the list of endpoints, read at the wall clock time `unix_seconds`."""
        self._limit_starts(self._starts.note_list(endpoints, now, unix_seconds), now)
        self.forget_unlisted(endpoints)

    def forget_unlisted(self, endpoints):
        """Drop what is known of endpoints that are not listed, if these are many.

        Those that were listed lately are kept: an entry that returns unchanged after an
        outage of the store is no start.
        """
        if self._starts.must_forget(len(endpoints)):
            self._forget({endpoint.endpoint_id for endpoint in endpoints})

    def note_endpoint(self, endpoint, now):
        """Note a listed endpoint; one with a new id or a later start has started."""
        self._limit_starts(self._starts.note(endpoint, now), now)

    def note_return(self, endpoint_ids, now):
        """Limit endpoints whose evacuation has ended."""
        for endpoint_id in endpoint_ids:
            self._begin(endpoint_id, "evacuation ended", False, now)

    def note_failure(self, endpoint_id, now):
        """Limit an endpoint that is avoided for a failure."""
        if not self.is_paced(endpoint_id):
            return
        failed_at = self._failed_at_by_id.get(endpoint_id, float("-inf"))
        self._failed_at_by_id[endpoint_id] = now
        limit = self._limit_by_id.get(endpoint_id)
        if limit is not None:
            self._fall(endpoint_id, FAILED, now)
            return
        self._begin(endpoint_id, FAILED, True, now)
        if now - failed_at < REPEATED_FAILURE_SECONDS:
            limit = self._limit_by_id[endpoint_id]
            limit = limit._replace(requests=MIN_REQUESTS, is_unstable=True)
            self._limit_by_id[endpoint_id] = limit

    def note_refusal(self, endpoint_id, now):
        """Note that an endpoint refused a request for lack of capacity."""
        if self.is_paced(endpoint_id):
            self._late_at_by_id[endpoint_id] = now
        self._fall(endpoint_id, "refused", now)

    def note_silence(self, endpoint_id, now):
        """Note that a request waits for data of a limited endpoint."""
        self._fall(endpoint_id, "silent", now)

    def note_interval(self, endpoint_id, ratio, now):
        """Note the interval between events, as a multiple of the usual one."""
        if ratio > LATE_INTERVAL_RATIO:
            self._fall(endpoint_id, "slow events", now)

    def note_answer(self, endpoint_id, lateness, seconds, now, weight=1.0):
        """Note an answer whose first event took `seconds`.

        `lateness` is this time as a multiple of what callers need. `weight` is the
        number of requests for which the answer stands: a node that sees only its own
        answers takes those of the other nodes to be alike.
        """
        if lateness > LATE_LATENESS:
            self._late_at_by_id[endpoint_id] = now
        else:
            self._late_at_by_id.pop(endpoint_id, None)
        limit = self._limit_by_id.get(endpoint_id)
        if limit is None or now - seconds < limit.changed_at:
            # Requests that were sent before the change tell nothing of the limit now.
            return
        if lateness > LATE_LATENESS:
            self._fall(endpoint_id, "late", now)
            return
        is_early = lateness <= EARLY_LATENESS and not limit.is_unstable
        step = min(weight, limit.requests)
        requests = limit.requests + (step if is_early else step / limit.requests)
        if requests >= self._starts.slots_of(endpoint_id):
            self._end(endpoint_id, ENDED, now)
            return
        limit = limit._replace(requests=requests, heard_at=now)
        self._limit_by_id[endpoint_id] = limit

    def note_figure(self, endpoint_id, percent, now, age=0.0):
        """Note how long work takes at an endpoint now, in per cent of the usual time.

        `age` is how many seconds ago it stated that. Such an endpoint is paced.
        """
        if not self._figures.note(endpoint_id, percent, now, age):
            return
        service = self._starts.service_of(endpoint_id)
        if (
            endpoint_id not in self._limit_by_id
            and self._starts.is_recent(endpoint_id, now)
            and not self._starts.is_common(service, now)
        ):
            self._begin(endpoint_id, STARTED, False, now)

    def is_paced(self, endpoint_id):
        """Return whether the limit of an endpoint follows from its answers."""
        return (
            self._is_on
            or endpoint_id in self._figures
            or endpoint_id in self._limit_by_id
        )

    def is_limited(self, endpoint_id):
        """Return whether an endpoint has a limit."""
        return endpoint_id in self._limit_by_id

    @property
    def has_figures(self):
        """Whether any endpoint tells how long its work takes now."""
        return bool(self._figures)

    def figure_factor(self, endpoint_id, now):
        """Return how much longer work takes now than on average at this endpoint."""
        return self._figures.factor(endpoint_id, now)

    def limits(self, now):
        """Return the limits in force by endpoint id, with `requests` and `is_firm`."""
        lapsed = [
            endpoint_id
            for endpoint_id, limit in self._limit_by_id.items()
            if now - limit.heard_at >= LAPSE_SECONDS
        ]
        for endpoint_id in lapsed:
            self._end(endpoint_id, LAPSED, now)
        return self._limit_by_id

    def tell(self, endpoint_id, now):
        """Return the `PaceLimit` to tell the node whose request was placed there.

        It is None if the endpoint is not paced.
        """
        limit = self.limits(now).get(endpoint_id)
        if limit is not None:
            return self._pace_of(endpoint_id, limit, now)
        return PaceLimit(endpoint_id, 0.0) if self.is_paced(endpoint_id) else None

    def note_told(self, pace, now):
        """Note the `PaceLimit` that the scheduler of the endpoint told."""
        if not self.is_paced(pace.endpoint_id):
            return
        heard_at = now - pace.age_seconds
        self._told_by_id[pace.endpoint_id] = _Told(pace, heard_at)
        if pace.requests:
            limit = _Limit(pace.requests, pace.is_firm, pace.reason, heard_at, heard_at)
            self._limit_by_id[pace.endpoint_id] = limit
        else:
            self._limit_by_id.pop(pace.endpoint_id, None)

    def notices(self, now):
        """Return the limits that schedulers told lately, for their successors."""
        self._told_by_id = {
            endpoint_id: told
            for endpoint_id, told in self._told_by_id.items()
            if now - told.at < TOLD_SECONDS
        }
        return tuple(
            told.pace._replace(age_seconds=now - told.at)
            for told in self._told_by_id.values()
            if told.pace.requests
        )

    def shared(self, now):
        """Return the limits for the other nodes of a small fleet, which `adopt` them.

        Each node sees only its own answers, and would wait for a low limit to rise
        while the other nodes use all of it.
        """
        limits = tuple(
            self._pace_of(endpoint_id, limit, now)
            for endpoint_id, limit in self.limits(now).items()
        )
        ended = tuple(
            PaceLimit(endpoint_id, 0.0, age_seconds=now - ended_at)
            for endpoint_id, ended_at in self._ended_at_by_id.items()
            if now - ended_at < ENDED_SECONDS and endpoint_id not in self._limit_by_id
        )
        return limits + ended

    def adopt(self, notices, now):
        """Continue the limits of other nodes that are newer than those of this one."""
        for pace in notices:
            endpoint_id = pace.endpoint_id
            told_at = now - pace.age_seconds - TOLD_MARGIN_SECONDS
            if not self.is_paced(endpoint_id) or told_at <= self._heard_at(endpoint_id):
                continue
            limit = self._limit_by_id.get(endpoint_id)
            if pace.requests > 0:
                is_unstable = limit is not None and limit.is_unstable
                self._limit_by_id[endpoint_id] = _Limit(
                    max(pace.requests, MIN_REQUESTS),
                    pace.is_firm,
                    pace.reason,
                    told_at,
                    told_at,
                    is_unstable,
                )
            elif limit is not None:
                self._end(endpoint_id, ENDED, told_at)

    @staticmethod
    def _pace_of(endpoint_id, limit, now):
        age = now - limit.heard_at
        return PaceLimit(endpoint_id, limit.requests, limit.is_firm, limit.reason, age)

    def _heard_at(self, endpoint_id):
        limit = self._limit_by_id.get(endpoint_id)
        if limit is not None:
            return limit.heard_at
        told = self._told_by_id.get(endpoint_id)
        ended_at = self._ended_at_by_id.get(endpoint_id, float("-inf"))
        return ended_at if told is None else max(ended_at, told.at)

    def limits_for(self, endpoints, now):
        """Return the limits that order these endpoints, by id.

        There are none if most of the endpoints are late: each slot is needed then.
        """
        limits = self.limits(now)
        if not limits:
            return limits
        late = sum(self._is_late(e.endpoint_id, now) for e in endpoints)
        return limits if 2 * late <= len(endpoints) else {}

    def firm_limits(self, endpoints, now):
        """Return the limits that hold even if a request is refused because of them.

        Limits without evidence only order the endpoints. If more than half of the
        endpoints are limited by evidence or late, limited or not, the cause is common
        to them: with fewer requests they would not answer sooner, and some would only
        be refused.
        """
        limits = self.limits(now)
        firm = {i: limit for i, limit in limits.items() if limit.is_firm}
        count = sum(
            e.endpoint_id in limits or self._is_late(e.endpoint_id, now)
            for e in endpoints
        )
        return firm if 2 * count <= len(endpoints) else {}

    def take_changes(self):
        """Return the list of `PaceChange` since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def status(self, now):
        """Return the limits in force by endpoint id, for operators."""
        return {
            endpoint_id: {
                "requests": round(limit.requests, 2),
                "is_firm": limit.is_firm,
                "reason": limit.reason,
                "since_seconds": round(now - limit.changed_at, 3),
            }
            for endpoint_id, limit in self.limits(now).items()
        }

    def _is_late(self, endpoint_id, now):
        late_at = self._late_at_by_id.get(endpoint_id, float("-inf"))
        return now - late_at < LATE_SECONDS

    def _are_most_late(self, endpoint_id, now):
        ids = self._starts.ids_of(self._starts.service_of(endpoint_id))
        return 2 * sum(self._is_late(i, now) for i in ids) > len(ids)

    def _limit_starts(self, endpoints, now):
        services = {endpoint.service for endpoint in endpoints}
        common = {s for s in services if self._starts.is_common(s, now)}
        for service in common:
            self._lift_starts(service, now)
        for endpoint_id, service, *_ in endpoints:
            if self.is_paced(endpoint_id) and service not in common:
                known = self._limit_by_id.get(endpoint_id)
                self._begin(endpoint_id, STARTED, bool(known and known.is_firm), now)

    def _lift_starts(self, service, now):
        for endpoint_id in self._starts.ids_of(service):
            limit = self._limit_by_id.get(endpoint_id)
            if limit and limit.reason == STARTED and not limit.is_firm:
                self._end(endpoint_id, LIFTED, now)

    def _begin(self, endpoint_id, reason, is_firm, now):
        requests = min(START_REQUESTS, float(self._starts.slots_of(endpoint_id)))
        limit = _Limit(requests, is_firm, reason, now, now)
        self._limit_by_id[endpoint_id] = limit
        self._changes.append(PaceChange(endpoint_id, BEGAN, requests, reason))

    def _fall(self, endpoint_id, reason, now):
        limit = self._limit_by_id.get(endpoint_id)
        if limit is None or now - limit.changed_at < FALL_SECONDS:
            return
        if reason != FAILED and self._are_most_late(endpoint_id, now):
            # The cause is common to the endpoints and not the requests at this one, nor
            # was it when the first of them got late.
            is_firm = limit.is_firm and limit.reason == FAILED
            limit = limit._replace(is_firm=is_firm, heard_at=now)
            self._limit_by_id[endpoint_id] = limit
            return
        requests = max(MIN_REQUESTS, limit.requests * FALL_FACTOR)
        # A failure after answers in time is a repeated one.
        has_grown = limit.heard_at > limit.changed_at
        is_unstable = limit.is_unstable or (reason == FAILED and has_grown)
        self._limit_by_id[endpoint_id] = _Limit(
            requests, True, reason, now, now, is_unstable
        )
        logged_at = self._logged_fall_at_by_id.get(endpoint_id, float("-inf"))
        if requests < limit.requests and now - logged_at >= LOG_FALL_SECONDS:
            self._logged_fall_at_by_id[endpoint_id] = now
            self._changes.append(PaceChange(endpoint_id, FELL, requests, reason))

    def _end(self, endpoint_id, change, now):
        limit = self._limit_by_id.pop(endpoint_id)
        self._ended_at_by_id[endpoint_id] = now
        self._changes.append(
            PaceChange(endpoint_id, change, limit.requests, limit.reason)
        )

    def _forget(self, listed_ids):
        self._starts.forget(listed_ids)
        self._figures.forget(listed_ids)
        for values in (
            self._failed_at_by_id,
            self._late_at_by_id,
            self._limit_by_id,
            self._ended_at_by_id,
            self._logged_fall_at_by_id,
        ):
            for endpoint_id in set(values) - listed_ids:
                del values[endpoint_id]


def limited_slots(endpoint, limit_by_id):
    """Return how many requests an endpoint runs at a time, within its limit if any.

    >>> from sequoiaglade_decisions.gateway import Endpoint
    >>> limited_slots(Endpoint("a", "s", "", "d", 8), {})
    8
    """
    slots = endpoint.slots or DEFAULT_SLOTS
    limit = limit_by_id.get(endpoint.endpoint_id)
    return slots if limit is None else max(1, min(slots, int(limit.requests)))
