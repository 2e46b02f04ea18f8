"""Runs a piece of work at endpoints until it is answered or given up."""

import contextlib
from concurrent.futures import ThreadPoolExecutor

from sequoiaglade_decisions.idempotency import StoredResponse
from sequoiaglade_decisions.outcomes import Refusal

from ..web import Response, refusal_response
from .exchange import Exchange, Services, WholeAnswer
from .hangups import HangupWatcher
from .stream import RelayedStream

CANCEL_THREADS = 2


class Runner:
    """Gets a slot for the work, calls the endpoint, and relays its answer.

    A context manager that owns the threads which notice hang-ups and cancel runs.
    """

    def __init__(
        self, dispatch, endpoints, retries, once, holder, queue_seconds, journal
    ):
        self._stack = contextlib.ExitStack()
        self._once = once
        self._journal = journal
        self._services = Services(
            dispatch=dispatch,
            endpoints=endpoints,
            retries=retries,
            once=once,
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
        """Return the `Response` to the work."""
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
                case WholeAnswer(status=status, headers=headers, body=body):
                    exchange.keep(StoredResponse(status, tuple(headers), body))
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
