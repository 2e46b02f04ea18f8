"""Time that the scheduler of a group takes for a placement, at several sizes."""

import time

from sequoiaglade_decisions.gateway import Endpoint, GroupScheduler

# Nodes and endpoints of a current site, a larger one, and a group of target size.
SIZES = ((11, 9), (66, 45), (370, 75))
PLACEMENT_COUNT = 3_000
SLOTS = 8
# Endpoints at which a node has requests in flight when it requests a placement.
IN_FLIGHT_ENDPOINT_COUNT = 6
MICROS = 1_000_000


def run(options):
    """Return the time of a placement with its report at each size."""
    return [_measure(nodes, endpoints) for nodes, endpoints in SIZES]


def _measure(node_count, endpoint_count):
    endpoints = [
        Endpoint(f"e-{n}", "s", "", f"d-{n % 4}", SLOTS) for n in range(endpoint_count)
    ]
    in_flight = {e.endpoint_id: (1, 0) for e in endpoints[:IN_FLIGHT_ENDPOINT_COUNT]}
    scheduler = GroupScheduler()
    started_at = time.perf_counter()
    for number in range(PLACEMENT_COUNT):
        node_id = f"n-{number % node_count}"
        scheduler.report(node_id, (1, number), in_flight, 0.0)
        scheduler.choose(endpoints, node_id, 0.0, str(number), domain="d-0")
    seconds = time.perf_counter() - started_at
    return {
        "nodes": node_count,
        "endpoints": endpoint_count,
        "placement_us": round(seconds / PLACEMENT_COUNT * MICROS, 1),
    }
