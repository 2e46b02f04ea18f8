"""Reads the journal records about a subject from the other nodes."""

import grpc

from sequoiaglade_decisions.journal import Decision, DecisionHistory
from sequoiaglade_protocol import journal_pb2, journal_pb2_grpc

from ..calls import open_channel

QUERY_TIMEOUT_SECONDS = 2.0
MAX_LINES = 2000


class JournalServicer(journal_pb2_grpc.JournalServicer):
    """Serves this node's records."""

    def __init__(self, journal):
        self._journal = journal

    def About(self, request, context):  # noqa: N802
        """Return the newest records about the subject."""
        lines = [d.encode() for d in self._journal.about(request.subject)]
        truncated = len(lines) > MAX_LINES
        return journal_pb2.JournalAnswer(lines=lines[-MAX_LINES:], truncated=truncated)


class JournalClient:
    """Collects the `DecisionHistory` of a subject from all nodes.

    `peers` returns a mapping of node id to peer address.
    """

    def __init__(self, journal, peers):
        self._journal = journal
        self._peers = peers

    def history(self, subject):
        """Return the `DecisionHistory` of a subject.

        It names the nodes that did not answer, and the former holders of claims that
        are no longer in the directory.
        """
        decisions = list(self._journal.about(subject))
        asked = {self._journal.node_id}
        missing = []
        shortened = []
        query = journal_pb2.JournalQuery(subject=subject)
        for node_id, call in [
            (node_id, _Call(address, query))
            for node_id, address in sorted(self._peers().items())
        ]:
            asked.add(node_id)
            with call:
                answer = call.result()
            if answer is None:
                missing.append(node_id)
                continue
            decisions += [Decision.decode(line) for line in answer.lines]
            if answer.truncated:
                shortened.append(node_id)
        missing += sorted(_holders(decisions) - asked)
        decisions.sort(key=lambda decision: decision.at)
        return DecisionHistory(subject, decisions, missing, tuple(shortened))


def _holders(decisions):
    return {d.inputs["holder"] for d in decisions if "holder" in d.inputs}


class _Call:
    """One call on its own channel, started immediately."""

    def __init__(self, address, query):
        self._channel = open_channel(address)
        stub = journal_pb2_grpc.JournalStub(self._channel)
        self._future = stub.About.future(query, timeout=QUERY_TIMEOUT_SECONDS)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._channel.close()

    def result(self):
        """Return the answer, or None if the call fails or times out."""
        try:
            return self._future.result()
        except grpc.RpcError:
            return None
