"""The software versions that began the streams of this node and its peers."""

import threading
import time

import structlog

from sequoiaglade_decisions.gateway import StreamVersions

from ..messages import FindStreamKeepers


class StreamDirectory:
    """Keeps the versions of streams, tells peers of them, and asks peers for them.

    Peers are told only while the service has several versions or had until lately.
    """

    def __init__(self, parts, client, clock=time.monotonic):
        self._parts = parts
        self._client = client
        self._clock = clock
        self._lock = threading.Lock()
        self._versions = StreamVersions()
        self._log = structlog.get_logger()

    def note(self, request_id, service, version):
        """Record that a request that may begin a stream is sent to a version."""
        if self.known_version(request_id) == version:
            return
        self.receive_note(request_id, version)
        keepers = self._find_keepers(request_id, service)
        if len(keepers.versions) > 1:
            for address in keepers.addresses:
                self._client.note_stream(address, request_id, version)

    def receive_note(self, request_id, version):
        """Record the version of a stream that a peer told."""
        with self._lock:
            self._versions.note(request_id, version, self._clock())

    def known_version(self, request_id):
        """Return the version of a stream if this node knows it, else None."""
        with self._lock:
            return self._versions.get(request_id, self._clock())

    def find_version(self, request_id, service):
        """Return the version of a stream that this node or a peer knows.

        If none knows it, return the only version of the service, or None if it has
        several or had until lately. A node that can neither read the list of endpoints
        nor ask a peer does not know the versions.
        """
        version, source = self.known_version(request_id), "this node"
        keepers = self._find_keepers(request_id, service)
        if version is None:
            answer = self._client.find_stream(keepers.addresses, request_id)
            version, source = answer and answer.version, "peer"
            if version is not None:
                self.receive_note(request_id, version)
            elif (keepers.is_list_readable or answer) and len(keepers.versions) <= 1:
                version, source = next(iter(keepers.versions), None), "only version"
        self._log.info(
            "version of stream found" if version is not None else "stream unknown",
            request_id=request_id,
            version=version,
            source=source,
            versions=sorted(keepers.versions),
            is_list_readable=keepers.is_list_readable,
        )
        return version

    def _find_keepers(self, request_id, service):
        return self._parts.coordinator.ask(FindStreamKeepers(request_id, service))
