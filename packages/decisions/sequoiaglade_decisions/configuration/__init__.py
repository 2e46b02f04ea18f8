"""The operators' document: its sections, checks, digests, snapshots and revisions."""

from .document import (
    SECTION_NAMES,
    Document,
    Endpoint,
    Key,
    Model,
    Rate,
    Route,
    Service,
    Team,
    Tier,
    Workspace,
)
from .revisions import Revision, encode_section, section_digest
from .snapshot import EMPTY_SNAPSHOT, Snapshot, make_snapshot

__all__ = [
    "EMPTY_SNAPSHOT",
    "SECTION_NAMES",
    "Document",
    "Endpoint",
    "Key",
    "Model",
    "Rate",
    "Revision",
    "Route",
    "Service",
    "Snapshot",
    "Team",
    "Tier",
    "Workspace",
    "encode_section",
    "make_snapshot",
    "section_digest",
]
