"""Limits of requests a second that endpoints name in their responses."""

import structlog

from .messages import RequestLimitNamed


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
