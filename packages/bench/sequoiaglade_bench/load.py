"""Runs a load scenario against a fleet: open-loop arrivals, batch jobs, faults.

The schedule of arrivals is drawn before the run from a fixed seed. Latency counts from
the scheduled arrival, which avoids coordinated omission when the system stalls.
"""

import json
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import urllib3
from hdrh.histogram import HdrHistogram

from .scenario import Scenario

MICROS = 1_000_000
LOWEST_MICROS = 1
HIGHEST_MICROS = 600 * MICROS
SIGNIFICANT_DIGITS = 3
REQUEST_TIMEOUT_SECONDS = 60.0
PROGRESS_INTERVAL_SECONDS = 5.0
POLL_SECONDS = 0.5


class Target(NamedTuple):
    """The fleet under load: URLs of nodes, keys, and control URLs of the stand-ins."""

    nodes: list[str]
    key_by_workspace: dict[str, str]
    platform: str | None = None
    endpoints: tuple[str, ...] = ()


class Tally:
    """Counts and latency histograms of one workspace."""

    def __init__(self):
        self.sent = 0
        self.served = 0
        self.refused = 0
        self.refused_inside_rate = 0
        self.failed = 0
        self.first_token = new_histogram()
        self.between_tokens = new_histogram()


class LoadRun:
    """One run of a `Scenario` against a `Target`; its seed fixes the schedule."""

    def __init__(self, scenario: Scenario, target: Target):
        self._scenario = scenario
        self._target = target
        self._random = random.Random(scenario.seed)
        self._tally_by_workspace = {name: Tally() for name in scenario.workspaces}
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(
            num_pools=64, maxsize=1024, retries=False, timeout=REQUEST_TIMEOUT_SECONDS
        )
        self._batch_done = 0
        self._jobs = []

    def run(self, progress=lambda text: None):
        """Run the complete scenario; return its results as a JSON value."""
        schedule = self._schedule()
        started_at = time.monotonic()
        with ThreadPoolExecutor(self._scenario.threads) as threads:
            self._start_jobs_and_faults(started_at)
            for at, workspace in schedule:
                wait = started_at + at - time.monotonic()
                if wait > 0:
                    time.sleep(wait)
                threads.submit(self._send, workspace, started_at + at)
                if int(at / PROGRESS_INTERVAL_SECONDS) != int(
                    (at - 0.001) / PROGRESS_INTERVAL_SECONDS
                ):
                    progress(f"{at:.0f} of {self._scenario.seconds:.0f} s")
        return self._results(time.monotonic() - started_at)

    def _schedule(self):
        arrivals = []
        for name, plan in self._scenario.workspaces.items():
            at = 0.0
            while True:
                at += self._random.expovariate(max(plan.rate_at(at), 1e-6))
                if at >= self._scenario.seconds:
                    break
                arrivals.append((at, name))
        return sorted(arrivals)[: self._scenario.max_requests]

    def _start_jobs_and_faults(self, started_at):
        for fault in self._scenario.faults:
            delay = started_at + fault.at - time.monotonic()
            timer = threading.Timer(max(0.0, delay), self._inject_fault, (fault,))
            timer.daemon = True
            timer.start()
        for job in self._scenario.jobs:
            thread = threading.Thread(target=self._run_job, args=(job,), daemon=True)
            thread.start()

    def _inject_fault(self, fault):
        target = self._target
        base = target.platform
        if fault.endpoint is not None:
            base = target.endpoints[fault.endpoint]
        self._pool.request("PUT", f"{base}/faults", json=fault.values)

    def _send(self, workspace, scheduled_at):
        plan = self._scenario.workspaces[workspace]
        tally = self._tally_by_workspace[workspace]
        node = self._random.choices(self._target.nodes, self._weights(plan))[0]
        with self._lock:
            number = tally.sent % plan.prompts
            tally.sent += 1
        text = f"{workspace}: stock check"
        text = f"{number} {text}" if number else text
        body = {
            "model": self._scenario.model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": plan.tokens,
            "stream": True,
        }
        try:
            response = self._pool.request(
                "POST",
                f"{node}/v1/chat/completions",
                json=body,
                headers=self._headers(workspace),
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError:
            self._count(tally, "failed")
            return
        if response.status == 429:
            response.drain_conn()
            self._count(tally, "refused")
            if plan.is_inside_rate:
                self._count(tally, "refused_inside_rate")
        elif response.status != 200:
            response.drain_conn()
            self._count(tally, "refused" if response.status == 503 else "failed")
        else:
            self._read_stream(response, tally, scheduled_at)

    def _weights(self, plan):
        count = len(self._target.nodes)
        weights = plan.node_weights or [1.0] * count
        return (list(weights) + [0.0] * count)[:count]

    def _read_stream(self, response, tally, scheduled_at):
        last_at = None
        is_complete = False
        try:
            for chunk in response.read_chunked():
                now = time.monotonic()
                micros = int((now - (last_at or scheduled_at)) * MICROS)
                histogram = tally.first_token if last_at is None else None
                histogram = histogram or tally.between_tokens
                with self._lock:
                    histogram.record_value(max(LOWEST_MICROS, micros))
                last_at = now
                is_complete = b"[DONE]" in chunk
        except urllib3.exceptions.HTTPError:
            is_complete = False
        response.release_conn()
        self._count(tally, "served" if is_complete else "failed")

    def _count(self, tally, name):
        with self._lock:
            setattr(tally, name, getattr(tally, name) + 1)

    def _headers(self, workspace):
        return {"Authorization": f"Bearer {self._target.key_by_workspace[workspace]}"}

    def _run_job(self, job):
        node = self._target.nodes[0]
        headers = self._headers(job.workspace)
        lines = "\n".join(self._item(job, n) for n in range(job.items))
        fields = {"purpose": "batch", "file": ("load.jsonl", lines)}
        uploaded = self._pool.request(
            "POST", f"{node}/v1/files", fields=fields, headers=headers
        )
        if uploaded.status != 200:
            return
        body = {
            "input_file_id": json.loads(uploaded.data)["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        }
        created = self._pool.request(
            "POST", f"{node}/v1/batches", json=body, headers=headers
        )
        if created.status == 200:
            with self._lock:
                self._jobs.append((job.workspace, json.loads(created.data)["id"]))

    def _item(self, job, number):
        body = {
            "model": self._scenario.model,
            "messages": [{"role": "user", "content": f"sheet {number}"}],
            "max_tokens": job.tokens,
        }
        return json.dumps(
            {
                "custom_id": f"sheet-{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": body,
            }
        )

    def _batch_results(self, seconds):
        done = 0
        rows = {}
        for workspace, job_id in self._jobs:
            url = f"{self._target.nodes[0]}/v1/batches/{job_id}"
            found = self._pool.request("GET", url, headers=self._headers(workspace))
            if found.status == 200:
                counts = json.loads(found.data)["request_counts"]
                ended = counts["completed"] + counts["failed"]
                done += ended
                row = rows.setdefault(workspace, {"items": 0, "ended": 0})
                row["items"] += counts["total"]
                row["ended"] += ended
        return {
            "items": done,
            "items_per_second": done / seconds,
            "worst_served": worst_batch(rows),
            "workspaces": rows,
        }

    def _results(self, seconds):
        rows = {}
        for name, tally in self._tally_by_workspace.items():
            rows[name] = {
                "sent": tally.sent,
                "served": tally.served,
                "refused": tally.refused,
                "refused_inside_rate": tally.refused_inside_rate,
                "failed": tally.failed,
                "first_token": percentiles(tally.first_token),
                "between_tokens": percentiles(tally.between_tokens),
            }
        tallies = self._tally_by_workspace.values()
        return {
            "scenario": self._scenario.name,
            "seconds": seconds,
            "batch": self._batch_results(seconds),
            "online": {
                "first_token": percentiles(_merged(t.first_token for t in tallies)),
                "between_tokens": percentiles(
                    _merged(t.between_tokens for t in tallies)
                ),
            },
            "worst_served": worst_served(rows),
            "refused_inside_rate": sum(t.refused_inside_rate for t in tallies),
            "workspaces": rows,
        }


def new_histogram():
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROS, HIGHEST_MICROS, SIGNIFICANT_DIGITS)


def percentiles(histogram):
    """Return p50, p95, p99 in milliseconds and the count of a histogram.

    >>> histogram = new_histogram()
    >>> histogram.record_value(2000)
    True
    >>> percentiles(histogram)["p50_ms"]
    2.0
    """
    values = {
        f"p{p}_ms": round(histogram.get_value_at_percentile(p) / 1000, 2)
        for p in (50, 95, 99)
    }
    return values | {"count": histogram.get_total_count()}


def worst_served(rows):
    """Return the workspace with the smallest share of its requests served, or None.

    Workspaces that send more than their rate are left out, since the limits are meant
    to refuse their requests.
    """
    shares = {
        name: row["served"] / row["sent"]
        for name, row in rows.items()
        if row["sent"] and not row["refused"] > row["refused_inside_rate"]
    }
    if not shares:
        return None
    name = min(shares, key=shares.get)
    return {"workspace": name, "share": round(shares[name], 4)}


def worst_batch(rows):
    """Return the workspace with the smallest share of its batch items ended, or None.

    >>> worst_batch({"a": {"items": 4, "ended": 4}, "b": {"items": 8, "ended": 2}})
    {'workspace': 'b', 'share': 0.25}
    """
    shares = {n: row["ended"] / row["items"] for n, row in rows.items() if row["items"]}
    if not shares:
        return None
    name = min(shares, key=shares.get)
    return {"workspace": name, "share": round(shares[name], 4)}


def _merged(histograms):
    merged = new_histogram()
    for histogram in histograms:
        merged.add(histogram)
    return merged
