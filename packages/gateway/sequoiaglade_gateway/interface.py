"""The interface to a deployment's wire format, which an adapter implements."""

from typing import Any, NamedTuple, Protocol


class IncomingCall(NamedTuple):
    """A caller's request.

    `headers` are the pairs to forward to an endpoint, without the key and without the
    headers that the gateway sets itself. `deadline` is how many seconds the caller
    waits (None if the request doesn't state it), `last_event_id` the id of the last
    event that the caller has received. `resumes` is the id of the request that began
    the stream which this one takes up, empty for a new stream. `prompt_parts` are the
    ids of the parts of its prompt, without the last one, which no other request shares.
    """

    request_id: str
    host: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    key: str | None
    deadline: float | None
    last_event_id: int
    resumes: str = ""
    prompt_parts: tuple[str, ...] = ()

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def stream_id(self):
        """The id of the request that began the stream, this one for a new stream."""
        return self.resumes if self.last_event_id and self.resumes else self.request_id


class EndpointLoad(NamedTuple):
    """What an endpoint states of its load: requests running and waiting, and slots.

    `work_percent` is how long work takes there now in per cent of the usual time, None
    if it isn't stated.
    """

    running: int
    waiting: int
    slots: int
    work_percent: float | None = None


class ResponseHead(NamedTuple):
    """Facts from the status line and headers of an endpoint's response.

    `request_id` is the id of the request that it answers (None if it is missing),
    `is_signed` whether it has the endpoint's signature, `is_not_run` whether the
    endpoint states that it did not run the request, `is_leaving` whether it announces
    its shutdown. `endpoint_id` is the id that the endpoint gives itself, or None.
    `names_limit` is whether it names the requests a second that it takes from all nodes
    together, `request_limit` that number, None if it is missing or can't be read.
    `cold_seconds` is how much longer the endpoint is cold, None if it doesn't tell.
    `load` is the load that it states, None if it is missing or can't be read.
    """

    request_id: str | None
    is_signed: bool
    is_not_run: bool
    is_leaving: bool = False
    endpoint_id: str | None = None
    names_limit: bool = False
    request_limit: float | None = None
    cold_seconds: float | None = None
    load: EndpointLoad | None = None


class ReadJob(NamedTuple):
    """A call that reads a job's results from position `after`."""

    job_id: str
    after: int


class ReadItem(NamedTuple):
    """A call that reads the body of an item."""

    job_id: str
    item_id: str


class EndJob(NamedTuple):
    """A call that ends a job."""

    job_id: str


class DirectoryCall(NamedTuple):
    """A call that asks for the addresses of instances for requests to a host.

    `region` and `failure_domain` are the caller's, empty if the call does not tell.
    """

    host: str
    region: str = ""
    failure_domain: str = ""


class StoreKinds(NamedTuple):
    """Kinds of the store's documents that the operator and the endpoints write."""

    configuration: str
    endpoints: str
    retirements: str
    evacuations: str


class Dialect(Protocol):
    """Names and formats of one deployment; it has no decision logic."""

    kinds: StoreKinds

    def read_call(self, request) -> IncomingCall: ...

    def read_prompt_parts(self, headers) -> tuple[str, ...]: ...

    def read_deadline(self, headers) -> float | None: ...

    def endpoint_headers(
        self, call, endpoint_id, seconds_left, workspace, last_event_id
    ) -> list[tuple[str, str]]: ...

    def read_head(self, headers) -> ResponseHead: ...

    def forwarded_headers(self, headers) -> list[tuple[str, str]]: ...

    def batch_call(self, request) -> Any: ...

    def read_items(self, body) -> Any: ...

    def results_body(self, total, after, results) -> dict: ...

    def is_readiness_call(self, request) -> bool: ...

    def read_directory_call(self, request) -> DirectoryCall | None: ...

    def directory_body(self, addresses, seconds) -> dict: ...

    def read_configuration(self, document) -> Any: ...

    def read_endpoint(self, document) -> Any: ...

    def retirement_status(self) -> Any: ...
