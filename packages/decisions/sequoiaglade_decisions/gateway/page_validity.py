"""Whether a holder's copy of a job's result pages is that of the store."""

# Writes of a former or second holder of a job may take effect for this long: the store
# may apply an unanswered write up to six seconds later.
LATE_WRITE_SECONDS = 8.0


class PageValidity:
    """Decides whether reads of a held job may be answered from memory.

    Two conditions make the copy outdated without this node's knowledge: another node
    holds or held the job, or an unanswered write takes effect late. Each ends only once
    no such write can take effect any more and the store was asked after that.

    Times are of a clock that also advances while the machine is suspended.
    `accepted_at` is when this node stored the job as a new one, None for a job that it
    took over.

    >>> validity = PageValidity(accepted_at=20.0)
    >>> validity.is_current(contact_since=15.0)
    True
    >>> validity.is_current(contact_since=None), validity.is_current(contact_since=30.0)
    (False, False)
    >>> validity.note_confirmed(37.0)
    >>> validity.is_current(contact_since=30.0)
    False
    >>> validity.note_confirmed(38.0)
    >>> validity.is_current(contact_since=30.0)
    True
    """

    def __init__(self, accepted_at=None):
        self._accepted_at = accepted_at
        self._confirmed_at = 0.0 if accepted_at is None else accepted_at
        self._uncertain_until = 0.0
        self._has_pending_write = False

    def note_uncertain(self, now):
        """Record that a write of another node, or a late one, may take effect."""
        self._uncertain_until = max(self._uncertain_until, now + LATE_WRITE_SECONDS)

    def note_confirmed(self, began_at):
        """Record that a call to the store that began at `began_at` confirmed the copy.

        That is a read of the last page, or a conditional write that took effect.
        """
        self._confirmed_at = max(self._confirmed_at, began_at)

    def begin_write(self):
        """Record that a write of this node is in progress."""
        self._has_pending_write = True

    def end_write(self):
        """Record that the write had no effect, or that its response was applied."""
        self._has_pending_write = False

    def is_current(self, contact_since):
        """Return whether the copy is that of the store.

        `contact_since` is since when no other node can have taken over a job of this
        one, None if one can.
        """
        if contact_since is None or self._has_pending_write:
            return False
        if self._confirmed_at < self._uncertain_until:
            return False
        if self._accepted_at is not None and self._accepted_at >= contact_since:
            return True
        return self._confirmed_at >= contact_since + LATE_WRITE_SECONDS
