"""Results of a job whose items answer in Thai."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment import (  # noqa: E402
    BATCH_ROUTE,
    HAS_TROUBLE,
    Deployment,
    Runner,
    main,
    make_items,
    read_all,
    submit,
)

ITEMS = 60
EVENTS = 24
# 60 items of 24 events of 150 characters: 216,000 characters in all.
THAI = "ร่างบันทึกสำหรับคณะกรรมการ "
ENGLISH = "draft note for the panel "
TEXT = ((THAI if HAS_TROUBLE else ENGLISH) * 10)[:150]
READ_SECONDS = 45.0


def events_of(request_id):
    return [TEXT] * EVENTS


def play(record):
    finished = set()

    def note(event, runner, headers):
        record(f"{runner.name}: {event} {headers['Request-Id']}")
        if event == "ended":
            finished.add(headers["Request-Id"])

    with Deployment(2, record, [BATCH_ROUTE]) as deployment:
        for number in range(3):
            runner = Runner(deployment.store, f"i-{number}", events_of, note, 8, 0.002)
            deployment.enter(runner)
        deployment.start_gateways()
        items = make_items(ITEMS)
        job_id = submit(deployment.gateways, items, record)
        results = read_all(deployment.gateways, job_id, ITEMS, READ_SECONDS)
        listed = {result["Id"] for result in results}
        missing = [item["Id"] for item in items if item["Id"] not in listed]
        refused_count = len(deployment.store.refused_sizes)
        record(
            f"{len(TEXT) * EVENTS} characters an item; {len(finished)} of {ITEMS} "
            f"items were finished by runners, {len(listed)} are listed; the store "
            f"refused {refused_count} writes as too large"
        )
        lost = [item_id for item_id in missing if item_id in finished]
        if lost:
            return [
                f"LOST: {len(lost)} of {ITEMS} items, finished by runners, are listed "
                f"neither as completed nor as dead_letter {READ_SECONDS:.0f} s later"
            ]
    return []


main(FOLDER, play)
