"""Streams the input, output and error files of batches, segment by segment."""

import time

from sequoiaglade_decisions.jobs import sum_headers
from sequoiaglade_decisions.outcomes import Failure, FailureCode

READ_ATTEMPTS = 8
READ_PAUSE_SECONDS = 0.25


class ReadInterruptedError(OSError):
    """A read from the platform failed; the response body ends incomplete."""


class ResultReader:
    """Reads the lines of input, output and error files as streams."""

    def __init__(self, files, work, sleep=time.sleep):
        self._files = files
        self._work = work
        self._sleep = sleep

    def input_parts(self, record):
        """Yield the lines of a `FileRecord` as bytes, one segment at a time."""
        for index in range(record.segment_count):
            yield _encode_lines(
                self._read_with_retries(
                    lambda index=index: self._files.segment(record.file_id, index)
                )
            )

    def result_parts(self, job, is_error):
        """Return an iterator over the results or errors of a job, or a `Failure`.

        It yields the lines as bytes, one segment at a time, in the order of the input.
        """
        headers = self._work.headers(job.job_id)
        if isinstance(headers, Failure):
            return headers
        return self._result_parts(headers, is_error)

    def totals(self, job):
        """Return the `Totals` of the results so far, or None if they can't be read."""
        headers = self._work.headers(job.job_id)
        if isinstance(headers, Failure):
            return None
        return sum_headers(header for _, header in headers.values())

    def _result_parts(self, headers, is_error):
        for _, (_, header) in sorted(headers.items()):
            names = header.error_parts if is_error else header.output_parts
            if names:
                yield _encode_lines(
                    self._read_with_retries(
                        lambda names=names: self._work.read_results(names)
                    )
                )

    def _read_with_retries(self, read):
        for attempt in range(READ_ATTEMPTS):
            if attempt:
                self._sleep(READ_PAUSE_SECONDS * 2**attempt)
            found = read()
            if not isinstance(found, Failure):
                return found
            if found.code is FailureCode.NOT_FOUND:
                break
        raise ReadInterruptedError(found.reason)


def _encode_lines(lines):
    return ("\n".join(lines) + "\n").encode()
