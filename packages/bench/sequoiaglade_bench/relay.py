"""Overhead of a node on streams, compared with a plain relay and with direct calls.

All three are run together. CPU time is that of the relaying process: per request from
streams of one token, and per token from the additional time of longer streams.
"""

import contextlib
import json
import socket
import subprocess
import sys
import time
from typing import NamedTuple

from sequoiaglade_standins.fleet import Fleet, Process
from sequoiaglade_standins.ports import PortBlock
from sequoiaglade_standins.samples import RESTOCKERS_MODEL, restockers_document

from .processes import Usage, usage

STREAM_COUNTS = (50, 150, 300)
TOKENS = 60
SLOTS = 2000
MAX_CONNECT_ATTEMPTS = 100
CONNECT_RETRY_SECONDS = 0.1


class Target(NamedTuple):
    """A server to call: its port, a key, and the id of its process if it relays."""

    port: int
    key: str
    pid: int | None


class Reading(NamedTuple):
    """Times of the streams, and CPU time and memory of the relaying process."""

    streams: list
    cpu_seconds: float
    memory_bytes: int


def run(options):
    """Return the results of each target by number of streams."""
    with contextlib.ExitStack() as stack:
        targets = _start(stack)
        for target in targets.values():
            _read_streams(target, 20, 1)
        return {count: _compare(targets, count) for count in STREAM_COUNTS}


def _start(stack):
    document = restockers_document()
    document["rates"] = {}
    settings = {"limits": {"data_threads": 512, "batch_workers": 0}}
    fleet = stack.enter_context(Fleet(1, [], document, settings))
    source_port, relay_port = stack.enter_context(PortBlock()).take(2)
    source_url = f"http://127.0.0.1:{source_port}"
    module = "sequoiaglade_bench"
    _start_process(stack, fleet, f"{module}._source", source_port)
    relay = _start_process(
        stack, fleet, f"{module}._plain_relay", relay_port, source_url
    )
    sections = fleet.document()
    sections["endpoints"] = {
        "source": {
            "url": source_url,
            "failure_domain": "yard-a",
            "model": RESTOCKERS_MODEL,
            "slots": SLOTS,
        }
    }
    fleet.apply(sections)
    node = fleet.nodes[0]
    key = fleet.key_by_workspace["salina"]
    node_port = int(node.url.rpartition(":")[2])
    _await_ports(source_port, relay_port)
    return {
        "direct": Target(source_port, key, None),
        "plain": Target(relay_port, key, relay.pid),
        "node": Target(node_port, key, node.process.pid),
    }


def _start_process(stack, fleet, module, *arguments):
    command = [sys.executable, "-m", module, *map(str, arguments)]
    process = Process(module, command, fleet.folder)
    return stack.enter_context(process)


def _await_ports(*ports):
    for port in ports:
        for _ in range(MAX_CONNECT_ATTEMPTS):
            try:
                socket.create_connection(("127.0.0.1", port)).close()
                break
            except OSError:
                time.sleep(CONNECT_RETRY_SECONDS)


def _read_streams(target, streams, tokens):
    before = _usage(target.pid)
    arguments = (target.port, target.key, streams, tokens)
    command = [sys.executable, "-m", "sequoiaglade_bench._streams"]
    done = subprocess.run(
        [*command, *map(str, arguments)], capture_output=True, text=True, check=True
    )
    after = _usage(target.pid)
    cpu_seconds = after.cpu_seconds - before.cpu_seconds
    return Reading(json.loads(done.stdout), cpu_seconds, after.resident_bytes)


def _compare(targets, count):
    results = {name: _measure(target, count) for name, target in targets.items()}
    direct, plain, node = (results[name] for name in ("direct", "plain", "node"))
    for name in ("plain", "node"):
        for key in [key for key in direct if key.endswith("_ms")]:
            results[name][f"added_{key}"] = round(results[name][key] - direct[key], 2)
    return results | {
        "node_to_plain_cpu_per_token": _ratio(node, plain, "cpu_us_per_token"),
        "node_to_plain_cpu_per_request": _ratio(node, plain, "cpu_us_per_request"),
    }


def _measure(target, count):
    memory = _usage(target.pid).resident_bytes
    short = _read_streams(target, count, 1)
    long = _read_streams(target, count, TOKENS)
    first = [times[1] - times[0] for times in long.streams if len(times) > 1]
    gaps = [b - a for times in long.streams for a, b in zip(times[1:], times[2:])]
    per_token = (long.cpu_seconds - short.cpu_seconds) / (count * (TOKENS - 1))
    results = {
        "whole_streams": sum(len(times) == TOKENS + 1 for times in long.streams),
        "cpu_us_per_request": round(short.cpu_seconds / count * 1e6),
        "cpu_us_per_token": round(per_token * 1e6, 1),
        "memory_kb_per_stream": round((long.memory_bytes - memory) / count / 1e3, 1),
    }
    for name, values in (("first", first), ("gap", gaps)):
        for percent in (50, 95, 99):
            value = _percentile(values, percent) * 1e3
            results[f"{name}_p{percent}_ms"] = round(value, 2)
    return results


def _ratio(node, plain, key):
    return round(node[key] / plain[key], 2) if plain[key] else None


def _percentile(values, percent):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


def _usage(pid):
    return Usage(0.0, 0) if pid is None else usage(pid)
