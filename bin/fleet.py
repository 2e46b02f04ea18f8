"""Starts the restockers' sample deployment and runs it until interrupted."""

import argparse
import json
import signal
import threading

from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.samples import restockers_document, restockers_endpoints


def main():
    """Print the addresses and keys as one line of JSON, then wait for a signal."""
    parser = argparse.ArgumentParser(description="a fleet on this machine")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--endpoints", type=int, default=4)
    options = parser.parse_args()
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    plans = restockers_endpoints(options.endpoints)
    with Fleet(options.nodes, plans, restockers_document()) as fleet:
        line = {
            "nodes": [node.url for node in fleet.nodes],
            "control": [node.control_url for node in fleet.nodes],
            "platform": fleet.platform_url,
            "endpoints": [endpoint.control_url for endpoint in fleet.endpoints],
            "operator_token": fleet.operator_token,
            "keys": fleet.key_by_workspace,
        }
        print(json.dumps(line), flush=True)
        stop.wait()


if __name__ == "__main__":
    main()
