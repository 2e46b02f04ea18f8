"""Clients of streams that are taken up again, and the rule on their share."""

import contextlib
import http.client
import threading
import time

from deployment import CannotRunError, client_headers

EVENTS = 30
EVENT_SECONDS = 0.1
DEADLINE_SECONDS = 5.0
# Of the rule: so many streams at least, and that part of the share of new streams.
STREAMS_MIN = 12
SHARE_MIN = 0.5


def events_of(request_id):
    """Return the texts of a stream's events."""
    return [f"word {n}" for n in range(1, EVENTS + 1)]


class Stream(threading.Thread):
    """A client's stream: a try at a gateway, then one at each of `others` if cut."""

    def __init__(self, gateway, others, record, leaves):
        super().__init__(daemon=True)
        self._gateway = gateway
        self._others = others
        self._record = record
        # Set when the client closes its connection by itself.
        self._leaves = leaves
        self._began_by = None
        self.ids = []
        self.statuses = []
        self.is_taken_up = False
        self.goes_on = False
        self.version = None

    @property
    def has_begun(self):
        return bool(self.ids)

    def run(self):
        until = time.monotonic() + DEADLINE_SECONDS
        self._try(self._gateway, until)
        tries = list(self._others)
        while tries and self.ids and len(self.ids) < EVENTS:
            if time.monotonic() > until:
                return
            gateway = tries.pop(0)
            self.is_taken_up = True
            known = len(self.ids)
            retry_after = self._try(gateway, until)
            self.goes_on = self.goes_on or len(self.ids) > known
            time.sleep(min(retry_after, max(0.0, (until - time.monotonic()) / 3)))

    def _try(self, gateway, until):
        """Make one try; return the seconds after which to come back."""
        left = max(0.1, until - time.monotonic())
        more = {"Deadline-Ms": str(int(left * 1000))}
        if self.ids:
            more |= {"Last-Event-Id": str(len(self.ids)), "Resumes": self._began_by}
        headers = client_headers(**more)
        host, _, port = gateway.front.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=left)
        outcome, retry_after = "", 0.0
        before = len(self.ids)
        with contextlib.closing(connection):
            try:
                connection.request("POST", "/alert/1", b"{}", headers)
                response = connection.getresponse()
                outcome = str(response.status)
                retry_after = float(response.headers.get("Retry-After") or 0)
                if response.status == 200:
                    self._read(response, headers["Request-Id"])
            except (OSError, http.client.HTTPException) as error:
                outcome += f" {error!r}"
        self._record(
            f"client: try {headers['Request-Id']} at {gateway.name} after event "
            f"{before}: {outcome}, {len(self.ids) - before} events"
        )
        return retry_after

    def _read(self, response, request_id):
        while line := response.readline():
            if not line.startswith(b"id: "):
                continue
            self._began_by = self._began_by or request_id
            self.ids.append(int(line[4:]))
            if self._leaves is not None and self._leaves.is_set():
                self._leaves = None
                raise http.client.HTTPException("the client closes")


def judge(streams, news, record):
    """Return how the rule was broken by streams taken up, beside new streams."""
    taken_up = [stream for stream in streams if stream.is_taken_up]
    went_on = sum(stream.goes_on for stream in taken_up)
    began = sum(stream.has_begun for stream in news)
    record(
        f"{len(taken_up)} streams were taken up, {went_on} of them went on; "
        f"{began} of {len(news)} new streams began"
    )
    if not began:
        raise CannotRunError("no new stream began")
    if len(taken_up) < STREAMS_MIN:
        return []
    if went_on / len(taken_up) < SHARE_MIN * began / len(news):
        return [
            f"LOST: {went_on} of {len(taken_up)} streams that were taken up went on, "
            f"{began} of {len(news)} new ones began"
        ]
    return []
