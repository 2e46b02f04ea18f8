"""Batch jobs as documents of the platform's store.

A job is a header, which is written last and commits the job, and parts that hold the
items' bodies one after another. Results stand in pages, an end in a document of its
own.
"""

import base64
from typing import NamedTuple

from sequoiaglade_decisions.gateway import Item, JobSpec, Result
from sequoiaglade_decisions.outcomes import Failure, FailureCode

JOBS = "batch-jobs"
PARTS = "batch-parts"
RESULTS = "batch-results"
ENDS_KIND = "batch-ends"
# Longest time that a write of a submission takes, in seconds: the store answers within
# a quarter of a second even when it is slow, and a peer can write in this node's place.
SUBMIT_SECONDS = 0.3
# Share of the store's value size that a part's bytes take, before their encoding as
# base64 adds a third and JSON a little.
PART_SHARE = 0.6


class Header(NamedTuple):
    """A job without its bodies; `sizes` are those of the bodies in bytes."""

    spec: JobSpec
    sizes: tuple[int, ...]
    is_finished: bool
    revision: int


class Page(NamedTuple):
    """A page of results with the revision of its document."""

    results: list[Result]
    revision: int


class JobStorage:
    """Reads and writes batch jobs in a `DocumentStore`."""

    def __init__(self, store, value_bytes):
        self._store = store
        self._part_bytes = int(value_bytes * PART_SHARE)

    def write_job(self, spec):
        """Store a job; return its header's `Document`, or a `Failure`.

        ``CONFLICT`` states that the job is stored already. ``UNAVAILABLE`` states that
        it is not stored and won't be.
        """
        blob = b"".join(item.body for item in spec.items)
        for number, start in enumerate(range(0, len(blob), self._part_bytes)):
            part = blob[start : start + self._part_bytes]
            value = {"data": base64.b64encode(part).decode()}
            name = _numbered(spec.key, number)
            done = self._store.create(PARTS, name, value, SUBMIT_SECONDS)
            if isinstance(done, Failure) and done.code is not FailureCode.CONFLICT:
                # Without its header the job does not exist, whatever came of the part.
                return Failure(FailureCode.UNAVAILABLE, done.reason)
        value = _header_value(spec, False)
        return self._store.create(JOBS, spec.key, value, SUBMIT_SECONDS)

    def read_header(self, key):
        """Return the `Header` of a job, or a `Failure`."""
        found = self._store.get(JOBS, key)
        return found if isinstance(found, Failure) else _header(found)

    def list_headers(self):
        """Return the headers of all jobs as a list, or a `Failure`."""
        listing = self._store.list(JOBS)
        if isinstance(listing, Failure):
            return listing
        return [_header(document) for document in listing.documents]

    def with_bodies(self, header):
        """Return the `JobSpec` of a header with its items' bodies, or a `Failure`."""
        blob = b""
        number = 0
        while len(blob) < sum(header.sizes):
            found = self._store.get(PARTS, _numbered(header.spec.key, number))
            if isinstance(found, Failure):
                return found
            blob += base64.b64decode(found.value["data"])
            number += 1
        items, start = [], 0
        for item, size in zip(header.spec.items, header.sizes):
            items.append(item._replace(body=blob[start : start + size]))
            start += size
        return header.spec._replace(items=tuple(items))

    def finish_job(self, header):
        """Mark a job's results as complete; return the `Document` or a `Failure`."""
        value = _header_value(header.spec, True, header.sizes)
        return self._store.replace(JOBS, header.spec.key, value, header.revision)

    def read_page(self, key, number):
        """Return a `Page` of results, or a `Failure`."""
        found = self._store.get(RESULTS, _numbered(key, number))
        return found if isinstance(found, Failure) else _page(found)

    def write_page(self, key, number, revision, results):
        """Write a page under its `revision` (None: it is new); as `read_page`."""
        value = {"results": [list(result) for result in results]}
        name = _numbered(key, number)
        if revision is None:
            done = self._store.create(RESULTS, name, value)
        else:
            done = self._store.replace(RESULTS, name, value, revision)
        return done if isinstance(done, Failure) else _page(done)

    def read_pages(self, key, pages):
        """Add to `pages` what others wrote since; return None or a `Failure`."""
        while True:
            number = pages.next_unread
            page = self.read_page(key, number)
            if isinstance(page, Failure):
                return None if page.code is FailureCode.NOT_FOUND else page
            pages.put(number, page.results, page.revision)
            if pages.next_unread == number:
                return None

    def write_end(self, key):
        """Mark a job as ended; return None or a `Failure`."""
        done = self._store.create(ENDS_KIND, key, {})
        if isinstance(done, Failure) and done.code is not FailureCode.CONFLICT:
            return done
        return None


def _numbered(key, number):
    return f"{key}.{number:04d}"


def _header_value(spec, is_finished, sizes=None):
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


def _header(document):
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
    return Header(spec, sizes, value["is_finished"], document.revision)


def _page(document):
    rows = document.value["results"]
    return Page([Result(*row) for row in rows], document.revision)
