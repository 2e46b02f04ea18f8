"""Encoding of changes in the store as messages of the protocol between nodes."""

import json

from sequoiaglade_decisions.gateway import KindUpdate
from sequoiaglade_platform import Document
from sequoiaglade_protocol import fleet_pb2


def encode_poll(revision_by_kind, optional_revision_by_kind):
    """Return the message that asks for changes since revisions, None for all.

    The optional kinds are those that an older release does not know.

    >>> decode_poll(encode_poll({"endpoints": 7}, {"evacuations": None}))
    ({'endpoints': 7}, {'evacuations': None})
    """
    return fleet_pb2.StorePoll(
        kinds=_encode_revisions(revision_by_kind),
        optional_kinds=_encode_revisions(optional_revision_by_kind),
    )


def decode_poll(message):
    """Return the revisions by kind of a message, and those of the optional kinds."""
    return _decode_revisions(message.kinds), _decode_revisions(message.optional_kinds)


def _encode_revisions(revision_by_kind):
    return [
        fleet_pb2.KindPoll(kind=kind, revision=revision or 0)
        for kind, revision in revision_by_kind.items()
    ]


def _decode_revisions(rows):
    return {row.kind: row.revision or None for row in rows}


def encode_updates(is_following, update_by_kind):
    """Return the message for the result of `StoreUpdates.after`."""
    return fleet_pb2.StoreUpdate(
        is_following=bool(is_following),
        has_outage=is_following is False,
        kinds=[
            fleet_pb2.KindChanges(
                kind=kind,
                revision=update.revision,
                is_list=update.is_list,
                changes=[_encode_change(*change) for change in update.changes],
            )
            for kind, update in update_by_kind.items()
        ],
    )


def decode_updates(message):
    """Return the result of `StoreUpdates.after` at the called node.

    >>> changes = [("a", Document("a", 7, {"Port": 1})), ("b", None)]
    >>> update_by_kind = {"endpoints": KindUpdate(9, False, changes)}
    >>> message = encode_updates(True, update_by_kind)
    >>> decode_updates(message) == (True, update_by_kind)
    True
    >>> [decode_updates(encode_updates(answer, {}))[0] for answer in (False, None)]
    [False, None]
    """
    is_following = True if message.is_following else None
    if message.has_outage:
        is_following = False
    return is_following, {
        row.kind: KindUpdate(
            row.revision, row.is_list, [_decode_change(c) for c in row.changes]
        )
        for row in message.kinds
    }


def _encode_change(name, document):
    if document is None:
        return fleet_pb2.ChangedDocument(name=name)
    value = json.dumps(document.value).encode()
    return fleet_pb2.ChangedDocument(name=name, revision=document.revision, value=value)


def _decode_change(row):
    if not row.value:
        return row.name, None
    return row.name, Document(row.name, row.revision, json.loads(row.value))
