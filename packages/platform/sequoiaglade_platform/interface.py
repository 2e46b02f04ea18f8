"""What the system needs of a platform, whatever its wire form."""

from typing import NamedTuple, Protocol


class StoredObject(NamedTuple):
    """An object as the platform keeps it. `writer` is the token of its last write."""

    name: str
    version: int
    value: bytes
    writer: str


class Change(NamedTuple):
    """A change that a watch reports; `deleted` changes carry no value."""

    name: str
    version: int
    deleted: bool


class Instance(NamedTuple):
    """An entry of the platform's list of instances, which lags."""

    instance_id: str
    state: str


class Platform(Protocol):
    """The platform's object API. Each method returns its result or a `Failure`.

    A write whose answer is lost is settled by reading the object back: each write
    carries a token of its own, kept beside the value.
    """

    def get(self, kind, name, timeout=None): ...

    def create(self, kind, name, value): ...

    def update(self, kind, name, value, version): ...

    def delete(self, kind, name, version): ...

    def list(self, kind, prefix=""): ...

    def watch(self, kind, since, timeout): ...

    def instances(self): ...
