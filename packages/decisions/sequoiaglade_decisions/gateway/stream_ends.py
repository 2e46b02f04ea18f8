"""Whether a stream whose connection ended regularly is complete."""


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
