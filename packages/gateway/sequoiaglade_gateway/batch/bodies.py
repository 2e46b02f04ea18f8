"""Reads of item bodies: from this node, from the node that holds the job, or stored."""

import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode

from ..messages import LiveNodes
from ..regions import JobHomes


class ItemBodies:
    """Reads bodies for callers, and gives those of held jobs to peers.

    No body of a job with homes goes to a peer outside of these. The asking node checks
    that by the gossip about the job, so that it needs no store, and the holder by the
    job itself.
    """

    def __init__(self, parts, registry, storage, read_header):
        self._parts = parts
        self._registry = registry
        self._storage = storage
        self._read_header = read_header
        self._homes = JobHomes(parts)
        self._log = structlog.get_logger()

    def read(self, key, item_id):
        """Return the body of an item, or a `Failure`."""
        body = self._registry.body(key, item_id)
        if body is None:
            body = self._read_from_holder(key, item_id)
        if body is None:
            body = self._read_from_store(key, item_id)
        return body

    def give(self, key, item_id, domain, host):
        """Return the body of an item that this node holds for a peer, or None.

        The second value is whether the peer may have it. `domain` is the peer's failure
        domain; it is empty if the peer does not tell: nodes of older releases never do,
        others only while some requests have homes. `host` is where its call came from.
        """
        job = self._registry.get(key)
        if job is None or self._may_have(job.batch.spec, domain, host):
            return self._registry.body(key, item_id), True
        self._parts.metrics.count("homes", "body refused")
        self._log.info(
            "body refused",
            job=key,
            item_id=item_id,
            host=host,
            failure_domain=domain,
            reason="the asking node is in no home of the job, or not known",
        )
        return None, False

    def _may_have(self, spec, domain, host):
        if self._homes.regions_of(spec) == frozenset():
            return True
        domains = {domain}
        if not domain:
            live = self._parts.coordinator.ask(LiveNodes())
            # Several nodes may share an address.
            at_host = [s for s in live if _host(s.peer_address) == host]
            domains = {state.failure_domain for state in at_host}
        return bool(domains) and all(self._homes.allows(spec, d) for d in domains)

    def _read_from_holder(self, key, item_id):
        found = find_holder(self._parts, key)
        if found is None:
            return None
        state, summary = found
        domain = ""
        if self._homes.has_homes:
            if not self._homes.is_home_of_summary(summary):
                return None
            domain = self._parts.settings.failure_domain
        return self._parts.peers.read_item(state.peer_address, key, item_id, domain)

    def _read_from_store(self, key, item_id):
        header = self._read_header(key)
        if isinstance(header, Failure):
            return header
        spec = self._storage.read_spec(header)
        if isinstance(spec, Failure):
            return spec
        for item in spec.items:
            if item.item_id == item_id:
                return item.body
        return Failure(FailureCode.NOT_FOUND, f"{key} has no item {item_id!r}")


def find_holder(parts, key):
    """Return the state of the peer that holds a job and its `JobSummary`, or None."""
    for state in parts.coordinator.ask(LiveNodes()):
        for summary in state.jobs:
            if summary.job_key == key:
                return state, summary
    return None


def _host(address):
    return address.rpartition(":")[0].strip("[]")
