"""Questions and reports about the parts of a request's prompt."""

import time

import structlog

from ..messages import EndpointAnswered, FindPartRefusal, PartsAnswered


def find_refusal(parts, call, service):
    """Return the `Blame` of a part of a new request's prompt, or None.

    `parts` are the node's.
    """
    if not call.prompt_parts:
        return None
    # A request that takes a stream up had events before.
    has_begun = bool(call.last_event_id)
    return parts.coordinator.ask(
        FindPartRefusal(service or "", call.prompt_parts, has_begun=has_begun)
    )


def is_suspect(parts, request, has_begun):
    """Return whether a broken request may crash the next endpoint too, and log it."""
    call = request.call
    if not call.prompt_parts:
        return False
    blame = parts.coordinator.ask(
        FindPartRefusal(request.service or "", call.prompt_parts, True, has_begun)
    )
    if blame is None:
        return False
    parts.metrics.count("prompt part", "not sent again")
    structlog.get_logger().info(
        "prompt part suspected", request_id=call.request_id, **facts(blame)
    )
    return True


def note_answer(parts, request, is_complete):
    """Report a whole answer, or its first event, to a request with prompt parts."""
    if request.call.prompt_parts:
        parts.coordinator.tell(
            PartsAnswered(request.service or "", request.call.prompt_parts, is_complete)
        )


def note_endpoint_answer(parts, endpoint, sent_at):
    """Report that an endpoint answered an attempt that was sent at a time."""
    parts.coordinator.tell(
        EndpointAnswered(endpoint.endpoint_id, endpoint.born, sent_at)
    )


def facts(blame):
    """Return the fields of a log line about a `Blame`."""
    return {
        "part": blame.part,
        "crashes": blame.crashes,
        "last_crash_seconds": round(time.monotonic() - blame.last_at, 3),
    }
