"""Implementation of the subcommands. Each returns a `Reply` or a `Problem`."""

import io
import secrets
from urllib.parse import quote

import yaml

from sequoiaglade_decisions.journal import Divergence, TraceFault, replay
from sequoiaglade_decisions.keys import digest_key, make_key

from . import document
from .client import EXIT_REFUSED, EXIT_USAGE, Problem, Reply
from .logs import explain_from_logs
from .output import print_value


def config_get(client, options):
    """Show the accepted document, or write it as YAML to a file."""
    found = document.fetch(client)
    if options.file is None or isinstance(found, Problem):
        return found
    try:
        with open(options.file, "w", encoding="utf-8") as file:
            yaml.safe_dump(found.value["document"], file)
    except OSError as error:
        return Problem(EXIT_USAGE, f"{options.file}: {error.strerror}")
    return Reply({"revision": found.value["revision"], "file": options.file})


def config_plan(client, options):
    """Show the changes that applying a file would make."""
    text = _read_text(options.file)
    if isinstance(text, Problem):
        return text
    return document.plan(client, options.base, text, options.merge)


def config_apply(client, options):
    """Apply a file on top of the revision that it was made from."""
    text = _read_text(options.file)
    if isinstance(text, Problem):
        return text
    return document.put(client, options.base, text, options.change_id, options.merge)


def config_history(client, options):
    """List the accepted revisions, newest first."""
    found = client.call("GET", "/operator/history")
    if isinstance(found, Problem):
        return found
    keys = ("number", "author", "accepted_at", "change_id")
    return Reply([{k: r[k] for k in keys} for r in found.value["revisions"]])


def workspace_set(client, options):
    """Create or change a workspace and its limits."""

    def change(sections):
        workspace = {"tier": options.tier, "weight": options.weight}
        sections.setdefault("workspaces", {})[options.name] = workspace
        if options.rate is not None:
            rate = {"rate": options.rate, "burst": options.burst}
            sections.setdefault("rates", {})[options.name] = rate

    return document.edit(client, change)


def workspace_list(client, options):
    """List the workspaces."""
    found = document.fetch(client)
    if isinstance(found, Problem):
        return found
    sections = found.value["document"]
    rates = sections.get("rates", {})
    rows = [
        {"workspace": name, **values, **rates.get(name, {})}
        for name, values in sections.get("workspaces", {}).items()
    ]
    return Reply(rows)


def key_create(client, options):
    """Create a key; its text is shown once and stored nowhere."""
    key = make_key(secrets.token_hex)
    name = options.name or "key-" + secrets.token_hex(6)

    def change(sections):
        keys = sections.setdefault("keys", {})
        if name in keys:
            return f"key {name} already exists"
        keys[name] = {"workspace": options.workspace, "digest": digest_key(key)}

    outcome = document.edit(client, change)
    if isinstance(outcome, Problem):
        return outcome
    return Reply({"name": name, "workspace": options.workspace, "key": key})


def key_withdraw(client, options):
    """Withdraw a key by name."""

    def change(sections):
        if sections.get("keys", {}).pop(options.name, None) is None:
            return f"key {options.name} does not exist"

    return document.edit(client, change)


def key_list(client, options):
    """List the keys by name."""
    found = document.fetch(client)
    if isinstance(found, Problem):
        return found
    keys = found.value["document"].get("keys", {})
    return Reply([{"name": n, "workspace": k["workspace"]} for n, k in keys.items()])


def job_submit(client, options):
    """Upload a file of JSON lines and start a batch job on it."""
    try:
        with open(options.file, "rb") as file:
            data = file.read()
    except OSError as error:
        return Problem(EXIT_USAGE, f"{options.file}: {error.strerror}")
    fields = {"purpose": "batch", "file": (options.file, data, "application/jsonl")}
    uploaded = client.call("POST", "/v1/files", fields=fields)
    if isinstance(uploaded, Problem):
        return uploaded
    body = {
        "input_file_id": uploaded.value["id"],
        "endpoint": options.endpoint,
        "completion_window": "24h",
    }
    headers = []
    if options.idempotency_key:
        headers.append(("Idempotency-Key", options.idempotency_key))
    return client.call("POST", "/v1/batches", body, headers)


def job_status(client, options):
    """Show a job."""
    return client.call("GET", f"/v1/batches/{options.id}")


def job_cancel(client, options):
    """Cancel a job."""
    return client.call("POST", f"/v1/batches/{options.id}/cancel", {})


def job_results(client, options):
    """Print the output lines of a job."""
    found = job_status(client, options)
    if isinstance(found, Problem):
        return found
    file_id = found.value["output_file_id"]
    if file_id is None:
        return Problem(EXIT_REFUSED, f"job {options.id} is not complete")
    lines = client.lines(f"/v1/files/{file_id}/content")
    if isinstance(lines, Problem):
        return lines
    print("\n".join(lines))
    return Reply(None)


def entries(client, options):
    """List the addresses of nodes to connect to."""
    found = client.call("GET", "/v1/entries")
    return found if isinstance(found, Problem) else Reply(found.value["entries"])


def status(client, options):
    """Show whether the node is ready."""
    return client.call("GET", "/readyz")


def gateway(client, options):
    """Show the status of a gateway; the control URL is its metrics address."""
    found = client.call("GET", "/status")
    if isinstance(found, Problem):
        return found
    print_value(found.value, "json")
    return Reply(None)


def explain(client, options):
    """Explain the outcome of a request, item, job or change."""
    if options.log:
        return explain_from_logs(options.id, options.log)
    found = client.call("GET", f"/operator/explain/{quote(options.id)}")
    if isinstance(found, Problem) or options.output == "json":
        return found
    print("\n".join(found.value["sentences"]))
    return Reply(None)


def replay_trace(client, options):
    """Replay a recorded trace and compare with the outcomes stated in it."""
    text = _read_text(options.trace)
    if isinstance(text, Problem):
        return text
    outcome = replay(io.StringIO(text))
    match outcome:
        case TraceFault(line=line, reason=reason):
            return Problem(EXIT_USAGE, f"{options.trace}:{line}: {reason}")
        case Divergence(line=line, event=event):
            print_value(outcome._asdict(), "json")
            reason = f"{options.trace}:{line}: {event} had a different outcome"
            return Problem(EXIT_REFUSED, reason)
    return Reply({"trace": options.trace, "events": outcome, "diverging": 0})


def _read_text(path):
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Problem(EXIT_USAGE, f"{path}: can't be read: {error}")
