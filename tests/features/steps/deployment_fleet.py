"""Fleets with failure domains, and traffic at them, for the steps of several features.

Their bounds are those of docs/design/cold-endpoints-evacuations-homes.md.
"""

import threading
import time

from emulator import ColdBound, ColdPlan, FleetLayout, RunnerPlan
from emulator.fleet import HOST, wait_until
from emulator.hunt.deployment import DOMAINS, HOME_ROUTES, REGIONS, WORKSPACES
from emulator.hunt.deployment import domain_of as domain_of
from gateway_calls import start
from paced_calls import send_paced, wait_until_met

OVERSHOOT, SLACK = 1.5, 5.0
STABLE_MILLISECONDS = 3000
# A runner that crashed is back after this time, in which many requests come for 1 s, so
# that each gateway meets it. Its entry comes later.
DOWN_SECONDS = 2.0
ENTRY_SECONDS = 1.0


def start_deployment(context, nodes, count, rate=8.5, cold_seconds=6.0, **options):
    """Start gateways and runners in all domains, and wait until the gateways met.

    `plan` is that of the runners, `layout` that of the fleet, and `domains` are those
    of the runners.
    """
    context.bound = ColdBound(rate, OVERSHOOT, SLACK)
    cold = ColdPlan(cold_seconds, context.bound.withstood, DOWN_SECONDS, ENTRY_SECONDS)
    plan = options.get("plan", RunnerPlan())
    domains = options.get("domains", [domain_of(number) for number in range(count)])
    plans = [plan._replace(failure_domain=domain, cold=cold) for domain in domains]
    start(
        context,
        nodes,
        plans,
        workspaces=WORKSPACES,
        home_routes=HOME_ROUTES,
        layout=options.get("layout", FleetLayout(DOMAINS, REGIONS)),
        service_fields={"ColdS": cold_seconds, "ColdPerS": rate},
        settings={
            "cold_starts": {"overshoot": OVERSHOOT, "slack": SLACK},
            "evacuations": True,
            "stable_milliseconds": STABLE_MILLISECONDS,
        },
    )
    context.traffic = []
    context.stack.callback(end_traffic, context)
    if nodes <= 3:
        wait_until_met(context)


class Traffic:
    """Requests that are sent in a thread; `sent` holds them once it has ended."""

    def __init__(self, fleet, route, rate, seconds, **options):
        self.sent = []
        self.route = route
        self._arguments = (fleet, route, rate, seconds)
        self._options = options
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        self.sent = send_paced(*self._arguments, **self._options)

    def join(self):
        """Wait until all requests have ended."""
        self._thread.join()


def send_meanwhile(context, route, rate, seconds, **options):
    """Send requests while the scenario goes on."""
    row = Traffic(context.gateways, route, rate, seconds, **options)
    context.traffic.append(row)
    return row


def end_traffic(context):
    """Wait until all requests have ended; return them."""
    for row in context.traffic:
        row.join()
    return [sent for row in context.traffic for sent in row.sent]


def runners_in(context, domains):
    """Return the runners of failure domains."""
    runners = context.gateways.runners
    return [runner for runner in runners if runner.plan.failure_domain in domains]


def arrivals_in(context, domains, since, until=None):
    """Return what runners of the domains received in a span of time."""
    until = time.monotonic() if until is None else until
    return [
        arrival
        for runner in runners_in(context, domains)
        for arrival in runner.arrivals
        if since < arrival.arrived_at < until
    ]


def wait_until_completed(fleet, item_ids_by_job, seconds, host=HOST):
    """Wait until each job has a completed result of each of its items."""

    def are_completed():
        for job_id, item_ids in item_ids_by_job.items():
            status, body = fleet.results(job_id, host=host)
            rows = body["Results"] if status == 200 else []
            if {row["Id"] for row in rows if row["State"] == "completed"} != item_ids:
                return False
        return True

    wait_until(are_completed, seconds, f"{len(item_ids_by_job)} jobs are completed")
