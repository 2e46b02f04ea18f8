"""Membership: live nodes, the states they report, and addresses for callers."""

from .entries import Entry, choose_entries
from .members import FANOUT, MARKS_PER_MESSAGE, Members
from .removal import REMOVE_AFTER_SECONDS, is_remover
from .states import Mark, MarkKind, PeerState

__all__ = [
    "FANOUT",
    "MARKS_PER_MESSAGE",
    "REMOVE_AFTER_SECONDS",
    "Entry",
    "Mark",
    "MarkKind",
    "Members",
    "PeerState",
    "choose_entries",
    "is_remover",
]
