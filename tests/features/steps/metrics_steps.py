"""Steps on metrics of batch work."""

import os
import re
import tempfile
from pathlib import Path

from batch_steps import await_job, submit
from behave import given, then, when
from path_steps import make_client, make_items

from sequoiaglade_standins.collector import scrape
from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.samples import restockers_document, restockers_endpoints

TABLE = Path(__file__).resolve().parents[3] / "docs" / "OPERATIONS.md"
METRIC_PREFIX = "sequoiaglade_"
HISTOGRAM_SUFFIXES = ("_bucket", "_sum", "_count")


@given(
    "a batch fleet of {nodes:d} nodes and {endpoints:d} endpoints"
    " with its cache on a failing disk"
)
def failing_disk_fleet(context, nodes, endpoints):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    with open(os.path.join(folder, "segments"), "wb"):
        pass
    settings = {"data_folder": folder, "limits": {"batch_workers": 16}}
    plans = restockers_endpoints(endpoints, slots=8)
    fleet = Fleet(nodes, plans, restockers_document(), settings)
    context.fleet = context.stack.enter_context(fleet)


@when("a job of {count:d} items runs, {unknown:d} of them for an unknown model")
def run_mixed(context, count, unknown):
    items = make_items(count)
    for item in items[:unknown]:
        item["body"] = item["body"] | {"model": "no-such-model"}
    client = make_client(context.fleet)
    await_job(client, submit(client, items).id)


@then("the collector reads these metrics of node {node:d}")
def check_metrics(context, node):
    context.samples = scrape(context.fleet.nodes[node].control_url)
    shown = {k: v for k, v in context.samples.items() if "_batch_" in k[0]}
    for row in context.table:
        key = (row["metric"], (("outcome", row["outcome"]),))
        assert context.samples.get(key) == float(row["value"]), (key, shown)


@then("its {metric} is above 0")
def check_above(context, metric):
    assert context.samples[metric, ()] > 0, context.samples


@then("every metric of the node is listed in the operators' table")
def check_table(context):
    listed = set(re.findall(r"^\| `(\w+)` \|", TABLE.read_text("utf-8"), re.M))
    shown = {name for name, _ in context.samples if name.startswith(METRIC_PREFIX)}
    for suffix in HISTOGRAM_SUFFIXES:
        shown = {name.removesuffix(suffix) for name in shown}
    assert len(shown) >= 10 and shown <= listed, shown - listed
