"""Regions in which a request, and the body that it brings, may be handled.

Load pattern: some customers' requests must stay in one region of two or three, while
all others may run anywhere. Operators move these homes while requests and jobs wait.
"""


def allowed_regions(route, workspace):
    """Return the regions that a `Route` and a `Workspace` both allow, empty for all.

    Return None if both name regions but have none in common, so that none is allowed.
    Either may be None if it is not known.

    >>> from types import SimpleNamespace
    >>> route = SimpleNamespace(regions=frozenset({"north", "south"}))
    >>> workspace = SimpleNamespace(regions=frozenset({"north"}))
    >>> allowed_regions(route, workspace), allowed_regions(None, None)
    (frozenset({'north'}), frozenset())
    >>> allowed_regions(SimpleNamespace(regions={"west"}), workspace)
    """
    lists = [part.regions for part in (route, workspace) if part is not None]
    lists = [frozenset(regions) for regions in lists if regions]
    if not lists:
        return frozenset()
    return frozenset.intersection(*lists) or None


class RegionMap:
    """The region of each failure domain.

    Without a map all failure domains are in this node's region. A domain that the map
    lacks has no known region: requests with homes are not handled there.

    >>> regions = RegionMap({"zone-a": "north", "zone-b": "south"}, "north")
    >>> regions.region_of("zone-b"), regions.region_of("zone-x")
    ('south', None)
    >>> homes = frozenset({"south"})
    >>> [regions.allows(homes, domain) for domain in ("zone-a", "zone-b", "zone-x")]
    [False, True, False]
    >>> regions.allows(frozenset(), "zone-x"), regions.allows(None, "zone-b")
    (True, False)
    """

    def __init__(self, region_by_domain, own_region):
        self._region_by_domain = region_by_domain
        self._own_region = own_region or None

    def region_of(self, domain):
        """Return the region of a failure domain, None if it is not known."""
        if not self._region_by_domain:
            return self._own_region
        return self._region_by_domain.get(domain)

    def allows(self, regions, domain):
        """Return whether a failure domain is in one of the `allowed_regions`."""
        if regions is None:
            return False
        return not regions or self.region_of(domain) in regions

    def allowed(self, regions, members):
        """Return those of the endpoints or node states that are in allowed regions."""
        return [m for m in members if self.allows(regions, m.failure_domain)]


def job_candidates(regions, allows, accepted_by, domain_by_id):
    """Return the ids of the live nodes that may hold a job, sorted.

    These are the ones in its regions, and the one that its caller chose itself.
    `allows` is `RegionMap.allows`, `domain_by_id` has the failure domain of each live
    node. All nodes with the same view get the same ids.

    >>> regions = RegionMap({"zone-a": "north", "zone-b": "south"}, "north")
    >>> domain_by_id = {"g1": "zone-a", "g2": "zone-b", "g3": "zone-a"}
    >>> job_candidates(frozenset({"south"}), regions.allows, "g3", domain_by_id)
    ['g2', 'g3']
    """
    return sorted(
        node_id
        for node_id, domain in domain_by_id.items()
        if node_id == accepted_by or allows(regions, domain)
    )
