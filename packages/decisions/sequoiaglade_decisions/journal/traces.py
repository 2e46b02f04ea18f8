"""Records the events of a state machine with their outcomes, and replays them.

A trace is a file of JSON lines: a header with the machine's class and constructor
arguments, then one line per event with the method, its arguments and its outcome.
"""

import importlib
import json
from typing import Any, NamedTuple

from .codec import decode_value, encode_value

_PACKAGE = __name__.split(".")[0]


class Divergence(NamedTuple):
    """The first event whose outcome differs from the recorded one.

    `stated` is the recorded outcome and `given` the one of the replay, both encoded.
    """

    line: int
    event: str
    stated: Any
    given: Any


class TraceFault(NamedTuple):
    """A line of a trace that can't be replayed; lines are numbered from 1."""

    line: int
    reason: str


class Recorder:
    """Proxy of a state machine that passes a line of JSON per event to `sink`.

    `factory` names the machine's class as ``module:Class`` within this package.

    >>> lines = []
    >>> recorder = Recorder("limits.bucket:TokenBucket", lines.append, 1.0, 1.0, 0.0)
    >>> recorder.take(1.0, now=0.0)
    True
    >>> replay(lines)
    1
    """

    def __init__(self, factory, sink, *arguments):
        self._sink = sink
        self._machine = _load(factory)(*arguments)
        head = {"machine": factory, "arguments": encode_value(list(arguments))}
        sink(json.dumps(head))

    def __getattr__(self, name):
        method = getattr(self._machine, name)
        if not callable(method):
            return method

        def recorded(*arguments, **options):
            outcome = method(*arguments, **options)
            line = {
                "event": name,
                "arguments": encode_value(list(arguments)),
                "options": encode_value(options),
                "outcome": encode_value(outcome),
            }
            self._sink(json.dumps(line, separators=(",", ":")))
            return outcome

        return recorded


def replay(lines):
    """Return the number of events replayed, a `Divergence`, or a `TraceFault`."""
    machine = None
    count = 0
    for number, line in enumerate(lines, 1):
        try:
            entry = json.loads(line)
            if machine is None:
                arguments = decode_value(entry["arguments"])
                machine = _load(entry["machine"])(*arguments)
                continue
            given = _call(machine, entry)
        except (ValueError, KeyError, TypeError, AttributeError, ImportError) as error:
            return TraceFault(number, f"{type(error).__name__}: {error}")
        if given != entry["outcome"]:
            return Divergence(number, entry["event"], entry["outcome"], given)
        count += 1
    if machine is None:
        return TraceFault(1, "the trace has no header")
    return count


def _call(machine, entry):
    method = getattr(machine, entry["event"])
    arguments = decode_value(entry["arguments"])
    outcome = method(*arguments, **decode_value(entry["options"]))
    return encode_value(outcome)


def _load(factory):
    module, _, name = factory.partition(":")
    return getattr(importlib.import_module(f"{_PACKAGE}.{module}"), name)
