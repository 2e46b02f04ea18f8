"""HTTP client of the platform's object API."""

import json
import time
import uuid
from urllib.parse import quote

import urllib3
from opentelemetry import trace

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_endpoints import WHOLE_RESPONSE_POOLS

from .interface import Change, Instance, StoredObject

CALL_TIMEOUT_SECONDS = 2.0
WRITE_ATTEMPTS = 3
WRITE_RETRY_PAUSE_SECONDS = 0.1
_NO_VERSION = 0
_tracer = trace.get_tracer("sequoiaglade.platform")
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class PlatformClient:
    """Client of the object API; a context manager that owns its connections.

    Values are bytes, at most one megabyte each. The client stores the writer's token as
    a line before the value, so the platform only needs to store plain values.
    """

    def __init__(self, url, client_id="sequoiaglade", sleep=time.sleep):
        self._url = url.rstrip("/")
        self._sleep = sleep
        timeout = urllib3.Timeout(total=CALL_TIMEOUT_SECONDS)
        self._pool = urllib3.PoolManager(
            maxsize=16,
            retries=False,
            timeout=timeout,
            headers={"User-Agent": client_id},
        )
        self._pool.pool_classes_by_scheme = WHOLE_RESPONSE_POOLS

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.clear()

    def get(self, kind, name, timeout=None):
        """Return the `StoredObject`, or a `Failure`; `timeout` is in seconds."""
        options = {} if timeout is None else {"timeout": urllib3.Timeout(timeout)}
        response = self._call("GET", self._path(kind, name), **options)
        if isinstance(response, Failure):
            return response
        if response.status == 404:
            return Failure(FailureCode.NOT_FOUND, f"no object {kind}/{name}")
        if response.status != 200:
            return _unavailable(response)
        return _stored(name, int(response.headers["ETag"]), response.data)

    def create(self, kind, name, value):
        """Create an object; return the `StoredObject`, or a `Failure` if it exists."""
        return self._write(kind, name, value, _NO_VERSION)

    def update(self, kind, name, value, version):
        """Replace the object if it still has `version`; return the `StoredObject`."""
        return self._write(kind, name, value, version)

    def delete(self, kind, name, version):
        """Delete the object if it still has `version`; return None or a `Failure`."""
        headers = {"If-Match": str(version)}
        response = self._call("DELETE", self._path(kind, name), headers=headers)
        if isinstance(response, Failure):
            return response
        if response.status == 412:
            return Failure(FailureCode.CONFLICT, f"{kind}/{name} has changed")
        if response.status not in (200, 404):
            return _unavailable(response)
        return None

    def list(self, kind, prefix=""):
        """Return the objects of a kind as a list of `StoredObject`, ordered by name."""
        path = f"/objects/{quote(kind, safe='')}?prefix={quote(prefix, safe='')}"
        response = self._call("GET", path)
        if isinstance(response, Failure):
            return response
        if response.status != 200:
            return _unavailable(response)
        entries = json.loads(response.data)["objects"]
        return [
            _stored(e["name"], e["version"], e["value"].encode("latin-1"))
            for e in entries
        ]

    def watch(self, kind, since, timeout):
        """Wait up to `timeout` seconds for changes after the version `since`.

        Return a pair of the list of `Change` and the version to watch from next.
        """
        path = f"/watch/{quote(kind, safe='')}?since={since}&timeout={timeout}"
        total_timeout = urllib3.Timeout(total=timeout + CALL_TIMEOUT_SECONDS)
        response = self._call("GET", path, timeout=total_timeout)
        if isinstance(response, Failure):
            return response
        if response.status != 200:
            return _unavailable(response)
        body = json.loads(response.data)
        return [Change(**entry) for entry in body["changes"]], body["version"]

    def instances(self):
        """Return the platform's list of `Instance`."""
        response = self._call("GET", "/instances")
        if isinstance(response, Failure):
            return response
        if response.status != 200:
            return _unavailable(response)
        return [Instance(**entry) for entry in json.loads(response.data)["instances"]]

    def _path(self, kind, name):
        return f"/objects/{quote(kind, safe='')}/{quote(name, safe='')}"

    def _write(self, kind, name, value, version):
        writer = uuid.uuid4().hex
        body = writer.encode() + b"\n" + value
        is_outcome_unknown = False
        failure = None
        for attempt in range(WRITE_ATTEMPTS):
            if attempt:
                self._sleep(WRITE_RETRY_PAUSE_SECONDS * attempt)
            response = self._put(kind, name, body, version)
            if isinstance(response, Failure):
                failure = response
                is_outcome_unknown = (
                    is_outcome_unknown or response.code is FailureCode.UNKNOWN
                )
                continue
            if response.status == 200:
                return StoredObject(name, int(response.headers["ETag"]), value, writer)
            if response.status == 412:
                return self._resolve_conflict(kind, name, writer, is_outcome_unknown)
            failure = _unavailable(response)
            is_outcome_unknown = True
        if is_outcome_unknown:
            return Failure(FailureCode.UNKNOWN, failure.reason)
        return failure

    def _put(self, kind, name, body, version):
        condition = {"If-Match": str(version)} if version else {"If-None-Match": "*"}
        return self._call("PUT", self._path(kind, name), body=body, headers=condition)

    def _resolve_conflict(self, kind, name, writer, is_outcome_unknown):
        conflict = Failure(FailureCode.CONFLICT, f"{kind}/{name} has changed")
        if not is_outcome_unknown:
            return conflict
        found = self.get(kind, name)
        if isinstance(found, Failure):
            if found.code is FailureCode.NOT_FOUND:
                return conflict
            return Failure(FailureCode.UNKNOWN, found.reason)
        if found.writer == writer:
            return found
        reason = (
            f"{kind}/{name} was overwritten after the response to its write was lost"
        )
        return Failure(FailureCode.UNKNOWN, reason)

    def _call(self, method, path, **options):
        kind = path.split("/", 2)[1].partition("?")[0]
        with _tracer.start_as_current_span(f"node to platform {method} {kind}"):
            return self._request(method, path, **options)

    def _request(self, method, path, **options):
        headers = self._pool.headers | options.pop("headers", {})
        try:
            return self._pool.request(
                method, self._url + path, headers=headers, **options
            )
        except _CONNECT_ERRORS as error:
            return Failure(FailureCode.UNAVAILABLE, f"platform: {error}")
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(FailureCode.UNKNOWN, f"platform: {error}")


def _stored(name, version, data):
    writer, _, value = data.partition(b"\n")
    return StoredObject(name, version, value, writer.decode())


def _unavailable(response):
    reason = f"platform answered {response.status}"
    return Failure(FailureCode.UNAVAILABLE, reason)
