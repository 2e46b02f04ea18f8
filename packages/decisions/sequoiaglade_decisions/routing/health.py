"""Ejection of failing endpoints and their gradual readmission."""

from .tickets import RunOutcome

FAILURES_TO_EJECT = 3
EJECTION_BASE_SECONDS = 1.0
EJECTION_CAP_SECONDS = 30.0


class Health:
    """Limits the requests in flight at an endpoint by its recent outcomes.

    A healthy endpoint has no `cap`. An ejected one has a cap of 0 until
    `ejected_until`; then one request probes it. Each success raises the cap by one,
    which doubles it with each round of requests, until it reaches the slots.

    >>> health = Health()
    >>> health.record_outcome(RunOutcome.UNREACHABLE, 10.0, 0.5), health.cap
    (True, 0)
    >>> health.readmit(health.ejected_until), health.cap
    (True, 1)
    """

    __slots__ = ("cap", "ejected_until", "_failures", "_ejections")

    def __init__(self):
        self.cap = None
        self.ejected_until = 0.0
        self._failures = 0
        self._ejections = 0

    def record_outcome(self, outcome, now, jitter):
        """Record the outcome of a run; return whether it ejects the endpoint.

        `jitter` is a random number from 0 to 1 that spreads the readmissions by
        different nodes.
        """
        match outcome:
            case RunOutcome.DONE:
                self._succeed()
            case RunOutcome.FAILED:
                self._failures += 1
                if self._failures >= FAILURES_TO_EJECT or self.cap is not None:
                    return self._eject(now, jitter)
            case RunOutcome.UNREACHABLE | RunOutcome.CRASHED:
                return self._eject(now, jitter)
        return False

    def readmit(self, now):
        """Let one request probe the endpoint if its ejection has ended.

        Return whether it is readmitted now.
        """
        if self.cap != 0 or now < self.ejected_until:
            return False
        self.cap = 1
        return True

    def lift_cap(self, slots):
        """Remove the cap once it has reached the endpoint's `slots`."""
        if self.cap is not None and self.cap >= slots:
            self.cap = None
            self._ejections = 0

    def _succeed(self):
        self._failures = 0
        if self.cap:
            self.cap += 1

    def _eject(self, now, jitter):
        if self.cap == 0:
            return False
        seconds = EJECTION_BASE_SECONDS * 2**self._ejections
        seconds = min(EJECTION_CAP_SECONDS, seconds) * (0.75 + 0.5 * jitter)
        self._ejections = min(self._ejections + 1, 10)
        self._failures = 0
        self.cap = 0
        self.ejected_until = now + seconds
        return True
