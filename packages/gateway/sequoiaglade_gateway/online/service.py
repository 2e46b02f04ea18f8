"""Admission of callers' requests, and their dispatch to the batch or online service."""

import time

import structlog

from sequoiaglade_decisions.gateway import RouteKind, allowed_regions
from sequoiaglade_decisions.poison import fingerprint

from ..messages import IsQuarantined
from .exchange import Exchange
from .prompt_parts import facts, find_refusal
from .refusals import (
    MEMORY_RETRY_AFTER_SECONDS,
    NO_REGION,
    GatewayRefusal,
    refusal_response,
)
from .requests import AdmittedRequest

# Deadline of a request that states none.
DEFAULT_DEADLINE_SECONDS = 60.0
# Retry-After of a node that has not read a configuration yet.
STARTING_RETRY_AFTER_SECONDS = 0.5
# Retry-After of a request whose route and workspace allow no common region. Only a new
# configuration changes that.
NO_REGION_RETRY_AFTER_SECONDS = 1.0
NO_MEMORY = "the memory for clients is used up"


class OnlineService:
    """Answers online requests, and passes batch calls to the `BatchService`."""

    def __init__(self, parts):
        self._parts = parts
        self._log = structlog.get_logger()

    def handle(self, request):
        """Return the `Response` to a request."""
        arrived_at = request.arrived_at
        wait_seconds = time.monotonic() - arrived_at
        parts = self._parts
        parts.metrics.record_arrival_wait(wait_seconds)
        configuration = parts.store_cache.configuration
        call = parts.dialect.read_call(request)
        if configuration is None:
            reason = "the node has read no configuration yet"
            return self._refuse(
                call, GatewayRefusal(503, reason, STARTING_RETRY_AFTER_SECONDS)
            )
        batch_call = parts.dialect.batch_call(request)
        if batch_call is not None:
            return parts.batch.handle(batch_call, call, request, configuration)
        if parts.store_cache.lacks_evacuations:
            reason = "the node has not read the evacuations yet"
            refusal = GatewayRefusal(503, reason, STARTING_RETRY_AFTER_SECONDS)
            return self._refuse(call, refusal, configuration)
        route = configuration.match(call.host, call.path)
        if route is None:
            reason = f"no route of host {call.host!r} matches path {call.path!r}"
            return self._refuse(call, GatewayRefusal(404, reason), configuration)
        workspace = None
        if configuration.has_workspaces and not route.is_public:
            workspace = configuration.workspace_of(call.key)
            if workspace is None:
                refusal = GatewayRefusal(401, "the key belongs to no workspace")
                return self._refuse(call, refusal, configuration)
        regions = allowed_regions(route, workspace)
        if regions is None:
            parts.metrics.count("homes", NO_REGION)
            refusal = GatewayRefusal(503, NO_REGION, NO_REGION_RETRY_AFTER_SECONDS)
            return self._refuse(
                call,
                refusal,
                configuration,
                route_regions=sorted(route.regions),
                workspace_regions=sorted(workspace.regions),
            )
        if route.kind is RouteKind.BATCH:
            return parts.batch.submit(call, request, route, workspace)
        end_at = arrived_at + min(
            call.deadline or DEFAULT_DEADLINE_SECONDS, route.timeout
        )
        if time.monotonic() >= end_at:
            refusal = GatewayRefusal(
                503, "the deadline passed before the request was handled", 0.0
            )
            return self._refuse(
                call, refusal, configuration, arrival_wait_ms=round(wait_seconds * 1000)
            )
        return self._run_online(
            call, request, route, workspace, end_at, wait_seconds, configuration
        )

    def _run_online(
        self, call, request, route, workspace, end_at, wait_seconds, configuration
    ):
        if not request.may_read_body():
            refusal = GatewayRefusal(503, NO_MEMORY, MEMORY_RETRY_AFTER_SECONDS)
            return self._refuse(call, refusal, configuration)
        body = request.stream.read()
        request_fingerprint = fingerprint(
            workspace.name if workspace else "", call.target.encode() + body
        )
        name = workspace.name if workspace else None
        if self._parts.coordinator.ask(IsQuarantined(request_fingerprint)):
            refusal = GatewayRefusal(
                503, "the request is quarantined after it crashed endpoints"
            )
            return self._refuse(
                call, refusal, configuration, fingerprint=request_fingerprint
            )
        # A stream goes on at the service that began it.
        service = route.service_for(call.stream_id)
        blame = find_refusal(self._parts, call, service)
        if blame is not None:
            refusal = GatewayRefusal(503, "a part of the prompt crashes endpoints")
            self._parts.metrics.count("prompt part", "refused")
            return self._refuse(
                call,
                refusal,
                configuration,
                **facts(blame),
            )
        admitted = AdmittedRequest(
            call=call,
            body=body,
            route=route,
            workspace=name,
            priority=_priority(route, workspace),
            service=service,
            fingerprint=request_fingerprint,
            arrived_at=request.arrived_at,
            arrival_wait_seconds=wait_seconds,
            end_at=end_at,
            version=configuration.version,
            regions=allowed_regions(route, workspace),
        )
        return Exchange(self._parts, admitted, request.disconnected).answer()

    def _refuse(self, call, refusal, configuration=None, **inputs):
        self._log.info(
            "request refused",
            request_id=call.request_id,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            configuration_version=configuration and configuration.version,
            **inputs,
        )
        self._parts.metrics.count("refused", str(refusal.status))
        return refusal_response(refusal)


def _priority(route, workspace):
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority
