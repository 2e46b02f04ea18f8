"""Whether a response whose connection ended regularly is complete."""


def missing_part(has_partial_event, new_event_count, has_length):
    """Return what shows that a stream is incomplete, None if it is complete.

    Endpoints crash or lose connections in the middle of a stream. A stream without a
    length or chunks ends with its connection, so that one of a crashed endpoint that
    sent no new event looks like one that has none left to send. Only a stream whose
    framing shows its end may bring no new event.

    >>> missing_part(True, 3, has_length=False)
    'the stream ended within an event'
    >>> missing_part(False, 0, has_length=False)
    'the stream ended without an event and without a length'
    >>> missing_part(False, 3, has_length=False), missing_part(False, 0, True)
    (None, None)
    """
    if has_partial_event:
        return "the stream ended within an event"
    if not new_event_count and not has_length:
        return "the stream ended without an event and without a length"
    return None


def is_repetition(last_seen, resumed_after):
    """Return whether a resumed stream has old events only, and not the last one.

    An endpoint that ignores where the stream is to go on begins it anew. If its
    response ends before the last event that the caller has, it is not the whole stream.
    `last_seen` is the last event of the response, 0 without one.

    >>> is_repetition(2, 4), is_repetition(4, 4), is_repetition(0, 4)
    (True, False, False)
    """
    return 0 < last_seen < resumed_after


def is_lost(endpoint, listed, accepts_connections, is_repeatable):
    """Return whether an endpoint's process ended when it closed a connection.

    The kernel closes the connections of a killed process regularly. `endpoint` is the
    `Endpoint` that responded, `listed` the one that is listed under its id now, None if
    there is none. An endpoint that leaves may accept no connections either while it
    ends its last responses: these are believed, unless the request may be repeated.

    >>> from sequoiaglade_decisions.gateway import Endpoint
    >>> endpoint = Endpoint("e-0", "writer", "10.0.0.1:80", "d", 8, born=1)
    >>> [is_lost(endpoint, endpoint, accepts, False) for accepts in (True, False)]
    [False, True]
    >>> leaving = endpoint._replace(is_draining=True)
    >>> [is_lost(endpoint, leaving, False, repeatable) for repeatable in (False, True)]
    [False, True]

    A new start under the same id is another process.

    >>> is_lost(endpoint, endpoint._replace(born=2), True, False)
    True
    """
    if listed is not None and 0 not in (endpoint.born, listed.born):
        if endpoint.born != listed.born:
            return True
    if accepts_connections:
        return False
    if is_repeatable:
        return True
    return listed is not None and not (listed.is_draining or listed.is_leaving)


def is_misplaced(event, resumed_after, new_event_count):
    """Return whether an `Event` shows that a stream does not go on where it broke.

    An endpoint that can't resume a stream may answer with an error in place of the next
    event, which has no id. `resumed_after` is the last event before, 0 for a stream
    that begins.

    >>> from sequoiaglade_decisions.gateway import Event
    >>> error = Event(None, (), b"event: error\\ndata: overloaded\\n\\n")
    >>> is_misplaced(error, 2, 0), is_misplaced(error, 0, 0), is_misplaced(error, 2, 1)
    (True, False, False)
    >>> is_misplaced(Event(None, (), b": wait\\n\\n"), 2, 0)
    False
    """
    if not resumed_after or new_event_count:
        return False
    return event.event_id is None and event.has_content
