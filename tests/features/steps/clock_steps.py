"""Steps for gateways whose time of day was set back or forward."""

from behave import then, when


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
