"""Limits of requests a second that endpoints name, and permits for requests to them."""

import structlog

from sequoiaglade_decisions.gateway import (
    SETTLING_SECONDS,
    SETTLING_SECONDS_LARGE,
    DeniedPermits,
    Permit,
    PermitLevels,
    RequestLimits,
    SettledShare,
    granter_share,
    permit_granters,
)

from .access_messages import (
    FindPermitGranters,
    PermitDenied,
    PermitGranters,
    RequestLimitNamed,
    TakePermit,
)
from .clocks import boot_seconds

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
            case TakePermit(notice, is_batch):
                return self._take(notice, is_batch, now)
            case PermitDenied(endpoint_id, is_batch, permit):
                return self._denied.note(endpoint_id, permit, is_batch, now)

    def find(self, endpoint):
        """Return the limit of an `Endpoint`, or None."""
        return self._limits.find(endpoint.endpoint_id, endpoint.born)

    def open(self, endpoints, is_batch, now):
        """Return the endpoints without a limit, or for which a permit may be asked."""
        return [
            endpoint
            for endpoint in endpoints
            if self.find(endpoint) is None
            or self._denied.until(endpoint.endpoint_id, is_batch, now) is None
        ]

    def seconds_until_open(self, endpoints, now):
        """Return in how many seconds a permit for one of `endpoints` may be asked."""
        times = [self._denied.until(e.endpoint_id, False, now) for e in endpoints]
        return min((until - now for until in times if until is not None), default=0.0)

    def grantable(self, endpoints, is_batch, now):
        """Return the endpoints without a limit, and those with a permit left here."""
        share = None
        rows = []
        for endpoint in endpoints:
            limit = self.find(endpoint)
            if limit is not None:
                # All limited endpoints of a group have the same granters.
                if share is None:
                    share = self._share_of(endpoint, now)
                seconds = share and self._levels.seconds_until(
                    endpoint.endpoint_id, limit, share, now, is_batch
                )
                if not share or seconds:
                    continue
            rows.append(endpoint)
        return rows

    def take_own(self, endpoint_id, now):
        """Take a permit that `grantable` has found; return whether one was needed."""
        endpoint = self._directory.get(endpoint_id, now)
        limit = self.find(endpoint)
        if limit is None:
            return False
        self._levels.grant(endpoint_id, limit, self._share_of(endpoint, now), now)
        return True

    def limited(self):
        """Return the limits of the known endpoints by id."""
        return self._limits.limited(self._directory.endpoints())

    def notices(self, now):
        """Return the notices to gossip."""
        self._levels.keep_only(self.limited())
        self._update_share(now)
        return self._limits.notices(now)

    def receive(self, state, now):
        """Merge the notices of a peer's state, and log those that change a limit."""
        for notice in self._limits.receive(state.request_limits, now):
            self._log.info(
                "request limit told by peer",
                peer=state.node_id,
                endpoint_id=notice.endpoint_id,
                limit=notice.limit,
            )

    def _find_granters(self, endpoint_id, now):
        endpoint = self._directory.get(endpoint_id, now)
        if endpoint is None or self.find(endpoint) is None:
            return None
        candidates = []
        for node_id in self._granter_ids(endpoint, now):
            state = self._nodes.state(node_id)
            candidates.append((node_id, state and state.peer_address))
        return PermitGranters(candidates, self._limits.notice(endpoint_id, now))

    def _take(self, notice, is_batch, now):
        self._limits.receive([notice], now)
        endpoint_id = notice.endpoint_id
        endpoint = self._directory.get(endpoint_id, now)
        if endpoint is None:
            return NOT_GRANTER
        limit = self.find(endpoint)
        if limit is None:
            return Permit(True)
        share = self._share_of(endpoint, now)
        if not share:
            return NOT_GRANTER
        return self._levels.grant(endpoint_id, limit, share, now, is_batch)

    def _share_of(self, endpoint, now):
        """Return the part of an endpoint's limit that this node may grant."""
        share = self._update_share(now)
        if not self.is_settled(now):
            return 0.0
        granters = self._granter_ids(endpoint, now)
        return share * granter_share(self._settings.node_id, granters)

    def _granter_ids(self, endpoint, now):
        states = self._nodes.possible_granters(now, self._settling_seconds)
        own = self._get_own_state()
        if not (own.is_leaving and states):
            states.append(own)
        if self._nodes.is_large:
            return self._scheduling.granters_of(endpoint, states, now)
        return permit_granters(endpoint.endpoint_id, [s.node_id for s in states])

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

    def is_settled(self, now):
        """Return whether the nodes that decided in its absence know this one."""
        is_alone = not self._nodes.known(now) and not self._has_other_seeds()
        return is_alone or now - self._started_at >= self._settling_seconds

    def _has_other_seeds(self):
        return any(s != self._settings.listen.peer for s in self._settings.seeds)
