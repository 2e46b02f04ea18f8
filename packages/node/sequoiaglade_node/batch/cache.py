"""An optional, bounded cache of segments on the local disk."""

import hashlib
import os
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError

CACHE_FOLDER = "segments"
CACHE_MAX_BYTES = 268_435_456
DISK_TIMEOUT_SECONDS = 0.2
BACKOFF_SECONDS = 30.0
MAX_PENDING_WRITES = 16
_DIGEST_BYTES = 32
_TEMPORARY_SUFFIX = ".part"


class SegmentCache:
    """Cache of segments by name in the data folder; a context manager.

    A file contains a checksum followed by the segment. It is written under a temporary
    name, synchronised to disk and renamed, so a file under its final name is complete;
    the checksum detects later corruption. The disk is accessed on a separate thread,
    and a read is abandoned after `timeout` seconds. After a fault the disk is not
    used for `BACKOFF_SECONDS`.
    """

    def __init__(
        self,
        data_folder,
        max_bytes=CACHE_MAX_BYTES,
        timeout=DISK_TIMEOUT_SECONDS,
        clock=time.monotonic,
    ):
        self._folder = os.path.join(data_folder, CACHE_FOLDER)
        self._max_bytes = max_bytes
        self._timeout = timeout
        self._clock = clock
        self._disabled_until = 0.0
        self._size_by_name = None
        self._pending_writes = threading.Semaphore(MAX_PENDING_WRITES)
        self._disk = ThreadPoolExecutor(1, "segment-cache")
        self.faults = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._disk.shutdown(wait=False, cancel_futures=True)

    def get(self, name):
        """Return the bytes of a segment, or None if it is not available."""
        if self._is_disabled:
            return None
        try:
            return self._disk.submit(self._read, name).result(self._timeout)
        except (OSError, FutureTimeoutError, RuntimeError):
            self._back_off()
            return None

    def put(self, name, data):
        """Write a segment in the background; drop it if the disk is slow or faulty."""
        if self._is_disabled or not self._pending_writes.acquire(blocking=False):
            return
        try:
            self._disk.submit(self._write_or_back_off, name, data)
        except RuntimeError:
            self._pending_writes.release()

    def flush(self):
        """Wait until all pending writes are done or have failed."""
        self._disk.submit(lambda: None).result()

    @property
    def _is_disabled(self):
        return self._clock() < self._disabled_until

    def _back_off(self):
        self.faults += 1
        self._size_by_name = None
        self._disabled_until = self._clock() + BACKOFF_SECONDS

    def _read(self, name):
        sizes = self._sizes()
        if name not in sizes:
            return None
        path = os.path.join(self._folder, name)
        with open(path, "rb") as file:
            checksum, data = file.read(_DIGEST_BYTES), file.read()
        if hashlib.sha256(data).digest() != checksum:
            self._remove(name)
            return None
        sizes[name] = sizes.pop(name)
        return data

    def _write_or_back_off(self, name, data):
        try:
            self._write(name, data)
        except OSError:
            self._back_off()
        finally:
            self._pending_writes.release()

    def _write(self, name, data):
        sizes = self._sizes()
        size = len(data) + _DIGEST_BYTES
        if name in sizes or size > self._max_bytes:
            return
        while sizes and sum(sizes.values()) + size > self._max_bytes:
            self._remove(next(iter(sizes)))
        path = os.path.join(self._folder, name)
        temporary = path + _TEMPORARY_SUFFIX
        with open(temporary, "wb") as file:
            file.write(hashlib.sha256(data).digest() + data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        sizes[name] = size

    def _remove(self, name):
        self._size_by_name.pop(name, None)
        os.unlink(os.path.join(self._folder, name))

    def _sizes(self):
        """Return sizes by name, least recently used first; scan the folder once."""
        if self._size_by_name is not None:
            return self._size_by_name
        os.makedirs(self._folder, exist_ok=True)
        found = []
        for entry in os.scandir(self._folder):
            if entry.name.endswith(_TEMPORARY_SUFFIX):
                os.unlink(entry.path)
            else:
                status = entry.stat()
                found.append((status.st_mtime, entry.name, status.st_size))
        self._size_by_name = {name: size for _, name, size in sorted(found)}
        return self._size_by_name
