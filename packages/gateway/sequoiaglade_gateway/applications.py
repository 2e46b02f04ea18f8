"""WSGI applications of a gateway's listeners."""

from sequoiaglade_node.logs import log_exception
from sequoiaglade_node.web import Response, json_response, read_request, send


class DataApplication:
    """Serves requests of callers."""

    def __init__(self, online):
        self._online = online

    def __call__(self, environ, start_response):
        return send(self._online.handle(read_request(environ)), start_response)


class ReadinessApplication:
    """Reports to the platform whether this node accepts callers."""

    def __init__(self, dialect, is_ready):
        self._dialect = dialect
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        if not self._dialect.is_readiness_call(read_request(environ)):
            return send(_not_found(), start_response)
        ready = self._is_ready()
        status = 200 if ready else 503
        return send(json_response(status, {"ready": ready}), start_response)


class MetricsApplication:
    """Serves the node's metrics as text, and its view of the fleet as JSON."""

    def __init__(self, metrics, status):
        self._metrics = metrics
        self._status = status

    def __call__(self, environ, start_response):
        match read_request(environ).path:
            case "/metrics":
                return self._send_metrics(start_response)
            case "/status":
                return send(json_response(200, self._status()), start_response)
        return send(_not_found(), start_response)

    def _send_metrics(self, start_response):
        text = self._metrics.text()
        headers = [
            ("Content-Type", "text/plain; version=0.0.4"),
            ("Content-Length", str(len(text))),
        ]
        return send(Response(200, headers, [text]), start_response)


class DirectoryApplication:
    """Informs callers which addresses to connect to, and for how long."""

    def __init__(self, dialect, addresses, seconds):
        self._dialect = dialect
        self._addresses = addresses
        self._seconds = seconds

    def __call__(self, environ, start_response):
        call = self._dialect.read_directory_call(read_request(environ))
        if call is None:
            return send(_not_found(), start_response)
        addresses = self._addresses(call)
        if not addresses:
            error = {"error": "no node takes callers now"}
            return send(json_response(503, error), start_response)
        body = self._dialect.directory_body(addresses, self._seconds)
        return send(json_response(200, body), start_response)


def catch_errors(application):
    """Wrap `application` to log unexpected exceptions and answer them with 500."""

    def wrapped(environ, start_response):
        try:
            return application(environ, start_response)
        except Exception as error:
            log_exception("request failed", error)
            body = {"error": "an internal error; the request may have run"}
            return send(json_response(500, body), start_response)

    return wrapped


def _not_found():
    return Response(404, [("Content-Length", "0")], [])
