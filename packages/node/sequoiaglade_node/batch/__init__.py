"""Batch processing: input files, jobs, and the worker that runs their items."""

from .cache import SegmentCache
from .files import FileStore
from .index import OpenJobIndex
from .jobs import JobStore
from .journal import JournaledJobStore
from .results import ResultReader
from .service import BatchService
from .work import WorkStore
from .worker import BatchWorker

__all__ = [
    "BatchService",
    "BatchWorker",
    "FileStore",
    "JobStore",
    "JournaledJobStore",
    "OpenJobIndex",
    "ResultReader",
    "SegmentCache",
    "WorkStore",
]
