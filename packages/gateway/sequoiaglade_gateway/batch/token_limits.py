"""Check of a submitted job against the limit of its workspace's waiting tokens."""

import threading

import structlog

from sequoiaglade_decisions.gateway import Admission, JobSummary
from sequoiaglade_decisions.outcomes import Failure

from ..messages import LiveNodes
from ..online.refusals import GatewayRefusal

# Retry-After of a workspace with too many waiting tokens: some items finish meanwhile.
OVER_LIMIT_RETRY_AFTER_SECONDS = 1.0
# Retry-After of a node that has not read yet which jobs are stored.
UNLISTED_RETRY_AFTER_SECONDS = 0.5
# Pause between two reads of the stored jobs that precede refusals.
LISTING_PAUSE_SECONDS = 2.0
# Age of a read of the stored jobs that suffices while not all peers are in contact,
# since those may accept jobs all the while.
LISTING_AGE_WITHOUT_CONTACT_SECONDS = 0.1


class TokenLimits:
    """Counts the tokens of a job from its check until its outcome is known.

    A node that has just started reads the stored jobs before its first check, since it
    hears only of those with a live holder. So does a node that is not in contact with
    all others, before each check. If it does not reach the store, the peer that stores
    a job for it checks the job as well.
    """

    def __init__(self, parts, registry, storage):
        self._parts = parts
        self._registry = registry
        self._storage = storage
        self._lock = threading.Lock()
        self._has_listed = False
        self._listed_at = float("-inf")
        # Jobs that were checked before the stored jobs were known.
        self._unconfirmed_keys = set()
        self._log = structlog.get_logger()

    def take(self, spec, route):
        """Return the `Admission` of a job, or a `GatewayRefusal`."""
        if not route.waiting_tokens:
            return Admission(True, False, {})
        is_reachable = self._parts.store_cache.is_store_reachable
        if is_reachable and not self._has_listed:
            with self._lock:
                is_reachable = self._parts.store_cache.is_store_reachable
                if is_reachable and not self._has_listed:
                    self._list(UNLISTED_RETRY_AFTER_SECONDS)
            if is_reachable and not self._has_listed:
                reason = "the stored jobs are not known yet"
                return GatewayRefusal(503, reason, UNLISTED_RETRY_AFTER_SECONDS)
        if is_reachable and self._parts.peers.live_node_fraction() < 1.0:
            self._list_for_others()
        if not self._has_listed:
            self._unconfirmed_keys.add(spec.key)
        admission = self._check(spec, route)
        if not admission.is_accepted and admission.is_outdated and is_reachable:
            # Others are refused meanwhile without waiting for the store.
            if self._lock.acquire(blocking=False):
                try:
                    self._list(LISTING_PAUSE_SECONDS)
                finally:
                    self._lock.release()
                admission = self._check(spec, route)
        if admission.is_accepted:
            return admission
        reason = (
            f"workspace {spec.workspace!r} would have over {route.waiting_tokens} "
            "waiting tokens"
        )
        return GatewayRefusal(429, reason, OVER_LIMIT_RETRY_AFTER_SECONDS)

    def confirm(self, spec, route):
        """Return whether a job that was accepted may be stored by this node.

        One that was checked before the stored jobs were known is checked again.
        """
        if spec.key not in self._unconfirmed_keys:
            return True
        with self._lock:
            if not self._has_listed:
                self._list(UNLISTED_RETRY_AFTER_SECONDS)
        if not self._has_listed:
            return False
        self.give_back(spec.key)
        is_accepted = self._check(spec, route).is_accepted
        if is_accepted:
            self._unconfirmed_keys.discard(spec.key)
        return is_accepted

    def give_back(self, key):
        """Stop counting the tokens of a job that is not stored."""
        self._registry.give_tokens_back(key)

    def tell_peers(self, spec, route):
        """Tell all live peers of a stored job that has a limit, before gossip does."""
        if not route.waiting_tokens:
            return
        tokens = sum(item.tokens for item in spec.items)
        summary = JobSummary(spec.key, spec.workspace, route.name, tokens)
        for state in self._parts.coordinator.ask(LiveNodes()):
            self._parts.peers.note_job(state.peer_address, summary)

    def note_headers(self, headers, began_at):
        """Count the stored jobs, from a read that began at a time of the registry."""
        configuration = self._parts.store_cache.configuration
        if configuration is not None:
            self._registry.note_headers(headers, configuration, began_at)
            self._has_listed = True
            self._listed_at = began_at

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

    def _check(self, spec, route):
        share = self._parts.peers.live_node_fraction()
        admission = self._registry.take_tokens(spec, route, share)
        self._log.info(
            "waiting tokens checked",
            job=spec.key,
            tokens=sum(item.tokens for item in spec.items),
            limit=route.waiting_tokens,
            share=round(share, 3),
            is_accepted=admission.is_accepted,
            is_known=admission.is_accepted and not admission.is_new,
            **{f"{name}_tokens": n for name, n in admission.counted.items()},
        )
        return admission
