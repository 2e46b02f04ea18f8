"""Requests that peers send to endpoints for a node that reaches none itself."""

from .forwarder import FORWARDS_MAX, Forwarder
from .paths import EndpointPaths
from .sockets import ForwardError

__all__ = ["FORWARDS_MAX", "EndpointPaths", "ForwardError", "Forwarder"]
