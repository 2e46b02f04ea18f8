"""Broadcasts endpoint events to all nodes and asks them to permit probes.

Endpoint events are crashes, quarantined fingerprints and leaving endpoints.
"""

import random
import threading
import time
from typing import NamedTuple

import grpc

from sequoiaglade_decisions.poison import Crash
from sequoiaglade_decisions.routing import ProbeWanted
from sequoiaglade_protocol import endpoint_news_pb2 as messages
from sequoiaglade_protocol import endpoint_news_pb2_grpc as services

from ..calls import open_channel

SPREAD_TIMEOUT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.5
YIELD_TIMEOUT_SECONDS = 0.1
YIELD_PEERS = 8


class ProbeAnswers(NamedTuple):
    """The combined answers of all peers to a probe.

    `refused` and `quarantined` state whether any peer answered so, `has_timeout`
    whether any peer did not answer in time. Peers without a running process are
    ignored.
    """

    refused: bool
    quarantined: bool
    has_timeout: bool


class EndpointNewsServicer(services.EndpointNewsServicer):
    """Receives endpoint events of peers and answers their probes."""

    def __init__(self, node_id, dispatch):
        self._node_id = node_id
        self._dispatch = dispatch

    def Spread(self, request, context):  # noqa: N802
        """Record the endpoint events of a peer."""
        for crash in request.crashes:
            self._dispatch.learn_crash(*_decode_crash(crash))
        if request.quarantined:
            names = [name.hex() for name in request.quarantined]
            self._dispatch.learn_quarantine(names)
        if request.leaving_endpoint_ids:
            self._dispatch.learn_leaving(list(request.leaving_endpoint_ids))
        return messages.NewsAnswer()

    def Probe(self, request, context):  # noqa: N802
        """Answer whether the sender may run a suspect request alone."""
        crashes = tuple(_decode_crash(crash)[0] for crash in request.crashes)
        fingerprint = request.fingerprint.hex()
        wanted = ProbeWanted("", fingerprint, request.endpoint_id, crashes)
        is_senior = request.sender < self._node_id
        allowed, quarantined = self._dispatch.answer_probe(wanted, is_senior).get()
        return messages.ProbeAnswer(allowed=allowed, quarantined=quarantined)

    def Yield(self, request, context):  # noqa: N802
        """Preempt batch work for the sender's online requests."""
        slots = self._dispatch.yield_batch(request.target, request.count).get()
        return messages.YieldAnswer(slots=slots)


class EndpointNewsClient:
    """Calls all peers in parallel; a context manager that owns the channels.

    `addresses` returns the peers' addresses by node id.
    """

    def __init__(self, node_id, addresses):
        self._node_id = node_id
        self._addresses = addresses
        self._channel_by_address = {}
        self._lock = threading.Lock()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for channel in self._channel_by_address.values():
            channel.close()

    def spread_crash(self, crash, fingerprints):
        """Send the peers a crash with the fingerprints that were in flight."""
        self._spread(crashes=[_encode_crash(crash, fingerprints)])

    def spread_quarantine(self, fingerprint):
        """Send the peers a quarantined fingerprint, which they refuse from then on."""
        self._spread(quarantined=[bytes.fromhex(fingerprint)])

    def spread_leaving(self, endpoint_id):
        """Notify the peers that the endpoint is leaving."""
        self._spread(leaving_endpoint_ids=[endpoint_id])

    def probe(self, wanted):
        """Ask the peers to permit a `ProbeWanted`; return their `ProbeAnswers`."""
        request = messages.ProbeRequest(
            sender=self._node_id,
            fingerprint=bytes.fromhex(wanted.fingerprint),
            endpoint_id=wanted.endpoint_id,
            crashes=[_encode_crash(crash, ()) for crash in wanted.crashes],
        )
        calls = [
            stub.Probe.future(request, timeout=PROBE_TIMEOUT_SECONDS)
            for stub in self._stubs()
        ]
        refused = quarantined = has_timeout = False
        for call in calls:
            match _result(call):
                case grpc.StatusCode.DEADLINE_EXCEEDED:
                    has_timeout = True
                case messages.ProbeAnswer() as answer:
                    refused = refused or not answer.allowed
                    quarantined = quarantined or answer.quarantined
        return ProbeAnswers(refused, quarantined, has_timeout)

    def ask_to_yield(self, target, count):
        """Ask peers one by one for `count` slots; return those yielded, by endpoint."""
        slots = {}
        stubs = list(self._stubs())
        for stub in random.sample(stubs, min(len(stubs), YIELD_PEERS)):
            missing = count - sum(slots.values())
            if missing <= 0:
                break
            request = messages.YieldRequest(
                sender=self._node_id, target=target, count=missing
            )
            answer = _result(stub.Yield.future(request, timeout=YIELD_TIMEOUT_SECONDS))
            if isinstance(answer, messages.YieldAnswer):
                for endpoint_id, number in answer.slots.items():
                    slots[endpoint_id] = slots.get(endpoint_id, 0) + number
        return slots

    def _spread(self, **fields):
        news = messages.News(sender=self._node_id, **fields)
        calls = [
            stub.Spread.future(news, timeout=SPREAD_TIMEOUT_SECONDS)
            for stub in self._stubs()
        ]
        for call in calls:
            _result(call)

    def _stubs(self):
        with self._lock:
            for address in self._addresses().values():
                if address not in self._channel_by_address:
                    channel = open_channel(address)
                    self._channel_by_address[address] = channel
                yield services.EndpointNewsStub(self._channel_by_address[address])


def _result(call):
    try:
        return call.result()
    except grpc.RpcError as error:
        return error.code()
    except grpc.FutureCancelledError:
        return grpc.StatusCode.CANCELLED


def _encode_crash(crash, fingerprints):
    age = max(0.0, time.monotonic() - crash.at)
    return messages.CrashNews(
        endpoint_id=crash.endpoint_id,
        age_ms=int(age * 1000),
        fingerprints=[bytes.fromhex(name) for name in fingerprints],
    )


def _decode_crash(message):
    crash = Crash(message.endpoint_id, time.monotonic() - message.age_ms / 1000)
    return crash, tuple(name.hex() for name in message.fingerprints)
