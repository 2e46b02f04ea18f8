"""Lines of responses by the grammar of RFC 9110 and RFC 9112, for all their readers."""

import re

# A line feed alone may also be part of a garbled field, behind which the head goes on.
LINE_END = b"\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] +[0-9]{3}(?: [^\r\n]*)?\r\n")
# One that begins with a blank, and so may hide the framing, is none (RFC 9112, section
# 5.2).
FIELD_LINE = re.compile(rb"[!-9;-~]+:[^\r\n]*\r\n")
