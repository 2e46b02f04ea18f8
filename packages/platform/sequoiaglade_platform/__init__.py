"""Adapter to the platform: versioned objects, watches, and the list of instances."""

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


def __getattr__(name):
    if name != "PlatformClient":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    # Imports OpenTelemetry's API, which a gateway does not need: it has its own client.
    from .client import PlatformClient

    return PlatformClient
