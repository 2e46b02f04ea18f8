"""OpenTelemetry counters and histograms of a gateway."""

import threading

# The SDK is loaded so long after the listeners are open, or when metrics are requested.
# By then a node that is started has read its configuration and met its peers.
LOAD_DELAY_SECONDS = 1.0
# Far more than is recorded until then; the limit holds if the SDK can't be loaded.
WAITING_MAX = 20_000
_EVENTS = "sequoiaglade.gateway.events"
_STORE_CALLS = "sequoiaglade.gateway.store_calls"
_FIRST_EVENT = "sequoiaglade.gateway.first_event"
_ARRIVAL_WAIT = "sequoiaglade.gateway.arrival_wait"


class GatewayMetrics:
    """Metric instruments of a gateway; a context manager.

    `sequoiaglade.gateway.events` counts decisions by `event` and `outcome`.
    `sequoiaglade.gateway.first_event` is the time to the first event of a stream in
    seconds, by `route`. `sequoiaglade.gateway.arrival_wait` is the time in seconds from
    a request's arrival at the machine until its handling begins.
    `sequoiaglade.gateway.store_calls` counts calls to the store by `call`, `kind` of
    documents and `outcome`. `sequoiaglade.gateway.configuration_version` is the version
    in force, `sequoiaglade.gateway.directory_addresses` the number of addresses in the
    last answer of the directory.

    OpenTelemetry's SDK is loaded on demand or after `load_soon`. What is recorded
    before that is kept and counts then. If `is_read` is false nobody reads the metrics,
    and nothing is recorded.
    """

    def __init__(self, node_id, is_read=True):
        self._node_id = node_id
        self._is_read = is_read
        # Guards what waits; `_loading` is held for as long as the SDK takes to load.
        self._lock = threading.Lock()
        self._loading = threading.Lock()
        self._telemetry = None
        self._instruments = None
        # What was recorded or observed before the SDK was loaded.
        self._waiting = []
        self._waiting_gauges = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="metrics", daemon=True)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        with self._loading:
            if self._telemetry is not None:
                self._telemetry.__exit__(*exc_info)

    def load_soon(self):
        """Load the SDK in `LOAD_DELAY_SECONDS`, when requests are already served."""
        if self._is_read:
            self._thread.start()

    def count(self, event, outcome):
        """Count a decision."""
        self._record(_EVENTS, 1, {"event": event, "outcome": outcome})

    def count_store_call(self, call, kind, outcome):
        """Count a call to the platform's store."""
        self._record(_STORE_CALLS, 1, {"call": call, "kind": kind, "outcome": outcome})

    def observe_configuration(self, read_version):
        """Add a gauge of the configuration's version, which `read_version` returns."""
        self._gauge(
            "sequoiaglade.gateway.configuration_version",
            "",
            "version of the configuration in force",
            read_version,
        )

    def observe_directory(self, read_count):
        """Add a gauge of the addresses in the last answer of the directory."""
        self._gauge(
            "sequoiaglade.gateway.directory_addresses",
            "1",
            "addresses in the last answer of the directory",
            read_count,
        )

    def record_first_event(self, work, seconds):
        """Record the time until the first event of an admitted request."""
        self._record(_FIRST_EVENT, seconds, {"route": work.route.name})

    def record_arrival_wait(self, seconds):
        """Record the time from a request's arrival until its handling began."""
        self._record(_ARRIVAL_WAIT, seconds)

    def text(self):
        """Return all metrics in the text format, as bytes."""
        return self._loaded().text()

    def _run(self):
        if not self._stopped.wait(LOAD_DELAY_SECONDS):
            self._loaded()

    def _record(self, name, number, labels=None):
        if not self._is_read:
            return
        if self._instruments is None:
            with self._lock:
                if self._instruments is None:
                    if len(self._waiting) < WAITING_MAX:
                        self._waiting.append((name, number, labels))
                    return
        self._instruments[name](number, labels)

    def _gauge(self, *gauge):
        with self._lock:
            if self._telemetry is None:
                self._waiting_gauges.append(gauge)
            else:
                self._telemetry.gauge(*gauge)

    def _loaded(self):
        """Return the `Telemetry`; load it first if that was not done."""
        with self._loading:
            if self._telemetry is None:
                self._load()
        return self._telemetry

    def _load(self):
        # Takes a tenth of the processor time of a start.
        from sequoiaglade_node.telemetry import Telemetry

        telemetry = Telemetry(self._node_id)
        record_by_name = {
            _EVENTS: telemetry.counter(
                _EVENTS, "1", "decisions by event and outcome"
            ).add,
            _STORE_CALLS: telemetry.counter(
                _STORE_CALLS, "1", "calls to the platform's store"
            ).add,
            _FIRST_EVENT: telemetry.histogram(
                _FIRST_EVENT, "s", "time to a stream's first event"
            ).record,
            _ARRIVAL_WAIT: telemetry.histogram(
                _ARRIVAL_WAIT,
                "s",
                "time from a request's arrival until its handling begins",
            ).record,
        }
        with self._lock:
            for name, number, labels in self._waiting:
                record_by_name[name](number, labels)
            for gauge in self._waiting_gauges:
                telemetry.gauge(*gauge)
            self._waiting, self._waiting_gauges = [], []
            self._telemetry = telemetry
            self._instruments = record_by_name
