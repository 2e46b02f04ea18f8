"""Steps on refused changes: of sections not owned, and with invalid references."""

import hashlib
import json

import yaml
from behave import given, then, when
from configuration_steps import change_document, put_document


@given("a team that owns models and teams")
def make_team(context):
    context.team_token = "team-token"
    digest = hashlib.sha256(context.team_token.encode()).hexdigest()
    team = {"token_digest": digest, "sections": ["models", "teams"]}
    change_document(context.fleet, lambda s: s.update({"teams": {"builders": team}}))


def put_as_team(context, change):
    found = context.fleet.operator("GET", "configuration")
    sections = json.loads(json.dumps(found["document"]))
    change(sections)
    return put_document(
        context.fleet, sections, found["revision"], token=context.team_token
    )


@then("the team can add a model")
def team_adds_model(context):
    outcome = put_as_team(context, lambda s: s["models"].update(extra={}))
    assert outcome[0] == 200, outcome


@then("the team can't change rates")
def team_changes_rates(context):
    outcome = put_as_team(context, lambda s: s["rates"]["hays"].update(rate=9))
    assert outcome[0] == 403 and "rates" in outcome[1]["error"]["message"], outcome


@then("the team can't grant itself rates")
def team_grants_itself_rates(context):
    def grant(sections):
        sections["teams"]["builders"]["sections"].append("rates")

    outcome = put_as_team(context, grant)
    assert outcome[0] == 403 and "builders" in outcome[1]["error"]["message"], outcome


@when("a document with two invalid references between sections is planned and applied")
def apply_faults(context):
    fleet = context.fleet
    found = fleet.operator("GET", "configuration")
    context.base = found["revision"]
    sections = found["document"]
    sections["routes"]["astray"] = {"model": "not-there"}
    sections["rates"]["nobody"] = {"rate": 1, "burst": 1}
    lines = yaml.safe_dump(sections).splitlines()
    context.lines = [
        lines.index("  nobody:") + 1,
        lines.index("    model: not-there") + 1,
    ]
    context.outcomes = [
        put_document(fleet, sections, context.base),
        put_document(fleet, sections, context.base, path="plan"),
    ]


@then("both responses give path, line and reason of each fault")
def check_faults(context):
    expected = [
        f"document:{context.lines[0]}: rates.nobody: no workspace nobody",
        f"document:{context.lines[1]}: routes.astray.model: no model not-there",
    ]
    for status, body in context.outcomes:
        assert status == 400, body
        assert body["error"]["message"].splitlines() == expected, body


@then("the revision is unchanged")
def check_unchanged(context):
    found = context.fleet.operator("GET", "configuration")
    assert found["revision"] == context.base, found["revision"]
