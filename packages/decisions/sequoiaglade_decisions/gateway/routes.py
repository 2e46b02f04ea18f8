"""Configuration of a gateway: routes, services and workspaces."""

from enum import Enum
from typing import NamedTuple

from .hashing import stable_hash
from .regions import allowed_regions


class RouteKind(Enum):
    """Kind of a route's requests, which determines whether they may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


class Route(NamedTuple):
    """Requests of one host whose path begins with `prefix`.

    `targets` are pairs of a service and its weight. `objective` is the time in seconds
    within which a response should begin (for batch: a submission be acknowledged),
    `timeout` the maximum duration of a request in seconds. `attempts` limits the number
    of endpoints on which one request may run. For batch routes, results are due
    `due_seconds` after the submission, items may be given up after `retention`
    seconds, and a workspace may have `waiting_tokens` unfinished tokens (0: no limit).
    `regions` are those in which its requests may be handled, empty for all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[tuple[str, int], ...]
    timeout: float
    objective: float
    attempts: int = 1
    priority: int = 0
    is_public: bool = False
    is_resumable: bool = False
    due_seconds: float = 0.0
    retention: float = 0.0
    waiting_tokens: int = 0
    regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self):
        """Whether a request may be sent again after it may have run."""
        match self.kind:
            case RouteKind.SAFE | RouteKind.BATCH:
                return True
            case RouteKind.STREAM:
                return self.is_resumable
            case RouteKind.UNSAFE:
                return False

    def service_for(self, request_id):
        """Return the service for a request, chosen by hash and the targets' weights.

        >>> route = Route("r", "h", "/", RouteKind.SAFE, (("a", 1),), 1.0, 1.0)
        >>> route.service_for("request-1")
        'a'
        """
        total = sum(weight for _, weight in self.targets)
        if total <= 0:
            return self.targets[0][0] if self.targets else None
        point = stable_hash(request_id) % total
        for service, weight in self.targets:
            if point < weight:
                return service
            point -= weight
        return None


class Service(NamedTuple):
    """A group of equivalent endpoints; `slots` is 0 if unknown.

    An endpoint is cold for `cold_seconds` after its start. Meanwhile it takes
    `cold_rate` requests a second from all nodes together (0: no limit).
    """

    name: str
    connection_limit: int = 0
    slots: int = 0
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


class Workspace(NamedTuple):
    """A customer with its keys, priority (0 is the highest) and fleet-wide quota.

    `rate` is in requests per second, `burst` in requests; a rate of 0 is no limit.
    `regions` are those in which its requests may be handled, empty for all.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()


class FleetConfiguration:
    """One version of the operators' configuration, indexed for lookups.

    `notes` are the `ConfigurationFinding` of the code that decoded it.

    >>> route = Route("r", "a.example", "/x/", RouteKind.SAFE, (("s", 1),), 1.0, 1.0)
    >>> config = FleetConfiguration(3, (route,), (), (Workspace("w", ("k",)),))
    >>> config.match("a.example:80", "/x/1").name, config.match("a.example", "/y")
    ('r', None)
    >>> config.workspace_of("k").name
    'w'
    """

    def __init__(self, version, routes, services, workspaces, notes=()):
        self.version = version
        self.notes = notes
        self.routes = routes
        self.route_by_name = {route.name: route for route in routes}
        self.services = services
        self.workspaces = workspaces
        self.service_by_name = {service.name: service for service in services}
        self.workspace_by_name = {w.name: w for w in workspaces}
        self._workspace_by_key = {k: w for w in workspaces for k in w.keys}
        # Whether a route or a workspace names regions.
        self.has_homes = any(part.regions for part in (*routes, *workspaces))
        self._routes_by_host = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def homes_of_host(self, host):
        """Return the regions that routes of a host name, empty if none does."""
        routes = self._routes_by_host.get(_host_name(host), ())
        return frozenset().union(*(route.regions for route in routes))

    def regions_of(self, host, path, workspace):
        """Return the `allowed_regions` of requests of a workspace, given by its name.

        A route or workspace that is not in the configuration restricts nothing.
        """
        return allowed_regions(
            self.match(host, path), self.workspace_by_name.get(workspace)
        )

    def regions_of_route(self, name, workspace):
        """Return the `allowed_regions` of a route's requests, both given by name.

        >>> south = Route("r", "h", "/", RouteKind.BATCH, (), 1.0, 1.0)
        >>> south = south._replace(regions=frozenset({"south"}))
        >>> north = Workspace("w", (), regions=frozenset({"north"}))
        >>> config = FleetConfiguration(3, (south,), (), (north,))
        >>> [config.regions_of_route("r", name) for name in ("w", "")]
        [None, frozenset({'south'})]
        >>> config.regions_of_route("gone", "w"), config.regions_of_route("gone", "")
        (frozenset({'north'}), frozenset())
        """
        return allowed_regions(
            self.route_by_name.get(name), self.workspace_by_name.get(workspace)
        )

    @property
    def has_workspaces(self):
        """Whether requests on routes that are not public need a key."""
        return bool(self.workspace_by_name)

    def match(self, host, path):
        """Return the `Route` with the longest prefix of `path`, or None."""
        for route in self._routes_by_host.get(_host_name(host), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def service_for(self, spec):
        """Return the service of the items of a `JobSpec`, None without a route."""
        route = self.match(spec.host, spec.path)
        return route and route.service_for(spec.job_id)

    def workspace_of(self, key):
        """Return the `Workspace` that `key` belongs to, or None."""
        return self._workspace_by_key.get(key)


def _host_name(host):
    return host.partition(":")[0].lower()
