"""Costs of a node's control work at several sizes, for the capacity page."""

import json
import random
import time

from sequoiaglade_decisions.journal import CompressedLineBuffer, Decision
from sequoiaglade_decisions.membership.entries import Entry, choose_entries
from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.samples import restockers_document, restockers_endpoints

from .processes import usage

NODE_COUNTS = (2, 4, 8, 16)
KNOWN_NODE_COUNTS = (8, 50, 370)
RESPONSE_COUNT = 2_000
FAILURE_DOMAIN_COUNT = 7
REQUEST_ID_BITS = 128
RECORD_COUNTS = (1_000, 10_000, 100_000)
ENDPOINT_COUNT = 2
WARMUP_SECONDS = 4.0
MICROS = 1_000_000
BUFFER_BYTES = 64 * 1024 * 1024


def run(options):
    """Return the costs at each size, keyed by subject."""
    return {
        "idle_node": [idle_node(count, options.seconds) for count in NODE_COUNTS],
        "journal": [journal(count) for count in RECORD_COUNTS],
        "entries": [entries(count) for count in KNOWN_NODE_COUNTS],
    }


def idle_node(node_count, seconds):
    """Return the resource usage and platform calls of the nodes of an idle fleet.

    ``core_percent`` is the mean CPU usage of a node in percent of a core,
    ``core_percent_of_the_busiest`` the largest, ``resident_mb`` the largest resident
    memory and ``platform_calls_per_second`` the mean per node.
    """
    plans = restockers_endpoints(ENDPOINT_COUNT)
    with Fleet(node_count, plans, restockers_document()) as fleet:
        time.sleep(WARMUP_SECONDS)
        pids = [node.process.pid for node in fleet.nodes]
        before = [usage(pid) for pid in pids]
        calls_before = sum(fleet.platform_calls().values())
        started_at = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started_at
        after = [usage(pid) for pid in pids]
        calls = sum(fleet.platform_calls().values()) - calls_before
    shares = [
        100 * (b.cpu_seconds - a.cpu_seconds) / elapsed for a, b in zip(before, after)
    ]
    return {
        "nodes": node_count,
        "core_percent": round(sum(shares) / node_count, 2),
        "core_percent_of_the_busiest": round(max(shares), 2),
        "resident_mb": round(max(u.resident_bytes for u in after) / 1e6, 1),
        "platform_calls_per_second": round(calls / elapsed / node_count, 2),
    }


def journal(record_count):
    """Return CPU time and memory per journal record."""
    buffer = CompressedLineBuffer(BUFFER_BYTES)
    generator = random.Random(record_count)
    started_at = time.process_time()
    for number in range(record_count):
        decision = Decision(
            1_700_000_000 + number / 50,
            "node-17",
            "online",
            f"req-{generator.getrandbits(REQUEST_ID_BITS):032x}",
            "granted",
            "running",
            {"endpoint_id": f"runner-{number % 400}"},
        )
        buffer.append(decision.encode())
    cpu_seconds = time.process_time() - started_at
    return {
        "records": record_count,
        "cpu_us_per_record": round(MICROS * cpu_seconds / record_count, 1),
        "kept_bytes_per_record": round(buffer.byte_count / record_count, 1),
    }


def entries(node_count):
    """Return CPU time and bytes per response of the entry list, without HTTP."""
    generator = random.Random(node_count)
    known = [
        Entry(f"node-{n}", f"domain-{n % FAILURE_DOMAIN_COUNT}", f"h:{n}", f"c:{n}")
        for n in range(node_count)
    ]
    started_at = time.process_time()
    for _ in range(RESPONSE_COUNT):
        chosen = choose_entries(known, "domain-0", generator)
        body = json.dumps([entry._asdict() for entry in chosen])
    cpu_seconds = time.process_time() - started_at
    return {
        "known_nodes": node_count,
        "cpu_us_per_answer": round(MICROS * cpu_seconds / RESPONSE_COUNT, 1),
        "bytes": len(body),
    }
