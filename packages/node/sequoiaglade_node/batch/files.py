"""Input files, stored on the platform as a record and its segments."""

import time

from sequoiaglade_decisions.jobs import (
    FileRecord,
    InputValidator,
    Packer,
    file_id_for,
    items_per_segment,
    pack_lines,
    segment_name,
    unpack_lines,
)
from sequoiaglade_decisions.jobs.items import LINE_MAX_BYTES
from sequoiaglade_decisions.outcomes import Failure, FailureCode, Refusal, RefusalCode

from .refusals import is_name_taken, platform_refusal

FILE_KIND = "files"
SEGMENT_KIND = "file-segments"


class FileStore:
    """Writes and reads batch input files.

    The id of a file is derived from its workspace, name and content, so an upload may
    be repeated at any node.
    """

    def __init__(self, platform, cache=None):
        self._platform = platform
        self._cache = cache

    def upload(self, workspace, filename, file):
        """Store a seekable binary file; return a `FileRecord` or a `Refusal`.

        The file is read twice: once to validate it and once to write its segments. The
        record is written last; segments without a record are ignored.
        """
        validator = InputValidator()
        for line in read_lines(file):
            validator.add(line)
        if validator.fault_count:
            return Refusal(RefusalCode.INVALID_REQUEST, validator.describe())
        if not validator.item_count:
            return Refusal(RefusalCode.INVALID_REQUEST, "the file contains no items")
        file_id = file_id_for(workspace, filename, validator.digest)
        existing = self.record(workspace, file_id)
        if (
            not isinstance(existing, Refusal)
            or existing.code is not RefusalCode.NOT_FOUND
        ):
            return existing
        file.seek(0)
        count = self._write_segments(
            file_id, file, items_per_segment(validator.item_count)
        )
        if isinstance(count, Failure):
            return platform_refusal(count)
        record = FileRecord(
            file_id,
            workspace,
            filename,
            validator.digest,
            validator.byte_count,
            validator.item_count,
            count,
            time.time(),
        )
        stored = self._platform.create(FILE_KIND, file_id, record.encode())
        if is_name_taken(stored):
            return self.record(workspace, file_id)
        return platform_refusal(stored) if isinstance(stored, Failure) else record

    def record(self, workspace, file_id):
        """Return the `FileRecord` of a file of the workspace, or a `Refusal`."""
        missing = Refusal(RefusalCode.NOT_FOUND, f"file {file_id!r} does not exist")
        stored = self._platform.get(FILE_KIND, file_id)
        match stored:
            case Failure(code=FailureCode.NOT_FOUND):
                return missing
            case Failure():
                return platform_refusal(stored)
        record = FileRecord.decode(stored.value)
        return record if record.workspace == workspace else missing

    def segment(self, file_id, index):
        """Return the lines of a segment, or a `Failure`."""
        name = segment_name(file_id, index)
        cached = self._cache.get(name) if self._cache is not None else None
        if cached is not None:
            return unpack_lines(cached)
        stored = self._platform.get(SEGMENT_KIND, name)
        if isinstance(stored, Failure):
            return stored
        if self._cache is not None:
            self._cache.put(name, stored.value)
        return unpack_lines(stored.value)

    def _write_segments(self, file_id, file, max_items):
        packer = Packer(max_items)
        count = 0
        for line in read_lines(file):
            stripped = line.strip()
            lines = packer.add(stripped.decode()) if stripped else None
            if lines is not None:
                failure = self._write_segment(file_id, count, lines)
                if failure is not None:
                    return failure
                count += 1
        lines = packer.finish()
        if lines is None:
            return count
        return self._write_segment(file_id, count, lines) or count + 1

    def _write_segment(self, file_id, index, lines):
        name = segment_name(file_id, index)
        stored = self._platform.create(SEGMENT_KIND, name, pack_lines(lines))
        is_failed = isinstance(stored, Failure) and not is_name_taken(stored)
        return stored if is_failed else None


def read_lines(file):
    """Yield the lines of a binary file.

    A line longer than `LINE_MAX_BYTES` is truncated to one byte more, so that the
    caller can detect it.
    """
    while line := file.readline(LINE_MAX_BYTES + 1):
        yield line
        while len(line) > LINE_MAX_BYTES and not line.endswith(b"\n"):
            line = file.readline(LINE_MAX_BYTES + 1)
