"""Terms of leases and grants, with allowances for clock drift.

The borrower of a lease or grant counts its term shortened by the drift allowance,
starting before the lease could have been issued. The lender counts the term lengthened
by the allowance, starting after it issued the lease. Tokens accrue slower by the
fraction that a clock may run fast.
"""

from typing import NamedTuple

DRIFT_FRACTION = 0.02
CLOCK_RATE_ERROR_FRACTION = 0.001
SAFETY_MARGIN_SECONDS = 0.05


class Timing(NamedTuple):
    """Terms, intervals and time limits in seconds."""

    poll_seconds: float = 1.0
    retry_seconds: float = 0.25
    cession_seconds: float = 3.0
    grant_seconds: float = 1.0
    entitlement_seconds: float = 3600.0
    renewal_seconds: float = 300.0
    gone_seconds: float = 5.0
    claim_seconds: float = 2.5


def conservative_rate(rate):
    """Return `rate` reduced by the fraction that the clock may run fast.

    >>> conservative_rate(1000.0)
    999.0
    """
    return rate * (1 - CLOCK_RATE_ERROR_FRACTION)


def usable_seconds(term):
    """Return the seconds of `term` during which the borrower may use a lease.

    >>> usable_seconds(3.0) < 3.0 < lender_wait_seconds(3.0)
    True
    """
    return term * (1 - DRIFT_FRACTION) - SAFETY_MARGIN_SECONDS


def lender_wait_seconds(term):
    """Return how long the lender must wait for a lease of `term` seconds to expire."""
    return term * (1 + DRIFT_FRACTION) + SAFETY_MARGIN_SECONDS
