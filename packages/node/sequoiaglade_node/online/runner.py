"""Runs a validated request at endpoints until it succeeds or fails."""

import contextlib
from concurrent.futures import ThreadPoolExecutor

from sequoiaglade_decisions.idempotency import StoredResponse
from sequoiaglade_decisions.outcomes import Refusal

from ..web import HangupWatcher, Response, refusal_response
from .exchange import CompleteResponse, Exchange, ExchangeServices
from .stream import RelayedStream

CANCEL_THREADS = 2


class Runner:
    """Gets a slot for a request, calls the endpoint, and relays its response.

    A context manager that owns the threads that detect disconnected callers and cancel
    runs.
    """

    def __init__(
        self, dispatch, endpoints, retries, once, holder, queue_seconds, journal
    ):
        self._stack = contextlib.ExitStack()
        self._once = once
        self._journal = journal
        self._services = ExchangeServices(
            dispatch=dispatch,
            endpoints=endpoints,
            retries=retries,
            idempotency=once,
            watcher=HangupWatcher(),
            canceller=ThreadPoolExecutor(CANCEL_THREADS, "cancel"),
            journal=journal,
            holder=holder,
            queue_seconds=queue_seconds,
        )

    def __enter__(self):
        self._stack.enter_context(self._services.watcher)
        self._stack.callback(self._services.canceller.shutdown, cancel_futures=True)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def respond(self, work, disconnected):
        """Return the `Response` to the request `work`."""
        found = self._once.find(work)
        if found is not None:
            return self._finish(work, found)
        with contextlib.ExitStack() as stack:
            exchange = Exchange(self._services, work, disconnected)
            stack.enter_context(exchange)
            outcome = exchange.open()
            match outcome:
                case Refusal() | StoredResponse():
                    return self._finish(work, outcome)
                case CompleteResponse(status=status, headers=headers, body=body):
                    exchange.store_response(
                        StoredResponse(status, tuple(headers), body)
                    )
                    return _whole_response(status, headers, body)
            stream = RelayedStream(exchange, outcome, self._journal)
            stack.pop_all()
            return Response(outcome.status, outcome.headers, stream)

    def _finish(self, work, outcome):
        if isinstance(outcome, Refusal):
            rule = outcome.code.code
            self._journal.record("online", work.request_id, rule, "refused")
            return refusal_response(outcome, work.request_id)
        self._journal.record("online", work.request_id, "kept_answer", "replayed")
        headers = [*outcome.headers, ("Idempotent-Replayed", "true")]
        return _whole_response(outcome.status, headers, outcome.body)


def _whole_response(status, headers, body):
    return Response(status, [*headers, ("Content-Length", str(len(body)))], [body])
