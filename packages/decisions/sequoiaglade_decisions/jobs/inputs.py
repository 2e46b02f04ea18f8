"""Checks of a whole input file, line by line in bounded memory."""

import hashlib

from .items import FILE_MAX_ITEMS, LINE_MAX_BYTES, LineFault, parse_line

MAX_REPORTED_FAULTS = 20


class InputValidator:
    """Takes the lines of an input file and keeps its digest and its faults.

    Only the first `MAX_REPORTED_FAULTS` faults are kept, all are counted. Each
    ``custom_id`` may stand on one line only, since results are told apart by it.

    >>> check = InputValidator()
    >>> check.add(b'{"custom_id": 1}')
    >>> check.fault_count, check.faults
    (1, [LineFault(line=1, reason='custom_id is not a string')])
    """

    def __init__(self):
        self.faults = []
        self.fault_count = 0
        self.item_count = 0
        self.byte_count = 0
        self._line = 0
        self._hash = hashlib.sha256()
        self._known_ids = set()

    @property
    def digest(self):
        """Hexadecimal digest over the items, whatever their blank lines."""
        return self._hash.hexdigest()

    def add(self, line):
        """Take one line as bytes; blank lines are skipped."""
        self._line += 1
        self.byte_count += len(line)
        if len(line) > LINE_MAX_BYTES:
            self._add_fault(f"the line has over {LINE_MAX_BYTES} bytes")
            return
        stripped = line.strip()
        if not stripped:
            return
        self.item_count += 1
        self._hash.update(stripped + b"\n")
        reason = self._fault_of(stripped)
        if reason is not None:
            self._add_fault(reason)

    def describe(self):
        """Return the faults as one text."""
        shown = "; ".join(f"line {n}: {reason}" for n, reason in self.faults)
        return f"{self.fault_count} bad lines: {shown}"

    def _fault_of(self, stripped):
        if self.item_count > FILE_MAX_ITEMS:
            return f"the file has over {FILE_MAX_ITEMS} items"
        try:
            text = stripped.decode()
        except UnicodeDecodeError as error:
            return f"not valid UTF-8: {error.reason}"
        checked = parse_line(text, self._line)
        if isinstance(checked, LineFault):
            return checked.reason
        mark = hashlib.blake2b(checked.custom_id.encode("utf-8", "replace")).digest()
        mark = int.from_bytes(mark[:8], "big")
        if mark in self._known_ids:
            return "custom_id stands on an earlier line too"
        self._known_ids.add(mark)
        return None

    def _add_fault(self, reason):
        self.fault_count += 1
        if len(self.faults) < MAX_REPORTED_FAULTS:
            self.faults.append(LineFault(self._line, reason))
