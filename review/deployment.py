"""A small deployment for the review's scripts, on loopback addresses.

The gateways are the program of the deploy file, with settings rendered from its
template. The store is the project's emulator, with the limit on the size of objects
that the platform has. Runner and client are written for the review.
"""

import base64
import contextlib
import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "target" / "deps")]
sys.path += sorted(map(str, (ROOT / "packages").iterdir()))

from emulator.store import EmulatedStore  # noqa: E402

HOST = "desk.example"
SERVICE = "writer"
TENANT = "yard"
KEY = "key-of-yard"
VALUE_BYTES = 1_048_576
START_SECONDS = 30.0
PORTS = {"Front": 8689, "Ready": 8687, "Control": 8683, "Directory": 8682}
METRICS_PORT = 7361
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be played; nothing is known of the rule."""


class Record:
    """Writes what is sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def __call__(self, text):
        seconds = time.monotonic() - self._began_at
        with self._lock:
            self._file.write(f"{seconds:8.3f} s  {text}\n")
            self._file.flush()


class Store(EmulatedStore):
    """The project's emulated store; it refuses objects over `ValueBytes`."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.refused_sizes = []

    def handle(self, handler, body):
        """Respond to a call."""
        if handler.command in ("POST", "PUT") and len(body) > VALUE_BYTES:
            self.refused_sizes.append(len(body))
            if len(self.refused_sizes) <= 20:
                self._record(
                    f"store: {handler.command} {handler.path} of {len(body)} bytes "
                    f"is over ValueBytes {VALUE_BYTES}: 413"
                )
            return handler.respond(413)
        return super().handle(handler, body)


class _RunnerHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def do_POST(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        with contextlib.suppress(OSError):
            self.server.owner.answer(self, body)

    def refuse(self, status):
        self.send_response(status)
        self.send_header("Not-Run", "1")
        self.send_header("Content-Length", "0")
        self.end_headers()


class Runner:
    """A runner that answers a request with the events of `events_of(request_id)`.

    `note(event, runner, headers)` is told of each run's begin and whole end.
    """

    def __init__(
        self,
        store,
        name,
        events_of,
        note,
        slots=8,
        event_seconds=0.005,
        version="v1",
        service=SERVICE,
    ):
        self._store = store
        self.version = version
        self.service = service
        self._born = int(time.time() * 1000)
        self.name = name
        self._events_of = events_of
        self._note = note
        self._event_seconds = event_seconds
        self._slots = threading.Semaphore(slots)
        self._slot_count = slots
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), _RunnerHandler)
        self._server.daemon_threads = True
        self._server.handle_error = lambda *args: None
        self._server.owner = self
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def __enter__(self):
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self.register("ready")
        return self

    def __exit__(self, *exc_info):
        self._server.shutdown()
        self._server.server_close()

    def register(self, state):
        """Write the runner's entry to the store."""
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": self.version,
            "Slots": self._slot_count,
            "State": state,
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": self._born,
        }
        self._store.put("servers", self.name, entry)

    def answer(self, handler, body):
        """Answer one request, or refuse it."""
        headers = handler.headers
        if headers.get("Expect-Instance") not in (None, self.name):
            return handler.refuse(421)
        if not self._slots.acquire(timeout=2.0):
            return handler.refuse(503)
        try:
            self._run(handler, headers)
        finally:
            self._slots.release()

    def _run(self, handler, headers):
        request_id = headers["Request-Id"]
        after = int(headers.get("Last-Event-Id") or 0)
        self._note("began", self, headers)
        handler.send_response(200)
        handler.send_header("Request-Id", request_id)
        handler.send_header("Server-Stamp", f"stamp-{request_id}")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number, text in enumerate(self._events_of(request_id), 1):
            if number <= after:
                continue
            time.sleep(self._event_seconds)
            data = f"id: {number}\ndata: {text}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            handler.wfile.flush()
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()
        self._note("ended", self, headers)


class Gateway:
    """One process of the role `gateway`."""

    def __init__(self, folder, name, fields):
        self.name = name
        self.fields = fields
        self._path = Path(folder) / f"{name}.yaml"
        self._log_path = Path(folder) / f"{name}.log"
        self.process = None

    @property
    def front(self):
        """The address for clients."""
        return self.fields["Listen"]["Front"]

    def start(self):
        """Start the process with the command of the deploy file."""
        template = (ROOT / "deploy" / "node.yaml").read_text(encoding="utf-8")
        self._path.write_text(render(template, self.fields), encoding="utf-8")
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SEQUOIAGLADE_BOOT"] = str(self._path)
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/launch.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def stop(self):
        """End the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.kill()

    def is_ready(self):
        """Return whether the process says that it is ready."""
        try:
            status, _ = call(self.fields["Listen"]["Ready"], "GET", "/v1/ready")
        except (OSError, http.client.HTTPException):
            return False
        return status == 200

    def peers(self):
        """Return how many gateways the directory of this one names."""
        try:
            address = self.fields["Listen"]["Directory"]
            status, body = call(address, "GET", f"/v1/resolve?Name={HOST}&Zone=zone-a")
        except (OSError, http.client.HTTPException):
            return 0
        return len(json.loads(body)["Addresses"]) if status == 200 else 0

    def wait_ready(self):
        """Wait until the process is ready."""
        until = time.monotonic() + START_SECONDS
        while not self.is_ready():
            if self.process.poll() is not None or time.monotonic() > until:
                log = self._log_path.read_text(encoding="utf-8", errors="replace")
                raise CannotRunError(f"{self.name} is not ready: {log[-500:]}")
            time.sleep(0.05)


class Deployment:
    """Store, gateways and runners; a context manager that ends all of them."""

    def __init__(
        self,
        gateway_count,
        record,
        routes,
        rate=0,
        burst=0,
        memory_mb=150,
        services=(SERVICE,),
    ):
        self.record = record
        self._gateway_count = gateway_count
        self._routes = routes
        self._rate, self._burst = rate, burst
        self._memory_mb = memory_mb
        self._services = services
        self._stack = contextlib.ExitStack()
        self.gateways = []

    def __enter__(self):
        with self._stack as stack:
            self.folder = stack.enter_context(tempfile.TemporaryDirectory())
            self.store = stack.enter_context(Store(self.record))
            self.store.put("config", "main", self._configuration())
            self._network = free_network(self._gateway_count)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def enter(self, manager):
        """Own a further context manager, such as a runner."""
        return self._stack.enter_context(manager)

    def start_gateways(self, store_addresses=None, seeds=None):
        """Start all gateways and wait until they know each other."""
        ips = [f"{self._network}.{n + 1}" for n in range(self._gateway_count)]
        seeds = seeds or [f"{ip}:{PORTS['Control']}" for ip in ips[:3]]
        for number, ip in enumerate(ips):
            address = (store_addresses or {}).get(number, self.store.address)
            fields = self._fields(number, ip, address, seeds)
            gateway = Gateway(self.folder, fields["NodeName"], fields)
            self._stack.callback(gateway.stop)
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()
        until = time.monotonic() + START_SECONDS
        while any(g.peers() < self._gateway_count for g in self.gateways):
            if time.monotonic() > until:
                raise CannotRunError("the gateways do not know each other")
            time.sleep(0.1)
        for gateway in self.gateways:
            gateway.fields["Bootstrap"] = False
        self.record(f"{self._gateway_count} gateways are ready: {ips}")

    def _fields(self, number, ip, store_address, seeds):
        return {
            "NodeName": f"front-zone-a-{number + 1}",
            "Zone": "zone-a",
            "Ip": ip,
            "Listen": {name: f"{ip}:{port}" for name, port in PORTS.items()},
            "Platform": {"Address": store_address, "ValueBytes": VALUE_BYTES},
            "Seeds": seeds,
            "Bootstrap": True,
            "Bounds": {"GraceS": 8, "DrainMs": 2000},
            "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": self._memory_mb},
        }

    def _configuration(self):
        return {
            "Version": 7,
            "Routes": self._routes,
            "Services": [
                {"Name": name, "MaxConnections": 370} for name in self._services
            ],
            "Tenants": [
                {
                    "Name": TENANT,
                    "ApiKeys": [KEY],
                    "RatePerS": self._rate,
                    "Burst": self._burst,
                }
            ],
            "Limits": {
                "HeaderBytes": 65_536,
                "BodyBytes": 4_194_304,
                "HeaderTimeoutMs": 10_000,
                "IdleTimeoutMs": 30_000,
            },
        }


def route(name, kind, **fields):
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "Service": SERVICE,
        "TimeoutMs": 15_000 if kind == "batch" else 5000,
        "SloMs": 400 if kind == "batch" else 300,
        "Attempts": 3 if kind == "batch" else 2,
        "Priority": 2 if kind == "batch" else 0,
        "Sticky": True,
        **fields,
    }


BATCH_ROUTE = route("notes", "batch", RunTargetMs=18_000, RetentionS=60, Cap=820_000)


def render(template, fields):
    """Fill in a template of the deploy file with values as JSON or as text."""

    def value_of(match):
        value = fields
        for part in match[1].split("."):
            value = value[part]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([A-Za-z.]+)(\|json)?\}\}", value_of, template)


def free_network(count):
    """Return the first three parts of loopback addresses whose ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        if all(_is_free(f"{network}.{n + 1}") for n in range(count)):
            return network
    raise CannotRunError("no free loopback addresses")


def _is_free(ip):
    for port in (*PORTS.values(), METRICS_PORT):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def call(address, method, path, body=None, headers=None, seconds=5.0):
    """Make a call on a new connection; return status and body."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    with contextlib.closing(connection):
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read()


def client_headers(request_id=None, **more):
    """Return the headers of a client's call."""
    named = {
        "Host": HOST,
        "Key": KEY,
        "Request-Id": request_id or uuid.uuid4().hex[:16],
    }
    return {**named, **more}


def make_items(count, body=b"{}", tokens=940, prefix="notes"):
    """Return the items of a batch job."""
    items = []
    for _ in range(count):
        item_id = uuid.uuid4().hex[:16]
        items.append(
            {
                "Id": item_id,
                "Path": f"/{prefix}/{item_id[:4]}",
                "Headers": {"Model": "m", "Token-Count": f"{tokens - 400},400"},
                "Body": base64.b64encode(body).decode(),
                "Tokens": tokens,
            }
        )
    return items


def submit(gateways, items, record, job_id=None, seconds=20.0):
    """Submit a batch job, again at another gateway until a 202; return its id."""
    job_id = job_id or uuid.uuid4().hex[:16]
    body = json.dumps({"Items": items})
    headers = client_headers(job_id, **{"Content-Type": "application/json"})
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        gateway = random.choice(gateways)
        try:
            status, _ = call(gateway.front, "POST", f"/notes/{job_id}", body, headers)
        except (OSError, http.client.HTTPException) as error:
            status = repr(error)
        record(
            f"client: job {job_id} of {len(items)} items at {gateway.name}: {status}"
        )
        if status == 202:
            return job_id
        time.sleep(0.5)
    raise CannotRunError(f"job {job_id} was not accepted")


def read_results(gateways, job_id, after=0):
    """Read results once; return total and results, None without a 200."""
    gateway = random.choice(gateways)
    try:
        path = f"/v1/lots/{job_id}?After={after}"
        status, body = call(gateway.front, "GET", path, headers=client_headers())
    except (OSError, http.client.HTTPException):
        return None
    if status != 200:
        return None
    answer = json.loads(body)
    return answer["Total"], answer["Results"]


def read_all(gateways, job_id, count, seconds):
    """Read until all results are listed or the time is over; return the results."""
    until, results = time.monotonic() + seconds, []
    while len(results) < count and time.monotonic() < until:
        found = read_results(gateways, job_id, len(results))
        if found and found[1]:
            results += found[1]
        else:
            time.sleep(0.4)
    return results


def main(folder, play):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    `play(record)` returns the sentences that tell how the rule was broken.
    """
    # Ends the processes of the case also if it is stopped.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record(folder)
    record(f"TROUBLE={int(HAS_TROUBLE)}")
    try:
        breaks = play(record)
    except CannotRunError as error:
        record(f"the case could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    except Exception as error:  # noqa: BLE001
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaks:
        record(f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    record("the rule was broken" if breaks else "the rule held")
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)
