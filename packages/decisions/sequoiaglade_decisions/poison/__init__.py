"""Poison requests, which crash their endpoints: crash records and quarantine."""

from .fingerprints import fingerprint, prefix_digest
from .ledger import QUARANTINE_SECONDS, Crash, CrashTracker, Verdict

__all__ = [
    "QUARANTINE_SECONDS",
    "Crash",
    "CrashTracker",
    "Verdict",
    "fingerprint",
    "prefix_digest",
]
