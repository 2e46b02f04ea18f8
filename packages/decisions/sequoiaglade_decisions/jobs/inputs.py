"""Validates an input file line by line in bounded memory."""

import hashlib

from .items import FILE_MAX_ITEMS, LINE_MAX_BYTES, LineFault, parse_line

MAX_REPORTED_FAULTS = 20


class InputValidator:
    """Validates the lines of an input file and computes their digest.

    All faults are counted, but only the first `MAX_REPORTED_FAULTS` are kept. Each
    ``custom_id`` must be unique in the file, since it identifies the item's result.

    >>> validator = InputValidator()
    >>> validator.add(b'{"custom_id": 1}')
    >>> validator.fault_count, validator.faults
    (1, [LineFault(line=1, reason='custom_id is not a string')])
    """

    def __init__(self):
        self.faults = []
        self.fault_count = 0
        self.item_count = 0
        self.byte_count = 0
        self._line = 0
        self._hash = hashlib.sha256()
        self._known_id_hashes = set()

    @property
    def digest(self):
        """Hexadecimal SHA-256 digest of the items; blank lines don't affect it."""
        return self._hash.hexdigest()

    def add(self, line):
        """Validate the next line, given as bytes; blank lines are skipped."""
        self._line += 1
        self.byte_count += len(line)
        if len(line) > LINE_MAX_BYTES:
            self._add_fault(f"line exceeds {LINE_MAX_BYTES} bytes")
            return
        stripped = line.strip()
        if not stripped:
            return
        self.item_count += 1
        self._hash.update(stripped + b"\n")
        reason = self._find_fault(stripped)
        if reason is not None:
            self._add_fault(reason)

    def describe(self):
        """Return the number of faults and the first of them as one line of text."""
        shown = "; ".join(f"line {n}: {reason}" for n, reason in self.faults)
        return f"{self.fault_count} bad lines: {shown}"

    def _find_fault(self, stripped):
        if self.item_count > FILE_MAX_ITEMS:
            return f"file exceeds {FILE_MAX_ITEMS} items"
        try:
            text = stripped.decode()
        except UnicodeDecodeError as error:
            return f"not valid UTF-8: {error.reason}"
        parsed = parse_line(text, self._line)
        if isinstance(parsed, LineFault):
            return parsed.reason
        hashed = hashlib.blake2b(parsed.custom_id.encode("utf-8", "replace")).digest()
        hashed = int.from_bytes(hashed[:8], "big")
        if hashed in self._known_id_hashes:
            return "custom_id is already used on an earlier line"
        self._known_id_hashes.add(hashed)
        return None

    def _add_fault(self, reason):
        self.fault_count += 1
        if len(self.faults) < MAX_REPORTED_FAULTS:
            self.faults.append(LineFault(self._line, reason))
