"""Batch jobs: acceptance, storage, running beside online requests, and reading."""

from .adoption import JobAdopter
from .board import JobRegistry
from .runner import ItemRunner
from .service import BatchService
from .storage import JobStorage
from .writer import ResultWriter

__all__ = [
    "BatchService",
    "ItemRunner",
    "JobAdopter",
    "JobRegistry",
    "JobStorage",
    "ResultWriter",
]
