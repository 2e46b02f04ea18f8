"""What a node believes of requests, and of parts of prompts, that crash endpoints."""

import structlog

from sequoiaglade_decisions.gateway import PromptParts, Quarantine, SurvivedBreaks


class CrashBlame:
    """The coordinator's `Quarantine` of requests and its `PromptParts`."""

    def __init__(self, node_id, directory, nodes):
        self._node_id = node_id
        self._directory = directory
        self._nodes = nodes
        self._quarantine = Quarantine()
        self._parts = PromptParts()
        self._survived = SurvivedBreaks()
        self._refused = {}
        self._log = structlog.get_logger()

    def is_quarantined(self, fingerprint, now):
        """Return whether requests with a fingerprint are refused."""
        return self._quarantine.is_quarantined(fingerprint, now)

    def find_part_refusal(self, message, now):
        """Return the reply to a `FindPartRefusal`."""
        service, parts = message.service, message.parts
        has_begun = message.has_begun
        suspicion = self._parts.find_suspicion(service, parts, now, has_begun)
        if suspicion is None or message.is_broken:
            return suspicion
        # A request that goes on from its last events tries no part from its begin.
        may_try = self._is_lowest(now) and not has_begun
        refusal = self._parts.find_refusal(service, parts, now, may_try, has_begun)
        if refusal is None and suspicion.is_settled(now):
            self._log.info("prompt part tried", **_facts(suspicion, now))
        return refusal

    def note_answer(self, message, now):
        """Note the `PartsAnswered` of a request."""
        self._parts.note_answer(
            message.service, message.parts, now, message.is_complete
        )

    def note_endpoint_answer(self, message):
        """Note an `EndpointAnswered`: the endpoint did not crash just before."""
        key = f"{message.endpoint_id}/{message.born}"
        self._withdraw(self._survived.note_answer(key, message.sent_at))

    def note_crash(self, message, now):
        """Note the crash of a `RequestEnded` that names its request."""
        if not message.fingerprint:
            return
        endpoint = self._directory.get(message.endpoint_id, now)
        key = f"{message.endpoint_id}/{endpoint.born if endpoint else 0}"
        if not self._survived.add(key, message.fingerprint, now):
            return
        self._quarantine.note_crash(
            message.fingerprint, key, now, message.has_begun, is_local=True
        )
        if message.parts:
            self._parts.note_crash(
                message.service,
                message.parts,
                message.fingerprint,
                key,
                now,
                message.has_events,
            )

    def add_to(self, state, now):
        """Return a `NodeState` with the crashes and sound parts to gossip."""
        self._log_changes(now)
        return state._replace(
            crashes=tuple(self._quarantine.crashes(now)),
            part_crashes=tuple(self._parts.crashes(now, self._is_lowest(now))),
            sound_parts=tuple(self._parts.sound_parts(now)),
            survived_breaks=tuple(self._survived.records(now)),
        )

    def receive(self, state, now):
        """Merge what a peer gossiped in a `NodeState`."""
        self._withdraw(self._survived.merge(state.survived_breaks, now))
        for fingerprint, key, age, has_begun in state.crashes:
            if self._survived.add(key, fingerprint, now - age):
                self._quarantine.note_crash(fingerprint, key, now - age, has_begun)
        part_crashes = [
            crash
            for crash in state.part_crashes
            if self._survived.add(crash.endpoint_key, crash.request, now - crash.at)
        ]
        self._parts.merge(part_crashes, state.sound_parts, now)

    def status(self, now):
        """Return the refused parts with their evidence, for operators."""
        return [_facts(b, now) for b in self._parts.refused_parts(now).values()]

    def _withdraw(self, breaks):
        for key, fingerprint in breaks:
            self._quarantine.withdraw(fingerprint, key)
            self._parts.withdraw(fingerprint, key)
            self._log.info("break survived", endpoint=key, fingerprint=fingerprint)

    def _is_lowest(self, now):
        """Return whether this is the live node with the lowest id."""
        others = [state.node_id for state in self._nodes.live(now)]
        return self._node_id <= min(others, default=self._node_id)

    def _log_changes(self, now):
        """Log when a part begins to be refused, and when it no longer is."""
        refused = self._parts.refused_parts(now)
        for part in refused.keys() - self._refused.keys():
            self._log.info("prompt part blamed", **_facts(refused[part], now))
        for part in self._refused.keys() - refused.keys():
            self._log.info("prompt part cleared", **_facts(self._refused[part], now))
        self._refused = refused


def _facts(blame, now):
    return {
        "part": blame.part,
        "crashes": blame.crashes,
        "last_crash_seconds": round(now - blame.last_at, 3),
        "services": sorted(blame.services),
    }
