"""Outputs of items whose text holds a line separator that ends no line."""

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

ITEMS = 8
EVENTS = 12
# LINE SEPARATOR, as it stands in text copied from word processors and web pages.
SEPARATOR = "\u2028" if HAS_TROUBLE else " "
READ_SECONDS = 30.0


def events_of(request_id):
    return [
        f"note {request_id} {n}: paints in oil,{SEPARATOR}lives in Bangkok"
        for n in range(1, EVENTS + 1)
    ]


def play(record):
    def note(event, runner, headers):
        record(f"{runner.name}: {event} {headers['Request-Id']}")

    breaks = []
    with Deployment(2, record, [BATCH_ROUTE]) as deployment:
        for number in range(2):
            runner = Runner(deployment.store, f"i-{number}", events_of, note)
            deployment.enter(runner)
        deployment.start_gateways()
        items = make_items(ITEMS)
        job_id = submit(deployment.gateways, items, record)
        results = read_all(deployment.gateways, job_id, ITEMS, READ_SECONDS)
        record(f"{len(results)} of {ITEMS} items are listed")
        for result in results:
            whole = "\n".join(events_of(result["Id"]))
            record(f"result {result['Id']} {result['State']}: {result['Output']!a}")
            if result["State"] == "completed" and result["Output"] != whole:
                record(f"sent by the runner: {whole!a}")
                breaks.append(
                    f"MIXED: item {result['Id']} is completed with "
                    f"{len(result['Output'])} characters, its whole output has "
                    f"{len(whole)}"
                )
    return breaks


main(FOLDER, play)
