"""Cost of membership and configuration on a node at several fleet sizes.

Messages are encoded and decoded; protocol overhead of the network is not counted.
"""

import random
import sys
import time
from types import SimpleNamespace

import yaml

from sequoiaglade_decisions.configuration import (
    EMPTY_SNAPSHOT,
    Document,
    Revision,
    Root,
    make_patch,
    make_snapshot,
    patch_if_small,
    section_digest,
)
from sequoiaglade_decisions.membership import FANOUT, Members, PeerState
from sequoiaglade_node.configuration import Held, load
from sequoiaglade_node.configuration.acceptance import check_operators_document, plain
from sequoiaglade_node.configuration.store import (
    REVISION_KIND,
    section_bytes,
)
from sequoiaglade_node.peers.codec import decode_marks, decode_states, encode_digest

NODE_COUNTS = (8, 50, 370)
WORKSPACE_COUNTS = (8, 50, 250)
KEYS_PER_WORKSPACE = 4
ENDPOINTS_PER_WORKSPACE = 1900 / 250
ENDPOINTS_IN_FLIGHT = 100
ROUNDS = 30
CHANGES_PER_DAY = 3400
SECONDS_PER_DAY = 86_400
REPEATS = 5
MILLIS = 1000


def run(options):
    """Return the cost of gossip by node count and of changes by workspace count."""
    return {
        "gossip": {count: _gossip(count, options.seed) for count in NODE_COUNTS},
        "configuration": {count: _change(count) for count in WORKSPACE_COUNTS},
    }


def _gossip(count, seed):
    """Run gossip among `count` nodes; return the cost per node and second."""
    generator = random.Random(seed)
    ids = [f"node-{number:03d}" for number in range(count)]
    nodes = {node_id: Members(node_id, generator) for node_id in ids}
    for members in nodes.values():
        members.set_announced(ids, 0.0)
    endpoints = [f"runner-{number:04d}" for number in range(ENDPOINTS_IN_FLIGHT)]
    in_flight = {
        endpoint_id: (generator.randrange(1, 9), 1) for endpoint_id in endpoints
    }
    stopped_id = generator.choice(ids)
    sent = 0
    started_at = time.process_time()
    for number in range(ROUNDS):
        for node_id in ids:
            if node_id != stopped_id or number < ROUNDS // 2:
                for peer in nodes[node_id].choose_peers(number):
                    if peer == stopped_id and number >= ROUNDS // 2:
                        nodes[node_id].note_no_answer(peer, number, number)
                        continue
                    for sender, receiver in ((node_id, peer), (peer, node_id)):
                        sent += _send(nodes, sender, receiver, number, in_flight)
            nodes[node_id].live(number)
    seconds = time.process_time() - started_at
    return {
        "bytes_sent_per_second": round(sent / ROUNDS / count),
        "cpu_percent": round(100 * seconds / ROUNDS / count, 3),
        "exchanges_begun_per_second": FANOUT,
        "state_bytes": _size(nodes[ids[0]]),
        "nodes_that_know_of_the_gone": sum(
            stopped_id in members.unusable() for members in nodes.values()
        ),
    }


def _send(nodes, sender, receiver, now, in_flight):
    state = PeerState(sender, 1, now, False, 100, 0.5, in_flight)
    data = encode_digest(state, nodes[sender].marks(now)).SerializeToString()
    digest = type(encode_digest(state, [])).FromString(data)
    for received in decode_states(digest):
        nodes[receiver].observe_state(received, now)
    nodes[receiver].observe_marks(decode_marks(digest), now)
    return len(data)


def _size(value, seen=None):
    """Return the bytes of a value and of all objects it references, each once."""
    seen = set() if seen is None else seen
    if id(value) in seen or isinstance(value, (type, random.Random)):
        return 0
    seen.add(id(value))
    size = sys.getsizeof(value)
    if isinstance(value, dict):
        return size + sum(_size(k, seen) + _size(v, seen) for k, v in value.items())
    if isinstance(value, (tuple, list, set, frozenset)):
        return size + sum(_size(item, seen) for item in value)
    return size + (_size(vars(value), seen) if hasattr(value, "__dict__") else 0)


def _change(count):
    """Return the cost of adding one key to a document of `count` workspaces."""
    old = Document.model_validate(_sections(count))
    key = {"workspace": "workspace-000", "digest": section_digest(b"added")}
    new = old.model_copy(update={"keys": old.keys | Document(keys={"added": key}).keys})
    before, after = _held(1, old, None, None), None
    patch = patch_if_small(make_patch(plain(old), plain(new)))
    after = _held(2, new, before.root.revision, patch)
    contents = {before.root.revision: before, after.root.revision: after}
    text = _yaml(plain(new))
    return {
        "document_bytes": len(text),
        "revision_bytes": len(after.revision.encode()),
        "check_ms": _cost(lambda: check_operators_document(text)),
        "plan_ms": _cost(lambda: make_patch(plain(old), plain(new))),
        "load_changed_ms": _cost(
            lambda: load(_content_source(contents), after.root, before)
        ),
        "load_whole_ms": _cost(
            lambda: load(_content_source(contents), after.root, _EMPTY),
        ),
        "reads_per_node": _reads(contents, after.root, before),
        "bytes_per_second_per_node": round(
            len(after.revision.encode()) * CHANGES_PER_DAY / SECONDS_PER_DAY, 1
        ),
    }


def _sections(count):
    names = [f"workspace-{number:03d}" for number in range(count)]
    keys = {
        f"{name}-{number}": {
            "workspace": name,
            "digest": section_digest(f"{name}/{number}".encode()),
        }
        for name in names
        for number in range(KEYS_PER_WORKSPACE)
    }
    endpoints = {
        f"runner-{number:04d}": {
            "url": f"http://10.0.{number // 256}.{number % 256}:8000",
            "failure_domain": f"domain-{number % 7}",
            "model": f"model-{number % 5}",
        }
        for number in range(int(count * ENDPOINTS_PER_WORKSPACE))
    }
    return {
        "workspaces": {name: {"tier": "paying"} for name in names},
        "keys": keys,
        "rates": {name: {"rate": 100, "burst": 100} for name in names},
        "models": {f"model-{number}": {} for number in range(5)},
        "endpoints": endpoints,
        "routes": {f"route-{n}": {"model": f"model-{n}"} for n in range(5)},
    }


def _held(number, document, parent, patch):
    digests = {
        name: section_digest(section_bytes(document, name))
        for name in Document.model_fields
    }
    revision = Revision(number, digests, parent, "root", 0.0, f"c-{number}", patch)
    root = Root(number, section_digest(revision.encode()))
    return Held(root, revision, make_snapshot(number, document))


_EMPTY = Held(Root(0, ""), Revision(0, {}, None, "", 0.0), EMPTY_SNAPSHOT)


def _content_source(contents, kinds_read=None):
    def content(kind, digest):
        if kinds_read is not None:
            kinds_read.append(kind)
        if kind == REVISION_KIND:
            return contents[digest].revision.encode()
        for held in contents.values():
            for name, named in held.revision.digest_by_section.items():
                if named == digest:
                    return section_bytes(held.snapshot.document, name)
        raise KeyError(digest)

    return SimpleNamespace(content=content)


def _reads(contents, root, held):
    """Return how many objects a follower reads from the platform, with the root."""
    kinds_read = []
    load(_content_source(contents, kinds_read), root, held)
    return 1 + len(kinds_read)


def _cost(function):
    started_at = time.process_time()
    for _ in range(REPEATS):
        function()
    return round(MILLIS * (time.process_time() - started_at) / REPEATS, 1)


def _yaml(sections):
    return yaml.dump(sections, Dumper=getattr(yaml, "CSafeDumper", yaml.SafeDumper))
