"""Lines of responses by the grammar of RFC 9110 and RFC 9112, for all their readers."""

import re

# A line feed alone may also be part of a garbled field, behind which the head goes on.
LINE_END = b"\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] +[0-9]{3}(?: [^\r\n]*)?\r\n")
# A field, or the rest of one that is folded.
FIELD_LINE = re.compile(rb"(?:[!-9;-~]+:|[ \t])[^\r\n]*\r\n")
