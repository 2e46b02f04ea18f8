"""Steps on accepting changes while the platform loses a response."""

from behave import given, then, when

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.configuration import ConfigurationStore, SnapshotHolder
from sequoiaglade_node.configuration.acceptance import Acceptance, Accepted, Change
from sequoiaglade_node.operators import owned_sections
from sequoiaglade_platform import StoredObject


class LosingPlatform:
    """In-memory platform that loses the response to the first update of the root.

    `on_lost` is called after that update took effect.
    """

    def __init__(self):
        self.objects = {}
        self.on_lost = None

    def get(self, kind, name, timeout=None):
        found = self.objects.get((kind, name))
        return found or Failure(FailureCode.NOT_FOUND, name)

    def create(self, kind, name, value):
        return self.update(kind, name, value, 0)

    def update(self, kind, name, value, version):
        found = self.objects.get((kind, name))
        if (found.version if found else 0) != version:
            return Failure(FailureCode.CONFLICT, name)
        stored = StoredObject(name, version + 1, value, "")
        self.objects[kind, name] = stored
        if name == "root" and self.on_lost is not None:
            on_lost, self.on_lost = self.on_lost, None
            on_lost()
            return Failure(FailureCode.UNKNOWN, "overwritten after a lost response")
        return stored


class FollowerDouble:
    """Test double for the configuration actor called by an `Acceptance`."""

    def apply(self, held, asked_at):
        return self

    def learn(self, number):
        return self

    def get(self):
        return None


@given("an acceptance on a platform that loses the response to the update of the root")
def make_acceptance(context):
    context.platform = LosingPlatform()
    store = ConfigurationStore(context.platform)
    context.acceptance = Acceptance(
        store, SnapshotHolder(), FollowerDouble(), owned_sections, lambda: None
    )


@when("a change is applied and another change is accepted on top of it")
def apply_before_another(context):
    def apply_second():
        second = Change(1, "models: {a: {}, b: {}}", "second", "root", "")
        context.second = context.acceptance.apply(second)

    context.platform.on_lost = apply_second
    first = Change(0, "models: {a: {}}", "first", "root", "")
    context.first = context.acceptance.apply(first)


@then("the first change is accepted as revision 1")
def check_first(context):
    assert isinstance(context.first, Accepted), context.first
    assert context.first.revision.number == 1, context.first


@then("both changes are listed once in the stored history")
def check_stored_history(context):
    revisions = context.acceptance.history(10)
    assert [r.change_id for r in revisions] == ["second", "first"], revisions
