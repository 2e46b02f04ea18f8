"""Revisions of the configuration, the root object, and content digests."""

import hashlib
import json
import zlib
from typing import NamedTuple

CONTENT_LIMIT_BYTES = 1_000_000


class Revision(NamedTuple):
    """An accepted state of the document.

    `digest_by_section` identifies each section's content; `parent` is the digest of
    the previous revision, so that the history is one chain from the root object.
    `change_id` is the operator's id of the change, by which a resent change is
    recognised. `patch` holds the changed items (see `make_patch`), or None if it would
    be too large.
    """

    number: int
    digest_by_section: dict[str, str]
    parent: str | None
    author: str
    accepted_at: float
    change_id: str = ""
    patch: dict | None = None

    def encode(self):
        """Return the canonical JSON bytes of the revision."""
        return json.dumps(self._asdict(), sort_keys=True).encode()

    @classmethod
    def decode(cls, data):
        """Return the revision encoded as `data`."""
        return cls(**json.loads(data))


class Root(NamedTuple):
    """The object whose conditional update accepts a change.

    It is kept small because each node reads it about once a second.
    """

    number: int
    revision: str

    def encode(self):
        """Return the JSON bytes of the root."""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data):
        """Return the root encoded as `data`."""
        return cls(**json.loads(data))


EMPTY_REVISION = Revision(0, {}, None, "", 0.0)
EMPTY_ROOT = Root(0, "")


def encode_section(items):
    """Return the canonical JSON bytes of a section, a mapping of plain values."""
    return json.dumps(items, sort_keys=True, separators=(",", ":")).encode()


def section_digest(data):
    """Return the hexadecimal SHA-256 digest that identifies the bytes `data`."""
    return hashlib.sha256(data).hexdigest()


def pack_content(data):
    """Return `data` compressed for storage on the platform.

    >>> unpack_content(pack_content(b"text"), section_digest(b"text"))
    b'text'
    """
    return zlib.compress(data)


def unpack_content(packed, digest):
    """Return the decompressed bytes, or None if they don't match `digest`."""
    try:
        data = zlib.decompress(packed)
    except zlib.error:
        return None
    return data if section_digest(data) == digest else None
