"""Adapter to the endpoints: model engines and plain services."""

from .client import EndpointClient
from .connections import Attempt
from .interface import Call, LoadReport, SkippedHeaders
from .response import EndpointResponse

__all__ = [
    "Attempt",
    "Call",
    "EndpointClient",
    "EndpointResponse",
    "LoadReport",
    "SkippedHeaders",
]
