"""Assembles the body of a complete response from a stream of completion events.

Batch items are run as streams, so that the tokens received so far are kept when an item
is aborted in favour of online requests.
"""

import json

from sequoiaglade_decisions.jobs import Usage

_DONE = b"[DONE]"
_MAX_EVENT_BYTES = 4_194_304
_UNSTREAMABLE_KEYS = (
    "tools",
    "functions",
    "logprobs",
    "top_logprobs",
    "best_of",
    "audio",
)


def is_streamable(body):
    """Whether a complete response can be assembled from the stream of a request."""
    has_one_choice = body.get("n") in (None, 1)
    return has_one_choice and not any(body.get(key) for key in _UNSTREAMABLE_KEYS)


class PartialResponse:
    """Text of a completion received so far, from one or more streams.

    >>> partial = PartialResponse("/v1/completions")
    >>> partial.feed(b'data: {"id": "r", "choices": [{"text": "w0 "}]}\\n\\n')
    >>> partial.token_count, partial.is_complete
    (1, False)
    >>> partial.feed(b'data: [DONE]\\n\\n')
    >>> partial.is_complete
    True
    """

    def __init__(self, path):
        self._is_chat = path == "/v1/chat/completions"
        self._texts = []
        self._buffer = b""
        self._first_value = {}
        self._finish_reason = None
        self._usage = None
        self._has_end_marker = False
        self.error = None

    @property
    def token_count(self):
        """Number of events with text so far, at which a resumed stream starts."""
        return len(self._texts)

    @property
    def is_complete(self):
        """Whether the end marker was received without an error."""
        return self._has_end_marker and self.error is None

    def restart(self, keep_text):
        """Prepare for another stream, which continues the text if `keep_text`."""
        self._buffer = b""
        self._has_end_marker = False
        self._finish_reason = None
        self.error = None
        if not keep_text:
            self._texts.clear()

    def feed(self, chunk):
        """Parse the next bytes of the stream."""
        self._buffer += chunk
        while b"\n\n" in self._buffer:
            event, _, self._buffer = self._buffer.partition(b"\n\n")
            self._parse_event(event)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            self.error = "an event of the stream is too long"
            self._buffer = b""

    def body(self, request_id):
        """Return the body of the complete response."""
        text = "".join(self._texts)
        choice = {"index": 0, "finish_reason": self._finish_reason or "stop"}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": self._first_value.get("id", request_id),
            "object": "chat.completion" if self._is_chat else "text_completion",
            "created": self._first_value.get("created", 0),
            "model": self._first_value.get("model", ""),
            "choices": [choice],
            "usage": self._usage_body(),
        }

    def _parse_event(self, event):
        for line in event.splitlines():
            if line.startswith(b"data:"):
                self._parse_data(line[5:].strip())

    def _parse_data(self, data):
        if data == _DONE:
            self._has_end_marker = True
            return
        try:
            value = json.loads(data)
            self._apply_value(value)
        except (
            ValueError,
            TypeError,
            KeyError,
            AttributeError,
            RecursionError,
        ) as error:
            self.error = f"an event of the stream is malformed: {error!r}"

    def _apply_value(self, value):
        if value.get("error"):
            self.error = f"the endpoint ended the stream: {value['error']}"
            return
        self._first_value = self._first_value or value
        self._usage = value.get("usage") or self._usage
        for choice in value.get("choices") or ():
            text = choice.get("delta", {}).get("content") if self._is_chat else None
            text = choice.get("text") if not self._is_chat else text
            if text:
                self._texts.append(text)
            self._finish_reason = choice.get("finish_reason") or self._finish_reason

    def _usage_body(self):
        if self._usage is not None:
            return self._usage
        count = len(self._texts)
        return {
            "prompt_tokens": 0,
            "completion_tokens": count,
            "total_tokens": count,
        }


def usage_of(body):
    """Return the `Usage` reported in the body of a complete response.

    >>> usage_of({"usage": {"prompt_tokens": 2, "completion_tokens": 5}})
    Usage(prompt_tokens=2, completion_tokens=5)
    """
    usage = body.get("usage")
    usage = usage if isinstance(usage, dict) else {}
    counts = (usage.get("prompt_tokens"), usage.get("completion_tokens"))
    return Usage(*(c if isinstance(c, int) and c >= 0 else 0 for c in counts))
