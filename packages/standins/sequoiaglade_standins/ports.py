"""Ports for the processes of one fleet, disjoint from those of any other fleet.

Between finding a free port and binding it, another process may bind it. Each fleet
therefore claims a whole block of ports first. The claim is a socket bound to the first
port of the block: only one process can hold it, and it is released when that process
ends.
"""

import contextlib
import errno
import secrets
import socket

# The blocks lie below the ephemeral port range, so that no outgoing connection takes a
# port before its listener starts.
LOWEST_PORT = 10_000
BLOCK_PORTS = 100
BLOCK_COUNT = 220


class PortBlock:
    """A claimed block of ports on the loopback address; a context manager.

    >>> with PortBlock() as first, PortBlock() as second:
    ...     set(first.take(3)) & set(second.take(3))
    set()
    """

    def __init__(self):
        self._stack = contextlib.ExitStack()
        self._ports = iter(())

    def __enter__(self):
        start = secrets.randbelow(BLOCK_COUNT)
        for offset in range(BLOCK_COUNT):
            base = LOWEST_PORT + (start + offset) % BLOCK_COUNT * BLOCK_PORTS
            if self._try_claim(base):
                self._ports = iter(range(base + 1, base + BLOCK_PORTS))
                return self
        raise RuntimeError(f"all {BLOCK_COUNT} port blocks are claimed")

    def __exit__(self, *exc_info):
        self._stack.close()

    def take(self, count):
        """Return the next `count` ports of the block that nothing listens on."""
        ports = []
        while len(ports) < count:
            port = next(self._ports, None)
            if port is None:
                raise RuntimeError(
                    f"no free port is left in the block of {BLOCK_PORTS} ports"
                )
            if _is_free(port):
                ports.append(port)
        return tuple(ports)

    def _try_claim(self, port):
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", port))
        except OSError as error:
            claim.close()
            if error.errno != errno.EADDRINUSE:
                raise
            return False
        self._stack.enter_context(claim)
        return True


def _is_free(port):
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
