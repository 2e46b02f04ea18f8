"""Adapter to the endpoints, which are model engines or plain HTTP services."""

from .client import EndpointClient
from .connections import Attempt, WholeHeadResponse
from .interface import Call, LoadReport, SkippedHeaders
from .response import EndpointResponse

__all__ = [
    "Attempt",
    "Call",
    "EndpointClient",
    "EndpointResponse",
    "LoadReport",
    "SkippedHeaders",
    "WholeHeadResponse",
]
