"""HTTP interface of files and batches, compatible with the OpenAI API."""

import json
from urllib.parse import parse_qs

import multipart

from sequoiaglade_decisions.jobs import window_seconds
from sequoiaglade_decisions.jobs.items import ITEM_PATHS
from sequoiaglade_decisions.outcomes import Failure, Refusal, RefusalCode

from ..web import Response, json_response, refusal_response
from .refusals import platform_refusal
from .views import file_view, job_view

BODY_LIMIT_BYTES = 65_536
LIST_LIMIT = 20
LIST_MAX_LIMIT = 100
IDEMPOTENCY_KEY_MAX_CHARACTERS = 256
OUTPUT_PREFIX = "file-out-"
ERROR_PREFIX = "file-err-"


class BatchService:
    """Handles requests to ``/v1/files`` and ``/v1/batches``."""

    def __init__(self, holder, files, jobs, results):
        self._holder = holder
        self._files = files
        self._jobs = jobs
        self._results = results

    def handle(self, request):
        """Return the `Response` to a request."""
        header = request.header("authorization")
        self._holder.await_confirmation(header)
        caller = self._holder.authenticate(header)
        outcome = caller
        if not isinstance(caller, Refusal):
            outcome = self._route(request, caller.workspace)
        if isinstance(outcome, Refusal):
            return refusal_response(outcome, request.request_id)
        if isinstance(outcome, Response):
            return outcome
        return json_response(200, outcome)

    def _route(self, request, workspace):
        parts = request.path.strip("/").split("/")[1:]
        match request.method, parts:
            case "POST", ["files"]:
                return self._upload(request, workspace)
            case "GET", ["files", file_id]:
                return self._file(workspace, file_id)
            case "GET", ["files", file_id, "content"]:
                return self._content(workspace, file_id)
            case "POST", ["batches"]:
                return self._create(request, workspace)
            case "GET", ["batches"]:
                return self._list(workspace, request.query)
            case "GET", ["batches", job_id]:
                return self._job(workspace, job_id)
            case "POST", ["batches", job_id, "cancel"]:
                cancelled = self._jobs.cancel(workspace, job_id)
                is_refused = isinstance(cancelled, Refusal)
                return cancelled if is_refused else job_view(cancelled)
        return Refusal(RefusalCode.NOT_FOUND, f"no resource at {request.path}")

    def _job(self, workspace, job_id):
        found = self._jobs.get(workspace, job_id)
        if isinstance(found, Refusal):
            return found
        record = found[0]
        totals = None if record.is_final else self._results.totals(record)
        if totals is not None:
            record = record.with_totals(totals)
        return job_view(record)

    def _upload(self, request, workspace):
        try:
            forms, files = multipart.parse_form_data(request.environ, strict=True)
        except multipart.MultipartError as error:
            return _invalid(f"invalid multipart body: {error}")
        part = files.get("file")
        if part is None:
            return _invalid("file: missing part")
        if forms.get("purpose") != "batch":
            return _invalid("purpose: must be 'batch'")
        with part.file:
            record = self._files.upload(workspace, part.filename or "input", part.file)
        return record if isinstance(record, Refusal) else file_view(record)

    def _file(self, workspace, file_id):
        for prefix, is_error in ((OUTPUT_PREFIX, False), (ERROR_PREFIX, True)):
            if file_id.startswith(prefix):
                return self._result_file(workspace, file_id, prefix, is_error)
        record = self._files.record(workspace, file_id)
        return record if isinstance(record, Refusal) else file_view(record)

    def _result_file(self, workspace, file_id, prefix, is_error):
        job = self._job_of_file(workspace, file_id, prefix)
        if isinstance(job, Refusal):
            return job
        return {
            "id": file_id,
            "object": "file",
            "bytes": None,
            "created_at": int(job.ended_at),
            "filename": "errors.jsonl" if is_error else "output.jsonl",
            "purpose": "batch_output",
            "status": "processed",
        }

    def _content(self, workspace, file_id):
        for prefix, is_error in ((OUTPUT_PREFIX, False), (ERROR_PREFIX, True)):
            if file_id.startswith(prefix):
                return self._result_content(workspace, file_id, prefix, is_error)
        record = self._files.record(workspace, file_id)
        if isinstance(record, Refusal):
            return record
        return _lines_response(self._results.input_parts(record))

    def _result_content(self, workspace, file_id, prefix, is_error):
        job = self._job_of_file(workspace, file_id, prefix)
        if isinstance(job, Refusal):
            return job
        parts = self._results.result_parts(job, is_error)
        if isinstance(parts, Failure):
            return platform_refusal(parts)
        return _lines_response(parts)

    def _job_of_file(self, workspace, file_id, prefix):
        found = self._jobs.get(workspace, "batch_" + file_id.removeprefix(prefix))
        if isinstance(found, Refusal):
            return found
        job = found[0]
        if not job.is_final:
            reason = f"file {file_id!r} is available once the batch has ended"
            return Refusal(RefusalCode.NOT_FOUND, reason, retry_after=5.0)
        return job

    def _create(self, request, workspace):
        body = request.read_body(BODY_LIMIT_BYTES)
        if isinstance(body, Refusal):
            return body
        fields = _parse_job(body)
        if isinstance(fields, Refusal):
            return fields
        key = request.header("idempotency-key")
        if key is not None and len(key) > IDEMPOTENCY_KEY_MAX_CHARACTERS:
            limit = IDEMPOTENCY_KEY_MAX_CHARACTERS
            return _invalid(f"Idempotency-Key: at most {limit} characters")
        file = self._files.record(workspace, fields["input_file_id"])
        if isinstance(file, Refusal):
            return file
        record = self._jobs.create(
            file,
            fields["endpoint"],
            fields["completion_window"],
            fields["metadata"],
            key,
        )
        return record if isinstance(record, Refusal) else job_view(record)

    def _list(self, workspace, query):
        values = parse_qs(query)
        limit = values.get("limit", [str(LIST_LIMIT)])[0]
        is_number = limit.isascii() and limit.isdecimal() and len(limit) < 4
        if not is_number or not 1 <= int(limit) <= LIST_MAX_LIMIT:
            return _invalid(f"limit: must be a number from 1 to {LIST_MAX_LIMIT}")
        after_id = values.get("after", [None])[0]
        found = self._jobs.list(workspace, int(limit), after_id)
        if isinstance(found, Refusal):
            return found
        views = [job_view(record) for record in found.records]
        return {
            "object": "list",
            "data": views,
            "first_id": views[0]["id"] if views else None,
            "last_id": views[-1]["id"] if views else None,
            "has_more": found.has_more,
        }


def _parse_job(body):
    """Return the validated body of a request to create a job, or a `Refusal`."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _invalid(f"body: not valid JSON: {error}")
    if not isinstance(value, dict):
        return _invalid("body: not a JSON object")
    if not isinstance(value.get("input_file_id"), str):
        return _invalid("input_file_id: must be a string")
    if value.get("endpoint") not in ITEM_PATHS:
        return _invalid(f"endpoint: must be one of {', '.join(ITEM_PATHS)}")
    window = value.get("completion_window", "24h")
    if window_seconds(window) is None:
        return _invalid("completion_window: must be a number followed by m, h or d")
    metadata = value.get("metadata")
    if metadata is not None and not isinstance(metadata, dict):
        return _invalid("metadata: must be an object")
    return value | {"completion_window": window, "metadata": metadata}


def _invalid(reason):
    return Refusal(RefusalCode.INVALID_REQUEST, reason)


def _lines_response(parts):
    return Response(200, [("Content-Type", "application/jsonl")], parts)
