"""Steps on the logging of exceptions that a node's libraries catch."""

import json
import subprocess
import sys

from behave import then, when

PROGRAM = """
import socket
import pykka
from sequoiaglade_node.logs import configure_logs
from sequoiaglade_node.settings import Limits
from sequoiaglade_node.web import Listener

class Faulty(pykka.ThreadingActor):
    def fail_in_actor(self):
        raise ValueError("the secret")

def fail_in_stream(environ, start_response):
    start_response("200 OK", [])
    yield b"begun"
    raise KeyError("the secret")

configure_logs("info", "node-a")
actor = Faulty.start()
actor.proxy().fail_in_actor()
actor.stop()
listener = Listener(fail_in_stream, "127.0.0.1:0", 1, Limits())
with listener:
    address = listener._server.socket.getsockname()
    with socket.create_connection(address, timeout=20.0) as sock:
        sock.sendall(b"GET /the-secret HTTP/1.1\\r\\nHost: n\\r\\n\\r\\n")
        while sock.recv(4096):
            continue
"""


@when("an actor and a response stream raise exceptions with a secret in the text")
def raise_in_libraries(context):
    command = [sys.executable, "-c", PROGRAM]
    context.done = subprocess.run(command, capture_output=True, text=True, timeout=60)


@then("each is logged with its type and stack frames, and without the secret")
def check_logged(context):
    text = context.done.stderr
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    last_frames = {
        line["error"]: line["frames"][-1] for line in lines if "error" in line
    }
    assert "fail_in_actor" in last_frames.get("ValueError", ""), text
    assert "fail_in_stream" in last_frames.get("KeyError", ""), text
    assert "secret" not in text, text
