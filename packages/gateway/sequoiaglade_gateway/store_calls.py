"""Counts the calls to the platform's store, each of which has a price."""

from sequoiaglade_decisions.outcomes import Failure


class CountedStore:
    """A `DocumentStore` that counts its calls by call, kind of documents and outcome.

    The outcome is "answered", "empty" for a watch without changes, or the failure's
    code. A list of several pages counts once.
    """

    def __init__(self, store, metrics):
        self._store = store
        self._metrics = metrics

    def get(self, kind, name):
        """Return the `Document`, or a `Failure`."""
        return self._count("get", kind, self._store.get(kind, name))

    def list(self, kind):
        """Return the `Listing` of a kind, or a `Failure`."""
        return self._count("list", kind, self._store.list(kind))

    def create(self, kind, name, value, *seconds):
        """Create a document; return it, or a `Failure`."""
        outcome = self._store.create(kind, name, value, *seconds)
        return self._count("create", kind, outcome)

    def replace(self, kind, name, value, revision):
        """Replace a document under its revision; return it, or a `Failure`."""
        outcome = self._store.replace(kind, name, value, revision)
        return self._count("replace", kind, outcome)

    def put_status(self, kind, name, status):
        """Write a document's status; return None or a `Failure`."""
        outcome = self._store.put_status(kind, name, status)
        return self._count("put status", kind, outcome)

    def watch(self, kind, revision, seconds):
        """Wait up to `seconds` for `Changes` after `revision`, or a `Failure`."""
        result = self._store.watch(kind, revision, seconds)
        if isinstance(result, Failure) or result.changes:
            return self._count("watch", kind, result)
        self._metrics.count_store_call("watch", kind, "empty")
        return result

    def _count(self, call, kind, result):
        is_failure = isinstance(result, Failure)
        outcome = result.code.name.lower() if is_failure else "answered"
        self._metrics.count_store_call(call, kind, outcome)
        return result
