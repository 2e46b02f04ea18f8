"""Estimates of the memory that parsing takes, from the bytes to parse."""

# Measured on heads of 60 kB: an empty field of three characters takes 120 bytes in the
# parser, and as many again in each of the copies that handling makes.
FIELD_BYTES = 160
# A member of a JSON object takes its key, an entry of a dict that grows by doubling and
# its value; an empty object or list takes 64 to 72 bytes.
JSON_VALUE_BYTES = 120
# The text that is decoded from the bytes, beside them.
JSON_TEXT_FACTOR = 2


def head_bytes(data):
    """Return the bytes that the part `data` of a request head takes once parsed.

    >>> head_bytes(b"Host: a" + bytes([13, 10]))
    169
    """
    return len(data) + FIELD_BYTES * data.count(b"\n")


def decode_bytes(text):
    """Return the bytes that decoding the JSON `text` takes at most, roughly.

    It counts what begins a value, also inside texts, so that no text takes more than
    its estimate because of many short values.

    >>> decode_bytes('{"a": 1, "b": []}')
    394
    """
    values = text.count(",") + text.count("[") + text.count("{")
    return JSON_TEXT_FACTOR * len(text) + JSON_VALUE_BYTES * values
