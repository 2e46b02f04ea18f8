"""Reads and writes revisions of the document in the platform."""

import threading
from typing import NamedTuple

from sequoiaglade_decisions.configuration import (
    CONTENT_LIMIT_BYTES,
    EMPTY_REVISION,
    EMPTY_ROOT,
    SECTION_NAMES,
    Revision,
    Root,
    encode_section,
    pack_content,
    section_digest,
    unpack_content,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode

ROOT_KIND = "configuration"
ROOT_NAME = "root"
SECTION_KIND = "configuration-sections"
REVISION_KIND = "configuration-revisions"
CHAIN_LIMIT = 1000


class FoundRoot(NamedTuple):
    """The root object with its version, which is 0 if there is none yet."""

    root: Root
    version: int


class ConfigurationStore:
    """The accepted document in the platform.

    A change is accepted by the conditional update of the root. Sections and revisions
    are named by their digests and written before it; without a root that refers to
    them they have no effect.
    """

    def __init__(self, platform):
        self._platform = platform
        self._newest = FoundRoot(EMPTY_ROOT, 0)
        self._lock = threading.Lock()

    def root(self, timeout=None):
        """Return the `FoundRoot`, or a `Failure`.

        If the read is older than a root that this store has seen, the latter is
        returned.
        """
        found = self._read_root(timeout)
        return found if isinstance(found, Failure) else self._remember(found)

    def _read_root(self, timeout):
        stored = self._platform.get(ROOT_KIND, ROOT_NAME, timeout=timeout)
        match stored:
            case Failure(code=FailureCode.NOT_FOUND):
                return FoundRoot(EMPTY_ROOT, 0)
            case Failure():
                return stored
        return FoundRoot(Root.decode(stored.value), stored.version)

    def content(self, kind, digest):
        """Return the bytes that `digest` names, or a `Failure`."""
        stored = self._platform.get(kind, digest)
        if isinstance(stored, Failure):
            return stored
        data = unpack_content(stored.value, digest)
        if data is None:
            return Failure(FailureCode.INVALID, f"{kind}/{digest} is damaged")
        return data

    def revision(self, digest):
        """Return the `Revision` that `digest` names, or a `Failure`."""
        if not digest:
            return EMPTY_REVISION
        data = self.content(REVISION_KIND, digest)
        return data if isinstance(data, Failure) else Revision.decode(data)

    def chain(self, revision, count=CHAIN_LIMIT):
        """Yield up to `count` accepted revisions, from `revision` to the first.

        A `Failure` in place of a revision ends the chain.
        """
        for _ in range(count):
            if not isinstance(revision, Failure) and not revision.number:
                return
            yield revision
            if isinstance(revision, Failure) or not revision.parent:
                return
            revision = self.revision(revision.parent)

    def write_contents(self, document, base):
        """Store the sections that differ from the revision `base`.

        Return the digests by section, or a `Failure`.
        """
        digests = {}
        for name in SECTION_NAMES:
            data = section_bytes(document, name)
            digests[name] = section_digest(data)
            if digests[name] != base.digest_by_section.get(name):
                failure = self._put(SECTION_KIND, digests[name], data)
                if failure is not None:
                    return failure
        return digests

    def write_root(self, revision, version):
        """Accept `revision` over the root's `version`; return its `Root`.

        A `Failure` with the code ``CONFLICT`` states that the change was not accepted,
        ``UNKNOWN`` that it may have been accepted.
        """
        data = revision.encode()
        root = Root(revision.number, section_digest(data))
        failure = self._put(REVISION_KIND, root.revision, data)
        if failure is not None:
            return failure._replace(code=FailureCode.UNAVAILABLE)
        if version == 0:
            stored = self._platform.create(ROOT_KIND, ROOT_NAME, root.encode())
        else:
            stored = self._platform.update(ROOT_KIND, ROOT_NAME, root.encode(), version)
        if isinstance(stored, Failure):
            return stored
        self._remember(FoundRoot(root, stored.version))
        return root

    def _remember(self, found):
        with self._lock:
            if found.root.number >= self._newest.root.number:
                self._newest = found
            return self._newest

    def _put(self, kind, digest, data):
        packed = pack_content(data)
        if len(packed) > CONTENT_LIMIT_BYTES:
            return Failure(FailureCode.INVALID, f"{kind}/{digest} is too large")
        written = self._platform.create(kind, digest, packed)
        match written:
            case Failure(code=FailureCode.CONFLICT):
                return None
            case Failure():
                return written
        return None


def section_bytes(document, name):
    """Return the canonical bytes of a document's section."""
    items = getattr(document, name).items()
    return encode_section({k: item.model_dump(mode="json") for k, item in items})


def oversized_sections(document, base):
    """Return the names of changed sections that the platform can't store."""
    return [
        name
        for name in SECTION_NAMES
        if getattr(document, name) != getattr(base, name)
        and len(pack_content(section_bytes(document, name))) > CONTENT_LIMIT_BYTES
    ]
