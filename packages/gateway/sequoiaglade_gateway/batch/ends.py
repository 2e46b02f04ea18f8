"""Ends of jobs, as the store tells of them, and the check before an item is sent."""

import threading

import structlog

from sequoiaglade_decisions.gateway import EndsKnowledge, SendDecision


class JobEnds:
    """Decides for each item, right before it is sent, whether its job still runs.

    `read_ends` asks the store for the ends that this node has not heard of, passes them
    on, and returns None or a `Failure`. All items of a node share its answers.
    """

    def __init__(self, registry, metrics, read_ends):
        self._registry = registry
        self._metrics = metrics
        self._read_ends = read_ends
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

    def _ask(self):
        asked_at = self._registry.clock()
        failure = self._read_ends()
        self._metrics.count("ends read", "failed" if failure else "answered")
        with self._lock:
            if failure is None:
                self._knowledge.note_answer(asked_at)
            else:
                self._knowledge.note_failure(self._registry.clock())
        if failure is not None:
            self._log.info("ends of jobs not read", reason=failure.reason)
