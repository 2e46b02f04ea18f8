"""Reads many streams concurrently and prints the arrival times of tokens as JSON.

``python -m sequoiaglade_bench._streams PORT KEY STREAMS TOKENS``
"""

import asyncio
import json
import sys
import time

START_SPREAD_SECONDS = 1.0


async def read_stream(port, key, number, streams, tokens):
    """Return the times of the request and of each token, in seconds.

    For a refused stream, return the time of the request only.
    """
    await asyncio.sleep(START_SPREAD_SECONDS * number / streams)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    value = {"model": "restock-writer", "stream": True, "max_tokens": tokens}
    body = json.dumps(value | {"messages": [{"role": "user", "content": str(number)}]})
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: relay\r\n"
        f"Content-Type: application/json\r\nAuthorization: Bearer {key}\r\n"
        f"X-Request-Id: stream-{tokens}-{number}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    times = [time.perf_counter()]
    writer.write((head + body).encode())
    if b" 200 " not in await reader.readline():
        writer.close()
        return times
    async for line in reader:
        if line.startswith(b"data: {"):
            times.append(time.perf_counter())
        if b"[DONE]" in line:
            break
    writer.close()
    return times


async def main(port, key, streams, tokens):
    """Read all streams; return the times of each."""
    reads = (
        read_stream(port, key, number, streams, tokens) for number in range(streams)
    )
    return await asyncio.gather(*reads)


if __name__ == "__main__":
    port, key, streams, tokens = sys.argv[1:]
    print(json.dumps(asyncio.run(main(int(port), key, int(streams), int(tokens)))))
