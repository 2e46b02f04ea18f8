"""Steps for late writes, outdated evidence and silences."""

import os
import time
from types import SimpleNamespace
from unittest import mock

import grpc
from behave import given, then, when
from gateway_calls import runs
from holder_simulation import PATH
from holders_steps import SETTLE_SECONDS, _run_until, submit
from memory_store import LateWrite
from quiet_runner_steps import run_stream, wait_for_end
from sequoiaglade_gateway.batch import JobStorage, service
from sequoiaglade_gateway.batch.storage import ENDS_KIND
from sequoiaglade_gateway.interface import EndJob
from sequoiaglade_gateway.online.streams import StreamDirectory
from sequoiaglade_gateway.version_messages import StreamAnswer, StreamKeepers

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.calls import channels

SILENCE_SECONDS = 1.5
# Gateways follow changes of the list within this time.
REGISTERED_SECONDS = 0.6
CLOSE_DELAY_SECONDS = 0.5
CALL_SECONDS = 0.05


@when('"{holder}" is cut off until "{adopter}" has adopted the job')
def adopt(context, holder, adopter):
    simulation = context.simulation
    gateway = simulation.gateway_by_name[adopter]
    gateway.submit("other-job")
    submit(context, adopter)
    simulation.run(SETTLE_SECONDS)
    simulation.cut(holder)
    _run_until(simulation, lambda: gateway.holds(context.key))


@when(
    '"{holder}" is back for {seconds:d} seconds and is read, while "{adopter}" waits '
    "for the write of another job's results"
)
def write_slowly(context, holder, seconds, adopter):
    simulation = context.simulation
    gateway = simulation.gateway_by_name[adopter]
    write = gateway.store._write

    def write_after_wait(*arguments):
        gateway.store._write = write
        simulation.heal(holder)
        simulation.run(seconds)
        assert not gateway.holds(context.key)
        simulation.gateway_by_name[holder].read(context.job_id)
        return write(*arguments)

    for key in (".other-job", context.key):
        gateway.finish_item(key)
    gateway.store._write = write_after_wait
    gateway.write()


class _InterruptedList(list):
    """A list that calls `interrupt` once before it is copied."""

    def __init__(self, rows, interrupt):
        super().__init__(rows)
        self._interrupts = [interrupt]

    def __iter__(self):
        while self._interrupts:
            self._interrupts.pop()()
        return super().__iter__()


@when(
    '"{name}", which can\'t reach "{holder}", is read while another read there stores '
    "its page"
)
def read_twice(context, name, holder):
    simulation = context.simulation
    submit(context, "b")
    gateway = simulation.gateway_by_name[name]
    simulation.cut(name, [holder])
    simulation.run(SETTLE_SECONDS)
    read_page = JobStorage.read_page
    found = context.found = []

    def read_again():
        found.append(gateway.read(context.job_id))

    def read_interrupted(storage, key, number):
        page = read_page(storage, key, number)
        patch.stop()
        return page._replace(results=_InterruptedList(page.results, read_again))

    patch = mock.patch.object(JobStorage, "read_page", read_interrupted)
    patch.start()
    read_again()
    read_again()


@then("both reads and a later one return {count:d} result")
def check_read_twice(context, count):
    assert [len(results) for results in context.found] == [count] * 3, context.found


@then(
    'a read at "{name}", which can\'t reach "{holder}", returns no more results than '
    'one at "{holder}"'
)
def check_counts(context, name, holder):
    simulation = context.simulation
    simulation.cut_pairs.add((name, holder))
    before = simulation.gateway_by_name[name].read(context.job_id)
    simulation.cut_pairs.clear()
    after = simulation.gateway_by_name[holder].read(context.job_id)
    assert len(after) >= len(before), (len(before), len(after))


@when(
    "the end of the job is written without an answer, and takes effect {seconds:d} "
    "seconds later"
)
def end_late(context, seconds):
    simulation = context.simulation
    submit(context, "b")

    def write_late(*arguments):
        due = simulation.now + seconds
        simulation.store.write_late(LateWrite(due, *arguments))
        return Failure(FailureCode.UNKNOWN, "timed out")

    context.holder.store._write = write_late
    clock = SimpleNamespace(
        monotonic=lambda: simulation.now, sleep=simulation.pass_time
    )
    call = SimpleNamespace(request_id="r", key=None, path=PATH + context.job_id)
    with mock.patch.object(service, "time", clock):
        context.response = context.holder.batch.handle(
            EndJob(context.job_id), call, None, simulation.configuration
        )
    simulation.pass_time(seconds + 1)


@then("the caller was not told that the call never takes effect")
def check_not_refused(context):
    is_ended = not isinstance(
        context.simulation.store.get(ENDS_KIND, context.key), Failure
    )
    assert is_ended
    # Status 503 states that the call has not run and never will.
    assert context.response.status != 503


@given(
    'a gateway that knows only version "{listed}", and a peer that noted "{noted}" '
    "for a stream"
)
def given_noted(context, listed, noted):
    keepers = StreamKeepers(["peer:1"], {listed})
    coordinator = SimpleNamespace(ask=lambda message: keepers)
    client = SimpleNamespace(
        find_stream=lambda addresses, request_id, service: StreamAnswer(noted)
    )
    context.streams = StreamDirectory(
        SimpleNamespace(coordinator=coordinator), client, lambda service: {listed}
    )


@then('the gateway does not take the stream up at "{version}"')
def check_version(context, version):
    assert context.streams.find_version("request-1", "service") != version


@when('each runner falls silent in turn while it runs a stream of "{path}"')
def fall_silent_in_turn(context, path):
    for runner in context.gateways.runners:
        others = [r for r in context.gateways.runners if r is not runner]
        _register(others, "draining")
        run_stream(context, path)
        assert runs(context)[-1] in runner.runs
        _register(others, "ready")
        runner.fall_silent(SILENCE_SECONDS)
        wait_for_end(context)


def _register(runners, state):
    for runner in runners:
        runner.register(state)
    time.sleep(REGISTERED_SECONDS)


@when("calls on the channel time out for {seconds:d} seconds, and a later one succeeds")
def time_out(context, seconds):
    context.socket_count = _socket_count()
    until = time.monotonic() + seconds
    with mock.patch.object(channels, "CLOSE_DELAY_SECONDS", CLOSE_DELAY_SECONDS):
        while time.monotonic() < until:
            try:
                context.call(b"0.2", timeout=CALL_SECONDS)
            except grpc.RpcError as error:
                assert error.code() is grpc.StatusCode.DEADLINE_EXCEEDED
        time.sleep(2 * CLOSE_DELAY_SECONDS)
        context.call(b"0", timeout=seconds)


@then("the channel's process has at most {count:d} sockets more than before")
def check_sockets(context, count):
    # The peer and the link are in this process: a connection has four sockets.
    assert _socket_count() - context.socket_count <= count, (
        _socket_count(),
        context.socket_count,
    )


def _socket_count():
    count = 0
    for number in os.listdir("/proc/self/fd"):
        try:
            target = os.readlink(f"/proc/self/fd/{number}")
        except FileNotFoundError:
            continue
        count += target.startswith("socket:")
    return count
