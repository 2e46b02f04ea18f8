"""HTTP interface to callers and operators: requests, responses, listeners."""

from .hangups import HangupWatcher
from .listeners import Listener
from .memory import ClientMemory
from .refusals import refusal_body, refusal_response
from .requests import Request, read_request
from .responses import Response, json_response, respond, send

__all__ = [
    "ClientMemory",
    "HangupWatcher",
    "Listener",
    "Request",
    "Response",
    "json_response",
    "read_request",
    "refusal_body",
    "refusal_response",
    "respond",
    "send",
]
