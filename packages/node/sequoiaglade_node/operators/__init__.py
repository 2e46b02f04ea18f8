"""Operators' interface: configuration, history, status and explanations."""

from .service import OperatorService, owned_sections

__all__ = ["OperatorService", "owned_sections"]
