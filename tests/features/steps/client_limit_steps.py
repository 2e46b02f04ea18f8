"""Steps for clients that make a gateway hold much."""

import base64
import contextlib
import itertools
import json
import os
import socket
import string
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import HOST, wait_until
from gateway_calls import ask_together, start
from gateway_endless_steps import BYTES_PER_MB, _reset_peak, _resident_bytes

BODY_BYTES = 1_000_000
HEAD_BYTES = 60_000
JOB_BYTES = 3_700_000
OVER_LIMIT_BYTES = 24_000_000
PIPELINED_REQUESTS = 2000
# Requests are sent for at most this long, and their connections held open as long
# after all were sent.
SEND_SECONDS = 12.0
HOLD_SECONDS = 6.0
SLOW_PARTS = 25
SLOW_PAUSE_SECONDS = 0.2
DEADLINE_SECONDS = 5.0
DESCRIPTORS_MAX = 64


@given("1 gateway with {size:d} MB of memory and 1 runner")
def given_gateway(context, size):
    plan = RunnerPlan(slots=64)
    limits = {"body_buffer_bytes": 1_048_576, "queue_seconds": 1.0}
    start(context, 1, [plan], limits=limits, settings={"memory_mb": size})
    ask_together(context, 16, 0)
    # An idle process has the SDK of its metrics, which is loaded soon after the start.
    context.gateways.metrics()
    context.memory_before = _resident_bytes(context, "VmRSS")
    context.descriptors_before = _descriptor_count(context)
    _reset_peak(context)


@when("{count:d} clients send {kind} to the {listener} beside ordinary requests")
def attack_beside_ordinary(context, count, kind, listener):
    arguments = (context, count, kind, listener)
    attack = threading.Thread(target=_attack, args=arguments)
    attack.start()
    time.sleep(1.0)
    context.answers = [_ordinary(context) for _ in range(10)]
    print("answered", [answer and answer.status for answer in context.answers])
    attack.join()


@when("{count:d} clients send {kinds} to the {listener}")
def attack(context, count, kinds, listener):
    _attack(context, count, kinds, listener)


def _attack(context, count, kinds, listener):
    settings = context.gateways.nodes[0].settings
    path = "/once/x"
    match listener:
        case "path without route":
            address, path = settings["listen"]["data"], "/nowhere"
        case "metrics listener":
            address, path = settings["metrics"], "/metrics"
        case _:
            name = listener.split()[0]
            address = settings["listen"][name]
            path = {"readiness": "/v1/ready", "directory": "/v1/resolve"}.get(
                name, path
            )
    kinds = kinds.split(" and ")
    sent = threading.Barrier(count + 1)

    def run(number):
        kind = kinds[number % len(kinds)]
        host, _, port = address.rpartition(":")
        end_at = time.monotonic() + SEND_SECONDS
        with contextlib.ExitStack() as stack:
            with contextlib.suppress(OSError):
                connection = socket.create_connection((host, int(port)), timeout=5.0)
                stack.enter_context(connection)
                for part, pause in _parts(kind, path, number):
                    connection.settimeout(max(0.1, end_at - time.monotonic()))
                    connection.sendall(part)
                    if time.monotonic() > end_at:
                        break
                    if pause:
                        time.sleep(pause)
            sent.wait()
            sent.wait()

    with ThreadPoolExecutor(count) as pool:
        running = [pool.submit(run, number) for number in range(count)]
        sent.wait()
        time.sleep(HOLD_SECONDS)
        context.descriptors = _descriptor_count(context)
        sent.wait()
        for future in running:
            future.result()
    context.client_count = count


def _parts(kind, path, number):
    """Yield parts of what a client sends, and the pause after each."""
    head = _head(path, number)
    length = f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    match kind:
        case "bodies without their end":
            yield head + length + b"a" * (BODY_BYTES - 1), 0
        case "heads of short fields":
            yield head + _short_fields() + b"Content-Length: 2\r\n\r\n{", 0
        case "unfinished heads":
            yield head + _short_fields(), 0
        case "jobs of short fields":
            body = job_of_short_fields()
            fields = f"Content-Length: {len(body)}\r\n\r\n".encode()
            yield _head(f"/batch/j-{number}", f"j-{number}") + fields + body, 0
        case "slow bodies":
            yield head + length, 0
            for _ in range(SLOW_PARTS):
                yield b"a" * (BODY_BYTES // SLOW_PARTS), SLOW_PAUSE_SECONDS
        case "chunks without end":
            yield head + chunked, 0
            for _ in range(100):
                yield b"2710\r\n" + b"a" * 10_000 + b"\r\n", 0
        case "chunk extensions":
            yield head + chunked + b"1;", 0
            for _ in range(60):
                yield b"a" * 65_536, 0
        case "trailers without end":
            yield head + chunked + b"0\r\n", 0
            for _ in range(60):
                yield b"a: b\r\n" * 10_000, 0
        case "bodies over the limit":
            fields = f"Content-Length: {OVER_LIMIT_BYTES}\r\n\r\n".encode()
            yield head + fields, 0
            for _ in range(OVER_LIMIT_BYTES // BODY_BYTES):
                yield b"a" * BODY_BYTES, 0
        case "pipelined requests":
            request = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
            yield request * PIPELINED_REQUESTS, 0
        case _:
            raise ValueError(kind)


def _head(path, number, method="POST"):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nKey: key-yard\r\n"
        f"Request-Id: {number}\r\nDeadline-Ms: 60000\r\n"
    ).encode()


def _short_fields():
    # Names that begin with a digit are those of no header that has a meaning.
    letters = string.ascii_lowercase + string.digits
    names = itertools.product(string.digits, letters, letters)
    fields = ("".join(name) + ":\r\n" for name in names)
    return "".join(itertools.islice(fields, HEAD_BYTES // 6)).encode()


def job_of_short_fields():
    """Return a job of one item with very many short fields beside its own."""
    fields = ",".join(f'"{n:x}":1' for n in range(JOB_BYTES // 9))
    body = base64.b64encode(b"{}").decode()
    item = (
        f'{{"Id":"a","Path":"/once/a","Headers":{{}},"Body":"{body}","Tokens":1,'
        f'"Extra":{{{fields}}}}}'
    )
    return f'{{"Items":[{item}]}}'.encode()


def _ordinary(context):
    return context.gateways.send("/once/ordinary", 0, deadline=DEADLINE_SECONDS)


@then(
    "the gateway's memory grew by less than {size:d} MB, "
    "and its descriptors by 2 for each client"
)
def check_memory(context, size):
    assert context.gateways.nodes[0].is_running
    growth = _resident_bytes(context, "VmHWM") - context.memory_before
    print(f"growth {growth / BYTES_PER_MB:.1f} MB")
    added = context.descriptors - context.descriptors_before
    assert growth < size * BYTES_PER_MB, growth
    assert added <= 2 * context.client_count + DESCRIPTORS_MAX, added


@then("the gateway answers an ordinary request and a readiness check")
def check_answers(context):
    # The clients have gone; the first request may meet what they left.
    def is_answered():
        answer = _ordinary(context)
        return answer is not None and answer.status == 200

    wait_until(is_answered, 2 * DEADLINE_SECONDS, "an ordinary request is answered")
    wait_until(lambda: context.gateways.is_ready(0), DEADLINE_SECONDS, "it is ready")
    assert context.gateways.nodes[0].is_running


@then("all ordinary requests were answered")
def check_ordinary(context):
    statuses = [answer and answer.status for answer in context.answers]
    assert statuses == [200] * len(statuses), statuses


@when("one client sends a {kind}")
def send_one(context, kind):
    path, headers, body = "/once/one", [], b"{}"
    match kind:
        case "body of 4 MB":
            body = b"a" * 4_000_000
        case "body of 4 MB in drips":
            parts = [b"a" * 160_000] * 25
            body = (part for part in parts if not time.sleep(0.1))
        case "head of 60 kB":
            # Endpoints take up to 100 fields.
            headers = [(f"Long-{n}", "a" * (HEAD_BYTES // 50)) for n in range(50)]
        case "job of 3.7 MB":
            path, body = "/batch/job-one", job_of_short_fields()
            headers = [("Content-Type", "application/json")]
    context.answer = context.gateways.send(
        path,
        0,
        body=body,
        headers=headers,
        deadline=30.0,
        request_id="job-one" if path.startswith("/batch") else "one",
    )


@then("its response has the status {status:d}")
def check_status(context, status):
    assert context.answer is not None
    body = json.dumps(repr(context.answer.body[:200]))
    assert context.answer.status == status, (context.answer.status, body)


def _descriptor_count(context):
    pid = context.gateways.nodes[0].process.pid
    return len(os.listdir(f"/proc/{pid}/fd"))
