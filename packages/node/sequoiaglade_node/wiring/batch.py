"""Starts the service of batch jobs and the worker that processes them."""

from ..batch import (
    BatchService,
    BatchWorker,
    FileStore,
    JournaledJobStore,
    OpenJobIndex,
    ResultReader,
    SegmentCache,
    WorkStore,
)


def start_batch(stack, parts):
    """Start the batch service and its worker."""
    folder = parts.settings.data_folder
    cache = stack.enter_context(SegmentCache(folder)) if folder else None
    if cache is not None:
        parts.telemetry.gauge(
            "sequoiaglade.batch.cache.faults",
            "{fault}",
            "faults of the disk under the cache of segments since the start",
            lambda: cache.faults,
        )
    files = FileStore(parts.platform, cache)
    index = OpenJobIndex(parts.platform)
    jobs = JournaledJobStore(parts.platform, index, parts.journal)
    work = WorkStore(parts.platform)
    results = ResultReader(files, work)
    parts.batch = BatchService(parts.holder, files, jobs, results)
    worker = BatchWorker(parts, files, jobs, index, work)
    parts.drain_steps.append(worker.drain)
    parts.gossip_listeners.append(lambda live: worker.set_node_count(len(live) + 1))
    stack.enter_context(worker)
