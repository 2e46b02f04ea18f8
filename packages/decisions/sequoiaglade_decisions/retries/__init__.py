"""Decisions on whether and when a failed attempt is retried."""

from .budget import RetryBudget
from .policy import GiveUp, RetryPolicy, TryAgain

__all__ = ["GiveUp", "RetryBudget", "RetryPolicy", "TryAgain"]
