"""Listeners: one waitress server each, with its own threads."""

import select
import threading
import time

import waitress
from waitress.server import create_server

from .channels import MAINTENANCE_SECONDS, Channel, maintain
from .parsing import make_parser_class
from .threads import GrowingDispatcher

STOP_JOIN_SECONDS = 5.0
IDLE_POLL_SECONDS = 0.05
ACCEPTS_PER_PASS = 256
# Bytes of a response that wait in memory for a client that reads slowly; its thread
# waits beyond that. waitress keeps up to this size outside of files.
UNREAD_BYTES = 1_048_576


class Listener:
    """Serves a WSGI application on an address; a context manager.

    Each listener has its own threads, so that health checks and operators are served
    even when all threads of the data listener are busy. `read_deadline` returns how
    many seconds the caller of a request waits, from its headers by their lower-case
    names, or None; a request waits for a thread for a part of this time only. `memory`
    is the `ClientMemory` of the process, or None for no budget.
    """

    def __init__(
        self, application, address, threads, limits, read_deadline=None, memory=None
    ):
        host, _, port = address.rpartition(":")
        self._sockets = {}
        self._server = create_server(
            application,
            map=self._sockets,
            host=host,
            port=int(port),
            _dispatcher=GrowingDispatcher(
                threads, limits.queue_seconds, lambda channel: channel.wait_until
            ),
            connection_limit=limits.connections,
            max_request_body_size=limits.file_bytes,
            max_request_header_size=limits.header_bytes,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            ident=None,
            clear_untrusted_proxy_headers=True,
            log_socket_errors=False,
            **({} if memory is None else {"outbuf_high_watermark": UNREAD_BYTES}),
            inbuf_overflow=limits.body_buffer_bytes,
            cleanup_interval=MAINTENANCE_SECONDS,
        )
        self._server.closes_after_answers = False
        parser_class = make_parser_class(limits)
        members = {
            "request_class": parser_class,
            "arrival_seconds": limits.arrival_seconds,
            "body_idle_seconds": limits.body_idle_seconds,
            "unread_seconds": limits.unread_seconds,
            "memory": memory,
        }
        if read_deadline is not None:
            members["read_deadline"] = staticmethod(read_deadline)
        self._server.channel_class = type("ListenerChannel", (Channel,), members)
        self._server.maintenance = lambda now: maintain(self._server, now)
        self._accept_one = self._server.handle_accept
        self._server.handle_accept = self._accept_waiting
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._server.task_dispatcher.shutdown()
        waitress.wasyncore.close_all(self._sockets, ignore_all=True)
        self._thread.join(STOP_JOIN_SECONDS)

    @property
    def busy_count(self):
        """Number of connections with a request that is arriving or being processed."""
        return sum(channel.is_busy for channel in self._channels())

    def close_after_answers(self):
        """Close each connection after its next response, with ``Connection: close``."""
        self._server.closes_after_answers = True

    def stop_accepting(self):
        """Close the listening socket; open connections stay open."""
        self._server.trigger.pull_trigger(self._close_socket)

    def wait_until_idle(self, deadline):
        """Close idle connections until none is open, or until the `deadline`.

        Return whether none is open. The deadline is a time of the monotonic clock.
        """
        while self._channels() and time.monotonic() < deadline:
            self._server.trigger.pull_trigger(self._close_idle)
            time.sleep(IDLE_POLL_SECONDS)
        return not self._channels()

    def _accept_waiting(self):
        """Accept pending connections up to the connection limit.

        Each pass of waitress's loop checks every open connection. With one accept per
        pass, the wait of the last of many simultaneous connections would grow with the
        square of their number.
        """
        server = self._server
        for _ in range(ACCEPTS_PER_PASS):
            is_full = len(self._sockets) >= server.adj.connection_limit
            if is_full or not _is_readable(server.socket):
                return
            self._accept_one()

    def _close_socket(self):
        while _is_readable(self._server.socket):
            self._accept_one()
        waitress.wasyncore.dispatcher.close(self._server)

    def _close_idle(self):
        for channel in self._channels():
            is_open = channel.socket is not None
            if is_open and not channel.is_busy and not _is_readable(channel.socket):
                channel.handle_close()

    def _channels(self):
        parts = list(self._sockets.values())
        return [part for part in parts if isinstance(part, Channel)]

    def _run(self):
        try:
            self._server.run()
        except OSError:
            return


def _is_readable(socket):
    poll = select.poll()
    poll.register(socket, select.POLLIN)
    return bool(poll.poll(0))
