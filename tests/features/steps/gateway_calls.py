"""Helpers for the steps with gateways on the emulated platform."""

from concurrent.futures import ThreadPoolExecutor

from emulator import GatewayFleet, RunnerPlan

SLOW = RunnerPlan(event_count=12, event_seconds=0.1)


def start(context, nodes, plans, **options):
    context.gateways = context.stack.enter_context(
        GatewayFleet(nodes, plans, **options)
    )
    context.stack.callback(_kill_gateways, context.gateways)


def _kill_gateways(gateways):
    # A regular stop takes some seconds; the steps on stops wait for it themselves.
    for node in gateways.nodes:
        if node.is_running:
            node.kill()


def runs(context):
    found = [run for runner in context.gateways.runners for run in runner.runs]
    return sorted(found, key=lambda run: run.began_at)


def ask_together(context, count, node):
    fleet = context.gateways
    with ThreadPoolExecutor(count) as pool:
        asked = [pool.submit(fleet.send, f"/once/{n}", node) for n in range(count)]
        context.answers = [future.result() for future in asked]
