"""Steps on the segment cache on disk."""

import os
import shutil
import tempfile
import time
from pathlib import Path

from batch_steps import as_file, open_stores
from behave import given, then, when
from path_steps import make_items

from sequoiaglade_node.batch import FileStore, SegmentCache

SLOW_SECONDS = 1.0


@given("a segment cache of {size:d} bytes")
def make_cache(context, size):
    context.folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.size = size
    context.cache = context.stack.enter_context(SegmentCache(context.folder, size))


def segment_folder(context):
    return Path(context.folder) / "segments"


@when(
    "{count:d} segments of {size:d} bytes are stored and the first is read after each"
)
def put_many(context, count, size):
    for number in range(count):
        context.cache.put(f"segment-{number}", bytes([number]) * size)
        context.cache.flush()
        assert context.cache.get("segment-0") == bytes(size)


@then(
    "the cache folder has at most {size:d} bytes and still contains the first segment"
)
def check_bounded(context, size):
    sizes = [path.stat().st_size for path in segment_folder(context).iterdir()]
    assert 0 < sum(sizes) <= size, sizes
    again = SegmentCache(context.folder, size)
    assert again.get("segment-0") is not None and again.get("segment-1") is None


@when(
    "a segment is truncated, another corrupted, and a third left under its temporary"
    " name"
)
def damage(context):
    for name in ("cut", "damaged", "partial"):
        context.cache.put(name, b"0123456789")
    context.cache.flush()
    folder = segment_folder(context)
    os.truncate(folder / "cut", 38)
    (folder / "damaged").write_bytes(b"x" * 42)
    os.rename(folder / "partial", folder / "partial.part")


@then("the cache returns none of them and removes them")
def check_damage(context):
    again = SegmentCache(context.folder)
    assert [again.get(name) for name in ("cut", "damaged", "partial")] == [None] * 3
    assert list(segment_folder(context).iterdir()) == []


@then("all lines of a file are read with a {fault} disk")
def check_fault(context, fault):
    stores = open_stores(context)
    cache = SegmentCache(context.folder, context.size)
    files = FileStore(stores.platform, cache)
    items = make_items(40, len(fault))
    record = files.upload("salina", "f", as_file(items))
    files.segment(record.file_id, 0)
    cache.flush()
    break_disk(context, cache, fault)
    started_at = time.monotonic()
    for _ in range(3):
        counts = [len(files.segment(record.file_id, n)) for n in range(2)]
        assert counts == [20, 20], counts
    assert time.monotonic() - started_at < SLOW_SECONDS, "the disk delayed the node"
    assert cache.faults, "the fault was not encountered"
    shutil.rmtree(segment_folder(context), ignore_errors=True)
    segment_folder(context).unlink(missing_ok=True)


def break_disk(context, cache, fault):
    folder = segment_folder(context)
    match fault:
        case "vanished":
            shutil.rmtree(folder)
            folder.write_bytes(b"")
        case "full":

            def fail(*arguments):
                raise OSError(28, "No space left on device")

            cache._write = cache._read = fail
        case "slow":
            cache._read = lambda name: time.sleep(SLOW_SECONDS)
