"""JSON representations of files and jobs in the batch API."""

from sequoiaglade_decisions.jobs import JobState


def file_view(record):
    """Return the JSON object of a `FileRecord`."""
    return {
        "id": record.file_id,
        "object": "file",
        "bytes": record.byte_count,
        "created_at": int(record.created_at),
        "filename": record.filename,
        "purpose": "batch",
        "status": "processed",
    }


def job_view(record):
    """Return the JSON object of a `JobRecord`."""
    state = JobState(record.state)
    is_final = state.is_final
    is_cancelled = state is JobState.CANCELLED
    has_errors = is_final and record.failed_items > 0
    return {
        "id": record.job_id,
        "object": "batch",
        "endpoint": record.path,
        "input_file_id": record.input_file_id,
        "completion_window": record.window,
        "status": record.state,
        "output_file_id": record.output_file_id if is_final else None,
        "error_file_id": record.error_file_id if has_errors else None,
        "created_at": int(record.created_at),
        "in_progress_at": int(record.created_at),
        "expires_at": int(record.due_at),
        "cancelling_at": _seconds(record.cancelling_at),
        "completed_at": None if is_cancelled else _seconds(record.ended_at),
        "cancelled_at": _seconds(record.ended_at) if is_cancelled else None,
        "request_counts": {
            "total": record.item_count,
            "completed": record.completed_items,
            "failed": record.failed_items,
        },
        "usage": {
            "input_tokens": record.usage[0],
            "output_tokens": record.usage[1],
            "total_tokens": sum(record.usage),
        },
        "metadata": record.metadata,
    }


def _seconds(at):
    return None if at is None else int(at)
