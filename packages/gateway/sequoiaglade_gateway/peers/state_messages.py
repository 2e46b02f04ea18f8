"""The messages of nodes' states, each decoded or encoded once and then relayed."""

from .codec import decode_state, encode_state
from .limit_codec import MS_PER_SECOND


class StateMessages:
    """The newest message of each node, by its id.

    In a large fleet each state arrives several times a second and is relayed as often.
    Relayed messages keep the fields of later releases, which this one doesn't know.
    """

    def __init__(self):
        # The version and the message of each node's newest state.
        self._known_by_id = {}

    def encode(self, states):
        """Return the messages of states, in order."""
        return [self._message_of(state) for state in states]

    def decode_new(self, digest):
        """Return the states of a `FleetDigest` that are newer than the known ones.

        The result is a pair of their list and of their ages in seconds by node id, as
        far as the digest has these.
        """
        states, age_by_id = [], {}
        ages_ms = digest.ages_ms
        for index, message in enumerate(digest.nodes):
            node_id, version = message.node_id, _version(message)
            known = self._known_by_id.get(node_id)
            if known is None or known[0] < version:
                states.append(decode_state(message))
                self._known_by_id[node_id] = version, message
                if index < len(ages_ms):
                    age_by_id[node_id] = ages_ms[index] / MS_PER_SECOND
        return states, age_by_id

    def keep_only(self, node_ids):
        """Forget the messages of all other nodes."""
        for node_id in set(self._known_by_id) - set(node_ids):
            self._known_by_id.pop(node_id, None)

    def _message_of(self, state):
        known, version = self._known_by_id.get(state.node_id), _version(state)
        if known is not None and known[0] == version:
            return known[1]
        message = encode_state(state)
        if known is None or known[0] < version:
            self._known_by_id[state.node_id] = version, message
        return message


def _version(state):
    return state.incarnation, state.sequence
