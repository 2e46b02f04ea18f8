"""Steps on requests that arrive when the evidence for a node's revision has run out."""

import hashlib
import io
import signal
import threading
import time

from behave import given, then, when
from membership_steps import Callers

from sequoiaglade_decisions.configuration import (
    CONFIRM_WAIT_SECONDS,
    EMPTY_REVISION,
    EVIDENCE_LIFETIME_SECONDS,
    Document,
    Follower,
    Root,
    make_snapshot,
)
from sequoiaglade_node.actors import ConfigurationActor
from sequoiaglade_node.configuration import Held, SnapshotHolder
from sequoiaglade_node.configuration.floor import FloorFile
from sequoiaglade_node.journal import Journal
from sequoiaglade_node.online import OnlineService
from sequoiaglade_node.web import read_request
from sequoiaglade_standins.samples import restockers_document

KEY = "sg-confirmation"
RUN_OUT_SECONDS = 0.5
READ_AFTER_SECONDS = 0.2
JOIN_SECONDS = 12.0
PAUSE_SECONDS = 2.6
BEFORE_SECONDS = 1.5
AFTER_SECONDS = 3.0


@when("callers send requests and {paused} does not run for 2.6 s")
def pause_under_load(context, paused):
    fleet = context.fleet
    processes = [fleet.nodes[1].process]
    if paused == "the whole fleet":
        endpoints = [endpoint.process for endpoint in fleet.endpoints]
        nodes = [node.process for node in fleet.nodes]
        processes = [fleet.platform, *nodes, *endpoints]
    context.callers = [Callers(fleet, 3), Callers(fleet, 3, only=fleet.nodes[1].url)]
    for callers in context.callers:
        context.stack.enter_context(callers)
    time.sleep(BEFORE_SECONDS)
    for process in processes:
        context.stack.callback(process.send, signal.SIGCONT)
        process.send(signal.SIGSTOP)
    time.sleep(PAUSE_SECONDS)
    for process in processes:
        process.send(signal.SIGCONT)
    time.sleep(AFTER_SECONDS)


class AwaitedClock:
    """A clock that tells when the request that reads it waits for a confirmation."""

    def __init__(self):
        self._reads = threading.Semaphore(0)

    def __call__(self):
        self._reads.release()
        return time.monotonic()

    def await_waiting(self):
        """Return once the request has found that it may wait, and again as it waits."""
        for _ in range(2):
            assert self._reads.acquire(timeout=JOIN_SECONDS), "the request didn't wait"


class AnsweredRequest(threading.Thread):
    """A request for the list of models, in a thread: its status and its seconds."""

    def __init__(self, service):
        super().__init__(daemon=True)
        self._service = service
        self.status = None
        self.seconds = None

    def run(self):
        request = read_request(
            {
                "REQUEST_METHOD": "GET",
                "PATH_INFO": "/v1/models",
                "REQUEST_URI": "/v1/models",
                "HTTP_AUTHORIZATION": f"Bearer {KEY}",
                "wsgi.input": io.BytesIO(),
            }
        )
        started_at = time.monotonic()
        self.status = self._service.list_models(request).status
        self.seconds = time.monotonic() - started_at


@given("a node that waits {seconds:d} s for a read and has just started")
def start_unconfirmed(context, seconds):
    start_configuration(context, float(seconds))


def start_configuration(context, wait_seconds):
    context.clock = AwaitedClock()
    context.holder = SnapshotHolder(context.clock, wait_seconds)
    actor = ConfigurationActor.start(
        Follower(),
        context.holder,
        threading.Event(),
        [],
        Journal("node-0"),
        FloorFile(None),
    )
    context.stack.callback(actor.stop)
    context.configuration = actor.proxy()
    context.service = OnlineService(context.holder, None, None, 0, None)


@given("a node whose revision was confirmed until 0.5 s ago")
def start_with_old_evidence(context, wait_seconds=CONFIRM_WAIT_SECONDS):
    start_configuration(context, wait_seconds)
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    keys = {"salina-key": {"workspace": "salina", "digest": digest}}
    document = Document.model_validate(restockers_document() | {"keys": keys})
    held = Held(Root(1, "first"), EMPTY_REVISION, make_snapshot(1, document))
    age = EVIDENCE_LIFETIME_SECONDS + RUN_OUT_SECONDS
    asked_at = time.monotonic() - age
    context.configuration.apply(held, asked_at).get()
    context.configuration.read_ended(asked_at).get()


@given(
    "a node that waits {seconds:d} s for a read, whose revision was confirmed until"
    " 0.5 s ago"
)
def start_patient(context, seconds):
    start_with_old_evidence(context, float(seconds))


@when("a request with a key arrives and a read confirms the revision 0.2 s later")
def confirm_later(context):
    send_request(context)
    context.clock.await_waiting()
    asked_at = time.monotonic()
    time.sleep(READ_AFTER_SECONDS)
    context.configuration.platform_gave(1, asked_at).get()
    context.configuration.read_ended(asked_at).get()


@when("a request with a key arrives and a read fails 0.2 s later")
def fail_later(context):
    send_request(context)
    context.clock.await_waiting()
    asked_at = time.monotonic()
    time.sleep(READ_AFTER_SECONDS)
    context.configuration.platform_failed(asked_at).get()
    context.configuration.read_ended(asked_at).get()


@when("a request with a key arrives and no read ends")
def send_request(context):
    context.request = AnsweredRequest(context.service)
    context.request.start()


@then("the request was answered with {status:d} after {least:f} to {most:f} s")
def check_answer(context, status, least, most):
    request = context.request
    request.join(JOIN_SECONDS)
    assert request.status == status, request.status
    assert least <= request.seconds <= most, request.seconds


@then("the next request is answered with {status:d} within {most:f} s")
def check_next(context, status, most):
    send_request(context)
    check_answer(context, status, 0.0, most)
