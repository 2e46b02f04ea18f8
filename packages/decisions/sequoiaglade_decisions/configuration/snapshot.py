"""Immutable view of one revision with indexes for looking up routes and endpoints."""

from typing import NamedTuple

from .document import Document, Endpoint, Route


class Snapshot(NamedTuple):
    """One revision of the document with indexes derived from it."""

    revision: int
    document: Document
    key_name_by_digest: dict[str, str]
    endpoint_ids_by_model: dict[str, tuple[str, ...]]
    endpoint_ids_by_service: dict[str, tuple[str, ...]]
    route_by_model: dict[str, Route]
    service_routes: tuple[Route, ...]

    def endpoint(self, endpoint_id) -> Endpoint | None:
        """Return the endpoint with this id, or None."""
        return self.document.endpoints.get(endpoint_id)

    def service_route(self, path):
        """Return the route with the longest prefix of `path`, or None."""
        for route in self.service_routes:
            prefix = route.path_prefix.rstrip("/")
            if path == prefix or path.startswith(prefix + "/"):
                return route
        return None


def make_snapshot(revision, document):
    """Return the `Snapshot` of `document` at the revision number `revision`.

    >>> make_snapshot(3, Document()).revision
    3
    """
    service_routes = [r for r in document.routes.values() if r.service is not None]
    service_routes.sort(key=lambda route: -len(route.path_prefix))
    routes = document.routes.values()
    return Snapshot(
        revision=revision,
        document=document,
        key_name_by_digest={k.digest: n for n, k in document.keys.items()},
        endpoint_ids_by_model=_ids_by(document, "model"),
        endpoint_ids_by_service=_ids_by(document, "service"),
        route_by_model={r.model: r for r in routes if r.model is not None},
        service_routes=tuple(service_routes),
    )


def _ids_by(document, attribute):
    ids_by_target = {}
    for endpoint_id, endpoint in document.endpoints.items():
        target = getattr(endpoint, attribute)
        if target is not None:
            ids_by_target.setdefault(target, []).append(endpoint_id)
    return {target: tuple(ids) for target, ids in ids_by_target.items()}


EMPTY_SNAPSHOT = make_snapshot(0, Document())
