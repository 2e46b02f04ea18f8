"""Refusals that report failed calls to the platform."""

from sequoiaglade_decisions.outcomes import (
    Execution,
    Failure,
    FailureCode,
    Refusal,
    RefusalCode,
)

RETRY_AFTER_SECONDS = 2.0


def platform_refusal(failure):
    """Return the `Refusal` of a request that was definitely not accepted."""
    reason = f"the platform is unavailable: {failure.reason}"
    return Refusal(RefusalCode.PLATFORM_UNAVAILABLE, reason, RETRY_AFTER_SECONDS)


def uncertain_write_refusal(failure):
    """Return the `Refusal` of a write that may have taken effect.

    Repeating the request with the same idempotency key is safe.
    """
    if failure.code is not FailureCode.UNKNOWN:
        return platform_refusal(failure)
    reason = f"the response of the platform was lost: {failure.reason}"
    return Refusal(
        RefusalCode.PLATFORM_UNAVAILABLE,
        reason,
        RETRY_AFTER_SECONDS,
        Execution.UNKNOWN,
    )


def is_name_taken(outcome):
    """Whether a create call failed because an object of that name exists."""
    return isinstance(outcome, Failure) and outcome.code is FailureCode.CONFLICT
