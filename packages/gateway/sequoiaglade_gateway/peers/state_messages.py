"""The messages of nodes' states, each decoded or encoded once and then relayed."""

from .codec import decode_state, encode_state


class StateMessages:
    """The newest message of each node, by its id.

    In a large fleet each state arrives several times a second and is relayed as often.
    Relayed messages keep the fields of later releases, which this one doesn't know.
    """

    def __init__(self):
        self._message_by_id = {}

    def encode(self, states):
        """Return the messages of states, in order."""
        return [self._message_of(state) for state in states]

    def decode_new(self, messages):
        """Return the states of the messages that are newer than the known ones."""
        states = []
        for message in messages:
            known = self._message_by_id.get(message.node_id)
            if known is None or _version(known) < _version(message):
                states.append(decode_state(message))
                self._message_by_id[message.node_id] = message
        return states

    def keep_only(self, node_ids):
        """Forget the messages of all other nodes."""
        for node_id in set(self._message_by_id) - set(node_ids):
            self._message_by_id.pop(node_id, None)

    def _message_of(self, state):
        known = self._message_by_id.get(state.node_id)
        if known is not None and _version(known) == _version(state):
            return known
        message = encode_state(state)
        if known is None or _version(known) < _version(state):
            self._message_by_id[state.node_id] = message
        return message


def _version(state):
    return state.incarnation, state.sequence
