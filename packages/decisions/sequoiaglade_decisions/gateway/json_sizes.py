"""JSON as it is sent to the store and to callers, and its size in bytes.

The bounds of documents and responses are in bytes. A character has one to four of them,
or up to six if it is escaped.
"""

import json


def encode_json(value):
    r"""Return a value as the bytes of JSON in UTF-8.

    Text with a surrogate that stands alone has no UTF-8; then all characters beyond
    ASCII are escaped.

    >>> encode_json({"a": ["\u0e01", 1]}) == '{"a":["\u0e01",1]}'.encode()
    True
    >>> encode_json("\ud800")
    b'"\\ud800"'
    """
    try:
        return json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()
    except UnicodeEncodeError:
        return json.dumps(value, separators=(",", ":")).encode()


def json_size(value):
    r"""Return the number of bytes of `encode_json`.

    >>> json_size("abc"), json_size("\u0e01"), json_size("\n")
    (5, 5, 4)
    """
    return len(encode_json(value))
