"""A source of token streams, cheap enough not to be the bottleneck of relays.

``python -m sequoiaglade_bench._source PORT``: responds to each request
with ``max_tokens`` events, one every `TOKEN_INTERVAL_SECONDS`.
"""

import asyncio
import json
import sys

TOKEN_INTERVAL_SECONDS = 0.06
_HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "X-Request-Id: {0}\r\nTransfer-Encoding: chunked\r\n\r\n"
)


_LOAD_REPORT = b'{"slots": 2000, "running": 0, "queued": 0, "leaving": false}'
_LOAD_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
    len(_LOAD_REPORT),
    _LOAD_REPORT,
)


async def serve_connection(reader, writer):
    """Serve requests on one connection until it is closed."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
            if head.startswith("get /load"):
                writer.write(_LOAD_RESPONSE)
                continue
            body = await reader.readexactly(int(fields["content-length"]))
            await _stream(writer, fields.get("x-request-id", ""), json.loads(body))
    except (OSError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()


async def _stream(writer, request_id, body):
    writer.write(_HEAD.format(request_id).encode())
    loop = asyncio.get_running_loop()
    next_at = loop.time()
    for number in range(body["max_tokens"]):
        next_at += TOKEN_INTERVAL_SECONDS
        await asyncio.sleep(next_at - loop.time())
        choice = {"index": 0, "delta": {"content": f"w{number} "}}
        event = {"id": request_id, "choices": [choice | {"finish_reason": None}]}
        _write_event(writer, json.dumps(event))
    _write_event(writer, "[DONE]")
    writer.write(b"0\r\n\r\n")
    await writer.drain()


def _write_event(writer, text):
    data = f"data: {text}\n\n".encode()
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


async def main(port):
    """Serve until the process ends."""
    server = await asyncio.start_server(
        serve_connection, "127.0.0.1", port, backlog=1024
    )
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
