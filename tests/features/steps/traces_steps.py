"""Steps on the spans that nodes export for requests."""

import threading
import time

from batch_cancel_steps import LONG_TOKENS, start_slow_job
from batch_once_steps import await_runs
from behave import given, then, when
from path_steps import complete, make_client

from sequoiaglade_standins.collector import Collector
from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.samples import restockers_document, restockers_endpoints

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
CALLER_SPAN_ID = "b7ad6b7169203331"
EXPORT_WAIT_SECONDS = 15.0


@given("a fleet of {nodes:d} nodes that exports its traces")
def start_traced_fleet(context, nodes):
    context.collector = context.stack.enter_context(Collector())
    settings = {"traces_url": context.collector.url}
    plans = restockers_endpoints(1)
    fleet = Fleet(nodes, plans, restockers_document(), settings=settings)
    context.fleet = context.stack.enter_context(fleet)


@when("a traced request is answered by node {node:d}")
def send_traced(context, node):
    headers = {"traceparent": f"00-{TRACE_ID}-{CALLER_SPAN_ID}-01"}
    complete(make_client(context.fleet, node=node), extra_headers=headers)


def await_span(context, matches):
    deadline = time.monotonic() + EXPORT_WAIT_SECONDS
    while time.monotonic() < deadline:
        found = [span for span in context.collector.spans() if matches(span)]
        if found:
            return found[0]
        time.sleep(0.1)
    raise AssertionError(f"no such span among {context.collector.spans()}")


@then("its trace contains a span of the request below the caller's")
def check_request_span(context):
    context.request_span = await_span(
        context,
        lambda s: s.name == "POST /v1/chat/completions" and s.trace_id == TRACE_ID,
    )
    assert context.request_span.parent_id == CALLER_SPAN_ID
    assert context.request_span.instance_id == "node-0"


@then("its trace contains a span from node to endpoint below that")
def check_endpoint_span(context):
    parent_id = context.request_span.span_id
    span = await_span(context, lambda s: s.name == "node to endpoint")
    assert (span.trace_id, span.parent_id) == (TRACE_ID, parent_id), span


@then("spans from node to platform were exported")
def check_platform_span(context):
    await_span(context, lambda s: s.name.startswith("node to platform"))


@then("no span names a key")
def check_no_key(context):
    keys = context.fleet.key_by_workspace.values()
    text = repr(context.collector.spans())
    assert not any(key in text for key in keys)


@when("a traced request is answered by each node")
def send_traced_everywhere(context):
    for node in range(len(context.fleet.nodes)):
        send_traced(context, node)


@then("its trace contains a span from node to node {call} below the request's")
def check_grant_span(context, call):
    client = await_span(
        context,
        lambda s: s.name == f"node to node {call}" and s.trace_id == TRACE_ID,
    )
    parent = await_span(context, lambda s: s.span_id == client.parent_id)
    assert parent.name == "POST /v1/chat/completions", parent
    assert parent.instance_id == client.instance_id, parent
    await_answer(context, call, client)


def await_answer(context, call, client):
    """Wait for the server span whose parent is the client's span, and return it."""
    server = await_span(
        context,
        lambda s: s.name == f"node {call}" and s.parent_id == client.span_id,
    )
    assert server.trace_id == client.trace_id, server
    assert server.instance_id != client.instance_id, server
    return server


@when("an explanation is requested at node {node:d}")
def ask_account(context, node):
    context.fleet.operator("GET", "explain/req-1", node=node)


@when(
    "node {cut:d} is cut off from the platform and a revision is accepted at node"
    " {node:d}"
)
def change_while_cut(context, cut, node):
    refused = [context.fleet.nodes[cut].node_id]
    context.fleet.set_platform_faults(refused_clients=refused)
    sections = context.fleet.document()
    sections["rates"]["hays"] = {"rate": 3.0, "burst": 5}
    context.fleet.apply(sections, node)


@then("there is a span from node to node {call}, answered by {node_id}")
def check_node_span(context, call, node_id):
    client = await_span(
        context,
        lambda s: s.name == f"node to node {call}" and s.instance_id != node_id,
    )
    assert await_answer(context, call, client).instance_id == node_id


@then("no span was exported for gossip and polls")
def check_untraced(context):
    names = {span.name for span in context.collector.spans()}
    assert not any("Gossip" in n or "Limits/Poll" in n for n in names), names


@given("a batch fleet of 1 nodes that exports its traces")
def start_traced_batch(context):
    context.collector = context.stack.enter_context(Collector())
    settings = {
        "traces_url": context.collector.url,
        "limits": {"batch_workers": 16},
        "drain_seconds": 1.0,
    }
    plans = restockers_endpoints(1, slots=8, token_seconds=0.02)
    document = restockers_document() | {"rates": {}}
    context.fleet = context.stack.enter_context(Fleet(1, plans, document, settings))


@when("a node is added and gets online requests while batch holds all {slots:d} slots")
def add_and_burst(context, slots):
    start_slow_job(context, 100, LONG_TOKENS)
    await_runs(context, slots)
    node = context.fleet.add_node(context.stack, 1)
    context.fleet.await_url(f"{node.control_url}/readyz", node.process)
    client = make_client(context.fleet, node=1)
    threads = [
        threading.Thread(target=complete, args=(client,), kwargs={"max_tokens": 50})
        for _ in range(slots)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
