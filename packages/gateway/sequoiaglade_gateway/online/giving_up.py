"""Refusals of requests that were admitted but can't run, with their log lines."""

import time

import structlog

from ..evacuations import describe_evacuated
from .refusals import NO_REGION, GatewayRefusal

# Retry-After of a refusal whose cause states none.
RETRY_AFTER_SECONDS = 0.25


def give_up(parts, request, status, reason, retry_after=None, *, lacks_capacity=False):
    """Return the `GatewayRefusal` of an `AdmittedRequest`, and log and count it.

    502 becomes 504 once the time of the request is over. `lacks_capacity` is whether
    the cause is a lack of endpoints, or of free slots there.
    """
    if status == 502 and time.monotonic() >= request.end_at:
        status = 504
    if status == 503 and retry_after is None:
        retry_after = RETRY_AFTER_SECONDS
    evacuated = {}
    if status == 503 and lacks_capacity:
        evacuated = describe_evacuated(parts, request.service)
    structlog.get_logger().info(
        "request given up",
        request_id=request.call.request_id,
        status=status,
        reason=reason,
        retry_after=retry_after,
        configuration_version=request.version,
        **evacuated,
    )
    parts.metrics.count("refused", str(status))
    return GatewayRefusal(status, reason, retry_after)


def refuse_full(parts, request, full, regions, has_run):
    """Return the `GatewayRefusal` of a request that gets no endpoint: it is `Full`.

    `regions` are those allowed now, None for none. `has_run` is whether an endpoint may
    have run the request: then it must not look as if it can be sent again.
    """
    reason = "all endpoints are busy"
    if not full.has_endpoints:
        reason = _no_endpoint_reason(parts, request, regions)
    if has_run:
        return give_up(parts, request, 502, reason)
    # Without an allowed region no endpoint counts, evacuated or not.
    lacks_capacity = regions is not None
    return give_up(
        parts, request, 503, reason, full.retry_after, lacks_capacity=lacks_capacity
    )


def refuse_quota(parts, request, exceeded):
    """Return the `GatewayRefusal` of a request whose `QuotaExceeded`."""
    refusal = GatewayRefusal(429, "the quota is exhausted", exceeded.retry_after)
    structlog.get_logger().info(
        "request refused",
        request_id=request.call.request_id,
        status=refusal.status,
        reason=refusal.reason,
        workspace=request.workspace,
        retry_after=refusal.retry_after,
        share=exceeded.share,
        configuration_version=request.version,
    )
    parts.metrics.count("refused", str(refusal.status))
    return refusal


def _no_endpoint_reason(parts, request, regions):
    if regions is None:
        reason = NO_REGION
    elif regions:
        reason = "no endpoint is available in the home regions"
    else:
        return "no endpoint is available"
    parts.metrics.count("homes", reason)
    structlog.get_logger().info(
        "no endpoint in home regions",
        request_id=request.call.request_id,
        regions=regions and sorted(regions),
    )
    return reason
