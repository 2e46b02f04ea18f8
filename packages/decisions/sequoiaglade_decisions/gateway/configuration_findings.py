"""Entries of a configuration that have no effect or contradict each other.

Nodes accept such a configuration, since each of its entries can be read. Its effect is
on ordinary load: requests of a route or a workspace are refused, are not repeated or go
elsewhere than its author expects.
"""

from collections import Counter
from typing import NamedTuple

from .routes import RouteKind


class ConfigurationFinding(NamedTuple):
    """One finding: its `kind`, an id for scripts, the entry's `location`, and a text.

    It names keys of workspaces by their number, since these are secret.
    """

    kind: str
    location: str
    text: str


def find_configuration_warnings(configuration):
    """Return the `ConfigurationFinding` list of a `FleetConfiguration`.

    >>> from sequoiaglade_decisions.gateway import FleetConfiguration, Route
    >>> route = Route("r", "a.example", "/x/", RouteKind.SAFE, (("s", 1),), 1.0, 2.0)
    >>> config = FleetConfiguration(3, (route, route._replace(name="q")), (), ())
    >>> for finding in find_configuration_warnings(config):
    ...     print(finding.kind, finding.location)
    route-shadowed route "q"
    objective-above-timeout route "r"
    objective-above-timeout route "q"
    unknown-service route "r"
    unknown-service route "q"
    """
    routes, services = configuration.routes, configuration.services
    workspaces = configuration.workspaces
    return [
        *configuration.notes,
        *_missing_routes(routes),
        *_guarded("routes", _repeated_names("route", routes)),
        *_guarded("services", _repeated_names("service", services)),
        *_guarded("workspaces", _repeated_names("workspace", workspaces)),
        *_guarded("routes", _shadowed_routes(routes)),
        *_in_each("route", routes, _in_route),
        *_guarded("routes", _unknown_services(configuration)),
        *_guarded("services", _unused_services(configuration)),
        *_in_each("service", services, _in_service),
        *_in_each("workspace", workspaces, _in_workspace),
        *_guarded("workspaces", _shared_keys(workspaces)),
        *_guarded("workspaces", _workspaces_without_region(configuration)),
    ]


def _location(noun, entry):
    return f'{noun} "{entry.name}"'


def _in_each(noun, entries, find):
    for entry in entries:
        yield from _guarded(_location(noun, entry), find(entry))


def _guarded(location, findings):
    """Yield findings; a value of a wrong type is one more, and ends them.

    Nodes read some fields without a check of their types.
    """
    try:
        yield from findings
    except (AttributeError, TypeError, ValueError) as error:
        text = f"a field has a value of a wrong type: {error}"
        yield ConfigurationFinding("wrong-type", location, text)


def _missing_routes(routes):
    if not routes:
        text = "there are none: no request has a route"
        yield ConfigurationFinding("no-routes", "routes", text)


def _repeated_names(noun, entries):
    counts = Counter(entry.name for entry in entries)
    # Routes are matched one by one; of others, the last entry replaces the ones before.
    effect = "logs and metrics do not tell them apart"
    if noun != "route":
        effect = "a lookup by name finds only the last one"
    for name, count in counts.items():
        if count > 1:
            text = f"{count} entries have this name: {effect}"
            yield ConfigurationFinding("name-repeated", f'{noun} "{name}"', text)


def _shadowed_routes(routes):
    first_by_match = {}
    for route in routes:
        first = first_by_match.setdefault((route.host, route.prefix), route)
        if first is not route:
            text = (
                f'never matches: route "{first.name}" is listed before it and has the '
                "same host and path prefix"
            )
            location = _location("route", route)
            yield ConfigurationFinding("route-shadowed", location, text)


def _in_route(route):
    location = _location("route", route)
    if ":" in route.host or not route.host:
        text = f'never matches: the host "{route.host}" must be a name without a port'
        yield ConfigurationFinding("route-unmatchable", location, text)
    if route.prefix and not route.prefix.startswith("/") or "?" in route.prefix:
        text = f'never matches: no path begins with "{route.prefix}"'
        yield ConfigurationFinding("route-unmatchable", location, text)
    if route.timeout <= 0:
        text = f"the timeout is {route.timeout:g} s: each request ends at once"
        yield ConfigurationFinding("timeout-not-positive", location, text)
    elif route.timeout < route.objective:
        text = (
            f"the latency objective of {route.objective:g} s is above the timeout of "
            f"{route.timeout:g} s"
        )
        yield ConfigurationFinding("objective-above-timeout", location, text)
    if 0 < route.retention < route.due_seconds:
        text = (
            f"items may be given up after {route.retention:g} s, before results are "
            f"due after {route.due_seconds:g} s"
        )
        yield ConfigurationFinding("retention-below-due-time", location, text)
    if route.kind is not RouteKind.BATCH and (route.retention or route.due_seconds):
        text = "a retention or due time has an effect on batch routes only"
        yield ConfigurationFinding("field-without-effect", location, text)
    if route.is_resumable and route.kind is not RouteKind.STREAM:
        text = "only streams can be resumable"
        yield ConfigurationFinding("field-without-effect", location, text)
    if route.attempts > 1 and not route.is_repeatable:
        text = (
            f"{route.attempts} attempts have no effect: its requests may not be "
            "repeated after they may have run"
        )
        yield ConfigurationFinding("field-without-effect", location, text)
    yield from _unused_targets(route, location)


def _unused_targets(route, location):
    if sum(weight for _, weight in route.targets) <= 0:
        used = {service for service, _ in route.targets[:1]}
    else:
        used = {service for service, weight in route.targets if weight > 0}
    for service, weight in route.targets:
        if service not in used:
            text = f'service "{service}" gets no request: its weight is {weight}'
            yield ConfigurationFinding("target-without-effect", location, text)


def _unknown_services(configuration):
    for route in configuration.routes:
        for service, _ in route.targets:
            if service not in configuration.service_by_name:
                text = f'the configuration has no service "{service}"'
                location = _location("route", route)
                yield ConfigurationFinding("unknown-service", location, text)


def _unused_services(configuration):
    named = {name for route in configuration.routes for name, _ in route.targets}
    for name in configuration.service_by_name:
        if name not in named:
            location = f'service "{name}"'
            yield ConfigurationFinding("service-unused", location, "no route names it")


def _in_service(service):
    if service.cold_seconds > 0 and service.cold_rate <= 0:
        text = (
            f"its endpoints are cold for {service.cold_seconds:g} s, which has no "
            "effect without a rate for cold endpoints"
        )
        location = _location("service", service)
        yield ConfigurationFinding("field-without-effect", location, text)


def _in_workspace(workspace):
    location = _location("workspace", workspace)
    if not workspace.keys:
        text = "it has no keys: no request can belong to it"
        yield ConfigurationFinding("workspace-without-keys", location, text)
    if workspace.rate < 0:
        text = f"the rate of {workspace.rate:g} is negative: there is no limit"
        yield ConfigurationFinding("rate-negative", location, text)
    elif workspace.rate > 0 and workspace.burst < 1:
        text = (
            f"the burst of {workspace.burst:g} is below one request: requests are "
            "refused even if few are sent"
        )
        yield ConfigurationFinding("burst-below-one", location, text)
    elif workspace.rate == 0 and workspace.burst > 0:
        text = f"the burst of {workspace.burst:g} has no effect without a rate"
        yield ConfigurationFinding("field-without-effect", location, text)


def _shared_keys(workspaces):
    owner_by_key = {}
    for workspace in workspaces:
        for number, key in enumerate(workspace.keys, 1):
            other, other_number = owner_by_key.setdefault(key, (workspace, number))
            if other is not workspace:
                text = (
                    f'key {other_number} is also key {number} of workspace "'
                    f'{workspace.name}", which its requests belong to'
                )
                location = _location("workspace", other)
                yield ConfigurationFinding("key-in-two-workspaces", location, text)
                owner_by_key[key] = workspace, number


def _workspaces_without_region(configuration):
    if not configuration.routes or any(not r.regions for r in configuration.routes):
        return
    for workspace in configuration.workspaces:
        homes = workspace.regions
        if homes and not any(homes & route.regions for route in configuration.routes):
            text = "no route allows any of its regions: all its requests are refused"
            location = _location("workspace", workspace)
            yield ConfigurationFinding("regions-disjoint", location, text)
