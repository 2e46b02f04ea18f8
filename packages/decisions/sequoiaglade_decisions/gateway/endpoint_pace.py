"""Concurrency limits of endpoints that have started or recovered, and their speed now.

Load pattern: many nodes send short requests to endpoints that fill up within a fraction
of a second. An endpoint that has just started is empty, so that it is chosen first and
gets as many requests as it has slots before its first answer is there.
"""

from .endpoint_starts import EndpointStarts
from .late_endpoints import LateEndpoints
from .pace_limits import (
    BEGAN,
    ENDED,
    FAILED,
    FELL,
    LAPSED,
    LIFTED,
    STARTED,
    Limit,
    PaceChange,
    PaceLimit,
)
from .told_limits import ToldLimits
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
# Factor of the limit when answers are late or refused.
FALL_FACTOR = 0.5
# Refusals and breaks within this time have one cause: nodes report them within 50 ms.
FALL_SECONDS = 0.1
# Streams whose events are this many times as far apart as usual are late.
LATE_INTERVAL_RATIO = 4.0
# A limit that no answer has confirmed ends after this time. Nodes that do not schedule
# an endpoint get none; the slowest starts that are known take a few seconds.
LAPSE_SECONDS = 10.0
# Messages between nodes take less than this time.
TOLD_MARGIN_SECONDS = 0.1
# An endpoint that fails again within this time may do so once more: the longest time
# that a crashing endpoint is known to work in between.
REPEATED_FAILURE_SECONDS = 10.0
# Nodes of a small fleet share the ends of limits for this time, several gossip rounds.
ENDED_SECONDS = 2.0
# Limits of a node are logged at most this often per endpoint when they fall.
LOG_FALL_SECONDS = 1.0


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
        # Whether any endpoint tells how long its work takes now.
        self.has_figures = False
        self._failed_at_by_id = {}
        self._late = LateEndpoints()
        self._limit_by_id = {}
        self._ended_at_by_id = {}
        self._logged_fall_at_by_id = {}
        self._told = ToldLimits()
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

    def note_unlisted(self, endpoint_id):
        """Note that an endpoint is not listed any more."""
        self._starts.note_unlisted(endpoint_id)

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
            self._late.note(endpoint_id, now)
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
            self._late.note(endpoint_id, now)
        else:
            self._late.note_in_time(endpoint_id)
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
        is_first = self._figures.note(endpoint_id, percent, now, age)
        self.has_figures = True
        if not is_first:
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

    def figure_factor(self, endpoint_id, now):
        """Return how much longer work takes now than on average at this endpoint."""
        return self._figures.factor(endpoint_id, now)

    def limits(self, now):
        """Return the limits in force as a dict of `Limit` by endpoint id.

        Ends those first that no answer has confirmed for `LAPSE_SECONDS`.
        """
        if not self._limit_by_id:
            return self._limit_by_id
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
            return limit.told(endpoint_id, now)
        return PaceLimit(endpoint_id, 0.0) if self.is_paced(endpoint_id) else None

    def note_told(self, pace, now):
        """Note the `PaceLimit` that the scheduler of the endpoint told.

        The scheduler owns the limit: it replaces the one that is known, or ends it.
        """
        if not self.is_paced(pace.endpoint_id):
            return
        heard_at = now - pace.age_seconds
        self._told.note(pace, heard_at)
        if pace.requests:
            limit = Limit(pace.requests, pace.is_firm, pace.reason, heard_at, heard_at)
            self._limit_by_id[pace.endpoint_id] = limit
        else:
            self._limit_by_id.pop(pace.endpoint_id, None)

    def notices(self, now):
        """Return the limits that schedulers told lately, for their successors."""
        return self._told.notices(now)

    def shared(self, now):
        """Return the limits for the other nodes of a small fleet, which `adopt` them.

        Each node sees only its own answers, and would wait for a low limit to rise
        while the other nodes use all of it.
        """
        limits = tuple(
            limit.told(endpoint_id, now)
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
                self._limit_by_id[endpoint_id] = Limit(
                    max(pace.requests, MIN_REQUESTS),
                    pace.is_firm,
                    pace.reason,
                    told_at,
                    told_at,
                    is_unstable,
                )
            elif limit is not None:
                self._end(endpoint_id, ENDED, told_at)

    def _heard_at(self, endpoint_id):
        limit = self._limit_by_id.get(endpoint_id)
        if limit is not None:
            return limit.heard_at
        ended_at = self._ended_at_by_id.get(endpoint_id, float("-inf"))
        return max(ended_at, self._told.told_at(endpoint_id))

    def limits_for(self, endpoints, now):
        """Return the limits that order these endpoints, by id.

        There are none if most of the endpoints are late: each slot is needed then.
        """
        limits = self.limits(now)
        if not limits:
            return limits
        ids = [e.endpoint_id for e in endpoints]
        return {} if self._late.are_most_late(ids, now) else limits

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
            e.endpoint_id in limits or self._late.is_late(e.endpoint_id, now)
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
            endpoint_id: limit.status(now)
            for endpoint_id, limit in self.limits(now).items()
        }

    def _are_most_late(self, endpoint_id, now):
        ids = self._starts.ids_of(self._starts.service_of(endpoint_id))
        return self._late.are_most_late(ids, now)

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
        limit = Limit(requests, is_firm, reason, now, now)
        self._limit_by_id[endpoint_id] = limit
        self._changes.append(PaceChange(endpoint_id, BEGAN, requests, reason))

    def _fall(self, endpoint_id, reason, now):
        limit = self._limit_by_id.get(endpoint_id)
        if limit is None or now - limit.changed_at < FALL_SECONDS:
            return
        if reason != FAILED and self._are_most_late(endpoint_id, now):
            # The cause is common to the service's endpoints, not the requests at this
            # one. It may also have made the limit fall before, which is then no
            # evidence against this endpoint, unless it failed.
            is_firm = limit.is_firm and limit.reason == FAILED
            limit = limit._replace(is_firm=is_firm, heard_at=now)
            self._limit_by_id[endpoint_id] = limit
            return
        requests = max(MIN_REQUESTS, limit.requests * FALL_FACTOR)
        # A failure after answers in time is a repeated one.
        has_answered = limit.heard_at > limit.changed_at
        is_unstable = limit.is_unstable or (reason == FAILED and has_answered)
        self._limit_by_id[endpoint_id] = Limit(
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
        self.has_figures = bool(self._figures)
        self._late.forget(listed_ids)
        for values in (
            self._failed_at_by_id,
            self._limit_by_id,
            self._ended_at_by_id,
            self._logged_fall_at_by_id,
        ):
            for endpoint_id in set(values) - listed_ids:
                del values[endpoint_id]
