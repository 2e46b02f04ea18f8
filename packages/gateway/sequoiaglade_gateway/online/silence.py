"""Waiting for silent endpoints, and places that are reserved to leave them."""

import time

import structlog

from sequoiaglade_decisions.gateway import (
    SILENCE_CHECK_SECONDS,
    SILENT_AFTER_SECONDS,
    SilenceStep,
    move_headroom,
    silence_step,
)

from ..messages import (
    STOPPED,
    AcceptsRequests,
    EndpointSilent,
    InFlightRequest,
    PlaceRequest,
    RequestEnded,
)
from ..patient_socket import PeerSilentError

# Endpoints' deadlines differ from this node's by less than this.
CLOCK_MARGIN_SECONDS = 0.05


class ReservedPlace:
    """A place for the next attempt of a request; a context manager that releases it."""

    def __init__(self, parts):
        self._parts = parts
        self._place = None
        self._request = None

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        if self._place is not None:
            self._release()

    @property
    def is_held(self):
        """Whether a place is reserved."""
        return self._place is not None

    def reserve(self, request):
        """Reserve a place for a `PlaceRequest`; return whether there is one."""
        placed = self._parts.placer.place(request)
        if isinstance(placed, InFlightRequest):
            self._place, self._request = placed, request
        return self._place is not None

    def take(self, regions=frozenset()):
        """Return the reserved `InFlightRequest`, now the caller's, or None.

        It is released if its endpoint accepts no requests any more, is in none of the
        allowed regions (None allows no region, an empty set all), or is cold and there
        is no permit now: the one that was taken before is too old.
        """
        if self._place is None:
            return None
        endpoint_id = self._place.endpoint.endpoint_id
        question = AcceptsRequests(endpoint_id, regions)
        if not self._parts.coordinator.ask(question):
            self._release()
            return None
        renewed = self._parts.placer.renew_permit(self._place, self._request)
        if renewed is None:
            self._release()
            return None
        self._place = None
        return renewed

    def _release(self):
        place, self._place = self._place, None
        endpoint_id = place.endpoint.endpoint_id
        self._parts.coordinator.tell(RequestEnded(endpoint_id, False, STOPPED))


class AttemptPatience:
    """The `Patience` of one attempt of an online request.

    `run_count` is the number of endpoints that may have run the request, with that of
    this attempt. `excluded` are the ids of endpoints not to move to. `version` returns
    the software version that the stream is bound to, None before its first event.
    `regions` returns the `allowed_regions` of the request.
    """

    first_seconds = SILENT_AFTER_SECONDS

    def __init__(
        self,
        parts,
        request,
        endpoint_id,
        run_count,
        excluded,
        reserved,
        version,
        regions=frozenset,
    ):
        self._parts = parts
        self._request = request
        self._endpoint_id = endpoint_id
        self._run_count = run_count
        self._excluded = excluded | {endpoint_id}
        self._reserved = reserved
        self._version = version
        self._regions = regions

    def next_seconds(self, silent_seconds):
        """Return how much longer to wait.

        Raise `PeerSilentError` once a place at another endpoint is reserved, or when
        the time of the request is over.
        """
        request = self._request
        seconds_left = request.end_at - time.monotonic()
        wait_seconds = seconds_left + CLOCK_MARGIN_SECONDS
        if wait_seconds <= 0:
            raise PeerSilentError("the time of the request is over")
        step = silence_step(request.route, self._run_count, seconds_left)
        if step is SilenceStep.FIND_PLACE:
            has_place = self._reserve(silent_seconds)
            step = silence_step(request.route, self._run_count, seconds_left, has_place)
        if step is SilenceStep.MOVE or silent_seconds <= SILENT_AFTER_SECONDS:
            self._report(step, silent_seconds)
        if step is SilenceStep.MOVE:
            raise PeerSilentError(f"silent for {silent_seconds:.1f} s")
        self._parts.coordinator.tell(EndpointSilent(self._endpoint_id))
        return min(wait_seconds, SILENCE_CHECK_SECONDS)

    def _reserve(self, silent_seconds):
        request, regions = self._request, self._regions()
        if regions is None:
            return False
        place = PlaceRequest(
            request.service or "",
            request.call.request_id,
            self._excluded,
            move_headroom(silent_seconds, request.priority),
            version=self._version(),
            regions=regions,
        )
        return self._reserved.reserve(place)

    def _report(self, step, silent_seconds):
        structlog.get_logger().info(
            "endpoint silent",
            request_id=self._request.call.request_id,
            endpoint_id=self._endpoint_id,
            silent_seconds=round(silent_seconds, 2),
            attempts=self._run_count,
            step=step.value,
        )
        self._parts.metrics.count("endpoint silent", step.value)
