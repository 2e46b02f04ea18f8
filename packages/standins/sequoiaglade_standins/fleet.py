"""Starts stand-ins and nodes as separate processes, for scripts and tests.

A `Fleet` is a context manager: on exit it ends the processes that it started, and no
others.
"""

import contextlib
import hashlib
import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import urllib3
import yaml

from .links import FleetLinks
from .ports import PortBlock

START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 20.0
KEEP_SECONDS = 1.0
LOG_TAIL_CHARACTERS = 600
LOOPBACK = "127.0.0.1"


class EndpointPlan(NamedTuple):
    """Configuration of one stand-in endpoint."""

    name: str
    model: str | None = None
    service: str | None = None
    slots: int = 8
    token_seconds: float = 0.01
    failure_domain: str = "yard-a"
    checks_fencing: bool = False
    resumes: bool = False


class Process:
    """A process with its log file; a context manager that starts and stops it."""

    def __init__(self, name, arguments, folder, environment=None):
        self.name = name
        self.log_path = os.path.join(folder, f"{name}.log")
        self._arguments = arguments
        self._environment = {**os.environ, **(environment or {})}
        self._popen = None

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *exc_info):
        self.stop()

    @property
    def pid(self):
        """Process id."""
        return self._popen.pid

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self):
        """Exit code, or None while the process runs."""
        return self._popen.poll()

    def describe_state(self):
        """Return its name, its state and the tail of its log."""
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            tail = log.read()[-LOG_TAIL_CHARACTERS:]
        state = "runs" if self.is_running else f"ended with {self.exit_code}"
        return f"{self.name} {state}; the tail of its log: {tail}"

    def start(self):
        """Start the process."""
        with open(self.log_path, "ab") as log:
            self._popen = subprocess.Popen(
                self._arguments,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=self._environment,
            )

    def send(self, number):
        """Send a signal to the process."""
        self._popen.send_signal(number)

    def kill(self):
        """End the process with SIGKILL."""
        self.send(signal.SIGKILL)
        self._popen.wait()

    def begin_stop(self):
        """Send SIGTERM to the process, resuming it first if it is suspended."""
        if self.is_running:
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)

    def stop(self):
        """End the process with SIGTERM, or with SIGKILL after a timeout."""
        if not self.is_running:
            return
        self.begin_stop()
        try:
            self._popen.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()


class FleetNode(NamedTuple):
    """A node of a fleet with its addresses."""

    node_id: str
    url: str
    control_url: str
    peer: str
    process: Process


class FleetEndpoint(NamedTuple):
    """A stand-in endpoint of a fleet with its addresses."""

    plan: EndpointPlan
    url: str
    control_url: str
    process: Process


class Fleet:
    """A platform, endpoints and nodes on this machine.

    `settings` is merged into each node's settings. `document` maps section names to
    sections, without keys and endpoints, which the fleet adds; `key_by_workspace` holds
    the key generated for each workspace. With `has_links`, all connections that nodes
    open are forwarded over `links`, into which faults can be injected. With a
    `listen_host` other than loopback, nodes advertise their loopback addresses.
    """

    def __init__(
        self,
        node_count,
        endpoint_plans,
        document,
        settings=None,
        domains=("yard-a",),
        has_links=False,
        listen_host=LOOPBACK,
    ):
        self.operator_token = secrets.token_hex(16)
        self.key_by_workspace = {}
        self.nodes = []
        self.endpoints = []
        self.platform_url = None
        self.platform = None
        self._node_count = node_count
        self._plans = endpoint_plans
        self._document = document
        self._settings = settings or {}
        self._domains = domains
        self._listen_host = listen_host
        self.links = FleetLinks() if has_links else None
        self._stack = contextlib.ExitStack()
        self.http = urllib3.PoolManager(maxsize=64, retries=False, timeout=30.0)

    def __enter__(self):
        with contextlib.ExitStack() as stack:
            self.folder = stack.enter_context(
                tempfile.TemporaryDirectory(prefix="sequoiaglade-")
            )
            self._ports = stack.enter_context(PortBlock())
            if self.links is not None:
                stack.enter_context(self.links)
            self._start_standins(stack)
            for index in range(self._node_count):
                self.add_node(stack, index)
            self._stack = stack.pop_all()
        try:
            self._await_all()
            self.apply(self.full_document())
            self._await_revision()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exc_info):
        for node in self.nodes:
            node.process.begin_stop()
        self._stack.close()
        self.http.clear()

    def full_document(self):
        """Generate a key per workspace; return the document with keys and endpoints."""
        document = dict(self._document)
        keys = {}
        for workspace in document.get("workspaces", {}):
            key = "sg-" + secrets.token_hex(32)
            self.key_by_workspace[workspace] = key
            digest = hashlib.sha256(key.encode()).hexdigest()
            keys[f"{workspace}-key"] = {"workspace": workspace, "digest": digest}
        endpoints = {
            e.plan.name: _endpoint_section(e.plan, self._endpoint_url(e))
            for e in self.endpoints
        }
        return document | {"keys": keys, "endpoints": endpoints}

    def apply(self, sections, node=0):
        """Apply a complete document through a node; return the accepted revision."""
        text = yaml.safe_dump(sections)
        base = self.operator("GET", "configuration", node=node)["revision"]
        body = {"base": base, "document": text}
        return self.operator("PUT", "configuration", body, node=node)["revision"]

    def document(self, node=0):
        """Return the sections of the accepted document."""
        return self.operator("GET", "configuration", node=node)["document"]

    def operator(self, method, path, value=None, node=0):
        """Call the operator API of a node; raise RuntimeError unless it answers 200."""
        response = self.http.request(
            method,
            f"{self.nodes[node].control_url}/operator/{path}",
            body=None if value is None else json.dumps(value),
            headers={"Authorization": f"Bearer {self.operator_token}"},
        )
        if response.status != 200:
            raise RuntimeError(f"{path}: {response.status} {response.data.decode()}")
        return json.loads(response.data)

    def set_platform_faults(self, **faults):
        """Replace the current faults of the platform stand-in."""
        self._put(f"{self.platform_url}/faults", faults)

    def set_endpoint_faults(self, index, **faults):
        """Replace the current faults of an endpoint stand-in."""
        self._put(f"{self.endpoints[index].control_url}/faults", faults)

    def runs(self):
        """Return the recorded runs of all endpoints."""
        found = []
        for endpoint in self.endpoints:
            response = self.http.request("GET", f"{endpoint.control_url}/runs")
            found.extend(json.loads(response.data)["runs"])
        return found

    def platform_calls(self):
        """Return the counts of calls to the platform stand-in."""
        response = self.http.request("GET", f"{self.platform_url}/calls")
        return json.loads(response.data)

    def add_node(self, stack, index, **node_settings):
        """Start one more node; `node_settings` override the fleet's settings."""
        node_id = f"node-{index}"
        data, control, peer = self._ports.take(3)
        settings = {
            "node_id": node_id,
            "instance_id": node_id,
            "failure_domain": self._domains[index % len(self._domains)],
            "listen": _addresses(self._listen_host, data, control, peer),
            "platform_urls": [self._platform_url(node_id)],
            "operator_token_digest": _digest(self.operator_token),
            "keep_seconds": KEEP_SECONDS,
            **self._settings,
            **node_settings,
        }
        if self._listen_host != LOOPBACK:
            settings["advertise"] = _addresses(LOOPBACK, data, control, peer)
        path = os.path.join(self.folder, f"{node_id}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            yaml.safe_dump(settings, file)
        arguments = ["-m", "sequoiaglade_node.main", "--settings", path]
        environment = self.links.peer_environment(node_id) if self.links else None
        command = [sys.executable, *arguments]
        process = Process(node_id, command, self.folder, environment)
        stack.enter_context(process)
        node = FleetNode(
            node_id,
            f"http://127.0.0.1:{data}",
            f"http://127.0.0.1:{control}",
            f"127.0.0.1:{peer}",
            process,
        )
        self.nodes.append(node)
        return node

    def _platform_url(self, node_id):
        if self.links is None:
            return self.platform_url
        return self.links.open_platform(node_id, self.platform_url)

    def _endpoint_url(self, endpoint):
        if self.links is None:
            return endpoint.url
        return self.links.open_endpoint(endpoint.plan.name, endpoint.url)

    def _start_standins(self, stack):
        (port,) = self._ports.take(1)
        arguments = ["-m", "sequoiaglade_standins.platform", "--port", str(port)]
        self.platform = Process("platform", [sys.executable, *arguments], self.folder)
        stack.enter_context(self.platform)
        self.platform_url = f"http://127.0.0.1:{port}"
        for plan in self._plans:
            self.endpoints.append(self._start_endpoint(stack, plan))
        self.await_url(f"{self.platform_url}/calls", self.platform)
        for endpoint in self.endpoints:
            self.await_url(f"{endpoint.control_url}/crashes", endpoint.process)

    def _start_endpoint(self, stack, plan):
        port, control_port = self._ports.take(2)
        arguments = [
            *("-m", "sequoiaglade_standins.endpoint"),
            *("--port", str(port), "--control-port", str(control_port)),
            *("--name", plan.name, "--slots", str(plan.slots)),
            *("--token-seconds", str(plan.token_seconds)),
        ]
        if plan.checks_fencing:
            arguments.append("--checks-fencing")
        process = Process(plan.name, [sys.executable, *arguments], self.folder)
        stack.enter_context(process)
        url = f"http://127.0.0.1:{port}"
        return FleetEndpoint(plan, url, f"http://127.0.0.1:{control_port}", process)

    def _await_all(self):
        for node in self.nodes:
            self.await_url(f"{node.control_url}/healthz", node.process)

    def _await_revision(self):
        for node in self.nodes:
            self.await_url(f"{node.control_url}/readyz", node.process)

    def await_url(self, url, process, seconds=START_TIMEOUT_SECONDS):
        """Wait until a URL of a process answers 200.

        Raise RuntimeError as soon as the process has ended, and TimeoutError after
        `seconds`; both messages contain the tail of its log.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if not process.is_running:
                raise RuntimeError(f"{url}: {process.describe_state()}")
            try:
                if self.http.request("GET", url).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.05)
        text = f"{url} did not answer 200 within {seconds} s"
        raise TimeoutError(f"{text}: {process.describe_state()}")

    def _put(self, url, value):
        response = self.http.request("PUT", url, body=json.dumps(value))
        if response.status != 200:
            raise RuntimeError(f"{url}: {response.status}")


def _addresses(host, data, control, peer):
    names = {"data": data, "control": control, "peer": peer}
    return {name: f"{host}:{port}" for name, port in names.items()}


def _digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def _endpoint_section(plan, url):
    section = {
        "url": url,
        "failure_domain": plan.failure_domain,
        "slots": plan.slots,
        "checks_fencing": plan.checks_fencing,
        "resumes": plan.resumes,
    }
    if plan.model is not None:
        return section | {"model": plan.model}
    return section | {"service": plan.service}
