"""Steps for nodes with a disk, and for invalid settings."""

import time

from behave import given, then, when
from emulator.process import GatewayProcess, wait_until


@given("a storage node")
def given_storage(context):
    context.storage_id = context.gateways.start_storage()
    time.sleep(1.5)


@when("its instance is emptied while the store is down for {seconds:d} seconds")
def empty_instance(context, seconds):
    fleet = context.gateways
    fleet.store.set_down(True)
    fleet.retire(context.storage_id)
    time.sleep(seconds)
    fleet.store.set_down(False)


@then("within {seconds:d} seconds the instance is reported as empty")
def check_empty(context, seconds):
    fleet = context.gateways
    is_reported = lambda: fleet.retirement_state(context.storage_id) == "completed"  # noqa: E731
    wait_until(is_reported, seconds, "the instance is reported as empty")


@when("a gateway starts with an empty address and a non-numeric grace period")
def start_with_invalid_settings(context):
    fleet = context.gateways
    settings = {**fleet.nodes[0].settings, "grace_seconds": "long"}
    settings["listen"] = {**settings["listen"], "data": ""}
    context.faulty = GatewayProcess(fleet.folder, "faulty", settings)
    context.faulty.start()


@then('it exits with code {code:d} and names "{first}" and "{second}"')
def check_rejected(context, code, first, second):
    assert context.faulty.process.wait(10) == code
    text = context.faulty.log_path.read_text(encoding="utf-8")
    assert first in text and second in text, text
