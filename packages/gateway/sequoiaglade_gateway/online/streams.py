"""The software versions that began the streams of this node and its peers."""

import threading
import time

import structlog

from sequoiaglade_decisions.gateway import (
    RunningStreams,
    StreamVersions,
    only_version,
)
from sequoiaglade_node.threads import OwnedThread

from ..version_messages import FindRunKeepers, FindStreamKeepers, StreamAnswer

# Interval of checks for peers that are to be told of running streams. A release, or the
# start of a peer, is seldom followed by the kill of this node within it.
TELL_SECONDS = 0.2


class StreamDirectory:
    """Keeps the versions of streams, tells peers of them, and asks peers for them.

    Peers are told only while the service has several versions or had until lately: of
    streams that begin then at once, of those that run already by `tell_peers`, which
    also tells peers that start. `read_versions` returns the versions of a service that
    the store names now, None if they can't be read.
    """

    def __init__(self, parts, client, read_versions, clock=time.monotonic):
        self._parts = parts
        self._client = client
        self._read_versions = read_versions
        self._clock = clock
        self._lock = threading.Lock()
        self._versions = StreamVersions()
        self._running = RunningStreams()
        self._log = structlog.get_logger()

    def note(self, request_id, service, version, stream_id):
        """Record that a request is sent to a version.

        It may begin the stream `stream_id`, or goes on with it.
        """
        run = (stream_id, version)
        with self._lock:
            is_known = self._running.get(request_id) == run
            self._running.note(request_id, stream_id, service, version)
            self._versions.note(stream_id, version, self._clock())
        if not is_known:
            self._tell(service, {request_id: stream_id})

    def end(self, request_id, is_complete):
        """Record that a request has ended; a stream that broke may be taken up."""
        with self._lock:
            self._running.end(request_id, is_complete, self._clock())

    def tell_peers(self):
        """Tell peers of the running streams that they are to know and do not know."""
        with self._lock:
            streams_by_service = self._running.streams_by_service(self._clock())
        for service, stream_id_by_run in streams_by_service.items():
            told_count = self._tell(service, stream_id_by_run)
            if told_count:
                self._log.info(
                    "peers told of running streams",
                    service=service,
                    running=len(stream_id_by_run),
                    notes=told_count,
                )

    def _tell(self, service, stream_id_by_run):
        """Tell peers of runs that they do not know; return the number of notes."""
        note_count = 0
        question = FindRunKeepers(service, stream_id_by_run)
        keepers_by_run = self._parts.coordinator.ask(question)
        for run_id, keepers in keepers_by_run.items():
            with self._lock:
                run = self._running.get(run_id)
                untold = self._running.take_untold(run_id, keepers)
            note_count += len(untold)
            for peer in untold:
                self._tell_peer(run_id, *run, peer)
        return note_count

    def _tell_peer(self, run_id, stream_id, version, peer):
        def forget_told():
            with self._lock:
                self._running.forget_told(run_id, version, peer)

        address, _ = peer
        self._client.note_stream(address, stream_id, version, forget_told)

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


class StreamNotes(OwnedThread):
    """A thread that tells peers of the streams of a `StreamDirectory`; owns nothing."""

    def __init__(self, streams):
        super().__init__("stream notes")
        self._streams = streams

    def _run(self):
        while not self._stopped.wait(TELL_SECONDS):
            self._streams.tell_peers()
