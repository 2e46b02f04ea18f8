"""The operator makes the route of the batch jobs public, then a job is handed in.

With TROUBLE=0 the operator writes a new version that changes nothing else.
"""

import time
import uuid
from pathlib import Path

from emulator import EmulatedRunner, EmulatedStore, RunnerPlan
from stand_ins_2 import (
    SERVICE,
    Deployment,
    configuration,
    has_trouble,
    read_job,
    run_script,
    submit,
)

ITEMS = 4
CONFIG_APPLY_SECONDS = 2.0
SETTLE_SECONDS = 1.0
READ_SECONDS = 20.0


def items_of(job_id):
    return [
        {
            "Id": f"{job_id}{number}",
            "Path": f"/batch/{number}/91c4",
            "Headers": {"Model": "llm", "Token-Count": "350,408"},
            "Body": "Ym9keQ==",
            "Tokens": 758,
        }
        for number in range(ITEMS)
    ]


def hand_in(record, machines, job_id):
    """Hand a job in until it is accepted; return when it was."""
    for turn in range(20):
        machine = machines[turn % len(machines)]
        status = submit(machine, job_id, items_of(job_id)).status
        record(f"job {job_id} handed in at {machine.name}: {status}")
        if status == 202:
            return time.monotonic()
        time.sleep(0.5)
    raise RuntimeError(f"job {job_id} was never accepted")


def play(record):
    store = EmulatedStore()
    plan = RunnerPlan(slots=8, event_count=30, event_seconds=0.01)
    runners = [EmulatedRunner(store, f"runner-{n}", SERVICE, plan) for n in range(3)]
    with Deployment(record, store, runners) as deployment:
        if not deployment.wait_ready():
            raise RuntimeError("not all machines were ready within 30 s")
        time.sleep(4.0)
        machines = deployment.machines
        before = uuid.uuid4().hex[:16]
        accepted_at = {before: hand_in(record, machines, before)}
        value = configuration(version=12)
        if has_trouble():
            for route in value["Routes"]:
                route["Public"] = route["Public"] or route["Kind"] == "batch"
        store.put("config", "main", value)
        record(
            f"version 12 acknowledged, public: {[r['Public'] for r in value['Routes']]}"
        )
        time.sleep(CONFIG_APPLY_SECONDS + 1.0)
        after = uuid.uuid4().hex[:16]
        accepted_at[after] = hand_in(record, machines, after)
        lost = read_all(record, machines, accepted_at)
        for runner in runners:
            for run in runner.runs:
                record(f"item {run.request_id} ran for the tenant {run.workspace!r}")
        return [
            f"LOST: {count} answers of 404 for the accepted job {job_id}"
            for job_id, count in lost.items()
        ]


def read_all(record, machines, accepted_at):
    """Read all jobs at all machines; return the number of 404s of each job."""
    lost = {}
    until = time.monotonic() + READ_SECONDS
    time.sleep(SETTLE_SECONDS + 0.5)
    while time.monotonic() < until:
        for job_id in accepted_at:
            for machine in machines:
                status, value = read_job(machine, job_id)
                count = value and len(value["Results"])
                record(
                    f"job {job_id} read at {machine.name}: {status}, {count} results"
                )
                if status in (404, 410):
                    lost[job_id] = lost.get(job_id, 0) + 1
        time.sleep(3.0)
    return lost


if __name__ == "__main__":
    run_script(Path(__file__).resolve().parent, play)
