"""Key texts and their digests."""

import hashlib
import re

KEY_PREFIX = "sg-"
KEY_RANDOM_BYTES = 32
_KEY = re.compile(rf"{KEY_PREFIX}[0-9a-f]{{{2 * KEY_RANDOM_BYTES}}}")


def make_key(token_hex):
    """Return a new key; `token_hex` is a source such as `secrets.token_hex`.

    >>> make_key(lambda count: "ab" * count)[:7]
    'sg-abab'
    """
    return KEY_PREFIX + token_hex(KEY_RANDOM_BYTES)


def contains_key(text):
    """Return whether a text, such as a header's value, has a key in it.

    >>> contains_key("key=sg-" + "ab" * 32), contains_key("sg-1")
    (True, False)
    """
    return _KEY.search(text) is not None


def digest_key(text):
    """Return the SHA-256 digest, in hex, under which a key or token is kept."""
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()
