"""A platform stand-in in the test's own process, and the batch stores that use it."""

import contextlib
import threading

from sequoiaglade_node.batch import FileStore, JobStore, OpenJobIndex, WorkStore
from sequoiaglade_platform import PlatformClient
from sequoiaglade_standins.http import StandinServer
from sequoiaglade_standins.platform import PlatformHandler, PlatformState


class Stores:
    """The batch stores of one node."""

    def __init__(self, url, node_id):
        self.platform = PlatformClient(url, node_id)
        self.files = FileStore(self.platform)
        self.index = OpenJobIndex(self.platform)
        self.jobs = JobStore(self.platform, self.index)
        self.work = WorkStore(self.platform)


@contextlib.contextmanager
def local_platform():
    """Yield the state of a stand-in and its URL; stop the stand-in on exit."""
    state = PlatformState()
    with StandinServer(("127.0.0.1", 0), PlatformHandler, state) as server:
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        yield state, f"http://127.0.0.1:{server.server_address[1]}"
        server.shutdown()
