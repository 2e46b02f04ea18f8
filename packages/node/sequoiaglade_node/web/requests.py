"""A caller's HTTP request from the WSGI environment."""

import re
import time
import uuid
from typing import Any, Callable, NamedTuple
from urllib.parse import urlsplit

from sequoiaglade_decisions.outcomes import Refusal, RefusalCode

from .channels import ARRIVED_AT, RESERVE_BODY

_ODD_CHARACTERS = re.compile(r"[\x00-\x1f\x7f\\]")
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_.:\-]{1,128}\Z")


class Request(NamedTuple):
    """A request; `headers` maps lower-case names to values.

    `path` is decoded; `target` is the path and query as the caller sent them. `stream`
    reads the body, and `disconnected` returns whether the caller has disconnected.
    `has_generated_id` states that this node generated the request id, which is unique.
    `arrived_at` is the time of the monotonic clock at which the request arrived.
    """

    method: str
    path: str
    query: str
    target: str
    headers: dict[str, str]
    stream: Any
    content_length: int
    request_id: str
    has_generated_id: bool
    disconnected: Callable[[], bool]
    environ: dict
    arrived_at: float

    def header(self, name):
        """Return the value of a header by its lower-case name, or None."""
        return self.headers.get(name)

    def may_read_body(self):
        """Reserve memory for the body; return whether there is enough."""
        return self.environ.get(RESERVE_BODY, lambda: True)()

    def read_body(self, limit):
        """Return the body as bytes, or a `Refusal` if it has over `limit` bytes."""
        if self.content_length > limit:
            reason = f"the body has {self.content_length} bytes; {limit} are allowed"
            return Refusal(RefusalCode.TOO_LARGE, reason)
        return self.stream.read(limit)


def read_request(environ):
    """Return the `Request` of a WSGI environment."""
    headers = _headers(environ)
    given_id = headers.get("x-request-id", "")
    is_valid = REQUEST_ID_PATTERN.match(given_id) is not None
    request_id = given_id if is_valid else "req-" + uuid.uuid4().hex
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        target=_target(environ["REQUEST_URI"]),
        headers=headers,
        stream=environ["wsgi.input"],
        content_length=int(environ.get("CONTENT_LENGTH") or 0),
        request_id=request_id,
        has_generated_id=not is_valid,
        disconnected=environ.get("waitress.client_disconnected", lambda: False),
        environ=environ,
        arrived_at=environ.get(ARRIVED_AT) or time.monotonic(),
    )


def is_plain_path(path):
    r"""Return whether all parsers interpret a decoded path in the same way.

    >>> [is_plain_path(path) for path in ("/a/b", "/a/../b", "/a\\b", "/a\r")]
    [True, False, False, False]
    """
    if _ODD_CHARACTERS.search(path):
        return False
    segments = (segment.partition(";")[0] for segment in path.split("/"))
    return not any(segment in (".", "..") for segment in segments)


def _target(uri):
    if not uri.startswith("/"):
        parts = urlsplit(uri)
        uri = parts.path + (f"?{parts.query}" if parts.query else "")
    return "/" + uri.partition("#")[0].lstrip("/")


def _headers(environ):
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers
