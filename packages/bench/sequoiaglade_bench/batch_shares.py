"""Shares of batch capacity among workspaces that all have a constant backlog."""

import time

from sequoiaglade_standins.fleet import EndpointPlan, Fleet
from sequoiaglade_standins.samples import RESTOCKERS_MODEL, restockers_document

from .batch_jobs import await_job, submit_job

NODE_COUNT = 2
ENDPOINT_COUNT = 4
SLOTS = 4
TOKEN_SECONDS = 0.02
TOKENS = 4
BACKLOG_ITEMS = 8000
SMALL_ITEMS = 40
WARMUP_SECONDS = 3.0
BACKLOG_WORKSPACES = ("salina", "hays", "dodge", "trial-a")
SMALL_WORKSPACE = "colby"


def measure_shares(options):
    """Return each workspace's fraction of its fair share, and the time of a small job.

    Trial workspaces are served only after all others, so that their fair share is 0.
    """
    document = restockers_document()
    plans = [
        EndpointPlan(f"runner-{n}", RESTOCKERS_MODEL, None, SLOTS, TOKEN_SECONDS)
        for n in range(ENDPOINT_COUNT)
    ]
    settings = {"limits": {"batch_workers": ENDPOINT_COUNT * SLOTS}}
    with Fleet(NODE_COUNT, plans, document, settings) as fleet:
        workspace_by_job = {
            submit_job(fleet, name, BACKLOG_ITEMS, TOKENS): name
            for name in BACKLOG_WORKSPACES
        }
        time.sleep(WARMUP_SECONDS)
        started_at = time.time()
        time.sleep(options.seconds)
        ended_at = time.time()
        small_id = submit_job(fleet, SMALL_WORKSPACE, SMALL_ITEMS, TOKENS)
        small_started_at = time.monotonic()
        await_job(fleet, SMALL_WORKSPACE, small_id)
        small_seconds = time.monotonic() - small_started_at
        runs = [r for r in fleet.runs() if started_at <= r["started_at"] < ended_at]
    done = dict.fromkeys(BACKLOG_WORKSPACES, 0)
    for run in runs:
        name = workspace_by_job.get(run["request_id"].partition(".")[0])
        if name is not None and run["state"] == "done":
            done[name] += 1
    weights = {
        name: workspace["weight"]
        for name, workspace in document["workspaces"].items()
        if name in done and workspace["tier"] == "paying"
    }
    return _summary(done, weights) | {"small_job_seconds": round(small_seconds, 1)}


def _summary(done, weights):
    """Return the counts and the fractions of fair shares.

    >>> _summary({"a": 60, "b": 20, "t": 0}, {"a": 1, "b": 1})["worst_served"]
    {'workspace': 'b', 'part': 0.5}
    """
    total = sum(done.values())
    parts = {
        name: done[name] / total * sum(weights.values()) / weight
        for name, weight in weights.items()
    }
    worst = min(parts, key=parts.get)
    return {
        "items_done": done,
        "parts_of_fair_share": {name: round(part, 3) for name, part in parts.items()},
        "worst_served": {"workspace": worst, "part": round(parts[worst], 3)},
    }
