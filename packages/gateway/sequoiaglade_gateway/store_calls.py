"""Counts the calls to the platform's store, each of which has a price."""

from sequoiaglade_decisions.outcomes import Failure


class CountedStore:
    """A `DocumentStore` that counts its calls by call, kind of documents and outcome.

    The outcome is "answered", "empty" for a watch without changes, or the failure's
    code. A list of several pages counts once. Reads that may be outdated count as
    calls of their own, since they have a lower price.
    """

    def __init__(self, store, metrics):
        self._store = store
        self._metrics = metrics

    def get(self, kind, name, may_be_outdated=False):
        """Return the `Document`, or a `Failure`."""
        found = self._store.get(kind, name, may_be_outdated)
        return self._count(_read_name("get", may_be_outdated), kind, found)

    def list(self, kind, may_be_outdated=False):
        """Return the `Listing` of a kind, or a `Failure`."""
        listing = self._store.list(kind, may_be_outdated)
        return self._count(_read_name("list", may_be_outdated), kind, listing)

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

    def watch(self, kind, revision, seconds, may_be_outdated=False):
        """Wait up to `seconds` for `Changes` after `revision`, or a `Failure`."""
        result = self._store.watch(kind, revision, seconds, may_be_outdated)
        call = _read_name("watch", may_be_outdated)
        if isinstance(result, Failure) or result.changes:
            return self._count(call, kind, result)
        self._metrics.count_store_call(call, kind, "empty")
        return result

    def observe(self, on_call):
        """Call `on_call` with a `StoreCall` after each call that has evidence."""
        self._store.observe(on_call)

    def probe(self):
        """Make a cheap call on a connection that is kept for probes."""
        self._metrics.count_store_call("probe", "", "sent")
        self._store.probe()

    def end_watches(self, kind):
        """End the watches of a kind that wait; see `DocumentStore`."""
        self._store.end_watches(kind)

    def renew_connections(self):
        """Use new connections from now on; return the kinds of the ended watches."""
        return self._store.renew_connections()

    def _count(self, call, kind, result):
        is_failure = isinstance(result, Failure)
        outcome = result.code.name.lower() if is_failure else "answered"
        self._metrics.count_store_call(call, kind, outcome)
        return result


def _read_name(call, may_be_outdated):
    return f"outdated {call}" if may_be_outdated else call
