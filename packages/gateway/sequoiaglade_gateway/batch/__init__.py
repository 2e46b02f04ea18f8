"""Batch jobs: acceptance, storage, execution beside online requests, and reads."""

from .adoption import JobAdopter
from .ends import JobEnds, PeerEnds
from .registry import JobRegistry
from .runner import ItemRunner
from .service import BatchService
from .storage import JobStorage
from .writer import ResultWriter

__all__ = [
    "BatchService",
    "ItemRunner",
    "JobAdopter",
    "JobEnds",
    "JobRegistry",
    "JobStorage",
    "PeerEnds",
    "ResultWriter",
]
