"""Time limit for dispatching a call after the creation of its record."""

from ..outcomes import check_invariant

DISPATCH_TERM_SECONDS = 5.0


class Claim:
    """The right to run a call, held by the process that created its record.

    Its term of `term_seconds` starts at `asked_at`, the holder's monotonic time before
    it asked the platform to create the record, so it ends before other nodes consider
    it over. A process that was paused finds its term over and must not send the call.

    >>> claim = Claim(asked_at=100.0)
    >>> claim.may_dispatch(101.0), claim.may_dispatch(106.0)
    (True, False)
    """

    def __init__(self, asked_at, term_seconds=DISPATCH_TERM_SECONDS):
        self._dispatch_before = asked_at + term_seconds
        self._last_now = asked_at

    def may_dispatch(self, now):
        """Return whether the call may be sent to an endpoint now."""
        check_invariant(now >= self._last_now, "monotonic time does not go back")
        self._last_now = now
        return now < self._dispatch_before
