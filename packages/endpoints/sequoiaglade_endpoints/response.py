"""An endpoint's answer, and the checks that it is whole and belongs to the call."""

import itertools

import urllib3

from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .interface import SkippedHeaders

READ_BYTES = 65_536


class EndpointResponse:
    """An endpoint's answer whose body is read as it arrives.

    A context manager: on leaving, the connection goes back to the pool if the whole
    body was read and it is one of the pool's, and is closed otherwise. After `chunks`
    ended, `failure` tells whether the answer was cut short.
    """

    def __init__(self, response, attempt, stall_seconds, pool=None):
        self._response = response
        self._attempt = attempt
        self._stall_seconds = stall_seconds
        self._pool = pool
        self._parts = self._read()
        self._begun = ()
        self._is_closed = False
        self.is_complete = False
        self.status = response.status
        self.failure = None

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Give back the connection, or close it unless the body was read whole."""
        if self._is_closed:
            return
        self._is_closed = True
        self._attempt.detach()
        if self.is_complete and self._pool is None:
            self._response.release_conn()
            return
        self._response.close()
        if self._pool is not None:
            self._pool.close()

    @property
    def headers(self):
        """Headers that may pass on to the caller, as list of pairs."""
        return [
            (name, text)
            for name, text in self._response.headers.items()
            if name.lower() not in SkippedHeaders.ALL
        ]

    def header(self, name):
        """Return the value of a header, or None."""
        return self._response.headers.get(name)

    @property
    def is_stream(self):
        """Whether the answer is a stream of server-sent events."""
        content_type = self._response.headers.get("Content-Type", "")
        return content_type.startswith("text/event-stream")

    @property
    def is_framed(self):
        """Whether a length or an end marker tells where the body ends."""
        return self._response.chunked or self._response.length_remaining is not None

    def foreign_echo(self, call):
        """Return the echoed id if the answer belongs to another call, else None.

        An endpoint that echoes the id of the attempt tells late answers to earlier
        attempts apart; one that echoes the request's id, answers to other requests.
        """
        for name, expected in (
            ("X-Request-Id", call.request_id),
            ("X-Attempt-Id", call.attempt_id),
        ):
            echoed = self._response.headers.get(name)
            if echoed is not None and echoed != expected:
                return echoed
        return None

    def await_first_chunk(self):
        """Wait for the first part of a stream; return None, or a `Failure`."""
        first = next(self._parts, None)
        if first is None:
            return self.failure or _cut_short("the stream is empty")
        self._begun = (first,)
        self.set_timeout(self._stall_seconds)
        return None

    def set_timeout(self, seconds):
        """Bound each further wait for a part of the body."""
        self._attempt.set_timeout(seconds)

    def chunks(self):
        """Return an iterator over the parts of the body as the endpoint sends them.

        A second call goes on where the first one ended.
        """
        begun, self._begun = self._begun, ()
        return itertools.chain(begun, self._parts)

    def _read(self):
        is_framed = self.is_framed
        try:
            if self._response.chunked:
                yield from self._response.read_chunked(decode_content=False)
            else:
                yield from self._response.stream(READ_BYTES, decode_content=False)
            self.is_complete = is_framed and not self._attempt.is_aborted
        except urllib3.exceptions.ReadTimeoutError as error:
            self.failure = _cut_short(error, FailureCode.INVALID)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.failure = _cut_short(error)
        if self.failure is None and not self.is_complete:
            self.failure = _cut_short("it has neither length nor end marker")

    def read_body(self, limit):
        """Return the whole body of at most `limit` bytes, or a `Failure`."""
        parts = []
        size = 0
        for chunk in self.chunks():
            size += len(chunk)
            if size > limit:
                reason = f"the endpoint's answer has over {limit} bytes"
                return Failure(FailureCode.INVALID, reason)
            parts.append(chunk)
        return self.failure or b"".join(parts)


def _cut_short(reason, code=FailureCode.UNKNOWN):
    return Failure(code, f"the endpoint's answer was cut short: {reason}")
