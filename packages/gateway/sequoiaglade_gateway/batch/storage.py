"""Storage of batch jobs as documents of the platform's store.

A job consists of parts, which contain the concatenated bodies of its items, and of a
header, which is written last and commits the job. Results are stored in pages, the end
of a job in a separate document.
"""

import base64
from typing import NamedTuple

from sequoiaglade_decisions.gateway import (
    Item,
    JobSpec,
    Result,
    ResultPage,
    json_size,
    page_bytes_max,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode

JOBS_KIND = "batch-jobs"
PARTS_KIND = "batch-parts"
RESULTS_KIND = "batch-results"
ENDS_KIND = "batch-ends"
# Timeout of each write of a submission: the store answers within a quarter of a second
# even when it is slow, and a peer can write instead of this node.
SUBMIT_TIMEOUT_SECONDS = 0.3
# Size of a part as a fraction of the store's maximum value size: the encoding as base64
# adds a third, JSON a little.
PART_SIZE_FRACTION = 0.6
# Size of a header as a fraction of the store's maximum value size; the rest is for what
# the store keeps with it.
HEADER_SIZE_FRACTION = 0.9


class JobHeader(NamedTuple):
    """A job without the bodies of its items; `sizes` are their sizes in bytes."""

    spec: JobSpec
    sizes: tuple[int, ...]
    is_finished: bool
    revision: int


class JobStorage:
    """Reads and writes batch jobs in a `DocumentStore`."""

    def __init__(self, store, value_bytes):
        self._store = store
        self._part_bytes = int(value_bytes * PART_SIZE_FRACTION)
        self._header_bytes_max = int(value_bytes * HEADER_SIZE_FRACTION)
        self.page_bytes_max = page_bytes_max(value_bytes)

    def oversize(self, spec):
        """Return why a job does not fit into the store as text, None if it does."""
        size = json_size(_encode_header(spec, False))
        if size <= self._header_bytes_max:
            return None
        return (
            f"ids, paths and headers of the items take {size} bytes, "
            f"{self._header_bytes_max} are allowed"
        )

    def write_job(self, spec):
        """Store a job; return its header's `Document`, or a `Failure`.

        ``CONFLICT`` means that the job is stored already, ``UNAVAILABLE`` that it is
        not stored and will not be.
        """
        data = b"".join(item.body for item in spec.items)
        for number, start in enumerate(range(0, len(data), self._part_bytes)):
            part = data[start : start + self._part_bytes]
            value = {"data": base64.b64encode(part).decode()}
            name = _document_name(spec.key, number)
            done = self._store.create(PARTS_KIND, name, value, SUBMIT_TIMEOUT_SECONDS)
            if isinstance(done, Failure) and done.code is not FailureCode.CONFLICT:
                # Without its header the job does not exist, even if the part is stored.
                return Failure(FailureCode.UNAVAILABLE, done.reason)
        value = _encode_header(spec, False)
        return self._store.create(JOBS_KIND, spec.key, value, SUBMIT_TIMEOUT_SECONDS)

    def read_header(self, key):
        """Return the `JobHeader` of a job, or a `Failure`.

        `is_finished` and `revision` may be outdated; the rest of a header never
        changes. That there is no job is never concluded from an outdated read.
        """
        found = self._store.get(JOBS_KIND, key, may_be_outdated=True)
        if isinstance(found, Failure) and found.code is FailureCode.NOT_FOUND:
            found = self._store.get(JOBS_KIND, key)
        return found if isinstance(found, Failure) else _decode_header(found)

    def list_headers(self):
        """Return the headers of all jobs as a list, or a `Failure`."""
        listing = self._store.list(JOBS_KIND)
        if isinstance(listing, Failure):
            return listing
        return [_decode_header(document) for document in listing.documents]

    def read_spec(self, header):
        """Return the `JobSpec` of a header, with all bodies, or a `Failure`."""
        data = b""
        number = 0
        while len(data) < sum(header.sizes):
            found = self._store.get(PARTS_KIND, _document_name(header.spec.key, number))
            if isinstance(found, Failure):
                return found
            data += base64.b64decode(found.value["data"])
            number += 1
        items, start = [], 0
        for item, size in zip(header.spec.items, header.sizes):
            items.append(item._replace(body=data[start : start + size]))
            start += size
        return header.spec._replace(items=tuple(items))

    def finish_job(self, header):
        """Mark a job's results as complete; return its `Document`, or a `Failure`."""
        value = _encode_header(header.spec, True, header.sizes)
        return self._store.replace(JOBS_KIND, header.spec.key, value, header.revision)

    def read_page(self, key, number):
        """Return a `ResultPage`, or a `Failure`."""
        found = self._store.get(RESULTS_KIND, _document_name(key, number))
        return found if isinstance(found, Failure) else _decode_page(found)

    def write_page(self, key, write):
        """Write a page as a `PageWrite` has it; return the new `ResultPage`.

        Return a `Failure` if its revision was another, or the store failed.
        """
        value = {"results": [list(result) for result in write.results]}
        if write.is_closed:
            value["is_closed"] = True
        name = _document_name(key, write.number)
        if write.revision is None:
            done = self._store.create(RESULTS_KIND, name, value)
        else:
            done = self._store.replace(RESULTS_KIND, name, value, write.revision)
        return done if isinstance(done, Failure) else _decode_page(done)

    def read_pages(self, key, pages):
        """Add the results of other writers to `pages`; return None or a `Failure`."""
        while True:
            number = pages.next_unread
            page = self.read_page(key, number)
            if isinstance(page, Failure):
                return None if page.code is FailureCode.NOT_FOUND else page
            pages.put(number, *page)
            if pages.next_unread == number:
                return None

    def write_end(self, key):
        """Mark a job as ended; return None or a `Failure`."""
        done = self._store.create(ENDS_KIND, key, {})
        if isinstance(done, Failure) and done.code is not FailureCode.CONFLICT:
            return done
        return None


def _document_name(key, number):
    return f"{key}.{number:04d}"


def _encode_header(spec, is_finished, sizes=None):
    return {
        "job_id": spec.job_id,
        "workspace": spec.workspace,
        "host": spec.host,
        "path": spec.path,
        "submitted_at": spec.submitted_at,
        "accepted_by": spec.accepted_by,
        "is_finished": is_finished,
        "items": [
            {
                "id": item.item_id,
                "path": item.path,
                "headers": [list(pair) for pair in item.headers],
                "tokens": item.tokens,
                "size": size,
            }
            for item, size in zip(
                spec.items, sizes or [len(item.body) for item in spec.items]
            )
        ],
    }


def _decode_header(document):
    value = document.value
    items = tuple(
        Item(
            row["id"],
            row["path"],
            tuple((name, text) for name, text in row["headers"]),
            b"",
            row["tokens"],
        )
        for row in value["items"]
    )
    spec = JobSpec(
        value["job_id"],
        value["workspace"],
        value["host"],
        value["path"],
        value["submitted_at"],
        value["accepted_by"],
        items,
    )
    sizes = tuple(row["size"] for row in value["items"])
    return JobHeader(spec, sizes, value["is_finished"], document.revision)


def _decode_page(document):
    rows = document.value["results"]
    is_closed = bool(document.value.get("is_closed"))
    return ResultPage([Result(*row) for row in rows], document.revision, is_closed)
