"""Decisions on the memory that clients make a process hold."""

from .budget import CLOSED_BYTES_MIN, MemoryBudget, Reservation, budget_bytes
from .costs import decode_bytes, head_bytes

__all__ = [
    "CLOSED_BYTES_MIN",
    "MemoryBudget",
    "Reservation",
    "budget_bytes",
    "decode_bytes",
    "head_bytes",
]
