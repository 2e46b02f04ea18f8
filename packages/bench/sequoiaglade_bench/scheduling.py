"""Time that a scheduler of a large fleet takes for a placement, at several sizes."""

import time

from sequoiaglade_decisions.gateway import Endpoint, GroupScheduler

# Pairs of nodes and endpoints: a site of today, a grown one, and a group at the target.
SIZES = ((11, 9), (66, 45), (370, 75))
PLACEMENTS = 3_000
SLOTS = 8
# Endpoints at which a node has requests in flight when it asks.
HELD_COUNT = 6
MICROS = 1_000_000


def run(options):
    """Return the time of a placement with its report, keyed by sizes."""
    return [_measure(nodes, endpoints) for nodes, endpoints in SIZES]


def _measure(node_count, endpoint_count):
    endpoints = [
        Endpoint(f"e-{n}", "s", "", f"d-{n % 4}", SLOTS) for n in range(endpoint_count)
    ]
    held = {e.endpoint_id: (1, 0) for e in endpoints[:HELD_COUNT]}
    scheduler = GroupScheduler()
    began_at = time.perf_counter()
    for number in range(PLACEMENTS):
        node_id = f"n-{number % node_count}"
        scheduler.report(node_id, (1, number), held, 0.0)
        scheduler.choose(endpoints, node_id, 0.0, str(number), domain="d-0")
    seconds = time.perf_counter() - began_at
    return {
        "nodes": node_count,
        "endpoints": endpoint_count,
        "placement_us": round(seconds / PLACEMENTS * MICROS, 1),
    }
