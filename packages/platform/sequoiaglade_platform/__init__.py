"""Adapter to the platform: versioned objects, watches, and the list of instances."""

from .client import PlatformClient
from .documents import Changes, Document, DocumentChange, DocumentStore, Listing
from .interface import Change, Instance, Platform, StoredObject

__all__ = [
    "Change",
    "Changes",
    "Document",
    "DocumentChange",
    "DocumentStore",
    "Instance",
    "Listing",
    "Platform",
    "PlatformClient",
    "StoredObject",
]
