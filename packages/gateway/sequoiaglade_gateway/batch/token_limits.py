"""Check of a submitted job against the limit of its workspace's waiting tokens."""

import threading

import structlog

from sequoiaglade_decisions.gateway import COMPLETE_SHARE, Admission, JobSummary
from sequoiaglade_decisions.outcomes import Failure

from ..messages import LiveNodes
from ..online.refusals import GatewayRefusal
from .token_keeping import TokenKeeping

# Retry-After of a workspace with too many waiting tokens: some items finish meanwhile.
OVER_LIMIT_RETRY_AFTER_SECONDS = 1.0
# Retry-After of a node that has not read yet which jobs are stored, or that no keeper
# of the workspace's tokens answers.
UNLISTED_RETRY_AFTER_SECONDS = 0.5
# Pause between two reads of the stored jobs that precede refusals.
LISTING_PAUSE_SECONDS = 2.0
# Age of a read of the stored jobs that suffices while not all peers are in contact,
# since those may accept jobs all the while.
LISTING_AGE_WITHOUT_CONTACT_SECONDS = 0.1


class TokenLimits:
    """Counts the tokens of a job from its check until its outcome is known.

    In a large fleet the keepers of the workspace's tokens count them (`TokenKeeping`),
    else each node does and tells all others.

    A node that has just started reads the stored jobs before its first check, since it
    hears only of those with a live holder. So does a node that is not in contact with
    all others, before each check. If it does not reach the store, the peer that stores
    a job for it checks the job as well.
    """

    def __init__(self, parts, registry, storage):
        self._parts = parts
        self._registry = registry
        self._storage = storage
        self._keeping = TokenKeeping(parts, self._decide, registry.give_tokens_back)
        self._lock = threading.Lock()
        self._has_listed = False
        self._listed_at = float("-inf")
        # Jobs that were checked before the stored jobs were known.
        self._unconfirmed_keys = set()
        self._log = structlog.get_logger()
        self.answer_peer = self._keeping.answer

    def take(self, spec, route):
        """Return the `Admission` of a job, or a `GatewayRefusal`."""
        if not route.waiting_tokens:
            return Admission(True, False, {})
        summary, limit = _summary(spec, route), route.waiting_tokens
        keepers = self._keeping.find(spec.workspace)
        if keepers is None:
            admission = self._take_here(summary, limit)
            reason = "the stored jobs are not known yet"
        else:
            admission = self._keeping.reserve(summary, limit, keepers)
            reason = "no node that counts the workspace's waiting tokens answers"
        if admission is None:
            return GatewayRefusal(503, reason, UNLISTED_RETRY_AFTER_SECONDS)
        if admission.is_accepted:
            return admission
        reason = f"workspace {spec.workspace!r} would have over {limit} waiting tokens"
        return GatewayRefusal(429, reason, OVER_LIMIT_RETRY_AFTER_SECONDS)

    def confirm(self, spec, route):
        """Return whether a job that was accepted may be stored by this node.

        One that was checked before the stored jobs were known is checked again.
        """
        if spec.key not in self._unconfirmed_keys:
            return True
        self._list_first()
        if not self._has_listed:
            return False
        self._registry.give_tokens_back(spec.key)
        is_accepted = self._check_here(_summary(spec, route), route.waiting_tokens)
        if is_accepted:
            self._unconfirmed_keys.discard(spec.key)
        return is_accepted

    def give_back(self, spec, route):
        """Stop counting the tokens of a job that is not stored."""
        self._registry.give_tokens_back(spec.key)
        keepers = self._keeping.find(spec.workspace)
        if keepers is not None and route.waiting_tokens:
            self._keeping.give_back(_summary(spec, route), keepers)

    def tell_peers(self, spec, route):
        """Tell those that count it of a stored job that has a limit, before gossip."""
        if not route.waiting_tokens:
            return
        summary = _summary(spec, route)
        keepers = self._keeping.find(spec.workspace)
        if keepers is not None:
            self._keeping.tell(summary, keepers)
            return
        for state in self._parts.coordinator.ask(LiveNodes()):
            self._parts.peers.note_job(state.peer_address, summary)

    def note_headers(self, headers, began_at):
        """Count the stored jobs, from a read that began at a time of the registry."""
        configuration = self._parts.store_cache.configuration
        if configuration is not None:
            self._registry.note_headers(headers, configuration, began_at)
            self._has_listed = True
            self._listed_at = began_at

    def _take_here(self, summary, limit):
        """Return the `Admission` by this node's count; None if it can't tell yet."""
        is_reachable = self._parts.store_cache.is_store_reachable
        if is_reachable and not self._has_listed:
            self._list_first()
            if not self._has_listed:
                return None
        share = self._parts.peers.live_node_fraction()
        if is_reachable and share < 1.0:
            self._list_for_others()
        if not self._has_listed:
            self._unconfirmed_keys.add(summary.job_key)
        return self._check_twice(summary, limit, share, is_reachable)

    def _decide(self, summary, limit, share, known_share):
        """Return the `Admission` of a job as a keeper, None if it can't tell.

        `share` is the fraction of the known nodes that are live, `known_share` that of
        those whose jobs this node hears of soon.
        """
        is_reachable = self._parts.store_cache.is_store_reachable
        if is_reachable and not self._has_listed:
            self._list_first()
        if not self._has_listed:
            return None
        if is_reachable and known_share < COMPLETE_SHARE:
            self._list_for_others()
        return self._check_twice(summary, limit, share, is_reachable)

    def _check_here(self, summary, limit):
        share = self._parts.peers.live_node_fraction()
        return self._check(summary, limit, share).is_accepted

    def _check_twice(self, summary, limit, share, is_reachable):
        """Check a job, again if it does not fit beside jobs that no node reports."""
        admission = self._check(summary, limit, share)
        if not admission.is_accepted and admission.is_outdated and is_reachable:
            # Others are refused meanwhile without waiting for the store.
            if self._lock.acquire(blocking=False):
                try:
                    self._list(LISTING_PAUSE_SECONDS)
                finally:
                    self._lock.release()
                admission = self._check(summary, limit, share)
        return admission

    def _list_first(self):
        """Read the stored jobs, unless that was done or tried just now."""
        with self._lock:
            is_reachable = self._parts.store_cache.is_store_reachable
            if is_reachable and not self._has_listed:
                self._list(UNLISTED_RETRY_AFTER_SECONDS)

    def _list_for_others(self):
        """Read what nodes may have stored that this one does not hear of.

        Submissions that wait for a slow store share the next read.
        """
        began_after = self._registry.clock() - LISTING_AGE_WITHOUT_CONTACT_SECONDS
        with self._lock:
            if self._listed_at < began_after:
                self._list(0.0)

    def _list(self, pause):
        """Read the stored jobs unless that was tried less than `pause` seconds ago."""
        began_at = self._registry.clock()
        if began_at - self._listed_at < pause:
            return
        self._listed_at = began_at
        headers = self._storage.list_headers()
        if isinstance(headers, Failure):
            # Submissions that waited for the lock meanwhile do not wait for the store.
            self._listed_at = self._registry.clock()
            self._log.info("jobs not listed", reason=headers.reason)
        else:
            self.note_headers(headers, began_at)

    def _check(self, summary, limit, share):
        admission = self._registry.take_tokens(summary, limit, share)
        self._log.info(
            "waiting tokens checked",
            job=summary.job_key,
            tokens=summary.waiting_tokens,
            limit=limit,
            share=round(share, 3),
            is_accepted=admission.is_accepted,
            is_known=admission.is_accepted and not admission.is_new,
            **{f"{name}_tokens": n for name, n in admission.counted.items()},
        )
        return admission


def _summary(spec, route):
    tokens = sum(item.tokens for item in spec.items)
    return JobSummary(spec.key, spec.workspace, route.name, tokens)
