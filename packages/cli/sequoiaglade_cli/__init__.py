"""Command-line client ``sequoiaglade`` for callers and operators."""
