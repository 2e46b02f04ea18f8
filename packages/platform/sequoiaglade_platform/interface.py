"""Interface to the platform, independent of the wire format."""

from typing import NamedTuple, Protocol


class StoredObject(NamedTuple):
    """An object in the platform's store; `writer` is the token of its last write."""

    name: str
    version: int
    value: bytes
    writer: str


class Change(NamedTuple):
    """A change that a watch reports; `deleted` tells that the object was removed."""

    name: str
    version: int
    deleted: bool


class Instance(NamedTuple):
    """An entry of the platform's list of instances, which may be out of date."""

    instance_id: str
    state: str


class Platform(Protocol):
    """The platform's object API. Each method returns its result or a `Failure`.

    If the response to a write is lost, the object is read back to find out whether the
    write took effect: each write stores a unique token with the value.
    """

    def get(self, kind, name, timeout=None): ...

    def create(self, kind, name, value): ...

    def update(self, kind, name, value, version): ...

    def delete(self, kind, name, version): ...

    def list(self, kind, prefix=""): ...

    def watch(self, kind, since, timeout): ...

    def instances(self): ...
