"""Validation of YAML documents against a model, with the location of each fault."""

from .checks import Fault, check_document, format_faults, locate_faults

__all__ = ["Fault", "check_document", "format_faults", "locate_faults"]
