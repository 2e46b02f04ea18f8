"""Actors: each owns the state of one concern and executes its effects."""

from .configuration import ConfigurationActor
from .dispatch import DispatchActor, Grant
from .limits import LimitsActor
from .membership import MembershipActor

__all__ = [
    "ConfigurationActor",
    "DispatchActor",
    "Grant",
    "LimitsActor",
    "MembershipActor",
]
