"""Authenticates a request by its Authorization header."""

from typing import NamedTuple

from ..outcomes import Refusal, RefusalCode
from .material import digest_key

_SCHEME = "bearer"


class Caller(NamedTuple):
    """An authenticated caller: its workspace and the name of its key."""

    workspace: str
    key_name: str


def bearer_token(header):
    """Return the token of an Authorization header, or None unless it has exactly one.

    >>> bearer_token("Bearer sg-1")
    'sg-1'
    >>> bearer_token("Bearer sg-1, Bearer sg-2") is None
    True
    """
    if header is None:
        return None
    parts = header.split(" ")
    if len(parts) != 2 or parts[0].lower() != _SCHEME:
        return None
    token = parts[1]
    return token if token and "," not in token else None


def authenticate(header, snapshot):
    """Return the `Caller` that the key in the header belongs to, or a `Refusal`."""
    token = bearer_token(header)
    if token is None:
        reason = "one Authorization header of the form 'Bearer KEY' is required"
        return Refusal(RefusalCode.INVALID_KEY, reason)
    name = snapshot.key_name_by_digest.get(digest_key(token))
    if name is None:
        return Refusal(RefusalCode.INVALID_KEY, "the key is unknown or withdrawn")
    return Caller(snapshot.document.keys[name].workspace, name)
