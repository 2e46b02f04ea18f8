"""Generation, detection and digests of key texts."""

import hashlib
import re

KEY_PREFIX = "sg-"
KEY_RANDOM_BYTES = 32
_KEY_PATTERN = re.compile(rf"{KEY_PREFIX}[0-9a-f]{{{2 * KEY_RANDOM_BYTES}}}")


def make_key(token_hex):
    """Return a new key; `token_hex` is a random source like `secrets.token_hex`.

    >>> make_key(lambda count: "ab" * count)[:7]
    'sg-abab'
    """
    return KEY_PREFIX + token_hex(KEY_RANDOM_BYTES)


def contains_key(text):
    """Return whether a text, such as a header value, contains a key.

    >>> contains_key("key=sg-" + "ab" * 32), contains_key("sg-1")
    (True, False)
    """
    return _KEY_PATTERN.search(text) is not None


def digest_key(text):
    """Return the hexadecimal SHA-256 digest by which a key or token is stored."""
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()
