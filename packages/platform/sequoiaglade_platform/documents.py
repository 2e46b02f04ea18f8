"""Interface to a platform's document store, independent of the wire format."""

from typing import Any, NamedTuple, Protocol


class Document(NamedTuple):
    """A JSON value in the store, with the revision of its last change."""

    name: str
    revision: int
    value: Any


class Listing(NamedTuple):
    """The documents of a kind at a revision of the store."""

    documents: list[Document]
    revision: int


class DocumentChange(NamedTuple):
    """A change that a watch reports; `document` is None for a removal."""

    name: str
    document: Document | None


class Changes(NamedTuple):
    """Changes that a watch reports, and the revision to watch from next."""

    changes: list[DocumentChange]
    revision: int


class DocumentStore(Protocol):
    """Documents by kind and name, with conditional writes.

    Each method returns its result or a `Failure`: ``UNAVAILABLE`` if the call had no
    effect, ``UNKNOWN`` if it may have taken effect or may still do so, ``CONFLICT`` if
    a condition did not hold, ``EXPIRED`` if a watch asks for changes that the store no
    longer has, ``INTERRUPTED`` if a watch was ended by `renew_connections`.

    With `may_be_outdated` a read may return what the store held seconds ago; it has a
    fraction of the price of others.
    """

    def get(self, kind, name, may_be_outdated=False): ...

    def list(self, kind, may_be_outdated=False): ...

    def create(self, kind, name, value, seconds=None): ...

    def replace(self, kind, name, value, revision): ...

    def put_status(self, kind, name, status): ...

    def watch(self, kind, revision, seconds, may_be_outdated=False): ...

    def observe(self, on_call):
        """Call `on_call` with a `StoreCall` after each call that has evidence."""

    def probe(self):
        """Make a cheap call on a connection that is kept for probes."""

    def end_watches(self, kind):
        """End the watches of a kind that wait, as `renew_connections` does."""

    def renew_connections(self):
        """Use new connections from now on; return the kinds of the ended watches."""
