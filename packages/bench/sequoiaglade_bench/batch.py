"""Batch jobs: impact on online requests, throughput, and calls to the platform.

*Yielding*: the same bursty online traffic alone, and together with a constant backlog
of batch work. The batch work is preempted by online requests (yielding), is sent as
online requests (no yielding), or has half of the endpoints to itself (fixed split).
*Shares*: see `batch_shares`.
*Calls*: platform calls, CPU time and memory of jobs of several sizes.
"""

import json
import threading
import time

from sequoiaglade_standins.fleet import EndpointPlan, Fleet
from sequoiaglade_standins.samples import RESTOCKERS_MODEL, restockers_document

from .batch_jobs import PATH, await_job, completion_body, key_headers, submit_job
from .batch_shares import measure_shares
from .load import LoadRun
from .processes import usage
from .scenario import Burst, Scenario, WorkspacePlan
from .standing import target_of

NODE_COUNT = 2
ENDPOINT_COUNT = 4
SLOTS = 4
TOKEN_SECONDS = 0.02
TOKENS = 16
ONLINE_RATE = 5.0
BURST_FACTOR = 4.0
BURST_SECONDS = 1.5
BURST_INTERVAL_SECONDS = 8.0
FIRST_BURST_SECONDS = 4.0
PROMPTS = 1000
DRAIN_SECONDS = 1.0
BACKLOG_ITEMS = 4000
CLOSED_LOOP_CLIENTS = 32
CALL_ITEM_COUNTS = (1_000, 10_000)
TIMELINE_BIN_SECONDS = 0.1
BATCH_MODEL = "batch-writer"
ONLINE_WORKSPACES = ("salina", "hays")
BATCH_WORKSPACE = "dodge"
BATCH_KINDS = ("files", "file-segments", "jobs", "job-work", "job-results", "job-pages")
MICROS = 1_000_000


def run(options):
    """Return the results for yielding, shares and calls."""
    modes = ("online alone", "yielding", "no yielding", "fixed split")
    return {
        "yielding": {mode: _measure_mode(mode, options) for mode in modes},
        "shares": measure_shares(options),
        "calls": [_measure_calls(count) for count in CALL_ITEM_COUNTS],
    }


def _measure_mode(mode, options):
    is_split = mode == "fixed split"
    document = restockers_document()
    if is_split:
        document["models"][BATCH_MODEL] = {}
        document["routes"]["batch"] = {"model": BATCH_MODEL}
    plans = [
        EndpointPlan(
            f"runner-{number}",
            model=BATCH_MODEL if is_split and number % 2 else RESTOCKERS_MODEL,
            slots=SLOTS,
            token_seconds=TOKEN_SECONDS,
            resumes=True,
        )
        for number in range(ENDPOINT_COUNT)
    ]
    settings = {"limits": {"batch_workers": ENDPOINT_COUNT * SLOTS}}
    with Fleet(NODE_COUNT, plans, document, settings) as fleet:
        stopped = threading.Event()
        threads = _start_batch(mode, fleet, stopped)
        if mode != "online alone":
            time.sleep(3.0)
        started_at = time.time()
        results = LoadRun(_online_scenario(options), target_of(fleet)).run()
        ended_at = time.time()
        time.sleep(DRAIN_SECONDS)
        stopped.set()
        for thread in threads:
            thread.join()
        return _summary(fleet, results, started_at, ended_at, options)


def _online_scenario(options):
    bursts = []
    at = FIRST_BURST_SECONDS
    while at + BURST_SECONDS < options.seconds:
        bursts.append(Burst(at=at, seconds=BURST_SECONDS, factor=BURST_FACTOR))
        at += BURST_INTERVAL_SECONDS
    plan = WorkspacePlan(
        rate=ONLINE_RATE, tokens=TOKENS, bursts=bursts, prompts=PROMPTS
    )
    return Scenario(
        name="batch",
        model=RESTOCKERS_MODEL,
        seconds=options.seconds,
        seed=options.seed,
        workspaces={name: plan for name in ONLINE_WORKSPACES},
        jobs=(),
    )


def _start_batch(mode, fleet, stopped):
    if mode == "online alone":
        return []
    if mode != "no yielding":
        model = BATCH_MODEL if mode == "fixed split" else RESTOCKERS_MODEL
        submit_job(fleet, BATCH_WORKSPACE, BACKLOG_ITEMS, TOKENS, model)
        return []
    threads = [
        threading.Thread(target=_closed_loop, args=(fleet, number, stopped))
        for number in range(CLOSED_LOOP_CLIENTS)
    ]
    for thread in threads:
        thread.start()
    return threads


def _closed_loop(fleet, number, stopped):
    body = json.dumps(completion_body(RESTOCKERS_MODEL, TOKENS, "panel note"))
    url = fleet.nodes[number % NODE_COUNT].url + PATH
    headers = key_headers(fleet, BATCH_WORKSPACE) | {"Content-Type": "application/json"}
    sent_count = 0
    while not stopped.is_set():
        sent_count += 1
        numbered = headers | {"X-Request-Id": f"batch_{number}.{sent_count}"}
        fleet.http.request("POST", url, body=body, headers=numbered)


def _summary(fleet, results, started_at, ended_at, options):
    runs = [r for r in fleet.runs() if started_at <= r["started_at"] < ended_at]
    batch = [run for run in runs if run["request_id"].startswith("batch_")]
    online = [run for run in runs if run not in batch]
    done = sum(run["state"] == "done" for run in batch)
    run_seconds = TOKENS * TOKEN_SECONDS
    seconds = ended_at - started_at
    capacity = ENDPOINT_COUNT * SLOTS * seconds / run_seconds
    remaining = capacity - len(online)
    burst_at = started_at + FIRST_BURST_SECONDS
    return {
        "first_token": results["online"]["first_token"],
        "refused": sum(row["refused"] for row in results["workspaces"].values()),
        "online_runs": len(online),
        "batch_done": done,
        "batch_aborted": sum(r["state"] in ("hung_up", "cancelled") for r in batch),
        "batch_share_of_capacity_left": round(done / remaining, 3),
        "burst": _burst_timeline(online, batch, burst_at),
    }


def _burst_timeline(online, batch, burst_at):
    """Return (seconds, online starts, batch starts, aborted of these) by time bin."""
    rows = []
    for number in range(-3, int((BURST_SECONDS + 0.5) / TIMELINE_BIN_SECONDS)):
        start = burst_at + number * TIMELINE_BIN_SECONDS
        end = start + TIMELINE_BIN_SECONDS
        started = [r for r in batch if start <= r["started_at"] < end]
        aborted = sum(r["state"] in ("hung_up", "cancelled") for r in started)
        count = sum(start <= r["started_at"] < end for r in online)
        rows.append(
            (round(number * TIMELINE_BIN_SECONDS, 1), count, len(started), aborted)
        )
    return rows


def _measure_calls(item_count):
    plans = [
        EndpointPlan(f"runner-{n}", RESTOCKERS_MODEL, slots=32, token_seconds=0.0)
        for n in range(ENDPOINT_COUNT)
    ]
    settings = {"limits": {"batch_workers": 32}}
    with Fleet(NODE_COUNT, plans, restockers_document(), settings) as fleet:
        before = fleet.platform_calls()
        before_upload = [usage(node.process.pid) for node in fleet.nodes]
        started_at = time.monotonic()
        job_id = submit_job(fleet, BATCH_WORKSPACE, item_count, 1)
        after_upload = [usage(node.process.pid) for node in fleet.nodes]
        view = await_job(fleet, BATCH_WORKSPACE, job_id)
        seconds = time.monotonic() - started_at
        ended = [usage(node.process.pid) for node in fleet.nodes]
        calls = _difference(before, fleet.platform_calls())
    upload_cpu = sum(
        b.cpu_seconds - a.cpu_seconds for a, b in zip(before_upload, after_upload)
    )
    cpu = sum(b.cpu_seconds - a.cpu_seconds for a, b in zip(after_upload, ended))
    writes = sum(n for name, n in calls.items() if name.startswith(("put", "delete")))
    reads = sum(n for name, n in calls.items() if name.startswith(("get", "list")))
    return {
        "items": item_count,
        "status": view["status"],
        "completed": view["request_counts"]["completed"],
        "seconds": round(seconds, 1),
        "calls": calls,
        "writes_per_item": round(writes / item_count, 4),
        "reads_per_item": round(reads / item_count, 4),
        "upload_cpu_us_per_item": round(upload_cpu / item_count * MICROS),
        "run_cpu_us_per_item": round(cpu / item_count * MICROS),
        "resident_megabytes": [round(u.resident_bytes / MICROS) for u in ended],
    }


def _difference(before, after):
    names = (*BATCH_KINDS, "open-jobs", "job-cancels")
    return {
        name: count - before.get(name, 0)
        for name, count in sorted(after.items())
        if name.partition(" ")[2] in names and count > before.get(name, 0)
    }
