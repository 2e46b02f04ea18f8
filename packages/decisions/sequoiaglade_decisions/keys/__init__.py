"""API keys: generation, digests, and authentication of requests."""

from .authenticate import Caller, authenticate, bearer_token
from .material import contains_key, digest_key, make_key

__all__ = [
    "Caller",
    "authenticate",
    "bearer_token",
    "contains_key",
    "digest_key",
    "make_key",
]
