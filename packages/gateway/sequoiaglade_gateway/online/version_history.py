"""The record of the software versions that services have or had until lately.

It is kept in the store, so that gateways that were killed together, and start when the
endpoints of a version have just left, know that a stream may have begun there.
"""

import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.threads import OwnedThread

from ..version_messages import FindRecentVersions, VersionsRecalled

VERSIONS_KIND = "versions"
# Versions of a service in a record, whose names are bounded, so that it fits into a
# document. Which of several began a stream can't be told from the record anyway.
RECORDED_VERSIONS_MAX = 64
# A new version's first streams and the kill of all gateways are further apart.
INTERVAL_SECONDS = 0.3


class VersionHistory(OwnedThread):
    """Reads the record at the start, and writes it at one node; a context manager.

    A service that has only had one version since its last record needs none, so that
    nothing is written while there are no releases.
    """

    def __init__(self, parts):
        super().__init__("version history")
        self._parts = parts
        self._record_by_service = None
        self._log = structlog.get_logger()

    def read(self, service):
        """Return the versions of a service that the store names now, None if unknown.

        They are those of the listed endpoints and those of the record.
        """
        kind = self._parts.dialect.kinds.endpoints
        listing = self._parts.store.list(kind)
        if isinstance(listing, Failure):
            return None
        document = self._parts.store.get(VERSIONS_KIND, service)
        if isinstance(document, Failure) and document.code is not FailureCode.NOT_FOUND:
            return None
        endpoints = map(self._parts.dialect.read_endpoint, listing.documents)
        listed = {
            endpoint.version
            for endpoint in endpoints
            if not isinstance(endpoint, Failure) and endpoint.service == service
        }
        return listed | _versions(document)

    def _run(self):
        while not self._stopped.wait(INTERVAL_SECONDS):
            if self._record_by_service is None:
                self._recall()
            else:
                self._record()

    def _recall(self):
        listing = self._parts.store.list(VERSIONS_KIND)
        if isinstance(listing, Failure):
            self._log.info("recorded versions not readable", reason=listing.reason)
            return
        self._record_by_service = {d.name: d for d in listing.documents}
        versions_by_service = {d.name: _versions(d) for d in listing.documents}
        self._parts.coordinator.tell(VersionsRecalled(versions_by_service))
        if versions_by_service:
            self._log.info(
                "versions recalled",
                versions={s: sorted(v) for s, v in versions_by_service.items()},
            )

    def _record(self):
        recent = self._parts.coordinator.ask(FindRecentVersions())
        if not recent.is_recorder:
            return
        for service, versions in recent.versions_by_service.items():
            document = self._record_by_service.get(service)
            versions = set(sorted(versions)[:RECORDED_VERSIONS_MAX])
            needs_record = len(versions) > 1 or document is not None
            if needs_record and versions != _versions(document):
                self._write(service, versions, document)

    def _write(self, service, versions, document):
        value = {"versions": sorted(versions)}
        store = self._parts.store
        if document is None:
            written = store.create(VERSIONS_KIND, service, value)
        else:
            revision = document.revision
            written = store.replace(VERSIONS_KIND, service, value, revision)
        if isinstance(written, Failure):
            # Another node may have written it, or this call later than it seems.
            written = store.get(VERSIONS_KIND, service)
        if isinstance(written, Failure):
            self._log.info(
                "versions not recorded", service=service, reason=written.reason
            )
            return
        self._record_by_service[service] = written
        self._log.info(
            "versions recorded", service=service, versions=sorted(_versions(written))
        )


def _versions(document):
    """Return the versions of a record, none if there is none or it can't be read."""
    value = getattr(document, "value", None)
    versions = value.get("versions") if isinstance(value, dict) else None
    if not isinstance(versions, list):
        return set()
    return {version for version in versions if isinstance(version, str)}
