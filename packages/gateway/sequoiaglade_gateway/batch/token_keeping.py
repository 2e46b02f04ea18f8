"""Reservation of jobs' waiting tokens at the nodes that keep them, in a large fleet."""

import time

import structlog

from sequoiaglade_decisions.gateway import (
    Admission,
    KeeperAnswer,
    KeeperSearch,
    may_decide,
)

from ..messages import FindTokenKeepers

# A keeper that did not answer is left out for this time; by then the other nodes have
# noticed, or it answers again.
UNRESPONSIVE_SECONDS = 2.0


class TokenKeeping:
    """Asks keepers about this node's jobs, and answers as one of them.

    `decide` returns the `Admission` of a `JobSummary` by this node's count, or None.
    `release` stops counting a job by its key.
    """

    def __init__(self, parts, decide, release):
        self._parts = parts
        self._decide = decide
        self._release = release
        self._unresponsive_until_by_address = {}
        self._log = structlog.get_logger()

    def find(self, workspace):
        """Return the `TokenKeepers` of a workspace, or None."""
        return self._parts.coordinator.ask(FindTokenKeepers(workspace))

    def reserve(self, summary, limit, keepers):
        """Return the `Admission` of a job by its keepers, None if none decides."""
        began_at = time.monotonic()
        search = KeeperSearch(keepers.addresses, self._unresponsive(began_at))
        asked = []
        while search.answer is None and (ask := search.next_ask()) is not None:
            asked.append(ask.address)
            search.note(ask, self._ask(ask, summary, limit, keepers))
        answer = search.answer
        if answer is None or not answer.is_accepted:
            # One that did not answer in time may have reserved the tokens.
            for address in search.unanswered:
                self._parts.peers.release_tokens(address, summary.job_key)
        until = time.monotonic() + UNRESPONSIVE_SECONDS
        for address in search.unanswered:
            self._unresponsive_until_by_address[address] = until
        self._parts.metrics.count("tokens reserved", _outcome(answer))
        self._log.info(
            "keepers asked",
            job=summary.job_key,
            asked=asked,
            unanswered=search.unanswered,
            outcome=_outcome(answer),
            elapsed_ms=round((time.monotonic() - began_at) * 1000),
        )
        if answer is None:
            return None
        return Admission(answer.is_accepted, answer.is_new, {})

    def answer(self, ask, summary, limit):
        """Return this node's `KeeperAnswer` to a `KeeperAsk`."""
        keepers = self.find(summary.workspace)
        if keepers is None:
            return KeeperAnswer(None)
        own_address = self._parts.settings.listen.peer
        undecided = KeeperAnswer(None, keepers=keepers.addresses)
        if not may_decide(
            own_address, keepers.addresses, ask, keepers.is_settled, keepers.share
        ):
            return undecided
        known_share = 0.0 if ask.is_last_resort else keepers.share
        admission = self._decide(summary, limit, keepers.share, known_share)
        if admission is None:
            return undecided
        if admission.is_new:
            # Those that other nodes ask first may not be reached by the asking one.
            for address in keepers.addresses[: keepers.addresses.index(own_address)]:
                self._parts.peers.note_job(address, summary)
        return KeeperAnswer(admission.is_accepted, admission.is_new)

    def tell(self, summary, keepers):
        """Tell the keepers of a job that was stored."""
        for address in keepers.addresses:
            if address != self._parts.settings.listen.peer:
                self._parts.peers.note_job(address, summary)

    def give_back(self, summary, keepers):
        """Tell the keepers of a job that was not stored."""
        for address in keepers.addresses:
            if address == self._parts.settings.listen.peer:
                self._release(summary.job_key)
            else:
                self._parts.peers.release_tokens(address, summary.job_key)

    def _ask(self, ask, summary, limit, keepers):
        if ask.address == self._parts.settings.listen.peer:
            return self.answer(ask, summary, limit)
        return self._parts.peers.reserve_tokens(ask, summary, limit)

    def _unresponsive(self, now):
        self._unresponsive_until_by_address = {
            address: until
            for address, until in self._unresponsive_until_by_address.items()
            if until > now
        }
        return self._unresponsive_until_by_address


def _outcome(answer):
    if answer is None:
        return "undecided"
    return "accepted" if answer.is_accepted else "refused"
