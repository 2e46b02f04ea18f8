"""The attempt to run a batch item, with the checks right before it is sent."""

import structlog

from sequoiaglade_endpoints import Attempt

from ..evacuation_messages import IsEvacuated
from ..messages import AcceptsRequests


class ItemAttempt(Attempt):
    """An attempt that is aborted before it is sent if the item must not be any more.

    That is if its job has ended, or if its route or its homes have changed or its
    endpoint begun to leave, or was evacuated, since it was placed.
    """

    def __init__(self, parts, job, item_id, service, endpoint):
        super().__init__()
        self._parts = parts
        self._job = job
        self._item_id = item_id
        self._service = service
        self._endpoint = endpoint

    def may_send(self):
        """Return whether the item may be sent now."""
        if not self.is_aborted and not self._is_allowed():
            self.abort()
        return not self.is_aborted

    def _is_allowed(self):
        # The first check may wait for the store, so that the others follow it.
        return (
            self._parts.job_ends.may_send(self._job, self._item_id)
            and self._is_routed()
            and self._is_accepted()
        )

    def _is_accepted(self):
        endpoint_id = self._endpoint.endpoint_id
        spec = self._job.batch.spec
        regions = self._parts.store_cache.configuration.regions_of(
            spec.host, spec.path, spec.workspace
        )
        if self._parts.coordinator.ask(AcceptsRequests(endpoint_id, regions)):
            return True
        domain = self._endpoint.failure_domain
        if self._parts.coordinator.ask(IsEvacuated(domain)):
            self._log_withheld(endpoint_id=endpoint_id, evacuated_domain=domain)
            self._parts.metrics.count("item send check", "endpoint evacuated")
            return False
        self._log_withheld(endpoint_id=endpoint_id)
        self._parts.metrics.count("item send check", "endpoint leaving")
        return False

    def _is_routed(self):
        configuration = self._parts.store_cache.configuration
        service = configuration.service_for(self._job.batch.spec)
        if service == self._service:
            return True
        self._log_withheld(
            placed_service=self._service,
            service=service,
            configuration_version=configuration.version,
        )
        self._parts.metrics.count("item send check", "rerouted")
        return False

    def _log_withheld(self, **inputs):
        structlog.get_logger().info(
            "item withheld", item_id=self._item_id, job=self._job.key, **inputs
        )
