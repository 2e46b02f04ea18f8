"""Retries with a budget and jittered backoff; unrepeatable requests run once."""

from dataclasses import dataclass

from ..outcomes import Execution, FailureCode, Refusal, RefusalCode
from .budget import RetryBudget

BACKOFF_BASE_SECONDS = 0.05
BACKOFF_CAP_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0
MAX_ATTEMPTS = 4


@dataclass(frozen=True)
class TryAgain:
    """Retry on another endpoint after `delay` seconds."""

    delay: float


@dataclass(frozen=True)
class GiveUp:
    """Answer the caller with the refusal."""

    refusal: Refusal


class RetryPolicy:
    """Decides on the failed attempts of a node; `random` is a `random.Random`.

    Only retries of attempts that an endpoint may have run consume the budget. An
    attempt that sent no byte, or that the endpoint refused, costs it no work.
    """

    def __init__(self, random, max_attempts=MAX_ATTEMPTS, budget=None):
        self._random = random
        self._max_attempts = max_attempts
        self._budget = budget or RetryBudget()

    def count_request(self):
        """Count a request into the budget."""
        self._budget.deposit()

    def decide(self, failure, attempt, repeatable, may_have_run=False, time_left=None):
        """Return `TryAgain` or `GiveUp` after the failed attempt number `attempt`.

        An attempt that failed with `FailureCode.UNAVAILABLE` has not run.
        `may_have_run` is whether an earlier attempt may have run. `time_left` is the
        time to the request's deadline in seconds, or None without one.
        """
        not_run = failure.code is FailureCode.UNAVAILABLE
        may_have_run = may_have_run or not not_run
        if attempt < self._max_attempts and (repeatable or not may_have_run):
            delay = self._delay(attempt, not_run)
            in_time = time_left is None or delay < time_left
            if in_time and (not_run or self._budget.take()):
                return TryAgain(delay)
        return GiveUp(_refusal(failure, repeatable, may_have_run))

    def _delay(self, attempt, not_run):
        if not_run and attempt == 1:
            return 0.0
        cap = min(BACKOFF_CAP_SECONDS, BACKOFF_BASE_SECONDS * 2**attempt)
        return self._random.uniform(0.0, cap)


def _refusal(failure, repeatable, may_have_run):
    execution = Execution.UNKNOWN if may_have_run else Execution.NOT_RUN
    code = RefusalCode.ENDPOINT_FAILED
    if may_have_run and not repeatable:
        code = RefusalCode.OUTCOME_UNKNOWN
        return Refusal(code, failure.reason, None, execution)
    return Refusal(code, failure.reason, RETRY_AFTER_SECONDS, execution)
