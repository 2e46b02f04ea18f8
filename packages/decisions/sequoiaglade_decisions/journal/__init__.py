"""Records of decisions: what happened, which rule decided, and with which inputs."""

from .codec import decode_value, encode_value
from .records import Decision
from .rendering import DecisionHistory, explain, sentence
from .ring import CompressedLineBuffer
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
    "sentence",
]
