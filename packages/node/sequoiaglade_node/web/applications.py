"""WSGI applications of the data listener and the control listener."""

from sequoiaglade_decisions.outcomes import Execution, Refusal, RefusalCode

from ..logs import log_exception
from .refusals import refusal_response
from .requests import is_plain_path, read_request
from .responses import Response, json_response, respond


class DataApplication:
    """Callers' interface: models, completions, files, batches, plain services."""

    def __init__(self, online, batch, entries):
        self._online = online
        self._batch = batch
        self._entries = entries

    def __call__(self, environ, start_response):
        request = read_request(environ)
        response = self._route(request)
        return respond(response, request.request_id, start_response)

    def _route(self, request):
        path = request.path
        if not is_plain_path(path):
            reason = "the path contains dot segments, backslashes or control characters"
            refusal = Refusal(RefusalCode.INVALID_REQUEST, reason)
            return refusal_response(refusal, request.request_id)
        if path == "/v1/entries":
            return self._entries(request)
        if path == "/v1/models":
            return self._online.list_models(request)
        if path.startswith(("/v1/files", "/v1/batches")):
            return self._batch.handle(request)
        return self._online.handle(request)


class ControlApplication:
    """Health, readiness, metrics, discovery and operators."""

    def __init__(self, operators, entries, is_ready, metrics):
        self._operators = operators
        self._entries = entries
        self._is_ready = is_ready
        self._metrics = metrics

    def __call__(self, environ, start_response):
        request = read_request(environ)
        response = self._route(request)
        return respond(response, request.request_id, start_response)

    def _route(self, request):
        match request.path:
            case "/healthz":
                return json_response(200, {"status": "ok"})
            case "/readyz":
                ready = self._is_ready()
                return json_response(200 if ready else 503, {"ready": ready})
            case "/metrics":
                headers = [("Content-Type", "text/plain; version=0.0.4")]
                return Response(200, headers, [self._metrics()])
            case "/v1/entries":
                return self._entries(request)
        return self._operators.handle(request)


def guarded(application):
    """Wrap `application` to log unexpected exceptions and respond with status 500."""

    def guard(environ, start_response):
        try:
            return application(environ, start_response)
        except Exception as error:
            log_exception("request failed", error)
            reason = "an internal error; the request may have run"
            refusal = Refusal(RefusalCode.INTERNAL, reason, None, Execution.UNKNOWN)
            response = refusal_response(refusal, "unknown")
            return respond(response, "unknown", start_response)

    return guard
