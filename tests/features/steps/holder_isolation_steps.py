"""Steps for gateways that lose most others at the same moment, by simulation."""

from behave import then, when
from holders_steps import names_in, submit


@when("all gateways lose contact with each other for {seconds:g} seconds")
def lose_contact(context, seconds):
    simulation = context.simulation
    submit(context, "a")
    simulation.run(0.4)
    for name in simulation.gateway_by_name:
        simulation.cut(name)
    simulation.run(seconds)
    for name in simulation.gateway_by_name:
        simulation.heal(name)


@when('"{name}" is frozen for {seconds:g} seconds')
def freeze(context, name, seconds):
    submit(context, "a")
    context.simulation.run(0.4)
    context.simulation.suspend(name, is_frozen=True)
    context.simulation.run(seconds)
    context.simulation.resume(name)


@when('gateways "{names}" are stopped for good')
def stop_for_good(context, names):
    submit(context, "a")
    context.simulation.run(0.4)
    for name in names_in(names):
        context.simulation.suspend(name)


@when(
    'gateways "{names}" are replaced in turn by "{new_names}", each after {seconds:g} '
    "seconds"
)
def replace(context, names, new_names, seconds):
    simulation = context.simulation
    for name, new_name in zip(names_in(names), names_in(new_names)):
        simulation.suspend(name)
        del simulation.gateway_by_name[name]
        simulation.add(new_name)
        simulation.run(seconds)


@then("no gateway has adopted the job")
def check_not_adopted(context):
    adopted = [row for row in context.simulation.trace if row[2] == "job adopted"]
    assert not adopted, adopted


@then('"{name}" holds the job')
def check_holds(context, name):
    assert context.simulation.gateway_by_name[name].holds(context.key)
