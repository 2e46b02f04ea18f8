"""Lines of responses by the grammar of RFC 9110 and RFC 9112, for all their readers."""

import re

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# Visible characters, blanks, tabs and bytes above 127.
_TEXT = rb"[\t -~\x80-\xff]*"
_QUOTED = rb'"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"'
_EXTENSION = rb"[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|%b))?" % (_TOKEN, _TOKEN, _QUOTED)
# A line feed alone may also be part of a garbled field, behind which the head goes on.
LINE_END = b"\r\n"
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] +[0-9]{3}(?: " + _TEXT + rb")?\r\n")
# A field of a head or a trailer. A line that begins with a blank, and so may hide the
# framing, is none (RFC 9112, section 5.2).
FIELD_LINE = re.compile(_TOKEN + rb":" + _TEXT + rb"\r\n")
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)(?:" + _EXTENSION + rb")*\r\n")
