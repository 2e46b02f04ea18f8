"""Steps for gateways whose time of day was set back or forward."""

import time
from unittest import mock

from behave import given, then, when
from gateway_item_runner_steps import ROUTE, hold_job, start_item_runner


@when('"{name}" starts again with its clock set back by {seconds:d} seconds')
def restart_behind(context, name, seconds):
    context.simulation.add(name, seconds)


@then("all gateways know each other")
def check_known(context):
    gateways = context.simulation.running()
    known = {gateway.name: gateway.known_peers() for gateway in gateways}
    names = sorted(known)
    expected = {name: [n for n in names if n != name] for name in names}
    assert known == expected, known


@then('a job that is stored at "{name}" is held by no other gateway for {seconds:d} s')
def check_single_holder(context, name, seconds):
    simulation = context.simulation
    simulation.gateway_by_name[name].submit("later-job")
    for _ in range(seconds):
        simulation.run(1.0)
        holders = [gateway.name for gateway in simulation.holders(".later-job")]
        assert holders == [name], holders


@given("an item runner whose route retains items for {seconds:d} seconds")
def given_retention(context, seconds):
    start_item_runner(context, route=ROUTE._replace(retention=float(seconds)))


@when("a job of {count:d} items that was submitted {seconds:d} seconds ago is held")
def hold_old(context, count, seconds):
    context.held_job = hold_job(context, count, submitted_at=time.time() - seconds)


@when("its clock is set forward by {seconds:d} seconds")
def set_forward(context, seconds):
    read = time.time
    patch = mock.patch.object(time, "time", lambda: read() + seconds)
    context.stack.enter_context(patch)


@then("no item is given up within {seconds:d} second")
def check_not_given_up(context, seconds):
    time.sleep(seconds)
    batch = context.held_job.batch
    given_up = [r.item_id for r in batch.unlisted() if not r.is_completed]
    assert not given_up, given_up
    assert batch.unfinished_count, "all items are finished"


@then("all items that do not run are given up within {seconds:d} seconds")
def check_given_up(context, seconds):
    time.sleep(seconds)
    batch = context.held_job.batch
    running = context.item_runner.running_count
    assert batch.unfinished_count <= running, batch.unfinished_count
    assert any(not result.is_completed for result in batch.unlisted())
