"""Counters and histograms of a gateway, through OpenTelemetry."""

from opentelemetry import metrics

_SERVICE = "sequoiaglade.gateway"


class GatewayMetrics:
    """Instruments of a gateway; without an exporter they cost next to nothing.

    `sequoiaglade.gateway.events` counts decisions by `event` and `outcome`;
    `sequoiaglade.gateway.first_event` is the time to the first event in seconds.
    """

    def __init__(self):
        meter = metrics.get_meter(_SERVICE)
        self._events = meter.create_counter("sequoiaglade.gateway.events")
        self._first_event = meter.create_histogram(
            "sequoiaglade.gateway.first_event", "s", "time to a stream's first event"
        )

    def count(self, event, outcome):
        """Count an event."""
        self._events.add(1, {"event": event, "outcome": outcome})

    def first_event(self, work, seconds):
        """Record the time until the first event of an admitted request."""
        self._first_event.record(seconds, {"route": work.route.name})
