"""Announcements of endpoints that they are shutting down."""

import structlog

from .messages import EndpointLeaving


def note_leaving(parts, request, head, status):
    """Tell the coordinator of an announcement in a response, and log it if it is new.

    It applies to the endpoint that the response names, else to the one that was asked.
    The response to a request for an endpoint that no longer serves at its address
    comes from another endpoint; the one that was asked is then gone from there.
    """
    endpoint = request.endpoint
    endpoint_id, born = endpoint.endpoint_id, endpoint.born
    if head.endpoint_id not in (None, endpoint_id):
        endpoint_id, born = head.endpoint_id, 0
    if not parts.coordinator.ask(EndpointLeaving(endpoint_id, born)):
        return
    parts.metrics.count("endpoint leaving", "announced")
    structlog.get_logger().info(
        "endpoint leaving",
        request_id=request.request_id,
        endpoint_id=endpoint_id,
        address=request.address,
        status=status,
    )
