"""Ends of jobs, as the store tells of them, and the check before an item is sent."""

import random
import threading

import structlog

from sequoiaglade_decisions.gateway import EndsKnowledge, SendDecision, may_know_ends

from ..messages import LiveNodes

# Number of peers that are asked at once. One of them may not be reached.
ASKED_PEERS_MAX = 2


class JobEnds:
    """Decides for each item, right before it is sent, whether its job still runs.

    `read_ends` asks the store for the ends that this node has not heard of, passes them
    on, and returns None or a `Failure`. If that fails, `read_peers` asks peers, passes
    on their ends, and returns the age of their knowledge in seconds, None without any.
    All items of a node share the answers.
    """

    def __init__(self, registry, metrics, read_ends, read_peers):
        self._registry = registry
        self._metrics = metrics
        self._read_ends = read_ends
        self._read_peers = read_peers
        self._lock = threading.Lock()
        self._asking = threading.Lock()
        self._knowledge = EndsKnowledge()
        self._log = structlog.get_logger()

    def may_send(self, job, item_id):
        """Return whether an item of a `HeldJob` may be sent now.

        Waits for the store's answer if what this node knows is too old.
        """
        decision, age = self._decide(job)
        is_ended = self._registry.is_ended(job.key)
        # The process may have been suspended while it waited for the answer.
        may_send = not is_ended and decision is not SendDecision.ASK
        if not may_send or decision is SendDecision.SEND_UNCONFIRMED:
            self._log.info(
                "item sent without recent ends" if may_send else "item withheld",
                item_id=item_id,
                job=job.key,
                is_ended=is_ended,
                known_age_seconds=None if age is None else round(age, 3),
            )
        outcome = decision.name.lower() if may_send else "withheld"
        self._metrics.count("item send check", outcome)
        return may_send

    def _decide(self, job):
        """Return the `SendDecision` and the age of what is known, in seconds."""
        decision, age = self._look(job)
        if decision is SendDecision.ASK:
            # Other items need not wait for the store if what is known suffices.
            with self._asking:
                decision, age = self._look(job)
                if decision is SendDecision.ASK:
                    self._ask()
                    decision, age = self._look(job)
        return decision, age

    def _look(self, job):
        now = self._registry.clock()
        with self._lock:
            decision = self._knowledge.decide(job.accepted_at, now)
            return decision, self._knowledge.age(job.accepted_at, now)

    def tell_peer(self):
        """Return the age in seconds of this node's knowledge and the ended keys.

        Asks the store if it is too old; returns None if the store does not answer.
        """
        with self._asking:
            age, has_failed = self._told_age()
            if age is None and not has_failed:
                self._ask_store()
                age, _ = self._told_age()
        return None if age is None else (age, self._registry.ended_keys())

    def _told_age(self):
        now = self._registry.clock()
        with self._lock:
            return self._knowledge.told_age(now), self._knowledge.has_failed(now)

    def _ask(self):
        if not self._ask_store() and not self._ask_peers():
            with self._lock:
                self._knowledge.note_failure(self._registry.clock())

    def _ask_store(self):
        asked_at = self._registry.clock()
        failure = self._read_ends()
        self._metrics.count("ends read", "failed" if failure else "answered")
        if failure is not None:
            self._log.info("ends of jobs not read", reason=failure.reason)
            return False
        with self._lock:
            self._knowledge.note_answer(asked_at)
        return True

    def _ask_peers(self):
        asked_at = self._registry.clock()
        age = self._read_peers()
        self._metrics.count("ends read", "no peer" if age is None else "peer")
        if age is None:
            return False
        self._log.info("ends of jobs read from a peer", age_seconds=round(age, 3))
        with self._lock:
            self._knowledge.note_answer(asked_at - age)
        return True


class PeerEnds:
    """Asks peers for ends of jobs, if the store does not answer this node."""

    def __init__(self, parts):
        self._parts = parts

    def read(self):
        """Pass on the ends that peers know; see `JobEnds`."""
        live = self._parts.coordinator.ask(LiveNodes())
        addresses = [state.peer_address for state in live if may_know_ends(state)]
        chosen = random.sample(addresses, min(len(addresses), ASKED_PEERS_MAX))
        answers = self._parts.peers.find_ends(chosen)
        for _, keys in answers:
            for key in keys:
                self._parts.batch.note_end(key)
        return min((age for age, _ in answers), default=None)
