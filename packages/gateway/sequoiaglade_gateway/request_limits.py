"""Limits of endpoints' requests a second, and the permits for requests to them.

Endpoints name limits in their responses, and cold ones take their service's cold rate.
"""

import structlog

from sequoiaglade_decisions.gateway import (
    COLD_PERMIT_SECONDS,
    COLD_SETTLING_SECONDS,
    SETTLING_SECONDS,
    SETTLING_SECONDS_LARGE,
    ColdRanks,
    ColdReport,
    DeniedPermits,
    Evidence,
    LimitNotice,
    Permit,
    PermitLevels,
    PermitSource,
    RequestLimits,
    SettledShare,
    granter_share,
    named_rate,
    permit_granters,
)

from . import messages
from .access_messages import (
    ColdNotice,
    ColdResponse,
    FindPermitGranters,
    PermitDenied,
    PermitGranters,
    RequestLimitNamed,
    TakePermit,
)
from .clocks import boot_seconds
from .cold_endpoints import FleetColdEndpoints

# A longer time between two gossip rounds shows that the process was suspended: other
# nodes grant permits by then.
SUSPENSION_SECONDS = 2.0
# Permits that a node denies as it is not their granter; the asking node soon knows.
NOT_GRANTER = Permit(False, 0.3)


def note_request_limit(parts, request, head, sent_at):
    """Tell the coordinator of the limit that a response names, and log a change.

    A limit that can't be read changes nothing. One in the response of another endpoint
    than the one that was asked is not known to be of either.
    """
    endpoint = request.endpoint
    endpoint_id = endpoint.endpoint_id
    if head.endpoint_id not in (None, endpoint_id):
        return
    log = structlog.get_logger()
    if head.names_limit and head.request_limit is None:
        log.info("request limit not readable", endpoint_id=endpoint_id)
        return
    if not head.names_limit and endpoint.request_limit is None:
        return
    limit = head.request_limit
    message = RequestLimitNamed(endpoint_id, endpoint.born, limit, sent_at)
    if not parts.coordinator.ask(message):
        return
    parts.metrics.count("request limit", "ended" if limit is None else "named")
    log.info(
        "request limit changed",
        request_id=request.request_id,
        endpoint_id=endpoint_id,
        limit=limit,
        before=endpoint.request_limit,
    )


class FleetRequestLimits:
    """The coordinator's `RequestLimits`, and the permits that it grants or was denied.

    `cold` has the cold endpoints, which need permits as well.
    One node grants the permits for an endpoint: in a large fleet the first scheduler of
    its group, which needs no call for that, else the first of `permit_granters`.
    `share` returns the fraction of the known nodes that are live. `boot_clock` also
    advances while the machine is suspended.
    """

    def __init__(
        self,
        settings,
        own_state,
        directory,
        nodes,
        scheduling,
        share,
        boot_clock=boot_seconds,
    ):
        self._settings = settings
        self._get_own_state = own_state
        self._directory = directory
        self._nodes = nodes
        self._scheduling = scheduling
        self._get_share = share
        self._boot_clock = boot_clock
        self._started_at = None
        self._active_at = None
        self._settled_share = SettledShare()
        self._ranks = ColdRanks()
        # When a node last asked for a permit for an endpoint that it reported as cold.
        self._taken_at_by_id = {}
        self.cold = FleetColdEndpoints(settings.cold_starts)
        self._limits = RequestLimits()
        self._levels = PermitLevels()
        self._denied = DeniedPermits()
        self._log = structlog.get_logger()

    def handle(self, message, now):
        """Handle one of the messages about limits and return its reply."""
        match message:
            case RequestLimitNamed():
                return self._limits.note_response(*message, now)
            case FindPermitGranters(endpoint_id):
                return self._find_granters(endpoint_id, now)
            case TakePermit(notice, is_batch, cold):
                return self._take(notice, is_batch, cold, now)
            case ColdResponse(endpoint_id, seconds, sent_at):
                endpoint = self._directory.get(endpoint_id, now)
                if endpoint is not None:
                    self.cold.note_response(endpoint, seconds, sent_at, now)
                return None
            case PermitDenied(endpoint_id, is_batch, permit):
                return self._denied.note(endpoint_id, permit, is_batch, now)

    def find(self, endpoint):
        """Return the limit of an `Endpoint`, or None."""
        return self._limits.find(endpoint.endpoint_id, endpoint.born)

    def describe(self, endpoint, now):
        """Return an `Endpoint` with its limit, and with its cold time as known now."""
        if not self._may_need_permits:
            return (
                endpoint._replace(cold_seconds=0.0)
                if endpoint.cold_seconds
                else endpoint
            )
        state = self.cold.find(endpoint, now)
        return endpoint._replace(
            request_limit=self.find(endpoint),
            cold_seconds=0.0 if state is None else state.seconds,
        )

    @property
    def _may_need_permits(self):
        """Whether any endpoint may need permits; most of the time none does."""
        return self._limits.has_any or self.cold.has_any

    def note_result(self, result, now):
        """Record an `EndpointResult` that a peer reported."""
        if self._settings.cold_starts is None:
            return
        endpoint_id = result.endpoint_id
        endpoint = self._directory.get(endpoint_id, now)
        match result.outcome:
            case messages.NOT_SENT | messages.BROKEN if not result.is_abandoned:
                self.cold.note_failure(endpoint_id, now)
            case messages.DONE if endpoint is not None:
                if result.run_seconds:
                    self.cold.note_done(endpoint_id, now - result.run_seconds, now)
                self.cold.note_reported_answer(endpoint, now)

    def open(self, endpoints, is_batch, now):
        """Return the endpoints that need no permit, or one that may be asked for."""
        if not self._may_need_permits:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if not self._needs_permit(endpoint, now)
            or self._denied.until(endpoint.endpoint_id, is_batch, now) is None
        ]

    def open_here(self, endpoints, is_batch, now):
        """Return the endpoints that need no permit, or one that this node has left.

        Another node need not be asked for these.
        """
        if not self._may_need_permits:
            return endpoints
        limited = [e for e in endpoints if self._needs_permit(e, now)]
        granters_by_id = self._granters_by_id(limited, now)
        own = [
            endpoint
            for endpoint in limited
            if granters_by_id[endpoint.endpoint_id][:1] == [self._settings.node_id]
        ]
        limited_ids = {endpoint.endpoint_id for endpoint in limited}
        free = [e for e in endpoints if e.endpoint_id not in limited_ids]
        # Endpoints of a small fleet have different granters.
        return free + [e for o in own for e in self.grantable([o], is_batch, now)]

    def _needs_permit(self, endpoint, now):
        is_limited = self.find(endpoint) is not None
        return is_limited or self.cold.find(endpoint, now) is not None

    def seconds_until_open(self, endpoints, now):
        """Return in how many seconds a permit for one of `endpoints` may be asked."""
        times = [self._denied.until(e.endpoint_id, False, now) for e in endpoints]
        return min((until - now for until in times if until is not None), default=0.0)

    def grantable(self, endpoints, is_batch, now):
        """Return the endpoints that need no permit, and those with one left here."""
        if not self._may_need_permits:
            return endpoints
        granters = None
        rows = []
        for endpoint in endpoints:
            if self._needs_permit(endpoint, now):
                # All limited endpoints of a group have the same granters.
                if granters is None:
                    granters = self._granter_ids(endpoint, now)
                rates = self._rates(endpoint, granters, now)
                if not rates or self._levels.seconds_until(
                    endpoint.endpoint_id, rates, now, is_batch
                ):
                    continue
            rows.append(endpoint)
        return rows

    def take_own(self, endpoint_id, now):
        """Take the permits that `grantable` has found; return their sources."""
        if not self._may_need_permits:
            return frozenset()
        endpoint = self._directory.get(endpoint_id, now)
        if not self._needs_permit(endpoint, now):
            return frozenset()
        rates = self._rates(endpoint, self._granter_ids(endpoint, now), now)
        self._levels.grant(endpoint_id, rates, now)
        return frozenset(rates)

    def limited(self):
        """Return the limits of the known endpoints by id."""
        return self._limits.limited(self._directory.endpoints())

    def notices(self, now):
        """Return the notices to gossip."""
        endpoints = self._directory.endpoints()
        cold = self.cold.find_all(endpoints, now)
        self._taken_at_by_id = {
            i: at
            for i, at in self._taken_at_by_id.items()
            if now - at < COLD_SETTLING_SECONDS
        }
        # Also those that only asking nodes know to be cold.
        cold_ids = {*(e.endpoint_id for e in cold), *self._taken_at_by_id}
        self._levels.keep_only({*self.limited(), *cold_ids})
        self._ranks.keep_only(cold_ids)
        share = self._update_share(now)
        granters_by_id = self._granters_by_id(cold, now)
        for endpoint in cold:
            granters = granters_by_id[endpoint.endpoint_id]
            part = granter_share(self._settings.node_id, granters)
            self._ranks.update(endpoint.endpoint_id, part, share, now)
        return self._limits.notices(now)

    def cold_reports(self, now):
        """Return the `ColdReport`s of cold endpoints whose first granter this node is.

        Nodes that read no list, or an outdated one, learn of them by these. In a small
        fleet each node reports those that it has just seen fail: others that had no
        request there would not know. In a large fleet schedulers are told so in load
        reports.
        """
        if not self.cold.has_any:
            return ()
        reports = []
        endpoints = self._directory.endpoints()
        endpoints = [e for e in endpoints if self.cold.is_reportable(e, now)]
        granters_by_id = self._granters_by_id(endpoints, now)
        for endpoint in endpoints:
            state = self.cold.find(endpoint, now)
            granters = granters_by_id[endpoint.endpoint_id]
            is_first = granters[:1] == [self._settings.node_id]
            if is_first or (state.is_pending and not self._nodes.is_large):
                seconds = state.seconds
                reports.append(ColdReport(endpoint.endpoint_id, endpoint.born, seconds))
        return tuple(reports)

    def receive(self, state, now):
        """Merge the notices of a peer's state, and log those that change a limit."""
        for report in state.cold_endpoints:
            endpoint = self._directory.get(report.endpoint_id, now)
            if endpoint is not None:
                self.cold.receive(report, endpoint, now)
        for notice in self._limits.receive(state.request_limits, now):
            self._log.info(
                "request limit told by peer",
                peer=state.node_id,
                endpoint_id=notice.endpoint_id,
                limit=notice.limit,
            )

    def _find_granters(self, endpoint_id, now):
        endpoint = self._directory.get(endpoint_id, now)
        if endpoint is None or not self._needs_permit(endpoint, now):
            return None
        candidates = []
        for node_id in self._granter_ids(endpoint, now):
            state = self._nodes.state(node_id)
            candidates.append((node_id, state and state.peer_address))
        state = self.cold.find(endpoint, now)
        is_limited = self.find(endpoint) is not None
        cold = state and ColdNotice(
            state.bound.rate,
            state.seconds,
            is_limited,
            is_unconfirmed=state.is_unconfirmed or state.evidence is Evidence.PEER,
        )
        if is_limited:
            notice = self._limits.notice(endpoint_id, now)
        else:
            notice = LimitNotice(endpoint_id, endpoint.born, cold.rate, 0.0)
        return PermitGranters(candidates, notice, cold)

    def _take(self, notice, is_batch, cold, now):
        if cold is None or cold.is_limited:
            self._limits.receive([notice], now)
        endpoint_id = notice.endpoint_id
        endpoint = self._directory.get(endpoint_id, now)
        if endpoint is None:
            return NOT_GRANTER
        told = cold and self.cold.find_told(endpoint, notice.born, cold, now)
        if told is not None:
            self._taken_at_by_id[endpoint_id] = now
        if told is None and not self._needs_permit(endpoint, now):
            return Permit(True)
        rates = self._rates(endpoint, self._granter_ids(endpoint, now), now, told)
        if not rates:
            return NOT_GRANTER
        return self._levels.grant(endpoint_id, rates, now, is_batch)

    def _rates(self, endpoint, granters, now, told=None):
        """Return the `PermitRate` of this node for an endpoint by `PermitSource`.

        It is empty if this node grants nothing. `told` is the `ColdState` of an
        endpoint that only the asking node considers cold.
        """
        share = self._update_share(now)
        part = granter_share(self._settings.node_id, granters)
        if not (part and share and self.is_settled(now)):
            return {}
        rates = {}
        limit = self.find(endpoint)
        if limit is not None:
            rates[PermitSource.NAMED] = named_rate(limit, share * part)
        state = told or self.cold.find(endpoint, now)
        if state is not None:
            rank, share = self._ranks.update(endpoint.endpoint_id, part, share, now)
            if not share or not self.is_settled(now, COLD_PERMIT_SECONDS):
                return {}
            rates[PermitSource.COLD] = state.bound.granter_rate(rank, share)
        return rates

    def _granter_ids(self, endpoint, now):
        return self._granters_by_id([endpoint], now)[endpoint.endpoint_id]

    def _granters_by_id(self, endpoints, now):
        """Return the ids of the granters of each of the endpoints, by endpoint id."""
        if not endpoints:
            return {}
        states = self._nodes.possible_granters(now, self._settling_seconds)
        own = self._get_own_state()
        if not (own.is_leaving and states):
            states.append(own)
        if self._nodes.is_large:
            return self._scheduling.granters_by_id(endpoints, states, now)
        node_ids = [state.node_id for state in states]
        ids = [endpoint.endpoint_id for endpoint in endpoints]
        return {i: permit_granters(i, node_ids) for i in ids}

    def _update_share(self, now):
        share = self._get_share(now)
        boot_at = self._boot_clock()
        if self._active_at is None or boot_at - self._active_at > SUSPENSION_SECONDS:
            self._started_at = now
        self._active_at = boot_at
        return self._settled_share.update(share, now, self._settling_seconds)

    @property
    def _settling_seconds(self):
        return SETTLING_SECONDS_LARGE if self._nodes.is_large else SETTLING_SECONDS

    def is_settled(self, now, more_seconds=0.0):
        """Return whether the nodes that decided in its absence know this one.

        With `more_seconds`, for that long.
        """
        is_alone = not self._nodes.known(now) and not self._has_other_seeds()
        seconds = self._settling_seconds + more_seconds
        return is_alone or now - self._started_at >= seconds

    def _has_other_seeds(self):
        return any(s != self._settings.listen.peer for s in self._settings.seeds)
