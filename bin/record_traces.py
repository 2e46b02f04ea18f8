"""Records the traces that the tests replay, from runs against the stand-ins.

Writes the first events of a node's state machines to tests/traces, for two workloads:
the restockers' morning peak with a nightly batch job of run sheets, and the residency
unit's batch jobs before a panel meeting. Arguments name the state machines to record,
by default all.
"""

import os
import sys
import tempfile
from pathlib import Path

from sequoiaglade_bench.load import LoadRun
from sequoiaglade_bench.scenario import Burst, JobPlan, Scenario, WorkspacePlan
from sequoiaglade_bench.standing import target_of
from sequoiaglade_standins import samples
from sequoiaglade_standins.fleet import Fleet

FOLDER = Path(__file__).resolve().parent.parent / "tests" / "traces"
EVENT_COUNT_BY_MACHINE = {"dispatcher": 800, "limitsmachine": 120, "follower": 60}
NODE_COUNT_BY_MACHINE = {"dispatcher": 1, "limitsmachine": 2, "follower": 2}
SECONDS = 4.0


def main():
    """Record the traces of both workloads."""
    morning = {
        "salina": WorkspacePlan(
            rate=8, bursts=(Burst(at=1.0, seconds=1.0, factor=4.0),)
        ),
        "hays": WorkspacePlan(rate=4),
        "trial-a": WorkspacePlan(rate=2),
    }
    sheets = (JobPlan(workspace="pratt", items=400, tokens=4),)
    document, plans = samples.restockers_document(), samples.restockers_endpoints(2)
    model = samples.RESTOCKERS_MODEL
    _record("restockers-morning", document, plans, model, morning, sheets)
    answers = {"intake": WorkspacePlan(rate=3), "reviews": WorkspacePlan(rate=2)}
    notes = (
        JobPlan(workspace="panel-a", items=300, tokens=8),
        JobPlan(workspace="trial-a", items=300, tokens=8),
    )
    document, plans = samples.residency_document(), samples.residency_endpoints(2)
    model = samples.RESIDENCY_MODEL
    _record("residency-panel", document, plans, model, answers, notes)


def _record(name, document, plans, model, workspaces, jobs):
    for machine in sys.argv[1:] or EVENT_COUNT_BY_MACHINE:
        _record_machine(machine, name, document, plans, model, workspaces, jobs)


def _record_machine(machine, name, document, plans, model, workspaces, jobs):
    scenario = Scenario(
        name=name, model=model, seconds=SECONDS, workspaces=workspaces, jobs=jobs
    )
    with tempfile.TemporaryDirectory() as folder:
        settings = {"recording_folder": folder}
        count = NODE_COUNT_BY_MACHINE[machine]
        with Fleet(count, plans, document, settings) as fleet:
            LoadRun(scenario, target_of(fleet)).run()
            fleet.nodes[0].process.stop()
        path = os.path.join(folder, f"node-0-{machine}.jsonl")
        with open(path, encoding="utf-8") as file:
            lines = file.readlines()[: EVENT_COUNT_BY_MACHINE[machine] + 1]
    suffix = "" if machine == "dispatcher" else f"-{machine}"
    (FOLDER / f"{name}{suffix}.jsonl").write_text("".join(lines), encoding="utf-8")
    print(f"{name}{suffix}: {len(lines) - 1} events")


if __name__ == "__main__":
    main()
