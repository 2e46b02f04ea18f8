"""Responses to callers."""

import json
from http import HTTPStatus
from typing import Iterable, NamedTuple

_OWN_HEADERS = frozenset(("x-request-id", "x-attempt-id"))


class Response(NamedTuple):
    """A response; `body` yields its parts, each sent as soon as it is available."""

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


def json_response(status, value, headers=()):
    """Return a `Response` with `value` as JSON."""
    data = json.dumps(value).encode()
    fields = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
    return Response(status, [*fields, *headers], [data])


def respond(response, request_id, start_response):
    """Send the head of a `Response` with the request id and return its body."""
    fields = [(n, v) for n, v in response.headers if n.lower() not in _OWN_HEADERS]
    fields.append(("X-Request-Id", request_id))
    return send(response._replace(headers=fields), start_response)


def send(response, start_response):
    """Send the head of a `Response` unchanged and return its body, as WSGI requires.

    The body is closed if the head can't be sent.
    """
    line = f"{response.status} {_phrase(response.status)}"
    try:
        start_response(line, response.headers)
    except BaseException:
        if hasattr(response.body, "close"):
            response.body.close()
        raise
    return response.body


def _phrase(status):
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
