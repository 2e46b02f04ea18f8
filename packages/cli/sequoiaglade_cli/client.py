"""HTTP client of the command line program."""

import json
from typing import Any, NamedTuple

import urllib3

from sequoiaglade_endpoints import WHOLE_RESPONSE_POOLS

TIMEOUT_SECONDS = 30.0


class Reply(NamedTuple):
    """A successful response, decoded from JSON, and the command's exit code."""

    value: Any
    exit_code: int = 0


class Problem(NamedTuple):
    """A failed command: an exit code and a reason to print."""

    exit_code: int
    reason: str


EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


class NodeClient:
    """HTTP client of one node; a context manager that owns its connections."""

    def __init__(self, url, token=None):
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._pool = urllib3.PoolManager(timeout=TIMEOUT_SECONDS, retries=False)
        self._pool.pool_classes_by_scheme = WHOLE_RESPONSE_POOLS

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.clear()

    def call(self, method, path, value=None, headers=(), fields=None):
        """Send a request with a JSON value; return a `Reply` or a `Problem`."""
        response = self._request(method, path, value, headers, fields)
        if isinstance(response, Problem):
            return response
        if response.status >= 400:
            return _problem(response)
        return Reply(json.loads(response.data))

    def lines(self, path):
        """Return the lines of a text resource, or a `Problem`."""
        response = self._request("GET", path, None, (), None)
        if isinstance(response, Problem):
            return response
        if response.status >= 400:
            return _problem(response)
        return _split_lines(response.data)

    def _request(self, method, path, value, headers, fields):
        all_headers = self._headers | dict(headers)
        options = {"fields": fields} if fields else {}
        if value is not None:
            options["body"] = json.dumps(value).encode()
            all_headers["Content-Type"] = "application/json"
        try:
            return self._pool.request(
                method, self._url + path, headers=all_headers, **options
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Problem(EXIT_UNREACHABLE, f"{self._url} can't be reached: {error}")


def _split_lines(data):
    r"""Return the lines of UTF-8 bytes as texts, which may hold line separators.

    >>> _split_lines("a\u2028b\nc\n".encode())
    ['a\u2028b', 'c']
    """
    return [line.decode() for line in data.splitlines()]


def _problem(response):
    try:
        reason = json.loads(response.data)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        reason = "no reason given"
    return Problem(EXIT_REFUSED, f"{response.status}: {reason}")
