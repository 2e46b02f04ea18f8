"""Invariants that are checked at run time."""


class InvariantError(Exception):
    """An invariant is violated; the process stops, as its state can't be trusted."""


class _Handler:
    function = None


def set_invariant_handler(function):
    """Call `function` with the reason before `InvariantError` is raised.

    A multi-threaded process uses it to terminate itself, since the exception alone
    would end only the thread in which it is raised.
    """
    _Handler.function = function


def check_invariant(holds, reason):
    """Raise `InvariantError` with `reason` unless `holds`.

    >>> check_invariant(1 + 1 == 2, "arithmetic")
    """
    if not holds:
        if _Handler.function is not None:
            _Handler.function(reason)
        raise InvariantError(reason)
