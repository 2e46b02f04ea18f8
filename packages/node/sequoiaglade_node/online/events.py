"""Server-sent events of model engines: their boundaries and their contents."""

import json
import re

DONE_EVENT = b"data: [DONE]"
_ID_FIELD = rb'"id"\s*:\s*'
_BOUNDARY = re.compile(rb"\r\n\r\n|\n\n")


def split_events(data):
    r"""Return a pair of the complete events and the incomplete rest.

    >>> split_events(b"data: 1\n\ndata: 2")
    (b'data: 1\n\n', b'data: 2')
    """
    end = max(data.rfind(b"\n\n") + 2, data.rfind(b"\r\n\r\n") + 4)
    if end < 4 and not data.startswith(b"\n\n"):
        return b"", data
    return data[:end], data[end:]


def count_events(events):
    r"""Return how many events carry data.

    >>> count_events(b"data: 1\n\n: ping\n\ndata: 2\n\n")
    2
    """
    return events.count(b"\ndata:") + events.startswith(b"data:")


def contains_request_id(answer_id, request_id):
    """Return whether a response id contains the request id.

    Engines add a prefix or suffix, separated by a character that is neither a letter
    nor a digit.

    >>> ids = ("cmpl-call-1", "call-10", None)
    >>> [contains_request_id(text, "call-1") for text in ids]
    [True, False, False]
    """
    if not isinstance(answer_id, str) or request_id not in answer_id:
        return False
    pattern = rf"(?<![A-Za-z0-9]){re.escape(request_id)}(?![A-Za-z0-9])"
    return re.search(pattern, answer_id) is not None


class EventIds:
    r"""Distinguishes events of one response from those of other requests.

    `events` are the first ones of the response. An engine that puts the request id
    into its events uses the same id in all events of a response. If the first events
    lack the request id and later ones contain it, the first ones belong to another
    request.

    >>> ids = EventIds(b'data: {"id": "cmpl-a"}\n\n', "a")
    >>> ids.are_own(b'data: {"id": "cmpl-a"}\n\n', 1)
    True
    >>> ids.are_own(b'data: {"id": "cmpl-b"}\n\n', 1)
    False
    """

    def __init__(self, events, request_id):
        parsed = _parse_all(events)
        self.first_id = parsed[0].get("id") if parsed else None
        self.is_echoed = contains_request_id(self.first_id, request_id)
        self._request_id = request_id
        self._id_bytes = request_id.encode()
        if self.is_echoed:
            quoted = re.escape(json.dumps(self.first_id).encode())
            found = re.search(_ID_FIELD + quoted, events)
            self._id_bytes = found.group() if found else b""

    def are_own(self, events, count):
        """Return whether `count` complete events all belong to the response."""
        if self.is_echoed:
            if self._id_bytes and events.count(self._id_bytes) == count:
                return True
            found = [event["id"] for event in _parse_all(events) if "id" in event]
            return all(one == self.first_id for one in found)
        if self._id_bytes not in events:
            return True
        found = [event.get("id") for event in _parse_all(events)]
        return not any(contains_request_id(one, self._request_id) for one in found)


def has_json_object(events):
    r"""Return whether an event contains a JSON object.

    >>> has_json_object(b": ping\n\n"), has_json_object(b"data: {}\n\n")
    (False, True)
    """
    return bool(_parse_all(events))


class StreamProgress:
    """Progress of a relayed stream.

    Events are only counted while the stream runs; the first and the last ones are
    parsed when it breaks.
    """

    def __init__(self):
        self._first = None
        self._last = b""
        self._count = 0
        self._has_foreign_events = False

    def mark_foreign(self):
        """Record that relayed events may belong to another request."""
        self._has_foreign_events = True

    @property
    def is_empty(self):
        """Whether nothing has been relayed yet."""
        return self._first is None

    def add(self, events, count):
        """Add `count` complete events that are relayed now."""
        if self._first is None:
            self._first = events
        self._last = events
        self._count += count

    def token_count(self):
        """Return how many events with content were relayed."""
        first = _parse_all(self._first or b"")
        last = _parse_all(self._last)
        without_content = int(bool(first) and _is_empty(first[0]))
        if self._count > 1 and last and _is_empty(last[-1]):
            without_content += 1
        return self._count - without_content

    @property
    def is_finished(self):
        """Whether the event with the finish reason was relayed."""
        return any(_is_finish(event) for event in _parse_all(self._last))

    def can_resume(self):
        """Return whether a token count defines where to resume.

        It does not for streams with several choices.
        """
        if self._has_foreign_events:
            return False
        events = _parse_all(self._first or b"") + _parse_all(self._last)
        indexes = {
            choice.get("index", 0)
            for event in events
            for choice in event.get("choices", ())
        }
        return indexes <= {0}


def resumed_events(events, is_finished):
    """Yield the events of a resumed stream that the caller has not received."""
    for event in _split(events):
        parsed = _parse_all(event)
        if not parsed:
            yield event
            continue
        if _is_finish(parsed[0]):
            if not is_finished:
                yield event
        elif not _is_empty(parsed[0]) or not parsed[0].get("choices"):
            yield event


def _split(events):
    start = 0
    for match in _BOUNDARY.finditer(events):
        yield events[start : match.end()]
        start = match.end()


def _parse_all(events):
    parsed = []
    for line in events.splitlines():
        if line.startswith(b"data:"):
            try:
                value = json.loads(line[5:])
            except (RecursionError, ValueError):
                continue
            if isinstance(value, dict):
                parsed.append(value)
    return parsed


def _is_finish(event):
    choices = event.get("choices") or ()
    return any(choice.get("finish_reason") for choice in choices)


def _is_empty(event):
    for choice in event.get("choices") or ():
        delta = choice.get("delta") or {}
        if choice.get("text") or any(v for k, v in delta.items() if k != "role"):
            return False
    return True
