"""A socket whose owner decides, at each silence of the peer, whether to wait on."""

import io
from typing import Protocol


class PeerSilentError(TimeoutError):
    """Raised by a `Patience` to end a wait for a silent peer."""


class Patience(Protocol):
    """Decides how long to wait for a silent peer."""

    first_seconds: float

    def next_seconds(self, silent_seconds):
        """Return how much longer to wait; raise `PeerSilentError` to stop waiting."""


class FixedPatience:
    """A `Patience` that ends each wait after a fixed time."""

    def __init__(self, seconds):
        self.first_seconds = seconds

    def next_seconds(self, silent_seconds):
        """Raise `PeerSilentError`."""
        raise PeerSilentError(f"silent for {silent_seconds:.1f} s")


class PatientSocket:
    """Wraps a connected socket so that a silence does not end a read or a write.

    The socket's own timeouts would leave a buffered reader unusable. Here the wait goes
    on below the buffer, so no byte is lost. All other methods are the socket's.
    """

    def __init__(self, sock, patience):
        self._sock = sock
        self._patience = patience
        self._seconds = None
        self._set_timeout(patience.first_seconds)

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def settimeout(self, seconds):
        """Do nothing: the `Patience` sets the timeouts."""

    def sendall(self, data):
        """Send all of `data`."""
        view = memoryview(data).cast("B")
        while view:
            view = view[self._wait_for(self._sock.send, view) :]

    def makefile(self, mode="rb", buffering=io.DEFAULT_BUFFER_SIZE):
        """Return a buffered reader."""
        return io.BufferedReader(_PatientReader(self, self._sock), buffering)

    def read_into(self, buffer):
        """Receive bytes into `buffer`; return their number, 0 at the end."""
        return self._wait_for(self._sock.recv_into, buffer)

    def _wait_for(self, operation, buffer):
        silent_seconds = 0.0
        while True:
            try:
                count = operation(buffer)
            except TimeoutError as error:
                # The kernel gave the connection up. It reports this only once, and a
                # regular end at the next read.
                if error.errno is not None:
                    raise
                silent_seconds += self._seconds
                self._set_timeout(self._patience.next_seconds(silent_seconds))
            else:
                self._set_timeout(self._patience.first_seconds)
                return count

    def _set_timeout(self, seconds):
        if seconds != self._seconds:
            self._sock.settimeout(seconds)
            self._seconds = seconds


class _PatientReader(io.RawIOBase):
    def __init__(self, patient_socket, sock):
        self._patient_socket = patient_socket
        # A file of the socket keeps it open after its connection was closed.
        self._keeper = sock.makefile("rb", buffering=0)

    def readable(self):
        return True

    def readinto(self, buffer):
        return self._patient_socket.read_into(buffer)

    def close(self):
        self._keeper.close()
        super().close()
