"""A request's place in the queue and then at an endpoint."""

import time

from sequoiaglade_decisions.outcomes import FailureCode, Refusal, RefusalCode
from sequoiaglade_decisions.routing import RunOutcome

from ..actors import Grant

HANGUP_POLL_SECONDS = 0.1
DISPATCHER_LAG_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0
_OUTCOME_BY_STATE = {"leaving": RunOutcome.LEAVING, "refused": RunOutcome.REFUSED}


class Slot:
    """Queues a ticket on entering; releases its place or slot exactly once.

    `outcome` is the `RunOutcome` passed to the dispatcher on release.
    """

    def __init__(self, dispatch, ticket):
        self._dispatch = dispatch
        self._grant = Grant(ticket)
        self._is_released = False
        self.outcome = RunOutcome.NOT_GRANTED

    def __enter__(self):
        self._dispatch.submit(self._grant)
        return self

    def __exit__(self, *exc_info):
        self.release()

    def wait(self, disconnected):
        """Return the id of the granted endpoint, or a `Refusal`.

        The dispatcher decides by the ticket's deadline. If it does not, for any
        reason, the caller gets a refusal nevertheless.
        """
        give_up_at = self._grant.ticket.deadline + DISPATCHER_LAG_SECONDS
        while True:
            outcome = self._grant.wait(HANGUP_POLL_SECONDS)
            if isinstance(outcome, str):
                self.outcome = RunOutcome.HUNG_UP
            if outcome is not None:
                return outcome
            if disconnected():
                return Refusal(RefusalCode.OVERLOADED, "the caller has disconnected")
            if time.monotonic() >= give_up_at:
                reason = "the dispatcher did not decide in time"
                return Refusal(RefusalCode.OVERLOADED, reason, RETRY_AFTER_SECONDS)

    def on_recall(self, function):
        """Call `function` from another thread when the ticket is recalled.

        It may be called twice.
        """
        self._grant.on_preempt(function)

    def release(self):
        """Release the slot or the place in the queue; further calls have no effect."""
        if not self._is_released:
            self._is_released = True
            self._dispatch.release(self._grant.ticket.ticket_id, self.outcome)


def run_outcome(failure, endpoint_state):
    """Return the `RunOutcome` of a failed attempt.

    `endpoint_state` is the state that an endpoint reported when it rejected the call.
    ``UNKNOWN`` failures are broken connections, and the others invalid responses.
    """
    match failure.code:
        case FailureCode.UNKNOWN:
            return RunOutcome.CRASHED
        case FailureCode.UNAVAILABLE:
            return _OUTCOME_BY_STATE.get(endpoint_state, RunOutcome.UNREACHABLE)
    return RunOutcome.FAILED
