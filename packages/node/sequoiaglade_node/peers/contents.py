"""Transfers configuration contents between nodes."""

import grpc

from sequoiaglade_decisions.configuration import (
    Root,
    pack_content,
    section_digest,
    unpack_content,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_protocol import configuration_pb2, configuration_pb2_grpc

from ..configuration.store import section_bytes

FETCH_TIMEOUT_SECONDS = 1.0
SOURCES_LIMIT = 3


class ContentServicer(configuration_pb2_grpc.ConfigurationExchangeServicer):
    """Serves the contents of the revision that this node holds."""

    def __init__(self, holder):
        self._holder = holder

    def Fetch(self, request, context):  # noqa: N802
        """Return the content with the requested digest, or the root."""
        held = self._holder.held
        root = held.root
        data = b"" if not request.digest else _content(held, request.digest)
        return configuration_pb2.ContentReply(
            found=data is not None,
            number=root.number,
            digest=root.revision,
            packed=pack_content(data) if data else b"",
        )


class PeerSource:
    """A peer as a source of the root and of contents."""

    def __init__(self, channel):
        self._stub = configuration_pb2_grpc.ConfigurationExchangeStub(channel)

    def root(self):
        """Return the peer's `Root`, or a `Failure`."""
        reply = self._fetch("")
        if isinstance(reply, Failure):
            return reply
        return Root(reply.number, reply.digest)

    def content(self, kind, digest):
        """Return the content with `digest` as bytes, or a `Failure`."""
        reply = self._fetch(digest)
        if isinstance(reply, Failure):
            return reply
        data = unpack_content(reply.packed, digest) if reply.found else None
        if data is None:
            return Failure(FailureCode.NOT_FOUND, f"the peer has no {digest}")
        return data

    def _fetch(self, digest):
        request = configuration_pb2.ContentRequest(digest=digest)
        try:
            return self._stub.Fetch(request, timeout=FETCH_TIMEOUT_SECONDS)
        except grpc.RpcError as error:
            return Failure(FailureCode.UNAVAILABLE, f"peer: {error.code()}")


def _content(held, digest):
    if digest == held.root.revision:
        return held.revision.encode()
    for name, section in held.revision.digest_by_section.items():
        if section == digest:
            data = section_bytes(held.snapshot.document, name)
            return data if section_digest(data) == digest else None
    return None
