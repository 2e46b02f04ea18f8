"""Steps for evacuations of failure domains with real gateways."""

import time

from behave import given, then, when
from deployment_fleet import (
    arrivals_in,
    end_traffic,
    runners_in,
    send_meanwhile,
    start_deployment,
    wait_until_completed,
)
from emulator import RunnerPlan
from emulator.stalls import meets_span

BREAKING = RunnerPlan(breaks_after=3)
# So many events that streams end after the evacuation has begun.
LONG = RunnerPlan(event_count=20, event_seconds=0.1)
EVACUATE_SECONDS = 5.0
STEADY_SECONDS = 1.0
SETTLED_SECONDS = 1.0


@given("{nodes:d} gateways and {count:d} runners in the failure domains a1, a2 and b1")
def given_fleet(context, nodes, count):
    start_deployment(context, nodes, count)


@given(
    "{nodes:d} gateways and {count:d} runners that break streams, in the failure "
    "domains a1, a2 and b1"
)
def given_breaking(context, nodes, count):
    start_deployment(context, nodes, count, plan=BREAKING)


@given(
    "{nodes:d} gateways and {count:d} runners with long streams, in the failure "
    "domains a1, a2 and b1"
)
def given_long(context, nodes, count):
    start_deployment(context, nodes, count, plan=LONG)


@given(
    "callers send {rate:d} requests a second on {route} to all gateways for "
    "{seconds:d} seconds"
)
def given_traffic(context, rate, route, seconds):
    send_meanwhile(context, route, rate, seconds)
    time.sleep(SETTLED_SECONDS)


@given("a job of {count:d} items runs")
def given_job(context, count):
    items = [(f"evacuated-{n}", f"/batch/evacuated/{n}") for n in range(count)]
    job_id, response = context.gateways.submit(items)
    assert response.status == 202, response
    context.item_ids_by_job = {job_id: {item_id for item_id, _ in items}}


@when("the operator evacuates {domains}")
def evacuate(context, domains):
    context.domains = domains.split(" and ")
    for domain in context.domains:
        context.gateways.evacuate(domain)


@when("the runners elsewhere become cold and the operator evacuates {domains}")
def evacuate_beside_cold(context, domains):
    for runner in context.gateways.runners:
        if runner.plan.failure_domain not in domains.split(" and "):
            runner.become_cold()
    evacuate(context, domains)


@when("{seconds:d} seconds pass")
def wait(context, seconds):
    time.sleep(seconds)


@when("the store is away for {seconds:d} seconds")
def lose_store(context, seconds):
    context.gateways.store.set_down(True)
    time.sleep(seconds)
    context.ended_at = time.monotonic()
    context.gateways.store.set_down(False)


@when("the process of gateway {number:d} is killed and started again")
def restart(context, number):
    fleet = context.gateways
    fleet.nodes[number].kill()
    fleet.nodes[number].start()
    fleet.wait_ready(number)


@when("the operator ends the evacuation")
def end_evacuation(context):
    context.ended_at = time.monotonic()
    for domain in context.domains:
        context.gateways.end_evacuation(domain)


@when("callers send {rate:d} requests a second on {route} for {seconds:d} seconds")
def send_after(context, rate, route, seconds):
    context.later = send_meanwhile(context, route, rate, seconds)
    context.later.join()


@then("nothing reached {domains} later than {seconds:g} s after the entry was written")
def check_nothing(context, domains, seconds):
    fleet = context.gateways
    domains = domains.split(" and ")
    until = getattr(context, "ended_at", time.monotonic())
    since = max(row.acknowledged_at for row in fleet.evacuations) + seconds
    assert until > since + 1.0, "the evacuation was too short to be checked"
    late = [
        round(arrival.arrived_at - since + seconds, 2)
        for arrival in arrivals_in(context, domains, since, until)
        if not meets_span(fleet.stalls.spans, arrival.arrived_at, arrival.arrived_at)
    ]
    assert not late, (len(late), late[:10])


@then("the runners elsewhere got requests meanwhile")
def check_elsewhere(context):
    elsewhere = {"a1", "a2", "b1"} - set(context.domains)
    since = context.gateways.evacuations[0].acknowledged_at + EVACUATE_SECONDS
    for runner in runners_in(context, elsewhere):
        arrived = [row for row in runner.arrivals if row.arrived_at > since]
        assert arrived, f"{runner.runner_id} got no request"


@then("requests sent from {seconds:g} s on were refused with 503 and a Retry-After")
def check_refused(context, seconds):
    since = context.gateways.evacuations[-1].acknowledged_at + seconds
    sent = [row for row in end_traffic(context) if since < row.sent_at]
    sent = [row for row in sent if row.sent_at < context.ended_at - 1.0]
    assert sent, "no request was sent then"
    for row in sent:
        assert row.answer is not None and row.answer.status == 503, row
        assert float(row.answer.headers["Retry-After"]) > 0, row


@then("all requests of the callers were answered")
def check_answered(context):
    failed = [row for row in end_traffic(context) if not row.is_answered]
    assert not failed, (len(failed), failed[:3])


@then("the requests sent after the end were answered")
def check_later(context):
    failed = [row for row in context.later.sent if not row.is_answered]
    assert not failed, (len(failed), failed[:3])


@then("each runner of {domains} got requests again")
def check_again(context, domains):
    for runner in runners_in(context, domains.split(" and ")):
        arrived = [row for row in runner.arrivals if row.arrived_at > context.ended_at]
        assert arrived, f"{runner.runner_id} got no request"


@then("the job is completed within {seconds:d} seconds")
def check_job(context, seconds):
    wait_until_completed(context.gateways, context.item_ids_by_job, seconds)
