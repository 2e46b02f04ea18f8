"""How long a request waits for the grant of a pool node.

Load pattern: a pool node that answers late for a moment, as on a busy machine. Its
grant is worth the wait, since the request may be within the rate. A pool node that is
lost must not hold up the requests that follow the first.
"""

PATIENT_SECONDS = 0.5
SHORT_SECONDS = 0.15


class AskPatience:
    """The wait for each pool node, by whether it left the last request unanswered.

    >>> patience = AskPatience()
    >>> patience.note_unanswered("node-a")
    >>> patience.seconds("node-a"), patience.seconds("node-b")
    (0.15, 0.5)
    >>> patience.note_answered("node-a")
    >>> patience.seconds("node-a")
    0.5
    """

    def __init__(self):
        self._unanswered = frozenset()

    def seconds(self, pool):
        """Return the seconds to wait for the next grant of `pool`."""
        return SHORT_SECONDS if pool in self._unanswered else PATIENT_SECONDS

    def note_unanswered(self, pool):
        """Note that `pool` sent no grant in time."""
        self._unanswered |= {pool}

    def note_answered(self, pool):
        """Note that `pool` answered, with tokens or without."""
        if pool in self._unanswered:
            self._unanswered -= {pool}
