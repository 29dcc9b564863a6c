"""A complete system in the test process: nodes and stand-ins on loopback."""

from __future__ import annotations

import contextlib
import io
import tempfile
import time
from pathlib import Path

from ..local import MODEL, OPERATOR_TOKEN, local_document, wait_for, write_config
from ..node import Node
from ..settings import Settings
from ..standins.engine import EngineStandIn
from ..standins.model import EngineSettings
from ..standins.service import ServiceStandIn
from ..standins.tables import TablesStandIn
from ..standins.vms import Vm, VmListStandIn

FAST_ENGINE = EngineSettings(prefill_tokens_per_s=1_000_000.0, step_overhead_s=0.001)
START_LIMIT_S = 15.0
SEED = 11

__all__ = ["MODEL", "System", "wait_for"]


class System:
    """Context manager that runs nodes and stand-ins."""

    def __init__(
        self,
        nodes: int = 1,
        engines: int = 2,
        services: int = 1,
        engine_settings: EngineSettings = FAST_ENGINE,
        **settings: object,
    ):
        self.tables = TablesStandIn()
        self.vms = VmListStandIn()
        self.engines = [EngineStandIn(settings=engine_settings) for _ in range(engines)]
        self.services = [ServiceStandIn() for _ in range(services)]
        self.nodes: list[Node] = []
        self._nodes_count = nodes
        self._settings = settings
        self._directory = tempfile.TemporaryDirectory(prefix="papayarelay-test-")

    def __enter__(self) -> System:
        for standin in (self.tables, self.vms, *self.engines, *self.services):
            standin.start()
        write_config(f"http://{self.tables.address}", self.document())
        for index in range(self._nodes_count):
            self.start_node(index)
        return self

    def __exit__(self, *error: object) -> None:
        for node in self.nodes:
            node.close()
        for standin in (*self.engines, *self.services, self.vms, self.tables):
            standin.close()
        self._directory.cleanup()

    def document(self) -> dict:
        """Return the configuration document."""
        return local_document(
            [engine.address for engine in self.engines],
            [service.address for service in self.services],
        )

    def start_node(self, index: int) -> Node:
        """Start a node and add its VM to the VM list."""
        key_file = Path(self._directory.name) / "cluster.key"
        key_file.write_text("0" * 64)
        options = {
            "name": f"node-{index + 1}",
            "data_centre": f"dc{index % 3 + 1}",
            "region": "r1",
            "store_url": f"http://{self.tables.address}",
            "vms_url": f"http://{self.vms.address}",
            "cluster_key_file": str(key_file),
            "caller_address": "127.0.0.1:0",
            "operator_address": "127.0.0.1:0",
            "node_address": "127.0.0.1:0",
            "vms_poll_interval_s": 0.2,
            "config_poll_interval_s": 0.5,
            "drain_grace_s": 0.0,
            **self._settings,
        }
        node = Node(Settings(**options), OPERATOR_TOKEN, seed=SEED + index)
        with contextlib.redirect_stdout(io.StringIO()):
            node.start()
        self.nodes.append(node)
        settings = node.settings
        self.vms.put(
            Vm(
                settings.name,
                node.peering.address,
                settings.data_centre,
                settings.region,
            )
        )
        return node

    def wait_for_loads(self) -> None:
        """Wait until every node has a load report of every backend server."""
        wait_for(
            lambda: all(
                entry.reported_s > 0
                for node in self.nodes
                for entry in node.backends.entries
            ),
            START_LIMIT_S,
            "load reports of all backend servers",
        )

    def url(self, index: int = 0) -> str:
        """Return the URL of a node for callers."""
        return f"http://{self.nodes[index].caller_address}"

    @staticmethod
    def now_s() -> float:
        """Return the time on the clock of the nodes."""
        return time.monotonic()
