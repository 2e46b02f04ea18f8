"""Refusals: error responses of the system itself to requests it does not serve."""

from enum import Enum
from typing import NamedTuple


class Execution(Enum):
    """Whether an endpoint may have run the refused request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalCode(Enum):
    """Error code of a refusal, with its HTTP status."""

    INVALID_REQUEST = ("invalid_request", 400)
    INVALID_KEY = ("invalid_api_key", 401)
    FORBIDDEN = ("forbidden", 403)
    NOT_FOUND = ("not_found", 404)
    METHOD_NOT_ALLOWED = ("method_not_allowed", 405)
    REQUEST_TIMEOUT = ("request_timeout", 408)
    CONFLICT = ("conflict", 409)
    IN_PROGRESS = ("request_in_progress", 409)
    TOO_LARGE = ("request_too_large", 413)
    QUARANTINED = ("request_quarantined", 422)
    RATE_LIMITED = ("rate_limit_exceeded", 429)
    HEADERS_TOO_LARGE = ("headers_too_large", 431)
    INTERNAL = ("internal_error", 500)
    NOT_IMPLEMENTED = ("not_implemented", 501)
    ENDPOINT_FAILED = ("endpoint_failed", 502)
    OVERLOADED = ("overloaded", 503)
    NOT_CONFIRMED = ("configuration_not_confirmed", 503)
    PLATFORM_UNAVAILABLE = ("platform_unavailable", 503)
    OUTCOME_UNKNOWN = ("outcome_unknown", 504)

    @property
    def code(self):
        """Stable error code in the response body."""
        return self.value[0]

    @property
    def status(self):
        """HTTP status of the refusal."""
        return self.value[1]


class Refusal(NamedTuple):
    """The final response to a request that is not served.

    ``retry_after`` is in seconds; ``None`` tells the caller that retrying the same
    request can't succeed. ``entry`` is another entry address that may serve it.

    >>> refusal = Refusal(RefusalCode.RATE_LIMITED, "rate of yard-a used up", 0.5)
    >>> refusal.code.status, refusal.execution.value
    (429, 'not_run')
    """

    code: RefusalCode
    reason: str
    retry_after: float | None = None
    execution: Execution = Execution.NOT_RUN
    entry: str | None = None
