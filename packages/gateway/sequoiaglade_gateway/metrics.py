"""OpenTelemetry counters and histograms of a gateway."""

from sequoiaglade_node.telemetry import Telemetry


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
    """

    def __init__(self, node_id):
        self._telemetry = Telemetry(node_id)
        self._events = self._telemetry.counter(
            "sequoiaglade.gateway.events", "1", "decisions by event and outcome"
        )
        self._store_calls = self._telemetry.counter(
            "sequoiaglade.gateway.store_calls", "1", "calls to the platform's store"
        )
        self._first_event = self._telemetry.histogram(
            "sequoiaglade.gateway.first_event", "s", "time to a stream's first event"
        )
        self._arrival_wait = self._telemetry.histogram(
            "sequoiaglade.gateway.arrival_wait",
            "s",
            "time from a request's arrival until its handling begins",
        )

    def __enter__(self):
        self._telemetry.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._telemetry.__exit__(*exc_info)

    def count(self, event, outcome):
        """Count a decision."""
        self._events.add(1, {"event": event, "outcome": outcome})

    def count_store_call(self, call, kind, outcome):
        """Count a call to the platform's store."""
        self._store_calls.add(1, {"call": call, "kind": kind, "outcome": outcome})

    def observe_configuration(self, read_version):
        """Add a gauge of the configuration's version, which `read_version` returns."""
        self._telemetry.gauge(
            "sequoiaglade.gateway.configuration_version",
            "",
            "version of the configuration in force",
            read_version,
        )

    def observe_directory(self, read_count):
        """Add a gauge of the addresses in the last answer of the directory."""
        self._telemetry.gauge(
            "sequoiaglade.gateway.directory_addresses",
            "1",
            "addresses in the last answer of the directory",
            read_count,
        )

    def record_first_event(self, work, seconds):
        """Record the time until the first event of an admitted request."""
        self._first_event.record(seconds, {"route": work.route.name})

    def record_arrival_wait(self, seconds):
        """Record the time from a request's arrival until its handling began."""
        self._arrival_wait.record(seconds)

    def text(self):
        """Return all metrics in the text format, as bytes."""
        return self._telemetry.text()
