"""HTTP server base of the stand-ins."""

import json
import socket
import struct
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class StandinServer(ThreadingHTTPServer):
    """Threaded HTTP server whose handlers share the object `state`."""

    daemon_threads = True
    request_queue_size = 1024
    block_on_close = False

    def __init__(self, address, handler, state):
        super().__init__(address, handler)
        self.state = state

    def handle_error(self, request, client_address):
        """Ignore broken connections, which tests cause on purpose."""


class StandinHandler(BaseHTTPRequestHandler):
    """Handler that sends JSON responses and can reset its connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        """Log nothing."""

    @property
    def state(self):
        """State that the handlers of the server share."""
        return self.server.state

    def body(self):
        """Return the request's body as bytes; raise `ConnectionError` if it is cut."""
        size = int(self.headers.get("Content-Length", 0))
        data = self.rfile.read(size)
        if len(data) < size:
            raise ConnectionError(f"{size - len(data)} bytes of the body are missing")
        return data

    def json_body(self):
        """Return the request's body decoded from JSON; an empty body gives `{}`."""
        return json.loads(self.body() or b"{}")

    def respond(self, status, value=None, headers=()):
        """Send a complete response with a JSON value or bytes as its body."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.send_response(status)
        for name, text in headers:
            self.send_header(name, text)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def abort(self):
        """Reset the connection without a response."""
        linger = socket.SO_LINGER
        self.connection.setsockopt(socket.SOL_SOCKET, linger, _RESET_ON_CLOSE)
        self.close_connection = True
        self.connection.close()
