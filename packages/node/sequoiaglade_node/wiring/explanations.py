"""Starts the explanations of decisions for operators."""

from sequoiaglade_protocol import journal_pb2_grpc

from ..peers.journal import JournalClient, JournalServicer


def start_explanations(stack, parts):
    """Serve this node's journal to its peers and read theirs."""
    add = journal_pb2_grpc.add_JournalServicer_to_server
    parts.peer_services.append((add, JournalServicer(parts.journal)))

    def peers():
        parts.directory.refresh()
        return parts.directory.peer_address_by_id()

    parts.explanations = JournalClient(parts.journal, peers)
