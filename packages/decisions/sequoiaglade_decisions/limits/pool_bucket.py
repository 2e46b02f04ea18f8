"""Token bucket of one workspace on its pool node."""

from typing import NamedTuple

from ..outcomes import check_invariant

PREFETCH_FRACTION = 0.05
PREFETCH_MIN_LEVEL_FRACTION = 0.25
LOW_LEVEL_FRACTION = 0.5
HIGH_OUTSTANDING_FRACTION = 0.1
MAX_RETRY_SECONDS = 1.0
_TOLERANCE = 1e-6


class _OutstandingGrant(NamedTuple):
    tokens: int
    expires_at: float


class PoolBucket:
    """Token level of one workspace on its pool node, and the outstanding grants.

    The level and the outstanding grants together never exceed the burst that the
    slots in use carry. The tokens of an expired grant do not return to the level; the
    grant only makes room for tokens that accrue after its expiry.

    >>> bucket = PoolBucket(now=0.0)
    >>> bucket.resize(rate=2.0, burst=4, now=0.0)
    >>> bucket.refill(1.0)
    >>> bucket.grant(7, wanted=5, expires_at=2.0), bucket.level
    (1, 1.0)
    """

    def __init__(self, now):
        self.level = 0.0
        self.burst = 0
        self.rate = 0.0
        self._grant_by_id = {}
        self._outstanding = 0
        self._updated_at = now

    def resize(self, rate, burst, now):
        """Accrue up to `now`, then set the rate and burst that the slots carry."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self._clamp()

    def refill(self, now):
        """Accrue tokens up to `now` and remove grants as they expire."""
        expired = sorted(
            (grant.expires_at, grant_id)
            for grant_id, grant in self._grant_by_id.items()
            if grant.expires_at <= now
        )
        for expired_at, grant_id in expired:
            self._accrue(expired_at)
            self._remove_grant(grant_id)
        self._accrue(now)

    def settle(self, grant_id, unspent):
        """Remove a grant and put its unspent tokens back into the level."""
        grant = self._remove_grant(grant_id)
        if grant is not None:
            self.level += min(unspent, grant.tokens)
            self._clamp()

    def grant(self, grant_id, wanted, expires_at):
        """Move up to `wanted` tokens from the level to a grant; return how many."""
        tokens = int(min(wanted, self._max_grant_tokens(), self.level + _TOLERANCE))
        if tokens <= 0:
            return 0
        self.level = max(0.0, self.level - tokens)
        self._grant_by_id[grant_id] = _OutstandingGrant(tokens, expires_at)
        self._outstanding += tokens
        is_within = self.level + self._outstanding <= self.burst + _TOLERANCE * 2
        check_invariant(is_within, "level and outstanding grants stay within the burst")
        return tokens

    @property
    def is_contended(self):
        """Whether the level is low or outstanding grants limit it noticeably."""
        is_low = self.level < self.burst * LOW_LEVEL_FRACTION
        return is_low or self._outstanding >= self.burst * HIGH_OUTSTANDING_FRACTION

    def seconds_until_token(self, now):
        """Return the seconds after which the level may reach one token."""
        if self.rate <= 0 or self.burst < 1:
            return MAX_RETRY_SECONDS
        room_at = now
        if self.burst - self._outstanding < 1:
            room_at = min(grant.expires_at for grant in self._grant_by_id.values())
        wait = max(room_at - now, (1 - self.level) / self.rate)
        return min(wait, MAX_RETRY_SECONDS)

    def _max_grant_tokens(self):
        if self.level < self.burst * PREFETCH_MIN_LEVEL_FRACTION:
            return 1
        return max(1, int(self.level * PREFETCH_FRACTION))

    def _accrue(self, now):
        self.level += max(0.0, now - self._updated_at) * self.rate
        self._updated_at = max(now, self._updated_at)
        self._clamp()

    def _remove_grant(self, grant_id):
        grant = self._grant_by_id.pop(grant_id, None)
        if grant is not None:
            self._outstanding -= grant.tokens
        return grant

    def _clamp(self):
        room = max(0.0, self.burst - self._outstanding)
        self.level = min(self.level, room)
