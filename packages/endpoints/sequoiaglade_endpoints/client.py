"""HTTP client of the endpoints."""

import json
import uuid

import urllib3

from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .connections import POOL_CLASS_BY_SCHEME, Attempt
from .interface import LoadReport
from .response import EndpointResponse

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 60.0
STALL_TIMEOUT_SECONDS = 15.0
CONTROL_TIMEOUT_SECONDS = 1.0
POOL_SIZE_PER_ENDPOINT = 512
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class EndpointClient:
    """HTTP client with connections to all endpoints; a context manager that owns them.

    `read_seconds` limits the wait for the start of a response, `stall_seconds` each
    wait for a further chunk of a stream. `echoing_urls` are the endpoints that have put
    the request's id into a response body.
    """

    def __init__(
        self, read_seconds=READ_TIMEOUT_SECONDS, stall_seconds=STALL_TIMEOUT_SECONDS
    ):
        self._stall_seconds = stall_seconds
        self.echoing_urls = set()
        self._timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=read_seconds
        )
        self._pool = urllib3.PoolManager(
            num_pools=4096,
            maxsize=POOL_SIZE_PER_ENDPOINT,
            retries=False,
            timeout=self._timeout,
        )
        self._pool.pool_classes_by_scheme = POOL_CLASS_BY_SCHEME

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.clear()

    def run(self, call, attempt=None):
        """Return the `EndpointResponse` to a `Call`, or a `Failure`.

        ``UNAVAILABLE`` states that no byte of the call was sent, ``UNKNOWN`` that the
        connection was lost, ``INVALID`` that the response was late or to another
        request. A call that must not be repeated uses a new connection: on a pooled one
        bytes may be sent before it shows that the endpoint has closed it. Another
        thread can stop the call through `attempt`.
        """
        attempt = attempt or Attempt()
        call = call._replace(attempt_id=call.attempt_id or uuid.uuid4().hex)
        pool = None if call.is_repeatable else self._dedicated_pool(call.url)
        response = self._request(call, attempt, pool)
        if isinstance(response, Failure):
            if pool is not None:
                pool.close()
            return response
        echoed = response.mismatched_id(call)
        if echoed is not None:
            response.close()
            reason = f"the endpoint answered another request than {call.request_id}"
            return Failure(FailureCode.INVALID, reason)
        return response

    def cancel(self, url, request_id, attempt_id=""):
        """Ask the endpoint to stop a request; return None or a `Failure`."""
        value = {"request_id": request_id, "attempt_id": attempt_id}
        response = self._control("POST", url + "/cancel", json.dumps(value).encode())
        return response if isinstance(response, Failure) else None

    def is_reachable(self, url):
        """Return whether the endpoint sends any HTTP response."""
        try:
            self._pool.request("GET", url + "/load", timeout=CONTROL_TIMEOUT_SECONDS)
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return True

    def load(self, url):
        """Return the endpoint's `LoadReport`, or a `Failure`."""
        response = self._control("GET", url + "/load")
        if isinstance(response, Failure):
            return response
        try:
            return LoadReport(**json.loads(response.data))
        except (RecursionError, TypeError, ValueError) as error:
            return Failure(FailureCode.INVALID, f"load report: {error}")

    def _dedicated_pool(self, url):
        parts = urllib3.util.parse_url(url)
        pool_class = POOL_CLASS_BY_SCHEME[parts.scheme]
        return pool_class(
            parts.host, parts.port, timeout=self._timeout, retries=False, maxsize=1
        )

    def _request(self, call, attempt, pool):
        try:
            with attempt:
                response = (pool or self._pool).urlopen(
                    call.method,
                    call.path if pool else call.url + call.path,
                    body=call.body or None,
                    headers=_headers(call),
                    preload_content=False,
                    decode_content=False,
                    redirect=False,
                    **({"assert_same_host": False} if pool else {}),
                )
        except _CONNECT_ERRORS as error:
            return Failure(FailureCode.UNAVAILABLE, f"endpoint: {error}")
        except urllib3.exceptions.ReadTimeoutError as error:
            attempt.detach()
            return Failure(FailureCode.INVALID, f"endpoint: {error}")
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            attempt.detach()
            return Failure(FailureCode.UNKNOWN, f"endpoint: {error}")
        return EndpointResponse(response, attempt, self._stall_seconds, pool)

    def _control(self, method, url, body=None):
        try:
            response = self._pool.request(
                method, url, body=body, timeout=CONTROL_TIMEOUT_SECONDS
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(FailureCode.UNAVAILABLE, f"endpoint: {error}")
        if response.status != 200:
            reason = f"endpoint answered {response.status}"
            return Failure(FailureCode.UNAVAILABLE, reason)
        return response


def _headers(call):
    headers = urllib3.HTTPHeaderDict(call.headers)
    headers["X-Request-Id"] = call.request_id
    headers["X-Attempt-Id"] = call.attempt_id
    if call.resume_from:
        headers["X-Resume-From"] = str(call.resume_from)
    return headers
