"""Invariants, checked inside the running program."""


class InvariantError(Exception):  # noqa: N818
    """A broken invariant. The process stops, since its state can't be trusted."""


class _Handler:
    function = None


def set_invariant_handler(function):
    """Have `function` called with the reason before `InvariantBroken` is raised.

    A process with many threads ends itself there: the exception alone would end just
    the thread that met it.
    """
    _Handler.function = function


def check_invariant(holds, reason):
    """Raise `InvariantBroken` with `reason` unless `holds`.

    >>> check_invariant(1 + 1 == 2, "arithmetic")
    """
    if not holds:
        if _Handler.function is not None:
            _Handler.function(reason)
        raise InvariantError(reason)
