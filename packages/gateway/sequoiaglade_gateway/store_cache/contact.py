"""Renews the watches of the store once its open connections seem to be silent."""

import random
import threading
import time

import structlog

from sequoiaglade_decisions.gateway import ContactStep, StoreContact
from sequoiaglade_decisions.gateway.store_contact import PROBE_INTERVAL_SECONDS
from sequoiaglade_node.threads import OwnedThread


class StoreContactKeeper(OwnedThread):
    """One thread that probes and renews the connections of a `DocumentStore`.

    A context manager. `StoreContact` decides from the outcome of all calls.
    `is_store_silent` and `renew_watches` may be called from any thread.
    """

    def __init__(self, store, metrics):
        super().__init__("store contact", join_seconds=0.2)
        self._store = store
        self._metrics = metrics
        self._lock = threading.Lock()
        self._woken = threading.Event()
        # Nodes that start together probe at different times.
        self._contact = StoreContact(
            PROBE_INTERVAL_SECONDS * (0.9 + 0.2 * random.random())
        )
        store.observe(self._on_call)

    def is_store_silent(self):
        """Return whether unanswered calls show that the store answers nothing."""
        with self._lock:
            return self._contact.is_silent(time.monotonic())

    def renew_watches(self, reason):
        """Renew the connections of the store, and log the kinds of its watches."""
        with self._lock:
            self._contact.note_renewal(time.monotonic())
        self._renew(reason)
        self._woken.set()

    def _on_call(self, call):
        with self._lock:
            self._contact.note_call(call)
        if not call.is_answered:
            self._woken.set()

    def _interrupt(self):
        self._woken.set()

    def _run(self):
        while not self._stopped.is_set():
            self._woken.clear()
            with self._lock:
                step, seconds = self._contact.next_step(time.monotonic())
            match step:
                case ContactStep.PROBE:
                    self._store.probe()
                case ContactStep.RENEW:
                    self._renew("a call timed out")
                case ContactStep.WAIT:
                    self._woken.wait(seconds)

    def _renew(self, reason):
        for kind in self._store.renew_connections():
            self._metrics.count("watch renewed", kind)
            structlog.get_logger().info("watch renewed", kind=kind, reason=reason)
