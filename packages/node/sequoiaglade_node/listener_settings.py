"""Settings that both kinds of nodes have.

They are apart from `NodeSettings`, which a gateway does not use.
"""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Address = Annotated[str, Field(pattern=r"^[0-9A-Za-z_.\-\[\]:]*[0-9A-Za-z_.\-\]]:\d+$")]


class SettingsPart(BaseModel):
    """Base class of settings, which may have no unknown keys."""

    # The checks of a class are built when it is first used: those that are parts of
    # another class need none of their own, and a gateway never uses `NodeSettings`.
    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


class Limits(SettingsPart):
    """Limits on the requests of a node.

    A body over `body_buffer_bytes` is buffered in a file while it arrives. `uploads`
    limits the concurrent uploads of files, `arrival_seconds` the arrival of a request's
    head. A body of which nothing arrives for `body_idle_seconds` is refused, and a
    connection whose response is not read for `unread_seconds` is closed. A call may
    wait `queue_seconds` for a thread, and again for a slot.
    `answer_seconds` limits the wait for the start of an endpoint's response,
    `stall_seconds` each wait for a further part of a stream.
    """

    data_threads: int = Field(default=512, ge=4, le=10_000)
    connections: int = Field(default=4096, ge=16, le=100_000)
    body_bytes: int = Field(default=8_388_608, ge=1024, le=1_073_741_824)
    file_bytes: int = Field(default=268_435_456, ge=1024, le=4_294_967_296)
    body_buffer_bytes: int = Field(default=65_536, ge=1024, le=1_048_576)
    uploads: int = Field(default=16, ge=1, le=10_000)
    header_bytes: int = Field(default=32_768, ge=1024, le=1_048_576)
    arrival_seconds: float = Field(default=30.0, gt=0, le=3600)
    body_idle_seconds: float = Field(default=75.0, gt=0, le=3600)
    unread_seconds: float = Field(default=75.0, gt=0, le=3600)
    answer_seconds: float = Field(default=60.0, gt=0, le=3600)
    stall_seconds: float = Field(default=15.0, gt=0, le=3600)
    queue_seconds: float = Field(default=10.0, gt=0, le=600)
    batch_workers: int = Field(default=16, ge=0, le=1024)
    batch_lease_seconds: float = Field(default=30.0, ge=1, le=600)
