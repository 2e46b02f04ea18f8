"""Stand-in for the platform's object API.

Objects: ``GET|PUT|DELETE /objects/KIND/NAME`` with the version as ETag and in
If-Match, ``GET /objects/KIND?prefix=``, ``GET /watch/KIND?since=&timeout=``.
Instances: ``GET /instances``; ``PUT /instances/ID`` with ``{"state": "leaving"}``.

``PUT /faults`` takes a JSON object: ``down`` (every call gets status 503), ``cut``
(connections are reset), ``delay`` (seconds before each call), ``lose_answers`` (number
of the next writes that take effect but whose connections are reset),
``refused_clients`` (node ids, compared with User-Agent, whose calls are reset),
``stale_reads`` (lag of reads in seconds), ``list_lag`` (lag of the instance list in
seconds), ``writes_per_second`` (0: no limit), ``held_writes`` (writes that wait until
this fault has ended, each named like ``put work``).
``GET /calls`` returns the number of calls by operation and kind, and that of the writes
that were held, as in ``held put work``.
"""

import argparse
import threading
import time
from collections import Counter
from typing import NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

from .http import StandinHandler, StandinServer
from .store import Store

HOLD_POLL_SECONDS = 0.02


class Faults(NamedTuple):
    """Faults that are injected; see the docstring of this module."""

    down: bool = False
    cut: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    refused_clients: tuple = ()
    stale_reads: float = 0.0
    list_lag: float = 0.0
    writes_per_second: int = 0
    held_writes: tuple = ()


class PlatformState:
    """Store, faults, instances and call counts of one platform stand-in."""

    def __init__(self):
        self.store = Store()
        self.calls = Counter()
        self.faults = Faults()
        self.lock = threading.Lock()
        self._instances = {}
        self._previous_entries = {}

    def set_faults(self, values):
        """Replace the current faults."""
        for name in ("refused_clients", "held_writes"):
            if name in values:
                values[name] = tuple(values[name])
        with self.lock:
            self.faults = Faults(**values)

    def wait_while_held(self, write):
        """Wait while `held_writes` contains the write; count it first."""
        if write in self.faults.held_writes:
            self.calls[f"held {write}"] += 1
        while write in self.faults.held_writes:
            time.sleep(HOLD_POLL_SECONDS)

    def consume_lost_response(self):
        """Return whether to lose this write's response; decrement `lose_answers`."""
        with self.lock:
            left = self.faults.lose_answers
            if left:
                self.faults = self.faults._replace(lose_answers=left - 1)
            return left > 0

    def set_instance(self, instance_id, state):
        """Record an instance's state, which is listed once `list_lag` has passed."""
        with self.lock:
            history = self._instances.setdefault(instance_id, [])
            history.append((time.monotonic(), state))

    def instances(self):
        """Return the instances as they were `list_lag` seconds ago."""
        horizon = time.monotonic() - self.faults.list_lag
        listed = []
        with self.lock:
            for instance_id, history in sorted(self._instances.items()):
                known = [state for at, state in history if at <= horizon]
                if known and known[-1] != "gone":
                    listed.append({"instance_id": instance_id, "state": known[-1]})
        return listed

    def keep_previous(self, kind, name, entry):
        """Keep the entry from before a write, for stale reads."""
        with self.lock:
            self._previous_entries[kind, name] = (time.monotonic(), entry)

    def read(self, kind, name):
        """Return the entry, with stale reads as it was before a recent write."""
        lag = self.faults.stale_reads
        if lag:
            with self.lock:
                at, entry = self._previous_entries.get((kind, name), (-lag, None))
            if time.monotonic() - at < lag:
                return entry
        return self.store.get(kind, name)


class PlatformHandler(StandinHandler):
    """Serves the object API."""

    def do_GET(self):  # noqa: N802
        """Serve reads, lists, watches, call counts and the current faults."""
        parts, query = self._parse_path()
        match parts:
            case ["calls"]:
                self.respond(200, dict(self.state.calls))
            case ["faults"]:
                self.respond(200, self.state.faults._asdict())
            case _ if self._inject_fault():
                return
            case ["instances"]:
                self.state.calls["list instances"] += 1
                self.respond(200, {"instances": self.state.instances()})
            case ["objects", kind, name]:
                self._get(kind, name)
            case ["objects", kind]:
                self._list(kind, query.get("prefix", ""))
            case ["watch", kind]:
                self._watch(kind, int(query["since"]), float(query["timeout"]))
            case _:
                self.respond(404, {})

    def do_PUT(self):  # noqa: N802
        """Serve writes, instance states and changes of faults."""
        parts, _ = self._parse_path()
        match parts:
            case ["faults"]:
                self.state.set_faults(self.json_body())
                self.respond(200, self.state.faults._asdict())
            case ["instances", instance_id]:
                self.state.set_instance(instance_id, self.json_body()["state"])
                self.respond(200, {})
            case ["objects", kind, name]:
                body = self.body()
                if not self._inject_fault():
                    self._put("put", kind, name, body)
            case _:
                self.respond(404, {})

    def do_DELETE(self):  # noqa: N802
        """Serve deletes."""
        parts, _ = self._parse_path()
        match parts:
            case ["objects", kind, name] if not self._inject_fault():
                self._put("delete", kind, name, None)

    def _parse_path(self):
        url = urlsplit(self.path)
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        return parts, query

    def _inject_fault(self):
        faults = self.state.faults
        if faults.cut or self.headers.get("User-Agent") in faults.refused_clients:
            self.abort()
            return True
        if faults.delay:
            time.sleep(faults.delay)
        if faults.down:
            self.state.calls["refused"] += 1
            self.respond(503, {})
            return True
        return False

    def _get(self, kind, name):
        self.state.calls[f"get {kind}"] += 1
        entry = self.state.read(kind, name)
        if entry is None:
            self.respond(404, {})
            return
        self.respond(200, entry.value, [("ETag", str(entry.version))])

    def _list(self, kind, prefix):
        self.state.calls[f"list {kind}"] += 1
        found = [
            {"name": name, "version": e.version, "value": e.value.decode("latin-1")}
            for name, e in self.state.store.list(kind, prefix)
        ]
        self.respond(200, {"objects": found})

    def _watch(self, kind, since, timeout):
        self.state.calls[f"watch {kind}"] += 1
        changes, version = self.state.store.wait(kind, since, timeout)
        if self.state.faults.cut or self.state.faults.down:
            self.abort()
            return
        keys = ("version", "name", "deleted")
        listed = [dict(zip(keys, change)) for change in changes]
        self.respond(200, {"changes": listed, "version": version})

    def _put(self, operation, kind, name, value):
        self.state.wait_while_held(f"{operation} {kind}")
        self.state.calls[f"{operation} {kind}"] += 1
        expected = int(self.headers.get("If-Match", 0))
        before = self.state.store.get(kind, name)
        version = self.state.store.put(kind, name, value, expected)
        if version is None:
            self.respond(412, {})
            return
        self.state.keep_previous(kind, name, before)
        if self.state.consume_lost_response():
            self.abort()
            return
        self.respond(200, {}, [("ETag", str(version))])


def main(arguments=None):
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description="stand-in for the platform")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=8300)
    options = parser.parse_args(arguments)
    address = (options.host, options.port)
    with StandinServer(address, PlatformHandler, PlatformState()) as server:
        server.serve_forever()


if __name__ == "__main__":
    main()
