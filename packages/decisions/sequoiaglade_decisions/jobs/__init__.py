"""Batch jobs: input items, segments, claims, scheduling and results."""

from .attempts import (
    AttemptEnd,
    Done,
    Dropped,
    Requeued,
    decide_failure,
    decide_status,
    decide_unroutable,
    unknown_result,
)
from .index import OpenJob, node_shard_prefix, poll_seconds, shard_of
from .inputs import InputValidator
from .items import Item, ItemResult, LineFault, failed_result, parse_line
from .pages import JobIdPage
from .progress import Candidate, JobProgress
from .records import (
    FileRecord,
    JobRecord,
    JobState,
    Usage,
    file_id_for,
    job_id_for,
    job_name,
    window_seconds,
)
from .segments import (
    Packer,
    items_per_segment,
    join_parts,
    pack_lines,
    segment_name,
    split_parts,
    unpack_lines,
)
from .shares import Contender, FairScheduler, Share
from .work import Totals, WorkHeader, WorkState, sum_headers

__all__ = [
    "AttemptEnd",
    "Candidate",
    "Contender",
    "Done",
    "Dropped",
    "FairScheduler",
    "FileRecord",
    "InputValidator",
    "Item",
    "ItemResult",
    "JobIdPage",
    "JobProgress",
    "JobRecord",
    "JobState",
    "LineFault",
    "OpenJob",
    "Packer",
    "Requeued",
    "Share",
    "Totals",
    "Usage",
    "WorkHeader",
    "WorkState",
    "decide_failure",
    "decide_status",
    "decide_unroutable",
    "failed_result",
    "file_id_for",
    "items_per_segment",
    "job_id_for",
    "job_name",
    "join_parts",
    "node_shard_prefix",
    "pack_lines",
    "parse_line",
    "poll_seconds",
    "segment_name",
    "shard_of",
    "split_parts",
    "sum_headers",
    "unknown_result",
    "unpack_lines",
    "window_seconds",
]
