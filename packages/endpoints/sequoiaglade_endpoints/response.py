"""Endpoint responses, with checks that they are complete and belong to the call."""

import itertools

import urllib3

from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .interface import SkippedHeaders

READ_BYTES = 65_536


class EndpointResponse:
    """An endpoint's response whose body is read as it arrives.

    A context manager: on exit, a pooled connection returns to the pool if the body was
    read to its end; otherwise the connection is closed. After the end of `chunks`,
    `failure` tells whether the response was truncated.
    """

    def __init__(self, response, attempt, stall_seconds, pool=None):
        self._response = response
        self._attempt = attempt
        self._stall_seconds = stall_seconds
        self._pool = pool
        self._unread_chunks = self._read()
        self._buffered_chunks = ()
        self._is_closed = False
        self.is_complete = False
        self.status = response.status
        self.failure = None

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Release the connection, or close it unless the body was read to its end."""
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
        """Headers to forward to the caller, as a list of pairs."""
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
        """Whether the response is a stream of server-sent events."""
        content_type = self._response.headers.get("Content-Type", "")
        return content_type.startswith("text/event-stream")

    @property
    def is_delimited(self):
        """Whether a length or an end marker states where the body ends."""
        return self._response.chunked or self._response.length_remaining is not None

    def mismatched_id(self, call):
        """Return the echoed id if the response belongs to another call, else None.

        An echoed attempt id identifies late responses to earlier attempts, an echoed
        request id identifies responses to other requests.
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
        """Wait for the first chunk of a stream; return None, or a `Failure`."""
        first = next(self._unread_chunks, None)
        if first is None:
            return self.failure or _truncated("the stream is empty")
        self._buffered_chunks = (first,)
        self.set_timeout(self._stall_seconds)
        return None

    def set_timeout(self, seconds):
        """Limit each further wait for a chunk of the body."""
        self._attempt.set_timeout(seconds)

    def chunks(self):
        """Return an iterator over the chunks of the body as the endpoint sends them.

        A second call continues where the first one stopped.
        """
        buffered, self._buffered_chunks = self._buffered_chunks, ()
        return itertools.chain(buffered, self._unread_chunks)

    def _read(self):
        is_delimited = self.is_delimited
        try:
            if self._response.chunked:
                yield from self._response.read_chunked(decode_content=False)
            else:
                yield from self._response.stream(READ_BYTES, decode_content=False)
            self.is_complete = is_delimited and not self._attempt.is_aborted
        except urllib3.exceptions.ReadTimeoutError as error:
            self.failure = _truncated(error, FailureCode.INVALID)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.failure = _truncated(error)
        if self.failure is None and not self.is_complete:
            self.failure = _truncated("it has neither a length nor an end marker")

    def read_body(self, limit):
        """Return the complete body of at most `limit` bytes, or a `Failure`."""
        received = []
        size = 0
        for chunk in self.chunks():
            size += len(chunk)
            if size > limit:
                reason = f"the endpoint's response exceeds {limit} bytes"
                return Failure(FailureCode.INVALID, reason)
            received.append(chunk)
        return self.failure or b"".join(received)


def _truncated(reason, code=FailureCode.UNKNOWN):
    return Failure(code, f"the endpoint's response was truncated: {reason}")
