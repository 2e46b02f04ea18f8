"""Steps that explain a request, item or job from the logs of gateways."""

import contextlib
import io
import json
import time

from behave import then
from emulator.fleet import wait_until
from gateway_calls import runs

from sequoiaglade_cli.logs import explain_from_logs
from sequoiaglade_cli.main import main

# A thread writes the log, so that a line may follow the response to its request.
LOG_SECONDS = 5.0


def explain(context, searched_id):
    paths = [str(node.log_path) for node in context.gateways.nodes]
    rows = explain_from_logs(searched_id, paths).value
    return "\n".join(f"{row['event']} {row['facts']}" for row in rows)


def check_explanation(context, searched_id, *texts):
    explanation = lambda: explain(context, searched_id)  # noqa: E731
    is_complete = lambda: all(text in explanation() for text in texts)  # noqa: E731
    wait_until(is_complete, LOG_SECONDS, f"{texts} are logged", explanation)
    return explanation()


@then('the explanation of a refused request contains "{first}" and "{second}"')
def check_refused(context, first, second):
    ran = {run.request_id for run in runs(context)}
    refused = next(i for i in context.gateways.sent_request_ids if i not in ran)
    check_explanation(context, refused, first, second)


@then("the metrics count refused requests")
def check_metrics(context):
    text = context.gateways.metrics()
    lines = [line for line in text.splitlines() if "gateway_events" in line]
    assert any('event="refused"' in line and "503" in line for line in lines), text


@then('the explanation of the slowest request contains "{first}" and "{second}"')
def check_slowest(context, first, second):
    last = runs(context)[-1].request_id
    context.explanation = check_explanation(context, last, first, second)


@then("it contains the number of requests in flight and the time to the first event")
def check_inputs(context):
    assert (
        "in_flight=" in context.explanation and "first_event_ms=" in context.explanation
    )


@then('the explanation of the request contains "{first}" and "{second}"')
def check_request(context, first, second):
    check_explanation(context, context.gateways.sent_request_ids[-1], first, second)


@then('the explanation of the item "{item_id}" contains "{first}" and "{second}"')
def check_item(context, item_id, first, second):
    check_explanation(context, item_id, first, second)


@then('the explanation of the job contains "{first}" and "{second}"')
def check_job(context, first, second):
    check_explanation(context, context.job_id, first, second)


@then("the command line shows the version, endpoints, peers, limits and that job")
def check_status(context):
    fleet = context.gateways
    url = "http://" + fleet.nodes[0].settings["metrics"]
    text = io.StringIO()
    with contextlib.redirect_stdout(text):
        assert main(["--control-url", url, "gateway"]) == 0
    shown = json.loads(text.getvalue())
    assert shown["configuration"]["version"] == 3, shown
    assert len(shown["endpoints"]) == 2 and shown["peers"] == ["gateway-1"], shown
    assert shown["quota_share"] == 1.0 and shown["is_ready"], shown
    assert "rate_burst_level_by_workspace" in shown, shown
    assert any(job["job_key"].endswith(context.job_id) for job in shown["jobs"]), shown
    assert "key-yard" not in text.getvalue()


@then('no log contains "{first}" or "{second}"')
def check_no_key(context, first, second):
    time.sleep(0.3)
    for node in context.gateways.nodes:
        text = node.log_path.read_text(encoding="utf-8")
        assert first not in text and second not in text
