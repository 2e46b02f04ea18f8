"""Records of decisions with their rules and inputs, and traces for replay."""

from .codec import decode_value, encode_value
from .line_buffer import CompressedLineBuffer
from .records import Decision
from .rendering import DecisionHistory, describe_decision, explain
from .traces import Divergence, Recorder, TraceFault, replay

__all__ = [
    "CompressedLineBuffer",
    "Decision",
    "DecisionHistory",
    "Divergence",
    "Recorder",
    "TraceFault",
    "decode_value",
    "encode_value",
    "explain",
    "replay",
    "describe_decision",
]
