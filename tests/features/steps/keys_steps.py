"""Steps on keys: withdrawal, disconnected nodes, outages and crafted headers."""

import json
import signal
import socket
import threading
import time
from urllib.parse import urlsplit

import urllib3
from behave import then, when
from configuration_steps import BOUND_SECONDS, ask_stock, change_document

PAUSE_SECONDS = 0.05


@when("the key is withdrawn through node {node:d}")
def withdraw(context, node):
    context.pools = []
    for each in context.fleet.nodes:
        pool = urllib3.HTTPConnectionPool(urlsplit(each.url).netloc, maxsize=1)
        assert ask_over(pool, context.key) == 200
        context.pools.append(pool)
    change_document(context.fleet, lambda s: s["keys"].pop("made"), node)
    context.accepted_at = time.monotonic()


def ask_over(pool, key):
    headers = {"Authorization": f"Bearer {key}"}
    return pool.request("GET", "/orders/1", headers=headers, retries=False).status


@then("it is refused on each node within 3 s over the connections held open")
def check_refused(context):
    time.sleep(max(0.0, context.accepted_at + BOUND_SECONDS - time.monotonic()))
    for pool in context.pools:
        assert ask_over(pool, context.key) in (401, 503)
        assert pool.num_connections == 1, "the connection was not kept open"


@when("node 3 is disconnected from the platform and its peers are frozen")
def disconnect_node(context):
    fleet = context.fleet
    fleet.set_platform_faults(refused_clients=["node-3"])
    for node in fleet.nodes[:3]:
        node.process.send(signal.SIGSTOP)
        context.stack.callback(node.process.send, signal.SIGCONT)
    context.cut_at = time.monotonic()


@then("within 3 s node 3 refuses keys as not run and names another entry")
def check_disconnected_node(context):
    time.sleep(max(0.0, context.cut_at + BOUND_SECONDS - time.monotonic()))
    status, error = ask_stock(context.fleet, 3, context.key)
    assert status == 503 and error["code"] == "configuration_not_confirmed", error
    assert error["execution"] == "not_run" and error["retry_after"], error


@then("node 3 serves the route that is open to all")
def check_open_route(context):
    assert ask_stock(context.fleet, 3, None, "/stock/1")[0] == 200


@when("the peers of node 3 are resumed")
def resume_peers(context):
    for node in context.fleet.nodes[:3]:
        node.process.send(signal.SIGCONT)
    context.accepted_at = time.monotonic()


@then("that key works on node 3 within 3 s of now")
def check_resumed_node(context):
    status = 0
    while status != 200 and time.monotonic() < context.accepted_at + BOUND_SECONDS:
        status = ask_stock(context.fleet, 3, context.key)[0]
        time.sleep(PAUSE_SECONDS)
    assert status == 200, status


@when("the platform fails by {fault} for {seconds:d} s under requests at each node")
def fail_platform(context, fault, seconds):
    fleet = context.fleet
    name, _, value = fault.partition("=")
    until = time.monotonic() + seconds
    context.answers = []

    def ask(node):
        while time.monotonic() < until:
            key = fleet.key_by_workspace["hays"]
            context.answers.append((node, *ask_stock(fleet, node, key)))
            time.sleep(PAUSE_SECONDS)

    fleet.set_platform_faults(**{name: json.loads(value)})
    nodes = range(len(fleet.nodes))
    threads = [threading.Thread(target=ask, args=(node,)) for node in nodes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    fleet.set_platform_faults()


@then("every request is answered with 200")
def check_all_answered(context):
    others = [answer for answer in context.answers if answer[1] != 200]
    assert context.answers and not others, (len(context.answers), others[:3])


@then("each of these request headers gets its status")
def check_heads(context):
    fleet = context.fleet
    wrong = []
    for row in context.table:
        head = row["head"].replace("\\r\\n", "\r\n").format(**fleet.key_by_workspace)
        status = send_head(fleet.nodes[0].url, head)
        if status != int(row["status"]):
            wrong.append((row["head"], status))
    assert not wrong, wrong


def send_head(url, head):
    """Send a request with raw header lines; return the status."""
    netloc = urlsplit(url)
    text = f"GET /orders/1 HTTP/1.1\r\nHost: node\r\n{head}\r\n\r\n"
    with socket.create_connection((netloc.hostname, netloc.port), 5) as connection:
        connection.sendall(text.encode())
        return int(connection.makefile("rb").readline().split()[1])


@then("no headers received by an endpoint contain a credential or a key")
def check_no_credentials(context):
    runs = context.fleet.runs()
    assert runs and not any(run["credential_headers"] for run in runs), runs
    seen = json.dumps(runs)
    assert not any(key in seen for key in context.fleet.key_by_workspace.values())
