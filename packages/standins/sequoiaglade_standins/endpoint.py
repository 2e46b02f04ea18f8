"""Stand-in for a model engine, or for a plain service.

Engine: ``POST /v1/chat/completions`` and ``/v1/completions``, complete or streamed,
``POST /cancel``, ``GET /load`` (delayed by the report lag) and ``POST /orders``.
Responses echo ``X-Request-Id``; ``X-Resume-From`` is the number of tokens to skip. Any
other path is the plain service and echoes the request. The number of tokens is
``max_tokens``, and the text of token *n* of a request is ``w<n> ``.

The control address stays up during a crash: ``PUT /faults`` (see `EndpointFaults`),
``GET /runs`` (all runs in the order of their start), ``GET /orders`` (accepted orders)
and ``GET /crashes`` (their number).
"""

import argparse
import json
import re
import threading
import time

from .engine import Engine
from .http import StandinHandler, StandinServer

DEFAULT_MAX_TOKENS = 16
HOLD_POLL_SECONDS = 0.02
_CREDENTIAL_HEADERS = ("authorization", "cookie", "proxy-authorization", "x-api-key")
_KEY_PATTERN = re.compile("sg-[0-9a-f]{8}")
_HOP_BY_HOP_HEADERS = ("te", "trailer", "upgrade", "keep-alive", "proxy-connection")


class EndpointHandler(StandinHandler):
    """Serves the data address of the endpoint."""

    def do_GET(self):  # noqa: N802
        """Serve load reports and the plain service."""
        if self.path == "/load":
            if self.state.is_crashed:
                self.abort()
                return
            self.respond(200, self.state.load())
            return
        self._serve()

    def do_POST(self):  # noqa: N802
        """Serve runs, cancels and orders."""
        match self.path:
            case "/cancel":
                body = self.json_body()
                self.state.cancel(body["request_id"], body.get("attempt_id", ""))
                self.respond(200, {})
            case "/orders":
                body = self.json_body()
                checks = self.server.checks_fencing
                accepted = self.state.accept_order(
                    body["fencing"], body["order"], checks
                )
                self.respond(200 if accepted else 409, {})
            case _:
                self._serve()

    do_PUT = do_POST  # noqa: N815
    do_DELETE = do_POST  # noqa: N815
    do_PATCH = do_POST  # noqa: N815

    def _serve(self):
        engine = self.state
        body = self.body()
        if engine.is_crashed:
            self.abort()
            return
        if engine.faults.leaving or engine.faults.refuse:
            reason = "leaving" if engine.faults.leaving else "refused"
            self.respond(503, {"error": reason}, [("X-Endpoint-State", reason)])
            return
        request_id = self.headers.get("X-Request-Id", "")
        names = {name.lower() for name in self.headers.keys()}
        seen = sorted(names.intersection(_CREDENTIAL_HEADERS + _HOP_BY_HOP_HEADERS))
        seen += [n for n, text in self.headers.items() if _KEY_PATTERN.search(text)]
        resumed_from = int(self.headers.get("X-Resume-From", 0))
        index = engine.start(request_id, self.path, seen, resumed_from)
        marker = engine.faults.crash_marker
        if marker and marker.encode() in body:
            engine.crash()
        state = "failed"
        try:
            state = self._run(request_id, body, engine.generation)
        finally:
            engine.finish(index, state)

    def _run(self, request_id, body, generation):
        engine = self.state
        if engine.is_crashed:
            self.abort()
            return "crashed"
        time.sleep(engine.faults.delay)
        while engine.faults.hold:
            time.sleep(HOLD_POLL_SECONDS)
        if engine.faults.fail_status:
            self.respond(engine.faults.fail_status, {"error": {"message": "failed"}})
            return "failed"
        if not self.path.startswith("/v1/"):
            echo = {"path": self.path, "method": self.command, "bytes": len(body)}
            response_id = self._response_id(request_id)
            self._send_response(
                json.dumps(echo).encode(), self._response_headers(response_id)
            )
            return "done"
        engine.count(queued=1)
        engine.free.acquire()
        engine.count(running=1, queued=-1)
        try:
            return self._generate(request_id, json.loads(body), generation)
        except OSError:
            return "hung_up"
        finally:
            engine.count(running=-1)
            engine.free.release()

    def _generate(self, request_id, body, generation):
        response_id = self._response_id(request_id)
        count = body.get("max_tokens") or DEFAULT_MAX_TOKENS
        first = int(self.headers.get("X-Resume-From", 0))
        tokens = self._tokens(request_id, first, count, generation)
        if body.get("stream"):
            return self._stream(response_id, body, tokens)
        words = []
        for state, word in tokens:
            if state != "running":
                self.abort()
                return state
            words.append(word)
        response = self._response_body(response_id, body, "".join(words), count)
        data = json.dumps(response).encode()
        self._send_response(data, self._response_headers(response_id))
        return "truncated" if self.state.faults.truncate else "done"

    def _response_id(self, request_id):
        if self.state.faults.late:
            return self.state.previous_id(request_id)
        return "crossed" if self.state.faults.cross else request_id

    def _send_response(self, data, headers):
        faults = self.state.faults
        length = len(data) // 2 if faults.short_length else len(data)
        self._send_head(headers, [("Content-Length", str(length))])
        if faults.truncate:
            self.wfile.write(data[: len(data) // 2])
            self.abort()
            return
        self.wfile.write(data)
        if faults.double:
            self._send_head(headers, [("Content-Length", str(length))])
            self.wfile.write(data)

    def _tokens(self, request_id, first, count, generation):
        engine = self.state
        attempt_id = self.headers.get("X-Attempt-Id", "")
        next_at = time.monotonic()
        for number in range(first, count):
            next_at += engine.token_seconds
            time.sleep(max(0.0, next_at - time.monotonic()))
            if engine.generation != generation:
                yield "crashed", ""
            elif engine.is_cancelled(request_id, attempt_id):
                yield "cancelled", ""
            elif 0 <= engine.faults.break_after <= number:
                yield "broken", ""
            elif self._is_disconnected():
                yield "hung_up", ""
            elif 0 <= engine.faults.stall_after <= number:
                yield self._stall(), ""
            else:
                yield "running", f"w{number} "

    def _stall(self):
        while not self._is_disconnected():
            time.sleep(0.02)
        return "stalled"

    def _is_disconnected(self):
        self.connection.setblocking(False)
        try:
            return self.connection.recv(1) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.connection.setblocking(True)

    def _stream(self, response_id, body, tokens):
        headers = [("Transfer-Encoding", "chunked")]
        self._send_head(
            self._response_headers(response_id, "text/event-stream"), headers
        )
        for state, word in tokens:
            if word == f"w{self.state.faults.stray_after} ":
                stray = self._chunk_body(response_id + "0", body, "stray ", None)
                self._send_event(json.dumps(stray))
            if state != "running":
                self._break_stream()
                return state
            self._send_event(
                json.dumps(self._chunk_body(response_id, body, word, None))
            )
        if self.state.faults.truncate:
            self.abort()
            return "truncated"
        self._send_event(json.dumps(self._chunk_body(response_id, body, "", "stop")))
        self._send_event("[DONE]")
        self.wfile.write(self._size_line(0) + b"\r\n")
        return "done"

    def _break_stream(self):
        faults = self.state.faults
        if faults.cut_size:
            self.wfile.write(b"0" * (faults.size_digits - 1))
            self.close_connection = True
            return
        if faults.cut_event:
            self.wfile.write(b'10\r\ndata: {"id": "cu\r\n')
        self.abort()

    def _send_event(self, text):
        data = f"data: {text}\n\n".encode()
        self.wfile.write(self._size_line(len(data)) + data + b"\r\n")

    def _size_line(self, size):
        return b"%0*x\r\n" % (self.state.faults.size_digits, size)

    def _send_head(self, *header_lists):
        self.send_response(200)
        for name, text in [pair for headers in header_lists for pair in headers]:
            self.send_header(name, text)
        self.end_headers()

    def _response_headers(self, response_id, content_type="application/json"):
        headers = [("Content-Type", content_type), ("X-Request-Id", response_id)]
        attempt_id = self.headers.get("X-Attempt-Id")
        return headers + ([("X-Attempt-Id", attempt_id)] if attempt_id else [])

    @property
    def _is_chat(self):
        return self.path == "/v1/chat/completions"

    def _response_body(self, response_id, body, text, count):
        choice = {"index": 0, "finish_reason": "stop"}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        usage = {"prompt_tokens": 1, "completion_tokens": count}
        usage["total_tokens"] = count + 1
        kind = "chat.completion" if self._is_chat else "text_completion"
        return self._envelope(response_id, body, kind, choice) | {"usage": usage}

    def _chunk_body(self, response_id, body, word, finish_reason):
        choice = {"index": 0, "finish_reason": finish_reason}
        if self._is_chat:
            choice["delta"] = {"content": word} if word else {}
        else:
            choice["text"] = word
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        return self._envelope(response_id, body, kind, choice)

    def _envelope(self, response_id, body, kind, choice):
        return {
            "id": response_id,
            "object": kind,
            "created": int(time.time()),
            "model": body.get("model", ""),
            "choices": [choice],
        }


class ControlHandler(StandinHandler):
    """Serves the control address of the endpoint."""

    def do_GET(self):  # noqa: N802
        """Serve the records of the endpoint."""
        match self.path:
            case "/runs":
                with self.state.lock:
                    runs = [run._asdict() for run in self.state.runs]
                self.respond(200, {"runs": runs})
            case "/orders":
                self.respond(200, {"orders": self.state.orders})
            case "/crashes":
                self.respond(200, {"crashes": self.state.crashes})
            case _:
                self.respond(404, {})

    def do_PUT(self):  # noqa: N802
        """Replace the current faults."""
        self.state.set_faults(self.json_body())
        self.respond(200, self.state.faults._asdict())


def main(arguments=None):
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(description="stand-in for an endpoint")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=8400)
    parser.add_argument("--control-port", type=int, default=8401)
    parser.add_argument("--name", default="endpoint")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-seconds", type=float, default=0.01)
    parser.add_argument("--report-lag", type=float, default=0.5)
    parser.add_argument("--checks-fencing", action="store_true")
    options = parser.parse_args(arguments)
    engine = Engine(
        options.name, options.slots, options.token_seconds, options.report_lag
    )
    control_address = (options.host, options.control_port)
    with (
        StandinServer((options.host, options.port), EndpointHandler, engine) as data,
        StandinServer(control_address, ControlHandler, engine) as control,
    ):
        data.checks_fencing = options.checks_fencing
        threading.Thread(target=control.serve_forever, daemon=True).start()
        data.serve_forever()


if __name__ == "__main__":
    main()
