"""Submits batch jobs to a fleet and waits for them."""

import json
import time

from sequoiaglade_standins.samples import RESTOCKERS_MODEL

JOB_TIMEOUT_SECONDS = 600.0
POLL_INTERVAL_SECONDS = 0.5
PATH = "/v1/chat/completions"


def submit_job(fleet, workspace, item_count, tokens, model=RESTOCKERS_MODEL):
    """Upload items and submit a job over them at the first node; return its id."""
    lines = "\n".join(_line(n, tokens, model) for n in range(item_count))
    url = fleet.nodes[0].url
    headers = key_headers(fleet, workspace)
    fields = {"purpose": "batch", "file": ("items.jsonl", lines)}
    created = fleet.http.request(
        "POST", f"{url}/v1/files", fields=fields, headers=headers
    )
    body = {"input_file_id": json.loads(created.data)["id"], "endpoint": PATH}
    created = fleet.http.request(
        "POST", f"{url}/v1/batches", json=body, headers=headers
    )
    return json.loads(created.data)["id"]


def await_job(fleet, workspace, job_id):
    """Wait until the job is completed; return its last status object."""
    url = f"{fleet.nodes[0].url}/v1/batches/{job_id}"
    headers = key_headers(fleet, workspace)
    deadline = time.monotonic() + JOB_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        job = json.loads(fleet.http.request("GET", url, headers=headers).data)
        if job["status"] == "completed":
            return job
        time.sleep(POLL_INTERVAL_SECONDS)
    raise TimeoutError(f"{job_id} was not completed within {JOB_TIMEOUT_SECONDS} s")


def completion_body(model, tokens, text):
    """Return the body of a chat completion request."""
    messages = [{"role": "user", "content": text}]
    return {"model": model, "messages": messages, "max_tokens": tokens}


def key_headers(fleet, workspace):
    """Return the headers that carry the workspace's key."""
    return {"Authorization": f"Bearer {fleet.key_by_workspace[workspace]}"}


def _line(number, tokens, model):
    item = {"custom_id": f"note-{number}", "method": "POST", "url": PATH}
    body = completion_body(model, tokens, f"panel note {number}")
    return json.dumps(item | {"body": body})
