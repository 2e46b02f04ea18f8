"""The software versions that began the streams of this node and its peers."""

import threading
import time

import structlog

from sequoiaglade_decisions.gateway import StreamVersions, only_version

from ..version_messages import FindStreamKeepers, StreamAnswer


class StreamDirectory:
    """Keeps the versions of streams, tells peers of them, and asks peers for them.

    Peers are told only while the service has several versions or had until lately.
    `read_versions` returns the versions of a service that the store names now, None if
    they can't be read.
    """

    def __init__(self, parts, client, read_versions, clock=time.monotonic):
        self._parts = parts
        self._client = client
        self._read_versions = read_versions
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
        several or had until lately. A node may be out of step with the list of
        endpoints, so that it counts the versions that peers know, or if none answers
        those that the store names now.
        """
        version, source = self.known_version(request_id), "this node"
        keepers = self._find_keepers(request_id, service)
        if version is None:
            answer = self._client.find_stream(keepers.addresses, request_id, service)
            version, source = answer and answer.version, "peer"
            if version is not None:
                self.receive_note(request_id, version)
            else:
                version = self._only_version(keepers, answer, service)
                source = "only version"
        self._log.info(
            "version of stream found" if version is not None else "stream unknown",
            request_id=request_id,
            version=version,
            source=source,
            versions=sorted(keepers.versions),
            is_list_readable=keepers.is_list_readable,
        )
        return version

    def describe_versions(self, request_id, service):
        """Return the `StreamAnswer` to a peer about a stream that is unknown here."""
        keepers = self._find_keepers(request_id, service)
        is_known = keepers.is_history_known and keepers.is_list_readable
        return StreamAnswer(None, frozenset(keepers.versions), is_known)

    def _only_version(self, keepers, answer, service):
        versions = set(keepers.versions)
        if answer is not None and answer.is_history_known:
            return only_version(versions | answer.versions, True)
        if len(versions) > 1:
            return None
        read = self._read_versions(service)
        return only_version(versions | (read or set()), read is not None)

    def _find_keepers(self, request_id, service):
        return self._parts.coordinator.ask(FindStreamKeepers(request_id, service))
