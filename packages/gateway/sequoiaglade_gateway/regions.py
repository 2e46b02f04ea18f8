"""The regions of endpoints, nodes and jobs, as the parts of a node ask for them."""

import structlog

from sequoiaglade_decisions.gateway import RegionMap, job_candidates

# Names of failure domains without a region that are logged, each once.
LOGGED_DOMAINS_MAX = 64
# Jobs that are logged as waiting for a region, each once; then all are logged anew.
LOGGED_JOBS_MAX = 1000


def region_map(settings):
    """Return the `RegionMap` of a node's settings."""
    region_by_domain = dict(settings.region_by_failure_domain or {})
    if region_by_domain and settings.region:
        region_by_domain.setdefault(settings.failure_domain, settings.region)
    return RegionMap(region_by_domain, settings.region)


class FleetRegions:
    """The coordinator's choice of endpoints and peers in allowed regions."""

    def __init__(self, settings):
        self._regions = region_map(settings)
        self._logged_domains = set()

    def allowed(self, regions, members):
        """Return those of the endpoints or node states that are in allowed regions.

        `regions` are those of `allowed_regions`: None allows none, an empty set all.
        """
        if regions == frozenset():
            return members
        for domain in {member.failure_domain for member in members}:
            self._check(domain)
        return self._regions.allowed(regions, members)

    def allows(self, regions, endpoint):
        """Return whether an endpoint is in an allowed region."""
        return bool(self.allowed(regions, [endpoint]))

    def _check(self, domain):
        is_known = self._regions.region_of(domain) is not None
        is_logged = domain in self._logged_domains
        if is_known or is_logged or len(self._logged_domains) >= LOGGED_DOMAINS_MAX:
            return
        self._logged_domains.add(domain)
        structlog.get_logger().info(
            "failure domain without region", failure_domain=domain
        )


class JobHomes:
    """The regions of jobs by the configuration in force, and who may hold them.

    A job whose homes have no live node stays in the store until one of them is.
    """

    def __init__(self, parts):
        self._parts = parts
        self._regions = region_map(parts.settings)
        self._logged_keys = set()

    @property
    def has_homes(self):
        """Whether some requests have homes in the configuration in force."""
        configuration = self._parts.store_cache.configuration
        return configuration is not None and configuration.has_homes

    def regions_of(self, spec):
        """Return the `allowed_regions` of a `JobSpec`."""
        configuration = self._parts.store_cache.configuration
        if configuration is None:
            return frozenset()
        return configuration.regions_of(spec.host, spec.path, spec.workspace)

    def is_home(self, spec):
        """Return whether a peer may send the bodies of a job to this node."""
        return self.allows(spec, self._parts.settings.failure_domain)

    def is_home_of_summary(self, summary):
        """Return the same for a peer's `JobSummary`, by the names in it.

        It may be some seconds old; the peer decides by the job itself.
        """
        configuration = self._parts.store_cache.configuration
        regions = configuration.regions_of_route(summary.route, summary.workspace)
        return self._regions.allows(regions, self._parts.settings.failure_domain)

    def allows(self, spec, domain):
        """Return whether a job's bodies may be sent to nodes of a failure domain."""
        return self._regions.allows(self.regions_of(spec), domain)

    def allowed_peers(self, spec, states):
        """Return those of the peers' states that a job's bodies may be sent to."""
        return self._regions.allowed(self.regions_of(spec), states)

    def peers_in_region(self, states):
        """Return the states of the peers in this node's region, None if unknown."""
        region = self._regions.region_of(self._parts.settings.failure_domain)
        if region is None:
            return None
        return [
            state
            for state in states
            if self._regions.region_of(state.failure_domain) == region
        ]

    def candidates_by_key(self, specs, domain_by_id):
        """Return the ids of the nodes that may hold each job with homes, by its key.

        `domain_by_id` has the failure domain of each live node.
        """
        if not self.has_homes:
            return {}
        candidates_by_key = {}
        for spec in specs:
            regions = self.regions_of(spec)
            if regions != frozenset():
                candidates_by_key[spec.key] = job_candidates(
                    regions, self._regions.allows, spec.accepted_by, domain_by_id
                )
        return candidates_by_key

    def log_waiting(self, key, regions, reason):
        """Log once that a job waits for a node or an endpoint in its regions."""
        if (key, reason) in self._logged_keys:
            return
        if len(self._logged_keys) >= LOGGED_JOBS_MAX:
            self._logged_keys.clear()
        self._logged_keys.add((key, reason))
        self._parts.metrics.count("homes", reason)
        structlog.get_logger().info(
            "job waits for region",
            job=key,
            regions=None if regions is None else sorted(regions),
            reason=reason,
        )
