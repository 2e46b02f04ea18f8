"""Calls to endpoints and load reports, independent of the wire format."""

from typing import NamedTuple


class Call(NamedTuple):
    """One attempt of a request; `headers` are pairs and contain no credentials.

    `attempt_id` is unique to the attempt; the client generates one if it is empty.
    `resume_from` is the number of tokens that the endpoint skips.
    """

    url: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str
    attempt_id: str = ""
    is_repeatable: bool = True
    resume_from: int = 0


class LoadReport(NamedTuple):
    """Load that an endpoint reports; it lags behind the actual load."""

    slots: int
    running: int
    queued: int
    leaving: bool


class SkippedHeaders:
    """Headers that are never forwarded from a caller to an endpoint or back."""

    HOP_BY_HOP = frozenset(
        (
            "connection",
            "content-length",
            "host",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )
    )
    CREDENTIALS = frozenset(
        (
            "authorization",
            "cookie",
            "proxy-authenticate",
            "proxy-authorization",
            "set-cookie",
            "x-api-key",
        )
    )
    ATTEMPT = frozenset(("accept-encoding", "expect", "x-attempt-id", "x-resume-from"))
    ALL = HOP_BY_HOP | CREDENTIALS | ATTEMPT
