"""Shared parts of the review's scripts: nodes as processes, and sound stand-ins.

The nodes are started with the command of deploy/system.toml.  The store is the
project's own stand-in; servers and clients are small ones that follow the users' pages.
"""

from __future__ import annotations

import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from gevent import monkey  # noqa: E402

monkey.patch_all()

import gevent  # noqa: E402

from papayarelay.tests.platform_documents import (  # noqa: E402
    HOST,
    make_document,
    make_settings,
)
from papayarelay.tests.raw_server import RawServer, reset  # noqa: E402
from papayarelay.tests.store_standin import StoreStandIn  # noqa: E402

BROKEN, HELD, CANNOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_LIMIT_S = 30.0
HEARTBEAT_S = 0.4
ZONES = ("a", "b", "c")
KEY = "k1"


class CannotRunError(Exception):
    """The case could not be played."""


class Log:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._begun_s = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._begun_s:9.3f} {text}\n")
        self._file.flush()


class Node:
    """A node process on a loopback address of its own."""

    def __init__(self, name: str, ip: str, zone: str, store: str, folder: Path):
        self.name, self.ip, self.zone = name, ip, zone
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(make_settings(name, ip, zone, store))
        self.popen: subprocess.Popen | None = None

    @property
    def address(self) -> tuple[str, int]:
        return self.ip, 8227

    def start(self) -> None:
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PAPAYARELAY_CONFIG"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "-m", "papayarelay.platform"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: int) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()

    def ready(self, timeout_s: float = 1.0) -> bool:
        """Return whether the readiness probe gets a 200 in time."""
        try:
            with gevent.Timeout(timeout_s, TimeoutError):
                with socket.create_connection((self.ip, 8220), timeout_s) as sock:
                    sock.sendall(b"GET /papayarelay/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    return b" 200 " in sock.recv(100)
        except OSError:
            return False


class Server:
    """A backend server that registers itself in the store as the pages say."""

    def __init__(self, fleet: "Fleet", name: str, service: str, zone: str, script):
        self.fleet, self.id, self.service, self.zone = fleet, name, service, zone
        self.state = "ready"
        self.down = False
        self.born = int(time.time() * 1000)
        self._script = script
        self._raw = RawServer(self._serve)
        self.port = int(self._raw.address.rpartition(":")[2])
        self._sequence = 0
        self.extra: dict = {}
        self._beat = gevent.spawn(self._beats)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def _serve(self, request):
        expected = (request.get(b"X-Expect-Instance") or b"").decode()
        if expected and expected != self.id:
            request.sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "
                + (request.get(b"X-Attempt-Id") or b"")
                + b"\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return None
        return self._script(self, request)

    def register(self) -> None:
        self._sequence += 1
        self.fleet.store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "stage": "colocated",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "born": self.born,
                **self.extra,
            },
        )

    def _beats(self) -> None:
        while True:
            self.register()
            gevent.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """End at once: all channels are reset, nothing is deregistered."""
        self._beat.kill()
        self._raw.close()
        for sock in list(self._raw.sockets):
            reset(sock)

    def restart(self, name: str) -> None:
        """Begin a new lifetime at the same address."""
        self.id = name
        self.born = int(time.time() * 1000)
        self._raw = RawServer(self._serve, self.port)
        self._beat = gevent.spawn(self._beats)

    def close(self) -> None:
        self._beat.kill()
        self._raw.close()


class Fleet:
    """The store, the servers and the nodes of a small deployment."""

    def __init__(self, folder: Path):
        self.log = Log(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="papayarelay-review-"))
        self.store = StoreStandIn()
        self.nodes: list[Node] = []
        self.servers: list[Server] = []
        self._prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"

    def put_document(self, **changes) -> dict:
        document = make_document(**changes)
        self.store.put("op", "config", document)
        return document

    def add_server(self, name: str, service: str, zone: str, script) -> Server:
        server = Server(self, name, service, zone, script)
        self.servers.append(server)
        return server

    def start_nodes(self, count: int) -> None:
        for number in range(count):
            ip = f"{self._prefix}.{number + 1}"
            zone = ZONES[number % len(ZONES)]
            node = Node(f"n{number}", ip, zone, self.store.address, self.folder)
            self.nodes.append(node)
            node.start()
        self.wait_ready(self.nodes)

    def wait_ready(self, nodes) -> None:
        end_s = time.monotonic() + START_LIMIT_S
        while not all(node.ready() for node in nodes):
            if time.monotonic() > end_s:
                raise CannotRunError("the nodes are not ready in time")
            gevent.sleep(0.1)

    def close(self) -> None:
        keep = os.environ.get("REVIEW_KEEP")
        for node in self.nodes:
            node.kill()
        for server in self.servers:
            server.close()
        self.store.close()
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Channel:
    """A client's channel to a node, which it keeps for several requests."""

    def __init__(self, node: Node):
        self.node = node
        self._sock = socket.create_connection(node.address, 1.0)

    def close(self) -> None:
        self._sock.close()

    def request(
        self, method: str, path: str, attempt: str, deadline_s: float, headers=None,
        body: bytes = b"",
    ) -> tuple[int, dict, bytes]:
        """Send a request and return status, headers and the whole body.

        Raises ``OSError``, also ``TimeoutError`` after the client's deadline.
        """
        fields = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Key": KEY,
            "X-Deadline-Ms": str(int(deadline_s * 1000)),
            **(headers or {}),
        }
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n"
        with gevent.Timeout(deadline_s, TimeoutError):
            self._sock.sendall(head.encode() + body)
            return self._read()

    def _read(self) -> tuple[int, dict, bytes]:
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._more()
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        status = int(lines[0].split(" ")[1])
        if "chunked" in fields.get("transfer-encoding", ""):
            return status, fields, self._read_chunks(rest)
        size = int(fields.get("content-length", "0"))
        while len(rest) < size:
            rest += self._more()
        return status, fields, rest[:size]

    def _read_chunks(self, rest: bytes) -> bytes:
        body = b""
        while True:
            while b"\r\n" not in rest:
                rest += self._more()
            size, _, rest = rest.partition(b"\r\n")
            count = int(size, 16)
            while len(rest) < count + 2:
                rest += self._more()
            body, rest = body + rest[:count], rest[count + 2 :]
            if not count:
                return body

    def _more(self) -> bytes:
        data = self._sock.recv(65536)
        if not data:
            raise ConnectionError("closed by the node")
        return data


def attempt_id() -> str:
    return f"{random.getrandbits(64):016x}"


def sealed(request, body: bytes) -> bytes:
    """Return a whole answer of a server."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s.%s\r\n"
        b"Content-Length: %d\r\n\r\n%s"
        % (request.get(b"X-Attempt-Id"), request.get(b"X-Attempt-Id"), len(body), body)
    )


def run_case(folder: str, play) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if not, 2 if it can't."""
    code = CANNOT_RUN
    fleet = None
    try:
        with gevent.Timeout(112.0, CannotRunError("the case took too long")):
            fleet = Fleet(Path(folder))
            fleet.log(f"trouble: {TROUBLE}")
            code = BROKEN if play(fleet) else HELD
    except Exception:
        traceback.print_exc()
        if fleet is not None:
            fleet.log(traceback.format_exc())
        code = CANNOT_RUN
    finally:
        if fleet is not None:
            fleet.log(f"exit code {code}")
            fleet.close()
    sys.stdout.flush()
    os._exit(code)


__all__ = [
    "BROKEN", "Channel", "Fleet", "HOST", "KEY", "Log", "Node", "Server", "TROUBLE",
    "attempt_id", "gevent", "make_document", "reset", "run_case", "sealed",
]
