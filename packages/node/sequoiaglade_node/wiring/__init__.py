"""Starts the parts of a node, one module per concern.

Each ``start_...`` function takes an exit stack, which stops what the function starts,
and the `Parts` started so far, to which the function adds its own.
"""

from .batch import start_batch
from .configuration import start_configuration, start_reading
from .explanations import start_explanations
from .gauges import start_gauges
from .limits import start_limits
from .listeners import start_listeners
from .membership import start_directory, start_membership
from .online import start_online
from .parts import Parts
from .routing import start_endpoint_watch, start_routing

__all__ = [
    "Parts",
    "start_batch",
    "start_configuration",
    "start_directory",
    "start_endpoint_watch",
    "start_explanations",
    "start_gauges",
    "start_limits",
    "start_listeners",
    "start_membership",
    "start_online",
    "start_reading",
    "start_routing",
]
