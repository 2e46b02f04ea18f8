"""Standard scenarios of the two sample deployments, with and without batch work."""

from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.samples import (
    RESIDENCY_MODEL,
    RESTOCKERS_MODEL,
    residency_document,
    residency_endpoints,
    restockers_document,
    restockers_endpoints,
)

from .load import LoadRun, Target
from .scenario import Burst, JobPlan, Scenario, WorkspacePlan

NODE_COUNT = 4
ONLINE_RATE = 6.0
BURST_FACTOR = 3.0
JOB_ITEMS = 4000


def run(options):
    """Return the results of each deployment, keyed by name."""
    return {
        "restockers": _measure_both(
            RESTOCKERS_MODEL,
            restockers_document(),
            restockers_endpoints(),
            ("salina", "hays", "dodge", "trial-a"),
            options,
        ),
        "residency": _measure_both(
            RESIDENCY_MODEL,
            residency_document(),
            residency_endpoints(),
            ("panel-a", "intake", "reviews", "trial-a"),
            options,
        ),
    }


def _measure_both(model, document, plans, names, options):
    online = _scenario(model, names, options, jobs=())
    jobs = tuple(
        JobPlan(workspace=name, items=JOB_ITEMS, tokens=8) for name in names[:2]
    )
    mixed = _scenario(model, names, options, jobs=jobs)
    return {
        "online alone": _measure(document, plans, online),
        "online with batch": _measure(document, plans, mixed),
    }


def _scenario(model, names, options, jobs):
    burst = Burst(at=options.seconds / 2, seconds=1.0, factor=BURST_FACTOR)
    plan = WorkspacePlan(rate=ONLINE_RATE, tokens=16, bursts=(burst,))
    return Scenario(
        name="standing",
        model=model,
        seconds=options.seconds,
        seed=options.seed,
        workspaces={name: plan for name in names},
        jobs=jobs,
    )


def _measure(document, plans, scenario):
    with Fleet(NODE_COUNT, plans, document) as fleet:
        return LoadRun(scenario, target_of(fleet)).run()


def target_of(fleet):
    """Return the `Target` of a running `Fleet`."""
    return Target(
        [node.url for node in fleet.nodes],
        fleet.key_by_workspace,
        fleet.platform_url,
        tuple(endpoint.control_url for endpoint in fleet.endpoints),
    )
