"""Adapter to the endpoints, which are model engines or plain HTTP services."""

from .client import EndpointClient
from .connections import Attempt, WholeHeadResponse
from .interface import Call, LoadReport, SkippedHeaders
from .response import EndpointResponse
from .whole_responses import WHOLE_RESPONSE_POOLS

__all__ = [
    "WHOLE_RESPONSE_POOLS",
    "Attempt",
    "Call",
    "EndpointClient",
    "EndpointResponse",
    "LoadReport",
    "SkippedHeaders",
    "WholeHeadResponse",
]
