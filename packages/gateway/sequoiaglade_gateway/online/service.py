"""Admission of a caller's request, and what is done with it."""

import time

import structlog

from sequoiaglade_decisions.gateway import RouteKind
from sequoiaglade_decisions.poison import fingerprint

from ..messages import Admit, Quarantined, QuotaExceeded
from .exchange import Exchange, Work
from .refusals import GatewayRefusal, refusal_answer

# Time that a caller is taken to wait if it does not tell, in seconds.
DEFAULT_DEADLINE_SECONDS = 60.0
# When a node without a configuration may know one, in seconds.
STARTING_RETRY_SECONDS = 0.5


class OnlineService:
    """Answers online requests; batch calls go to the service of batch jobs."""

    def __init__(self, parts):
        self._parts = parts
        self._log = structlog.get_logger()

    def handle(self, request):
        """Return the `Response` to a request."""
        arrived_at = time.monotonic()
        parts = self._parts
        configuration = parts.store_cache.configuration
        call = parts.dialect.read_call(request)
        if configuration is None:
            reason = "the node has read no configuration yet"
            return self._refuse(
                call, GatewayRefusal(503, reason, STARTING_RETRY_SECONDS)
            )
        batch_call = parts.dialect.batch_call(request)
        if batch_call is not None:
            return parts.batch.handle(batch_call, call, request, configuration)
        route = configuration.match(call.host, call.path)
        if route is None:
            reason = f"no route of host {call.host!r} begins path {call.path!r}"
            return self._refuse(call, GatewayRefusal(404, reason), configuration)
        workspace = None
        if configuration.has_workspaces and not route.is_public:
            workspace = configuration.workspace_of(call.key)
            if workspace is None:
                refusal = GatewayRefusal(401, "the key belongs to no workspace")
                return self._refuse(call, refusal, configuration)
        if route.kind is RouteKind.BATCH:
            return parts.batch.submit(call, request, route, workspace)
        return self._run(call, request, route, workspace, arrived_at, configuration)

    def _run(self, call, request, route, workspace, arrived_at, configuration):
        body = request.stream.read()
        mark = fingerprint(
            workspace.name if workspace else "", call.target.encode() + body
        )
        name = workspace.name if workspace else None
        refused = self._parts.coordinator.ask(Admit(name, mark))
        match refused:
            case QuotaExceeded(retry_after, share):
                refusal = GatewayRefusal(429, "the quota is used up", retry_after)
                return self._refuse(call, refusal, configuration, share=share)
            case Quarantined():
                refusal = GatewayRefusal(503, "the request crashed endpoints before")
                return self._refuse(call, refusal, configuration, fingerprint=mark)
        deadline = call.deadline or DEFAULT_DEADLINE_SECONDS
        work = Work(
            call=call,
            body=body,
            route=route,
            workspace=name,
            priority=_priority(route, workspace),
            service=route.service_for(call.request_id),
            fingerprint=mark,
            arrived_at=arrived_at,
            end_at=arrived_at + min(deadline, route.timeout),
            version=configuration.version,
        )
        return Exchange(self._parts, work, request.disconnected).answer()

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
        return refusal_answer(refusal)


def _priority(route, workspace):
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority
