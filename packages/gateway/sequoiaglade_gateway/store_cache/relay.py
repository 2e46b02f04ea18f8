"""Changes in the store as peers that follow it tell them, in a large fleet."""

import random
import time

import structlog

from sequoiaglade_decisions.gateway import POLL_SECONDS, FollowerContact
from sequoiaglade_node.threads import OwnedThread

from ..messages import FindStoreFollowers


class StoreRelay(OwnedThread):
    """One thread that asks followers of the store in turn; a context manager.

    While their answers suffice the `KindWatcher` of each kind makes no calls, and
    `is_relied_on` is true. `poll` is `PeerClient.poll_store`. `optional_watchers` are
    those of kinds that followers of an older release do not know. These make no calls
    only while one answer of each round has all of these kinds; they do not affect the
    others.
    """

    def __init__(
        self,
        coordinator,
        watchers,
        poll,
        metrics,
        optional_watchers=(),
        clock=time.monotonic,
    ):
        super().__init__("store relay")
        self._coordinator = coordinator
        self._watchers = watchers
        self._optional_watchers = optional_watchers
        self._poll = poll
        self._metrics = metrics
        self._clock = clock
        self._contact = FollowerContact()
        # Of the answers that have all optional kinds.
        self._optional_contact = FollowerContact()
        self._is_optional_relied_on = False
        self.is_relied_on = False
        self._log = structlog.get_logger()

    def _run(self):
        while not self._stopped.wait(POLL_SECONDS * (0.9 + 0.2 * random.random())):
            self.run_round()

    def run_round(self):
        """Ask the next follower, and decide whether this node watches by itself.

        A node that the store does not answer does both.
        """
        followers = self._coordinator.ask(FindStoreFollowers())
        if followers is None:
            self._contact = FollowerContact()
            self._optional_contact = FollowerContact()
            self._rely_on_followers(False, "this node follows the store")
            self._rely_optionally(False, False)
            return
        is_following = has_optional = has_outage = False
        for _ in followers:
            answer, is_whole = self._ask(self._contact.choose(followers, self._clock()))
            is_following = is_following or bool(answer)
            has_optional = has_optional or is_whole
            if is_following and has_optional:
                break
            has_outage = has_outage or answer is False
        if not is_following:
            self._contact.note_lost()
        if not has_optional:
            self._optional_contact.note_lost()
        is_sufficient = self._contact.is_sufficient(self._clock())
        # Only its own calls tell a node that the store answers it again.
        is_reached = all(watcher.is_reachable for watcher in self._watchers)
        reason = "followers answer" if is_sufficient else "no follower is in contact"
        has_outage = has_outage and not is_sufficient
        self._rely_on_followers(is_sufficient and is_reached, reason, has_outage)
        self._rely_optionally(is_sufficient, has_outage)

    def _ask(self, address):
        """Ask a node and apply its answer.

        Return the first of `StoreUpdates.after`, and whether it has all optional kinds.
        """
        answer = self._poll(
            address,
            {w.kind: w.revision for w in self._watchers},
            {w.kind: w.revision for w in self._optional_watchers},
        )
        is_following, update_by_kind = answer or (None, {})
        for watcher in self._watchers if is_following else ():
            watcher.apply_update(update_by_kind[watcher.kind])
        is_whole = bool(is_following) and self._apply_optional(update_by_kind)
        if is_whole:
            self._optional_contact.note_answer(address, True, self._clock())
        self._contact.note_answer(address, bool(is_following), self._clock())
        outcome = {None: "unanswered", False: "outage", True: "answered"}
        self._metrics.count("store relayed", outcome[is_following])
        return is_following, is_whole

    def _apply_optional(self, update_by_kind):
        """Apply the optional kinds of an answer; return whether it has all of them."""
        found = [w for w in self._optional_watchers if w.kind in update_by_kind]
        for watcher in found:
            watcher.apply_update(update_by_kind[watcher.kind])
        return len(found) == len(self._optional_watchers)

    def _rely_optionally(self, is_sufficient, has_outage):
        """Decide whether this node watches the optional kinds by itself."""
        is_told = self._optional_contact.is_sufficient(self._clock())
        is_reached = all(watcher.is_reachable for watcher in self._optional_watchers)
        is_relied_on = is_told and is_sufficient and is_reached
        if not self._optional_watchers or is_relied_on == self._is_optional_relied_on:
            return
        self._is_optional_relied_on = is_relied_on
        self._log.info(
            "optional kinds relayed" if is_relied_on else "optional kinds watched",
            kinds=[watcher.kind for watcher in self._optional_watchers],
        )
        for watcher in self._optional_watchers:
            if is_relied_on:
                watcher.rely_on_peers()
            else:
                watcher.follow_store(has_outage)

    def _rely_on_followers(self, is_relied_on, reason, has_outage=False):
        if is_relied_on == self.is_relied_on:
            return
        self.is_relied_on = is_relied_on
        self._log.info(
            "store relayed" if is_relied_on else "store watched", reason=reason
        )
        for watcher in self._watchers:
            if is_relied_on:
                watcher.rely_on_peers()
            else:
                watcher.follow_store(has_outage)
