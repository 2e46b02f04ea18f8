"""What a gateway needs of a platform's store of documents, whatever its wire form."""

from typing import Any, NamedTuple, Protocol


class Document(NamedTuple):
    """A JSON value as the store keeps it, with the revision of its last change."""

    name: str
    revision: int
    value: Any


class Listing(NamedTuple):
    """The documents of a kind, and the store's revision at which they stood."""

    documents: list[Document]
    revision: int


class DocumentChange(NamedTuple):
    """A change that a watch reports; `document` is None for a removal."""

    name: str
    document: Document | None


class Changes(NamedTuple):
    """What a watch saw, and the revision to watch from next."""

    changes: list[DocumentChange]
    revision: int


class DocumentStore(Protocol):
    """Documents by kind and name, written under conditions.

    Each method returns its result or a `Failure`: ``UNAVAILABLE`` if the call had no
    effect, ``UNKNOWN`` if it may have had one or may still have it, ``CONFLICT`` if a
    condition did not hold, ``EXPIRED`` if a watch asks for changes that are gone.
    """

    def get(self, kind, name): ...

    def list(self, kind): ...

    def create(self, kind, name, value, seconds=None): ...

    def replace(self, kind, name, value, revision): ...

    def put_status(self, kind, name, status): ...

    def watch(self, kind, revision, seconds): ...
