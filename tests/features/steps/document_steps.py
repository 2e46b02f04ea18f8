"""Steps for documents of the platform's store."""

from behave import given, then, when
from fleet_adapter.decode import CONFIGURATION_NAME, read_configuration

from sequoiaglade_decisions.gateway import FleetConfiguration
from sequoiaglade_platform import Document


@given(
    'a configuration whose route is split between "{old}" without a weight and "{new}"'
)
def given_split(context, old, new):
    route = {
        "Name": "route",
        "Host": "host.example",
        "PathPrefix": "/",
        "Kind": "safe",
        "TimeoutMs": 1000,
        "Split": [{"Service": old}, {"Service": new, "Weight": 1}],
    }
    value = {"Version": 7, "Routes": [route]}
    context.document = Document(CONFIGURATION_NAME, 1, value)


@when("it is read")
def read(context):
    context.configuration = read_configuration(context.document)


@then('all of {count:d} requests of the route go to "{service}"')
def check_services(context, count, service):
    assert isinstance(context.configuration, FleetConfiguration), context.configuration
    (route,) = context.configuration.routes
    found = {route.service_for(f"request-{number}") for number in range(count)}
    assert found == {service}, found
