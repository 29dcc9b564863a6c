"""A complete system of processes on loopback for demo, benchmarks and tests."""

from __future__ import annotations

import hashlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from pathlib import Path

import msgspec
import urllib3

from .store.client import TableClient, Write

START_LIMIT_S = 30.0
STOP_LIMIT_S = 20.0
POLL_INTERVAL_S = 0.02
ANY_ADDRESS = "127.0.0.1:0"

MODEL = "prompt-1m"
OPERATOR_TOKEN = "local-operator-token"
DATA_CENTRES = ("dc1", "dc2", "dc3")
MEMBERS = {
    "engravers": {"share": 0.5, "organisations": ("front_desk", "workshop")},
    "dentists": {"share": 0.5, "organisations": ("travelling", "office")},
}
KINDS = {
    "tag_check": {
        "target": "engine",
        "idempotent": True,
        "deadline_s": 20,
        "priority": 0,
    },
    "archive_review": {
        "target": "engine",
        "idempotent": True,
        "deadline_s": 600,
        "priority": 3,
    },
    "engraving_job": {
        "target": "service",
        "idempotent": False,
        "deadline_s": 20,
        "priority": 0,
    },
}


def api_key(organisation: str) -> str:
    """Return the API key of an organisation of the local system."""
    return f"local-key-{organisation}"


def wait_for(condition: Callable[[], bool], limit_s: float, what: str) -> None:
    """Poll until a condition holds; raises ``TimeoutError`` after ``limit_s``."""
    end_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError(f"timed out after {limit_s:g} s waiting for: {what}")
        time.sleep(POLL_INTERVAL_S)


class Process:
    """A child process that runs a ``papayarelay`` subcommand."""

    def __init__(self, name: str, arguments: list[str], log_path: Path):
        self.name = name
        self.log_path = log_path
        self._log = log_path.open("ab")
        self._popen = subprocess.Popen(
            [sys.executable, "-m", "papayarelay", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def log_lines(self) -> list[dict]:
        """Return the JSON lines that the process has logged so far."""
        lines = self.log_path.read_text("utf-8", "replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._popen.poll()

    def read_line(self) -> dict:
        """Wait for the JSON line with the listening addresses and return it."""
        line = self._popen.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} exited before it was listening")
        return json.loads(line)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._popen.send_signal(number)

    def stop(self, number: int = signal.SIGTERM) -> int:
        """Send a signal and return the exit code; SIGKILL after STOP_LIMIT_S."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)
        try:
            code = self._popen.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self._popen.kill()
            code = self._popen.wait()
        self._popen.stdout.close()
        self._log.close()
        return code


class LocalSystem:
    """Nodes, simulated backends and platform services as processes on loopback.

    ``engine_arguments`` are additional command-line arguments of each engine.
    """

    def __init__(
        self,
        nodes: int = 2,
        engines: int = 3,
        services: int = 1,
        engine_arguments: tuple[str, ...] = (),
        settings: Mapping[str, object] | None = None,
    ):
        self.node_addresses: list[str] = []
        self.operator_addresses: list[str] = []
        self.engine_addresses: list[str] = []
        self.service_addresses: list[str] = []
        self.nodes: list[Process] = []
        self.engines: list[Process] = []
        self.store_address = ""
        self.vms_address = ""
        self._counts = (nodes, engines, services)
        self._engine_arguments = engine_arguments
        self._settings = dict(settings or {})
        self._directory = tempfile.TemporaryDirectory(prefix="papayarelay-")
        self._processes: list[Process] = []
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)

    def start(self) -> None:
        """Start all processes and wait until all nodes are ready."""
        nodes, engines, services = self._counts
        _, self.store_address = self._start_standin("tables")
        _, self.vms_address = self._start_standin("vms")
        for _ in range(engines):
            process, address = self._start_engine(ANY_ADDRESS)
            self.engines.append(process)
            self.engine_addresses.append(address)
        self.service_addresses = [
            self._start_standin("service")[1] for _ in range(services)
        ]
        write_config(f"http://{self.store_address}", self.document())
        for index in range(nodes):
            self.start_node(index)
        for address in self.node_addresses:
            wait_for(
                partial(self.is_ready, address),
                START_LIMIT_S,
                f"readiness of {address}",
            )

    def close(self) -> None:
        """Stop all processes, nodes first."""
        for process in reversed(self._processes):
            process.stop()
        self._http.clear()
        self._directory.cleanup()

    def document(self) -> dict:
        """Return the configuration document of this system."""
        return local_document(self.engine_addresses, self.service_addresses)

    def start_node(self, index: int) -> Process:
        """Start one node and wait until it listens."""
        directory = Path(self._directory.name)
        (directory / "cluster.key").write_text("0" * 64)
        (directory / "operator.token").write_text(OPERATOR_TOKEN)
        path = directory / f"node-{index + 1}.json"
        settings = {
            "name": f"node-{index + 1}",
            "data_centre": f"dc{index % 3 + 1}",
            "region": "r1",
            "caller_address": ANY_ADDRESS,
            "operator_address": ANY_ADDRESS,
            "node_address": ANY_ADDRESS,
            "store_url": f"http://{self.store_address}",
            "vms_url": f"http://{self.vms_address}",
            "vms_poll_interval_s": 1.0,
            "cluster_key_file": "cluster.key",
            "operator_token_file": "operator.token",
            "drain_grace_s": 0,
            **self._settings,
        }
        path.write_text(json.dumps(settings))
        process = self._start(f"node-{index + 1}", ["node", "--settings", str(path)])
        self.nodes.append(process)
        addresses = process.read_line()
        self.node_addresses.append(addresses["callers"])
        self.operator_addresses.append(addresses["operators"])
        self._register_vm(settings, addresses["nodes"])
        return process

    def restart_engine(self, index: int) -> None:
        """Kill an engine and restart it at its address."""
        self.engines[index].stop(signal.SIGKILL)
        address = self.engine_addresses[index]
        self.engines[index], _ = self._start_engine(address)

    def _register_vm(self, settings: Mapping[str, object], address: str) -> None:
        """Register a node in the VM list."""
        fields = {
            "address": address,
            "data_centre": settings["data_centre"],
            "region": settings["region"],
        }
        url = f"http://{self.vms_address}/vms/{settings['name']}"
        self._http.request("PUT", url, json=fields)

    def start_engine(self, *arguments: str) -> str:
        """Start an engine and return its address."""
        return self._start_standin("engine", *arguments)[1]

    def wait_for_version(self, operator_address: str, version: int) -> None:
        """Wait until a node has applied a configuration version."""
        wait_for(
            lambda: (
                self.get(operator_address, "/operator/status")["config_version"]
                >= version
            ),
            START_LIMIT_S,
            f"configuration version {version}",
        )

    def is_ready(self, address: str) -> bool:
        """Return whether the readiness check of a node succeeds."""
        try:
            return self._http.request("GET", f"http://{address}/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def get(self, address: str, path: str) -> dict:
        """Send GET to a simulated server or operator API; return the response."""
        response = self._http.request(
            "GET",
            f"http://{address}{path}",
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        return msgspec.json.decode(response.data)

    def post(self, address: str, path: str, fields: Mapping[str, object]) -> int:
        """Send JSON to a simulated server or an operator API; return the status."""
        response = self._http.request(
            "POST",
            f"http://{address}{path}",
            json=fields,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        return response.status

    def _start_engine(self, listen: str) -> tuple[Process, str]:
        return self._start_standin("engine", *self._engine_arguments, listen=listen)

    def _start_standin(
        self, kind: str, *arguments: str, listen: str = ANY_ADDRESS
    ) -> tuple[Process, str]:
        command = ["standin", kind, "--listen", listen, *arguments]
        process = self._start(kind, command)
        return process, process.read_line()["listening"]

    def _start(self, name: str, arguments: list[str]) -> Process:
        log_path = Path(self._directory.name) / f"{name}.log"
        process = Process(name, arguments, log_path)
        self._processes.append(process)
        return process


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def local_document(engines: Sequence[str], services: Sequence[str]) -> dict:
    """Return a configuration for backends at these ``host:port`` addresses."""
    kinds = {
        name: kind
        for name, kind in KINDS.items()
        if services or kind["target"] == "engine"
    }
    backends = {
        f"engine-{index + 1}": _backend(index, address) | {"models": [MODEL]}
        for index, address in enumerate(engines)
    } | {
        f"service-{index + 1}": _backend(index, address)
        | {"target": "service", "kinds": ["engraving_job"]}
        for index, address in enumerate(services)
    }
    return {
        "members": {name: _member(member) for name, member in MEMBERS.items()},
        "kinds": kinds,
        "data_centres": {name: {"region": "r1"} for name in DATA_CENTRES},
        "backends": backends,
        "models": {MODEL: {"context_tokens": 1_100_000}},
        "limits": {},
    }


def write_config(
    store_url: str, document: Mapping[str, object], version: int = 1
) -> None:
    """Write a configuration document to the table service."""
    client = TableClient(store_url)
    client.start()
    rows = {name: json.dumps(section) for name, section in document.items()}
    rows["version"] = str(version)
    writes = [Write(f"config/{name}", text.encode()) for name, text in rows.items()]
    client.transact([], writes)
    client.close()


def _backend(index: int, address: str) -> dict:
    return {
        "target": "engine",
        "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
        "url": f"http://{address}",
    }


def _member(member: Mapping[str, object]) -> dict:
    organisations = {
        name: {"key_sha256": [_digest(api_key(name))]}
        for name in member["organisations"]
    }
    return {"share": member["share"], "organisations": organisations}
