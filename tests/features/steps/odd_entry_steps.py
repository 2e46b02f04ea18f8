"""Steps for entries and requests of other writers that can't be used."""

import json
import time

from behave import then, when
from emulator import EmulatedRunner, RunnerPlan
from emulator.fleet import SERVICE

ODD_JSON = {
    "5000 nested lists": "[" * 5000 + "]" * 5000,
    "5000 nested objects": '{"a":' * 5000 + "1" + "}" * 5000,
    "a whole number of 5000 digits": "9" * 5000,
    "a number beyond all floats": "1e999",
    "a birth of 31 digits": "1" + "0" * 30,
    "slots of 31 digits": "1" + "0" * 30,
    "a lone surrogate as version": '"\\ud800"',
    "a list as zone": '["a", ["b"]]',
}
ODD_ADDRESSES = {
    "the port 70000": "127.0.0.1:70000",
    "a port of 30 digits": "127.0.0.1:" + "9" * 30,
    "a port of other digits": "127.0.0.1:\u0664\u0662\u00b2",
}
FIELD_BY_ODD = {
    "5000 nested lists": "Labels",
    "5000 nested objects": "Labels",
    "a whole number of 5000 digits": "Labels",
    "a number beyond all floats": "Slots",
    "a birth of 31 digits": "born",
    "slots of 31 digits": "Slots",
    "a lone surrogate as version": "Version",
    "a list as zone": "Zone",
}
FOLLOW_SECONDS = 1.5


@when("another writer adds an entry with {odd}")
def add_entry(context, odd):
    store = context.gateways.store
    # Nothing listens at this address, so that a request sent there fails.
    entry = {
        "Service": SERVICE,
        "Address": "127.0.0.1:9",
        "Zone": "zone-a",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "Seq": 1,
        "born": 1,
    }
    if odd in ODD_ADDRESSES:
        entry["Address"] = ODD_ADDRESSES[odd]
    elif odd == "no fields":
        entry = None
    else:
        entry[FIELD_BY_ODD[odd]] = store.mark(ODD_JSON[odd])
    store.put("servers", "odd", entry)
    time.sleep(FOLLOW_SECONDS)


@then(
    "the gateways follow the list: a new runner gets requests, one that left gets none"
)
def check_followed(context):
    fleet = context.gateways
    runner = EmulatedRunner(fleet.store, "runner-new", SERVICE, RunnerPlan())
    context.stack.enter_context(runner)
    fleet.runners[0].deregister()
    time.sleep(FOLLOW_SECONDS)
    before = len(fleet.runners[0].runs)
    for node in (0, 1):
        for number in range(12):
            answer = fleet.send(f"/safe/{number}", node)
            assert answer.status == 200, answer
    assert len(fleet.runners[0].runs) == before
    assert runner.runs


@then("no thread of the gateways failed")
def check_threads(context):
    for node in context.gateways.nodes:
        assert node.is_running, node.describe_state()
        failed = [
            line
            for line in node.log_lines()
            if "failed, runs again" in line["event"] or "exception" in line
        ]
        assert not failed, failed[0]


@when("gateway {number:d} is killed and starts again")
def restart(context, number):
    node = context.gateways.nodes[number]
    node.kill()
    node.start()
    context.gateways.wait_ready(number)


@then("{count:d} requests at gateway {node:d} are answered")
def check_answered(context, count, node):
    for number in range(count):
        answer = context.gateways.send(f"/safe/{number}", node)
        assert answer.status == 200, answer


@when('a caller sends the {what} "{value}"')
def send_odd(context, what, value):
    fleet = context.gateways
    match what:
        case "last event id":
            headers = [("Last-Event-Id", value), ("Resumes", "0" * 16)]
            context.answer = fleet.send("/resume/1", headers=headers)
        case "deadline":
            headers = [("Deadline-Ms", value)]
            context.answer = fleet.send("/safe/1", headers=headers)
        case "position":
            path = f"/v1/lots/none?After={value}"
            context.answer = fleet.send(path, method="GET", body=b"")


@then("it gets no internal error")
def check_no_error(context):
    assert context.answer is not None and context.answer.status != 500, context.answer


@when("a caller submits a job whose {part} is {value}")
def submit_odd(context, part, value):
    item = {"Id": "i-1", "Path": "/batch/1", "Headers": {}, "Body": "", "Tokens": 20}
    body = {"Items": [item]}
    match part:
        case "items":
            body["Items"] = "odd"
        case "tokens":
            item["Tokens"] = "odd"
        case "item id":
            item["Id"] = "odd"
    text = json.dumps(body).replace('"odd"', ODD_JSON[value])
    headers = [("Content-Type", "application/json")]
    context.answer = context.gateways.send(
        "/batch/job-1", request_id="job-1", body=text.encode(), headers=headers
    )


@then("it is rejected with 400")
def check_rejected(context):
    assert context.answer is not None and context.answer.status == 400, context.answer
