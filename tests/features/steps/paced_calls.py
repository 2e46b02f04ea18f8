"""Requests at an even rate to the gateways of an emulated fleet."""

import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from emulator.fleet import wait_until

CALLERS = 24


class Sent(NamedTuple):
    """A request, by its times of sending and of its end, and its `Response`."""

    request_id: str
    node: int
    sent_at: float
    ended_at: float
    answer: object

    @property
    def is_answered(self):
        """Whether the response is a whole success."""
        answer = self.answer
        return answer is not None and answer.status == 200 and answer.is_complete


def send_evenly(context, route, rate, seconds, nodes=None):
    """Send requests of a route by turns at `nodes`, or at all; keep them in `sent`."""
    context.sent = send_paced(context.gateways, route, rate, seconds, nodes)


def send_paced(fleet, route, rate, seconds, nodes=None, **options):
    """Send requests as `send_evenly` does, with options of the fleet; return them."""
    nodes = nodes or range(len(fleet.nodes))
    began_at = time.monotonic()

    def send(number):
        time.sleep(max(0.0, began_at + number / rate - time.monotonic()))
        sent_at = time.monotonic()
        node, request_id = nodes[number % len(nodes)], uuid.uuid4().hex[:16]
        path = f"/{route}/{number}"
        answer = fleet.send(path, node, request_id=request_id, **options)
        return Sent(request_id, node, sent_at, time.monotonic(), answer)

    with ThreadPoolExecutor(CALLERS) as pool:
        return list(pool.map(send, range(rate * seconds)))


def wait_until_met(context):
    """Wait until all gateways know each other."""
    fleet = context.gateways
    others = len(fleet.nodes) - 1
    have_met = lambda: all(  # noqa: E731
        len(fleet.status(node)["peers"]) == others for node in range(others + 1)
    )
    wait_until(have_met, 10.0, "the gateways have met")
