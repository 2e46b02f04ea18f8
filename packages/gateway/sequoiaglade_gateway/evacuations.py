"""The coordinator's part in evacuations of failure domains, and checks before sending.

Requests that were placed before a node learned of an evacuation, or of a configuration
that moves their homes, are checked again right before they are sent.
"""

import time

import structlog

from sequoiaglade_decisions.gateway import EvacuationChanges, Evacuations
from sequoiaglade_endpoints import Attempt

from .evacuation_messages import (
    EvacuatedEndpoints,
    EvacuationChanged,
    EvacuationNews,
    EvacuationsListed,
    FindEvacuated,
    IsEvacuated,
)
from .messages import AcceptsRequests
from .regions import region_map

# A request that is sent sooner after its placement is not checked again. A connection
# within a region takes some milliseconds; this is a small part of the 5 seconds in
# which an evacuation has to be in force.
PLACEMENT_VALID_SECONDS = 0.05


class FleetEvacuations:
    """The coordinator's `Evacuations`, which marks the endpoints of its directory.

    `on_return` is called with the ids of the endpoints whose evacuation has ended and
    the time, so that their load can be limited until their responses tell more.
    """

    def __init__(self, settings, directory, nodes, on_return=None):
        self._settings = settings
        self._directory = directory
        self._nodes = nodes
        self._on_return = on_return or (lambda endpoint_ids, now: None)
        self._evacuations = Evacuations()
        # Whether the evacuations are known, or not in use.
        self.is_known = not settings.evacuations
        self._log = structlog.get_logger()

    def handle(self, message, now):
        """Handle one of the messages about evacuations and return its reply."""
        match message:
            case EvacuationsListed(domains):
                self.is_known = True
                return self._apply(self._evacuations.replace(domains, now), now)
            case EvacuationChanged(domain, is_evacuated):
                changes = self._evacuations.note(domain, is_evacuated, now)
                return self._apply(changes, now)
            case IsEvacuated(domain):
                return self._evacuations.is_evacuated(domain)
            case FindEvacuated(service):
                if not self._evacuations.domains:
                    return EvacuatedEndpoints(frozenset(), ())
                endpoints = self._directory.evacuated(service, now)
                return EvacuatedEndpoints(
                    frozenset(e.endpoint_id for e in endpoints),
                    tuple(sorted({e.failure_domain for e in endpoints})),
                )

    def note_endpoints_listed(self, now):
        """Log the names that are of no known failure domain.

        Without a region map, failure domains are known from endpoints only.
        """
        self._log_unknown(now)

    def status(self, now):
        """Return the evacuations for operators, as a list of dicts."""
        known = self._known_domains(now)
        return [
            {
                "failure_domain": domain,
                "age_seconds": round(age, 3),
                "endpoints": len(self._ids_in(domain)),
                "is_known": domain in known,
            }
            for domain, age in self._evacuations.ages(now).items()
        ]

    def _apply(self, changes, now):
        if changes == EvacuationChanges():
            return EvacuationNews()
        self._directory.evacuate(self._evacuations.domains)
        for domain in changes.begun:
            self._log.warning(
                "evacuation began",
                failure_domain=domain,
                endpoints=len(self._ids_in(domain)),
            )
        for domain in changes.ended:
            ids = self._ids_in(domain)
            self._log.warning(
                "evacuation ended", failure_domain=domain, endpoints=len(ids)
            )
            self._on_return(ids, now)
        unknown = self._log_unknown(now)
        return EvacuationNews(len(changes.begun), len(changes.ended), len(unknown))

    def _log_unknown(self, now):
        is_informed = (
            self._settings.region_by_failure_domain or self._directory.endpoints()
        )
        if not is_informed:
            return []
        unknown = self._evacuations.note_known(self._known_domains(now))
        for domain in unknown:
            self._log.warning(
                "evacuation of unknown failure domain",
                name=domain,
                reason="no failure domain of this name is known",
            )
        return unknown

    def _known_domains(self, now):
        domains = {state.failure_domain for state in self._nodes.live(now)}
        domains.update(e.failure_domain for e in self._directory.endpoints())
        domains.update(self._settings.region_by_failure_domain)
        domains.add(self._settings.failure_domain)
        return domains

    def _ids_in(self, domain):
        endpoints = self._directory.endpoints()
        return sorted(e.endpoint_id for e in endpoints if e.failure_domain == domain)


class PlacedAttempt(Attempt):
    """An attempt that is aborted before it is sent if its endpoint may not be used.

    That is if its endpoint was evacuated since the placement or, for a request with
    homes, is in none of them any more or has begun to leave. `regions` returns the
    `allowed_regions` of the request by the configuration in force.
    """

    def __init__(self, parts, request_id, regions, clock=time.monotonic):
        super().__init__()
        self._clock = clock
        self._parts = parts
        self._request_id = request_id
        self._regions = regions
        self._endpoint = None
        self._placed_at = None
        self._version = None

    def note_placed(self, endpoint, began_at, version):
        """Note the endpoint of the request, whose placement began at a time.

        Placements of other nodes and permits take a while. `version` is that of the
        configuration that was in force at the beginning.
        """
        self._endpoint = endpoint
        self._placed_at = began_at
        self._version = version

    def may_send(self):
        """Return whether the request may be sent now that the connection is open."""
        if self._endpoint is None:
            return True
        is_old = self._clock() - self._placed_at > PLACEMENT_VALID_SECONDS
        return not (is_old and self._is_evacuated()) and self._is_home(is_old)

    def _is_evacuated(self):
        domain = self._endpoint.failure_domain
        if not self._parts.settings.evacuations:
            return False
        if not self._parts.coordinator.ask(IsEvacuated(domain)):
            return False
        reason = "its failure domain was evacuated since it was placed"
        self._withhold("evacuation", reason)
        return True

    def _is_home(self, is_old):
        """Return whether a request without homes, or its endpoint, is allowed."""
        regions = self._regions()
        if regions == frozenset():
            return True
        if not is_old and self._parts.store_cache.version == self._version:
            return True
        endpoint = self._endpoint
        if not region_map(self._parts.settings).allows(
            regions, endpoint.failure_domain
        ):
            reason = "its homes have moved since it was placed"
            self._withhold("homes", reason, regions=regions and sorted(regions))
            return False
        # One that was leaving already was chosen for lack of others.
        if not endpoint.accepts_requests or self._parts.coordinator.ask(
            AcceptsRequests(endpoint.endpoint_id, regions)
        ):
            return True
        reason = "its endpoint has begun to leave since it was placed"
        self._withhold("endpoint leaving", reason)
        return False

    def _withhold(self, event, reason, **inputs):
        self._parts.metrics.count(event, "request withheld")
        structlog.get_logger().info(
            "request withheld",
            request_id=self._request_id,
            endpoint_id=self._endpoint.endpoint_id,
            reason=reason,
            failure_domain=self._endpoint.failure_domain,
            **inputs,
        )
        self.abort()


def describe_evacuated(parts, service):
    """Return what the log line of a refused request says of evacuations, a dict.

    The request was refused for a lack of endpoints or of capacity, which it counts.
    It is empty if no endpoint of the service is evacuated.
    """
    if not parts.settings.evacuations:
        return {}
    evacuated = parts.store_cache.evacuations.find(service or "")
    if not evacuated.ids:
        return {}
    parts.metrics.count("evacuation", "request refused")
    return {
        "evacuated_domains": list(evacuated.domains),
        "evacuated_endpoints": len(evacuated.ids),
    }
