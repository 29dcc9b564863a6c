"""A gateway node: owns the components of a process and connects them."""

from __future__ import annotations

import json
import random
import signal
import time
from collections.abc import Callable, Mapping

import gevent
from gevent import pywsgi
from gevent.event import Event

from .admission import AdmissionQueue
from .backends.load_report import LoadReport
from .backends.watcher import Watcher
from .callers.api import CallerApi
from .callers.body import BodyLimits, BodyMemory
from .callers.handler import ConnectionLimits
from .callers.readiness import Gate
from .callers.recorder import RequestRecorder
from .callers.server import CallerServer
from .claim import Claims
from .config import Config
from .config_feed import ConfigFeed
from .drain import Drains
from .event_loop_stalls import StallMeter
from .events import Event as LogEvent
from .housekeeping import Housekeeping
from .job import JobRunner
from .logs import configure_logging, log
from .metrics import Metrics
from .nodes.peering import Peering
from .operators.api import OperatorApi
from .process import create_wsgi_server, log_task_failure, tune_garbage_collector
from .retry import RetryBudget
from .routing import POLICIES
from .serving import Serving
from .settings import Settings
from .store.client import TableClient

START_RETRY_S = 0.5
# Time for the leave notice to reach the other nodes.
LEAVE_NOTICE_S = 0.2


class Node:
    """One node; ``start`` begins serving, ``close`` stops all components."""

    def __init__(
        self,
        settings: Settings,
        operator_token: str = "",
        clock: Callable[[], float] = time.monotonic,
        seed: int | None = None,
    ):
        self.settings = settings
        self._clock = clock
        self._rng = random.Random(seed)
        self.gate = Gate()
        self.metrics = Metrics()
        self._stalls = StallMeter()
        self.store = TableClient(settings.store_url, settings.store_timeout_s)
        self._serving = Serving(
            POLICIES[settings.routing_policy](),
            AdmissionQueue(),
            RetryBudget(),
            self._rng,
            clock,
            on_failure=self._read_load_soon,
        )
        self.backends = self._serving.backends
        self.scheduler = self._serving.scheduler
        self.dispatcher = self._serving.dispatcher
        self._watcher = Watcher(self.backends, self._record_load, self._rng, clock)
        self.feed = ConfigFeed(
            self.store,
            self._apply_config,
            self._publish_config,
            settings.config_poll_interval_s,
            self._rng,
        )
        self.peering = Peering(
            settings, self.backends, self.feed, self._repartition_work, self._rng, clock
        )
        self.claims = Claims(self.store, scopes=self._claim_scopes, clock=clock)
        self.drains = Drains(
            self.store,
            self.peering.publish_drain,
            self.backends.drain_unless_overridden,
        )
        self._housekeeping = Housekeeping(
            self.backends,
            self.scheduler,
            self.dispatcher,
            self.feed,
            self.peering,
            self.claims,
            self.drains,
            clock,
        )
        self._api = CallerApi(
            self.dispatcher,
            JobRunner(self.claims, clock),
            self.gate,
            RequestRecorder(self.metrics, clock),
            BodyLimits(
                settings.body_limit_bytes,
                settings.body_timeout_s,
                settings.body_lowest_bytes_per_s,
            ),
            settings.body_memory_bytes,
            clock,
        )
        self._server = CallerServer(
            settings.caller_address,
            self._api.create_app(),
            settings.caller_connections_limit,
            ConnectionLimits(settings.caller_idle_timeout_s, settings.header_timeout_s),
        )
        self._operator_server = self._create_operator_server(operator_token)
        self._register_metrics()

    @property
    def caller_address(self) -> str:
        """Return the listen address for callers as ``host:port``."""
        return self._server.address

    @property
    def body_memory(self) -> BodyMemory:
        """Return the memory budget for request bodies."""
        return self._api.body_memory

    @property
    def operator_address(self) -> str:
        """Return the listen address for operators as ``host:port``."""
        server = self._operator_server
        return f"{server.server_host}:{server.server_port}"

    def start(self) -> None:
        """Start all components and wait for a configuration; then be ready."""
        self._stalls.start()
        self.store.start()
        self._operator_server.start()
        self._server.start()
        self.peering.start()
        self._print_addresses()
        log(LogEvent.NODE_STARTED, address=self.caller_address)
        while not self._fetch_first_config():
            gevent.sleep(START_RETRY_S)
        self.feed.start()
        self._serving.start()
        self._housekeeping.start()
        self.gate.ready = True
        log(LogEvent.NODE_READY, version=self.feed.config.version)

    def _fetch_first_config(self) -> bool:
        """Fetch the first configuration; return whether there is one.

        Peers are asked if the table service does not respond.
        """
        answered = self.feed.poll()
        if self.feed.config.version:
            return True
        return not answered and self.peering.fetch_config()

    def _print_addresses(self) -> None:
        addresses = {
            "callers": self.caller_address,
            "operators": self.operator_address,
            "nodes": self.peering.address,
        }
        print(json.dumps(addresses), flush=True)

    def stop(self) -> None:
        """Shut down gracefully: reject new requests, then finish those in flight."""
        self.gate.ready = False
        gevent.sleep(self.settings.drain_grace_s)
        self._server.stop_listening()
        self.gate.close()
        self.gate.wait_until_idle()
        # Not earlier: after leaving, a node may send nothing more to cold engines.
        self.peering.leave()
        gevent.sleep(LEAVE_NOTICE_S)

    def close(self) -> None:
        """Stop all components immediately."""
        self.feed.close()
        self._housekeeping.close()
        self._watcher.close()
        self.peering.close()
        self._server.close()
        self._operator_server.stop(timeout=0)
        self._serving.close()
        self.store.close()
        self._stalls.close()

    def status(self) -> dict:
        """Return the status of the node for operators."""
        now_s = self._clock()
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "ready": self.gate.ready,
            "requests_in_flight": self.gate.inflight,
            "requests_queued": len(self.scheduler.queue),
            "config_version": self.feed.config.version,
            "config_error": self.feed.error,
            "suspended": self._suspended(),
            "drained": self.backends.drained,
            "drains_not_stored": self.drains.unsaved,
            "peers": self.peering.status(),
            "backends": {
                entry.id: {
                    "state": entry.load.state,
                    "report_age_s": entry.report_age_s(now_s),
                    "own_requests": len(entry.work),
                    "circuit": entry.circuit.state.value,
                }
                for entry in self.backends.entries
            },
        }

    def _suspended(self) -> list[str]:
        """Return the features that are unavailable now, with the cause."""
        found = []
        if not self.feed.store_responded:
            found.append("non-idempotent requests: the table service does not answer")
            found.append("configuration edits: the table service does not answer")
        if not self.peering.live_names and self.peering.listed_count:
            found.append("drains and configuration from other nodes: none is reachable")
        return found

    def set_drained(self, name: str, drained: bool) -> dict:
        """Drain a data centre or backend server on all nodes, or undo the drain."""
        target = self.drains.set(self.feed.config, name, drained)
        return {
            "target": target,
            "drained": drained,
            "stored": target not in self.drains.unsaved,
            "in_service": target not in self.backends.drained,
        }

    def look_up_job(self, member: str, kind: str, key: str) -> dict | None:
        """Return the record of an idempotency key, or None."""
        row = self.claims.look_up(member, kind, key)
        if row is None:
            return None
        return {
            "member": member,
            "kind": kind,
            "state": row.state.value,
            "claimed_at": row.claimed_wall_s,
            "status": row.status,
            "answer_bytes": row.body_bytes,
        }

    def _claim_scopes(self) -> list[tuple[str, str]]:
        """Return the pairs of member and non-idempotent kind whose claims to sweep."""
        config = self.feed.config
        return [
            (member, kind.name)
            for member in config.members
            for kind in config.kinds.values()
            if not kind.idempotent
        ]

    def _create_operator_server(self, token: str) -> pywsgi.WSGIServer:
        api = OperatorApi(self, token, self.metrics.render)
        return create_wsgi_server(self.settings.operator_address, api.create_app())

    def _register_metrics(self) -> None:
        """Export the gauges and counters of the components."""
        self.metrics.register_node_gauges(
            lambda: self.gate.inflight,
            lambda: self.feed.config.version,
            self._stalls.take_longest_s,
        )
        self._serving.register_metrics(self.metrics)

    def _apply_config(self, config: Config) -> None:
        log(LogEvent.CONFIG_APPLIED, version=config.version)
        self.backends.apply(config)
        self._api.apply(config)
        self._repartition_work()

    def _repartition_work(self) -> None:
        """Recompute what this node takes of the work divided among live nodes."""
        watched = self.peering.watched_backends(self.feed.config)
        self._watcher.watch(watched)
        self.backends.set_watched(watched, self._clock())
        name = self.settings.name
        self.backends.set_homes(name, [name, *self.peering.live_names])
        self.scheduler.set_node_count(self.peering.node_count)
        self._apply_shares(self.feed.config)

    def _apply_shares(self, config: Config) -> None:
        """Apply the members' shares and this node's part of the claim write rate."""
        shares = {name: member.share for name, member in config.members.items()}
        weights = {
            (name, organisation.name): organisation.weight
            for name, member in config.members.items()
            for organisation in member.organisations.values()
        }
        self.scheduler.queue.set_shares(shares, weights)
        writes_per_s = config.limits.claim_writes_per_s / self.peering.node_count
        self.claims.set_writes_per_s(self._clock(), writes_per_s)

    def _publish_config(self, version: int, sections: Mapping[str, str]) -> None:
        self.peering.publish_config(version, sections)

    def _read_load_soon(self, backend_id: str) -> None:
        self._watcher.poll_now(backend_id)

    def _record_load(self, backend_id: str, load: LoadReport, now_s: float) -> None:
        self.backends.record_load(backend_id, load, now_s)
        self.backends.record_rate(backend_id, load.prefill_tokens_per_s, now_s)
        self.peering.publish_load(backend_id, load, now_s)
        self.scheduler.wake()


def run(settings: Settings) -> int:
    """Run a node until SIGTERM or SIGINT; return the process exit code.

    The first signal starts a graceful shutdown, a second one ends it at once;
    the exit code is 1 if requests were interrupted.
    """
    configure_logging(settings.name, settings.log_level)
    tune_garbage_collector()
    gevent.get_hub().print_exception = log_task_failure
    node = Node(settings, _read_token(settings))
    stop_requested, abort_requested = Event(), Event()

    def on_signal() -> None:
        (abort_requested if stop_requested.is_set() else stop_requested).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, on_signal)
    starter = gevent.spawn(node.start)
    starter.link_exception(lambda _: stop_requested.set())
    stop_requested.wait()
    if starter.ready() and not starter.successful():
        node.close()
        return 1
    starter.kill()
    log(LogEvent.SHUTDOWN_STARTED, requests_count=node.gate.inflight)
    stopper = gevent.spawn(node.stop)
    gevent.wait([stopper, abort_requested], count=1)
    interrupted = node.gate.inflight
    node.close()
    event = LogEvent.SHUTDOWN_FORCED if interrupted else LogEvent.SHUTDOWN_FINISHED
    log(event, requests_count=interrupted)
    return 1 if interrupted else 0


def _read_token(settings: Settings) -> str:
    if not settings.operator_token_file:
        return ""
    with open(settings.operator_token_file, encoding="utf-8") as file:
        return file.read().strip()
