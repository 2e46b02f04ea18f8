"""Decision logic of sequoiaglade as deterministic state machines without I/O.

Each sub-package holds the state machines of one concern. A machine takes events and
the current time as arguments, changes only its own state, and returns its outcome as
a value. Clocks and random number generators are passed in, so the same events give
the same outcomes in the node, in a replay and in a test.
"""
