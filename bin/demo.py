"""Demonstrates serving on this machine: three nodes, online requests, one batch job."""

import json
import time

import openai

from sequoiaglade_cli.output import format_table
from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.samples import (
    RESTOCKERS_MODEL,
    restockers_document,
    restockers_endpoints,
)

ITEM_COUNT = 200
JOB_TIMEOUT_SECONDS = 120.0


def main():
    """Run the demonstration and print a table of its outcomes."""
    with Fleet(3, restockers_endpoints(4), restockers_document()) as fleet:
        clients = [
            openai.OpenAI(
                base_url=f"{node.url}/v1",
                api_key=fleet.key_by_workspace["salina"],
                max_retries=0,
            )
            for node in fleet.nodes
        ]
        rows = [
            _timed_row("whole answer", fleet.nodes[0], lambda: _complete(clients[0])),
            _timed_row("streamed answer", fleet.nodes[1], lambda: _stream(clients[1])),
            _timed_row("stock service", fleet.nodes[2], lambda: _stock(fleet, 2)),
            _timed_row("job of 200 items", fleet.nodes[2], lambda: _job(clients[2])),
        ]
        print(format_table(rows))


def _timed_row(what, node, function):
    started_at = time.monotonic()
    outcome = function()
    seconds = f"{time.monotonic() - started_at:.2f}"
    return {"what": what, "node": node.node_id, "seconds": seconds, "outcome": outcome}


def _messages():
    return [{"role": "user", "content": "Which kiosks run short of coffee?"}]


def _complete(client):
    answer = client.chat.completions.create(
        model=RESTOCKERS_MODEL, messages=_messages(), max_tokens=8
    )
    return answer.choices[0].message.content.strip()


def _stream(client):
    stream = client.chat.completions.create(
        model=RESTOCKERS_MODEL, messages=_messages(), max_tokens=12, stream=True
    )
    words = [chunk.choices[0].delta.content or "" for chunk in stream]
    return f"{len(words)} chunks: " + "".join(words).strip()


def _stock(fleet, node):
    response = fleet.http.request("GET", f"{fleet.nodes[node].url}/stock/kiosk-7")
    return f"{response.status} {response.data.decode()}"


def _job(client):
    lines = [
        json.dumps(
            {
                "custom_id": f"sheet-{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": RESTOCKERS_MODEL,
                    "messages": _messages(),
                    "max_tokens": 4,
                },
            }
        )
        for number in range(ITEM_COUNT)
    ]
    data = "\n".join(lines).encode()
    file = client.files.create(file=("sheets.jsonl", data), purpose="batch")
    job = client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
    )
    deadline = time.monotonic() + JOB_TIMEOUT_SECONDS
    while job.status != "completed" and time.monotonic() < deadline:
        time.sleep(0.2)
        job = client.batches.retrieve(job.id)
    output = client.files.content(job.output_file_id).text.splitlines()
    ids = {json.loads(line)["custom_id"] for line in output}
    return f"{job.status}: {len(output)} lines, {len(ids)} different items"


if __name__ == "__main__":
    main()
