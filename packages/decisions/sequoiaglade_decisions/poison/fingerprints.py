"""Digests that identify requests without storing their bodies."""

import hashlib

DIGEST_BYTES = 12
PREFIX_BYTES = 512


def fingerprint(workspace, body):
    """Return the digest of a request's workspace and body, as hexadecimal text.

    >>> fingerprint("yard-a", b"{}") == fingerprint("yard-b", b"{}")
    False
    """
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES)
    digest.update(b"\0" + workspace.encode())
    return digest.hexdigest()


def prefix_digest(workspace, body):
    """Return the digest of a body's first `PREFIX_BYTES`, or None if it is no longer.

    An engine caches prompt prefixes, so a request runs faster on an endpoint that has
    run one with the same prefix. For a short prompt the gain is less than the cost of
    the uneven load.

    >>> prefix_digest("yard-a", b"short") is None
    True
    """
    if len(body) <= PREFIX_BYTES:
        return None
    return fingerprint(workspace, body[:PREFIX_BYTES])
