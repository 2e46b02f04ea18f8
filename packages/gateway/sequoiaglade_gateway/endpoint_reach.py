"""Observation of this node's links to all endpoints."""

import structlog

from .messages import ConnectionTried


def note_connection(parts, endpoint_id, is_connected):
    """Tell the coordinator whether a connection succeeded; log a change of reach."""
    message = ConnectionTried(endpoint_id, is_connected)
    change = parts.coordinator.ask(message)
    if change is None:
        return
    state = "cut off" if change.is_cut_off else "reached again"
    parts.metrics.count("all endpoints", state)
    structlog.get_logger().info(f"all endpoints {state}", endpoint_id=endpoint_id)
