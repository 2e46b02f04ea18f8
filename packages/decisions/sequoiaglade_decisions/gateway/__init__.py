"""Decisions of the gateway: routes, placement, quotas, nodes, retries and batch jobs.

The code here performs no input or output. Times are arguments, in seconds of the
monotonic clock unless stated otherwise.
"""

from .attempts import AttemptCounts, Fault, NextStep, next_step
from .cold_endpoints import ColdEndpoints, ColdReport, ColdState, Evidence
from .configuration_differences import (
    ConfigurationDifference,
    find_configuration_differences,
)
from .configuration_findings import (
    ConfigurationFinding,
    find_configuration_warnings,
)
from .configuration_sources import ConfigurationSources
from .directory_addresses import addresses_in_regions, running_nodes
from .endpoint_pace import EndpointPaces
from .endpoint_reach import EndpointReach, forwarding_nodes
from .endpoints import DEFAULT_SLOTS, Endpoint, EndpointDirectory
from .evacuations import EvacuationChanges, Evacuations
from .events import Event, EventSplitter
from .gossip_targets import choose_targets
from .groups import eligible_nodes, group_count, group_of, schedulers
from .hashing import stable_hash
from .health import EndpointHealth
from .job_ends import EndsKnowledge, SendDecision, may_know_ends
from .jobs import Batch, Item, ItemOutcome, JobSpec, Result, job_key, run_order
from .json_sizes import encode_json, json_size
from .kind_history import KindHistory, KindUpdate
from .leaving import LeavingEndpoints
from .nodes import PROTOCOL_REVISION, JobSummary, NodeState, NodeTable, job_holder
from .orphans import IsolationGuard, OrphanedJobs
from .pace_limits import PaceChange, PaceLimit
from .page_validity import PageValidity
from .pages import ResultPage, ResultPages, bounded_results, page_bytes_max
from .part_evidence import Blame, PartCrash, SoundPart
from .peer_acks import PeerAcks
from .permits import (
    COLD_PERMIT_SECONDS,
    COLD_SETTLING_SECONDS,
    PERMIT_USE_SECONDS,
    SETTLING_SECONDS,
    SETTLING_SECONDS_LARGE,
    ColdBound,
    ColdRanks,
    DeniedPermits,
    Permit,
    PermitLevels,
    PermitSource,
    SettledShare,
    granter_share,
    named_rate,
    permit_granters,
)
from .placement import EndpointLoads, Full, Placed
from .prompt_parts import LASTING_SECONDS, PromptParts
from .quarantine import Quarantine
from .quotas import FleetQuotas
from .regions import RegionMap, allowed_regions, job_candidates
from .request_limits import LimitNotice, RequestLimits
from .response_bounds import (
    OWN_BYTES,
    SHARED_BYTES_MAX,
    ExceededBound,
    ResponseBounds,
    ResponsePart,
    ResponseProgress,
    SharedBytes,
)
from .routes import (
    FleetConfiguration,
    Route,
    RouteKind,
    Service,
    Workspace,
)
from .running_streams import RunningStreams
from .scheduling import GroupScheduler, Scheduled
from .shares import RESERVE_SLOTS, batch_allowance, batch_targets
from .silence import (
    SILENCE_CHECK_SECONDS,
    SILENT_AFTER_SECONDS,
    SilenceStep,
    move_headroom,
    silence_step,
)
from .store_contact import ContactStep, StoreCall, StoreContact
from .store_followers import POLL_SECONDS, FollowerContact, store_followers
from .stream_ends import is_lost, is_misplaced, is_repetition, missing_part
from .stream_versions import (
    RecentVersions,
    StreamVersions,
    only_version,
    stream_keepers,
)
from .survived_breaks import SurvivedBreaks
from .token_keepers import (
    COMPLETE_SHARE,
    KEEPERS,
    KeeperAnswer,
    KeeperAsk,
    KeeperSearch,
    may_decide,
    token_keepers,
)
from .waiting_tokens import Admission, StoredJob, TokenSource, WaitingTokens
from .watch_guard import (
    GUARD_SECONDS,
    GuardStep,
    WatchPosition,
    guard_step,
    standby_delay,
)

__all__ = [
    "COLD_PERMIT_SECONDS",
    "COLD_SETTLING_SECONDS",
    "RegionMap",
    "addresses_in_regions",
    "allowed_regions",
    "job_candidates",
    "COMPLETE_SHARE",
    "DEFAULT_SLOTS",
    "GUARD_SECONDS",
    "KEEPERS",
    "OWN_BYTES",
    "PERMIT_USE_SECONDS",
    "POLL_SECONDS",
    "PROTOCOL_REVISION",
    "RESERVE_SLOTS",
    "SETTLING_SECONDS",
    "SETTLING_SECONDS_LARGE",
    "SHARED_BYTES_MAX",
    "SILENCE_CHECK_SECONDS",
    "SILENT_AFTER_SECONDS",
    "Admission",
    "AttemptCounts",
    "Batch",
    "Blame",
    "ColdBound",
    "ColdEndpoints",
    "ColdRanks",
    "ColdReport",
    "ColdState",
    "ConfigurationDifference",
    "ConfigurationFinding",
    "ConfigurationSources",
    "ContactStep",
    "DeniedPermits",
    "Endpoint",
    "EndpointDirectory",
    "EndpointHealth",
    "EndpointLoads",
    "EndpointPaces",
    "EndpointReach",
    "EndsKnowledge",
    "EvacuationChanges",
    "Evacuations",
    "Evidence",
    "Event",
    "EventSplitter",
    "ExceededBound",
    "Fault",
    "FleetConfiguration",
    "FleetQuotas",
    "FollowerContact",
    "Full",
    "GroupScheduler",
    "GuardStep",
    "IsolationGuard",
    "Item",
    "ItemOutcome",
    "JobSpec",
    "JobSummary",
    "KeeperAnswer",
    "KeeperAsk",
    "KeeperSearch",
    "KindHistory",
    "KindUpdate",
    "LASTING_SECONDS",
    "LeavingEndpoints",
    "LimitNotice",
    "NextStep",
    "NodeState",
    "NodeTable",
    "OrphanedJobs",
    "PaceChange",
    "PaceLimit",
    "PageValidity",
    "PeerAcks",
    "PartCrash",
    "Permit",
    "PermitLevels",
    "PermitSource",
    "Placed",
    "PromptParts",
    "Quarantine",
    "RecentVersions",
    "RequestLimits",
    "ResponseBounds",
    "ResponsePart",
    "ResponseProgress",
    "Result",
    "ResultPage",
    "ResultPages",
    "Route",
    "RouteKind",
    "RunningStreams",
    "Scheduled",
    "Service",
    "SendDecision",
    "SettledShare",
    "SharedBytes",
    "SilenceStep",
    "SoundPart",
    "StoredJob",
    "StoreCall",
    "StoreContact",
    "StreamVersions",
    "SurvivedBreaks",
    "TokenSource",
    "WaitingTokens",
    "WatchPosition",
    "Workspace",
    "batch_allowance",
    "batch_targets",
    "bounded_results",
    "choose_targets",
    "eligible_nodes",
    "find_configuration_differences",
    "find_configuration_warnings",
    "encode_json",
    "forwarding_nodes",
    "group_count",
    "group_of",
    "granter_share",
    "guard_step",
    "is_lost",
    "is_misplaced",
    "is_repetition",
    "job_holder",
    "job_key",
    "json_size",
    "may_decide",
    "may_know_ends",
    "move_headroom",
    "missing_part",
    "named_rate",
    "next_step",
    "only_version",
    "page_bytes_max",
    "permit_granters",
    "run_order",
    "running_nodes",
    "schedulers",
    "silence_step",
    "stable_hash",
    "standby_delay",
    "store_followers",
    "stream_keepers",
    "token_keepers",
]
