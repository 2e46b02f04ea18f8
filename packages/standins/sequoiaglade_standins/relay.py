"""A TCP relay that stands in for the network between two processes.

A `Link` forwards the connections from one process to another and injects faults into
them. A `Relay` owns the listeners; they all run on one thread of the calling process.

>>> with Relay() as relay:
...     link = relay.link()
...     address = relay.listen(link, "127.0.0.1:8300")
...     link.inject_fault(Stall())
...     link.heal()
"""

import asyncio
import socket
import struct
import threading
from dataclasses import dataclass

CHUNK_BYTES = 65_536
COMMAND_TIMEOUT_SECONDS = 5.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CONNECTED = b"HTTP/1.1 200 OK\r\n\r\n"


@dataclass(frozen=True)
class Refuse:
    """Resets the open connections, and new ones as soon as they are accepted."""


@dataclass(frozen=True)
class Stall:
    """Keeps connections open, but forwards nothing after `after_bytes` of responses.

    The data held back is forwarded once the link is healed.
    """

    after_bytes: int = 0


@dataclass(frozen=True)
class Drop:
    """Resets the first connection with more than `after_bytes` of one response.

    The bytes are counted from the start of the fault, which ends with the reset.
    """

    after_bytes: int = 0


class Link:
    """The connections from one process to another, with the current fault."""

    def __init__(self, loop):
        self._loop = loop
        self._fault = None
        self._allowed_bytes = 0
        # Bytes of the current response since the start of the fault.
        self._byte_count_by_connection = {}
        self._changed = asyncio.Event()
        self._writers = set()
        # Number of silences; connections opened before the latest forward nothing.
        self._silence_count = 0

    def inject_fault(self, fault):
        """Make a `Refuse`, `Stall` or `Drop` the current fault."""
        self._set_fault_threadsafe(fault)

    def heal(self):
        """End the current fault and forward everything again."""
        self._set_fault_threadsafe(None)

    def silence_open_connections(self):
        """Forward nothing more on the open connections, without closing them."""
        self._run(self._silence())

    async def forward(self, reader, writer, target, greeting=b""):
        """Forward an accepted connection to the address `target` until it ends."""
        self._writers.add(writer)
        try:
            if await self._wait_for_allowance(1):
                await self._forward_to(reader, writer, target, greeting)
            else:
                _reset(writer)
        except OSError:
            _reset(writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _forward_to(self, reader, writer, target, greeting):
        host, _, port = target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(target_writer)
        count = self._silence_count
        try:
            writer.write(greeting)
            await asyncio.gather(
                self._copy(reader, target_writer, count, writer, is_response=False),
                self._copy(target_reader, writer, count, writer, is_response=True),
            )
        except OSError:
            _reset(target_writer)
            raise
        finally:
            self._byte_count_by_connection.pop(writer, None)
            self._writers.discard(target_writer)
            target_writer.close()

    async def _copy(self, reader, writer, silence_count, connection, is_response):
        while data := await reader.read(CHUNK_BYTES):
            if self._silence_count > silence_count:
                await asyncio.Event().wait()
            if not is_response:
                self._byte_count_by_connection[connection] = 0
            while data:
                sender = connection if is_response else None
                count = await self._wait_for_allowance(len(data), sender)
                if not count:
                    raise ConnectionResetError
                writer.write(data[:count])
                await writer.drain()
                data = data[count:]
        if self._silence_count > silence_count:
            await asyncio.Event().wait()
        writer.write_eof()

    async def _wait_for_allowance(self, wanted, sender=None):
        """Wait while stalled; return how many bytes to forward, 0 for a reset.

        `sender` is the connection of a response, or None for a request.
        """
        while isinstance(self._fault, Stall) and not self._allowed_bytes:
            self._changed.clear()
            await self._changed.wait()
        match self._fault:
            case Refuse():
                return 0
            case Drop(after_bytes) if sender:
                sent = self._byte_count_by_connection.get(sender, 0)
                count = min(wanted, after_bytes - sent)
                self._byte_count_by_connection[sender] = sent + count
                if not count:
                    self._fault = None
                return count
            case Stall() if sender:
                count = min(wanted, self._allowed_bytes)
                self._allowed_bytes -= count
                return count
        return wanted

    def _set_fault_threadsafe(self, fault):
        self._run(self._set_fault(fault))

    def _run(self, coroutine):
        done = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        done.result(COMMAND_TIMEOUT_SECONDS)

    async def _silence(self):
        self._silence_count += 1

    async def _set_fault(self, fault):
        self._fault = fault
        self._allowed_bytes = getattr(fault, "after_bytes", 0)
        self._byte_count_by_connection.clear()
        self._changed.set()
        if isinstance(fault, Refuse):
            for writer in self._writers:
                _reset(writer)


class Relay:
    """Listeners whose connections are forwarded over links; a context manager."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="relay", daemon=True
        )

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        asyncio.run_coroutine_threadsafe(self._cancel_tasks(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def link(self):
        """Return a new `Link`."""
        return Link(self._loop)

    def listen(self, link, target):
        """Return the address of a listener that forwards to `target` over `link`."""

        async def serve(reader, writer):
            await link.forward(reader, writer, target)

        return self._start(serve)

    def proxy(self, link_to):
        """Return the address of an HTTP proxy for the method ``CONNECT``.

        `link_to` returns the link to the address that a client requests.
        """

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split()[1].decode()
            await link_to(target).forward(reader, writer, target, _CONNECTED)

        return self._start(serve)

    def _start(self, serve):
        async def start():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            return server.sockets[0].getsockname()

        done = asyncio.run_coroutine_threadsafe(start(), self._loop)
        host, port = done.result(COMMAND_TIMEOUT_SECONDS)
        return f"{host}:{port}"

    async def _cancel_tasks(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _reset(writer):
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
