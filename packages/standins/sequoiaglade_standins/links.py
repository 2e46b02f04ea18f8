"""Network links between the processes of a fleet."""

from urllib.parse import urlsplit

from .relay import Relay


class FleetLinks:
    """Links from each node to the platform, to each peer and to the endpoints.

    Each node connects to its peers through its own proxy, so that each direction of
    each pair of nodes has its own link. A context manager that owns the relay.
    """

    def __init__(self):
        self._relay = Relay()
        self._platform_by_node = {}
        self._peer_by_pair = {}
        self._endpoint_by_name = {}

    def __enter__(self):
        self._relay.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._relay.__exit__(*exc_info)

    def open_platform(self, node_id, url):
        """Open a link from a node to the platform at `url`; return its address."""
        link = self._platform_by_node[node_id] = self._relay.link()
        return self._open(link, url)

    def open_endpoint(self, name, url):
        """Open a link from all nodes to the endpoint at `url`; return its address."""
        link = self._endpoint_by_name[name] = self._relay.link()
        return self._open(link, url)

    def peer_environment(self, node_id):
        """Return the environment variables that put a node's peer calls on links."""
        address = self._relay.proxy(lambda target: self._peer(node_id, target))
        return {"grpc_proxy": f"http://{address}", "no_grpc_proxy": "none.invalid"}

    def to_platform(self, node):
        """Return the link from a `FleetNode` to the platform."""
        return self._platform_by_node[node.node_id]

    def to_endpoint(self, name):
        """Return the link from all nodes to an endpoint."""
        return self._endpoint_by_name[name]

    def between(self, nodes, others):
        """Return the links from each of `nodes` to each of `others` and back."""
        pairs = [(a, b) for a in nodes for b in others if a is not b]
        there = [self._peer(a.node_id, b.peer) for a, b in pairs]
        back = [self._peer(b.node_id, a.peer) for a, b in pairs]
        return there + back

    def _open(self, link, url):
        return f"http://{self._relay.listen(link, urlsplit(url).netloc)}"

    def _peer(self, node_id, address):
        pair = (node_id, address)
        if pair not in self._peer_by_pair:
            self._peer_by_pair.setdefault(pair, self._relay.link())
        return self._peer_by_pair[pair]
