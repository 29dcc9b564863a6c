"""A platform node: creates and owns all components of the process."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable, Iterator
from dataclasses import replace

import gevent
from gevent.event import Event

from ..admission import AdmissionQueue
from ..backends.restriction import Restrictions
from ..callers.body import BodyMemory
from ..callers.gateway import Gateway
from ..callers.readiness import Gate
from ..callers.recorder import RequestRecorder
from ..config import Config
from ..cost import Cost
from ..event_loop_stalls import StallMeter
from ..events import Event as LogEvent
from ..logs import log
from ..metrics import Metrics
from ..nodes.broadcast import BroadcastListener, NodeStatus, WorkBroadcaster
from ..nodes.groups import Group, divide_into_groups
from ..nodes.permit_exchange import PermitExchange
from ..nodes.permits import PermitListener, Permits
from ..placement import PackAndSplit
from ..poison.exchange import EvidenceExchange, EvidenceSpread
from ..poison.guard import PoisonGuard
from ..process import create_wsgi_server
from ..request import Request
from ..retry import SharedRetryBudget
from ..serving import Serving
from . import orders  # noqa: F401  (registers the implementations)
from .feed import PlatformFeed, boottime_clock
from .node_registry import NodeRegistry
from .reload import SettingsReloader
from .settings import PlatformSettings
from .store import StoreClient
from .wire import PlatformDialect, PlatformProtocol

READY_PATH = "/papayarelay/readyz"
BODY_MEMORY_BYTES = 64 << 20
# API keys are rejected this long before the configuration exceeds the revocation
# limit.
KEY_MARGIN_S = 0.4
# The readiness probe fails once the configuration is older than this fraction of the
# revocation limit, so that the load balancer sends callers to other nodes.
READY_AGE_FRACTION = 0.6
# Time until the load balancer has taken a stopping node out of rotation.
BALANCER_REMOVAL_S = 2.3
# Requests still running this long before the platform kills the process are aborted.
KILL_MARGIN_S = 0.5
METRICS_PORT = 9464
# Ports of the datagrams about permits and about harmful requests, after the one of the
# broadcasts.
PERMIT_PORT_OFFSET = 1
EVIDENCE_PORT_OFFSET = 2
MAJORITY_RATIO = 0.5
# Maximum queue wait as a multiple of the target latency, and its lower bound.
MAX_QUEUE_WAIT_TARGETS = 2.0
MIN_QUEUE_WAIT_S = 1.2


class PlatformNode(BroadcastListener, PermitListener):
    """A gateway node; ``start`` begins to serve callers, ``close`` stops at once."""

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Callable[[], float] = time.monotonic,
        seed: int | None = None,
    ):
        self.settings = settings
        self._clock = clock
        self._rng = random.Random(seed)
        bounds = settings.bounds
        self.gate = Gate()
        self.metrics = Metrics()
        self._budget = SharedRetryBudget(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_reserve
        )
        self._permit_exchange = PermitExchange(
            (settings.ip, settings.first_port + PERMIT_PORT_OFFSET),
            lambda node: self._find_address(node, PERMIT_PORT_OFFSET),
            clock,
        )
        self._permits = Permits(
            settings.name,
            settings.data_centre,
            Restrictions(),
            self._rng,
            self._permit_exchange.send,
            self._permit_share,
            self,
        )
        self._evidence_exchange = EvidenceExchange(
            (settings.ip, settings.first_port + EVIDENCE_PORT_OFFSET),
            lambda node: self._find_address(node, EVIDENCE_PORT_OFFSET),
            clock,
        )
        self._guard = PoisonGuard(settings.name, self._rng)
        self._spread = EvidenceSpread(
            settings.name, self._guard, self._rng, self._evidence_exchange.send
        )
        self._guard.set_listeners(self._spread.publish, self._on_evidence)
        policy = PackAndSplit()
        queue = AdmissionQueue(
            service_s=_min_service_s,
            max_wait_s=_max_wait_s,
            short_tokens=policy.split_above_tokens,
        )
        self._serving = Serving(
            policy,
            queue,
            self._budget,
            self._rng,
            clock,
            protocol=PlatformProtocol(),
            on_work=self._announce_work,
            permits=self._permits,
            guard=self._guard,
        )
        self.store = StoreClient(settings.store_address)
        self.feed = PlatformFeed(
            self.store,
            bounds,
            self._apply,
            self._record_cold_start,
            (settings.data_centre,),
            clock,
            boottime_clock,
            rank=self._rank,
            publish=self._publish,
        )
        self._broadcaster = WorkBroadcaster(
            settings.name,
            settings.data_centre,
            (settings.ip, settings.first_port),
            self._own_status,
            self,
            self._rng,
            clock,
            boottime_clock,
        )
        self._node_registry = NodeRegistry(
            self.store,
            settings.name,
            f"{settings.ip}:{settings.first_port}",
            settings.data_centre,
            self._broadcaster.set_node_list,
            self._rng,
            lambda: self._broadcaster.rank == 0,
        )
        self.store.on_restored = self._node_registry.renew_soon
        self._gateway = Gateway(
            settings.caller_address,
            PlatformDialect(),
            self._serving.dispatcher,
            self.gate,
            RequestRecorder(self.metrics, clock),
            BodyMemory(BODY_MEMORY_BYTES),
            self._keys_valid,
            self._config_is_current,
            self.feed.config_age_s,
            self._rng,
            clock,
        )
        self._ready_server = create_wsgi_server(
            settings.ready_address, self._serve_ready
        )
        self._metrics_server = create_wsgi_server(
            f"{settings.ip}:{METRICS_PORT}", self._serve_metrics
        )
        self._stalls = StallMeter()
        self._nodes_total = 1
        self._register_metrics()
        self.on_groups(divide_into_groups({settings.name: settings.data_centre}))

    def start(self) -> None:
        """Start all components; the node is ready once it has a configuration."""
        self.store.start()
        self._ready_server.start()
        self._metrics_server.start()
        self._stalls.start()
        self._serving.start()
        self._gateway.start()
        self._broadcaster.start()
        self._permit_exchange.start(self._permits)
        self._evidence_exchange.start(self._spread)
        self.feed.start()
        self._node_registry.start()
        log(LogEvent.NODE_STARTED, address=self.settings.caller_address)

    def stop(self) -> None:
        """Shut down gracefully: fail readiness, then finish requests in flight."""
        end_s = self._clock() + self.settings.bounds.stop_s - KILL_MARGIN_S
        self.gate.ready = False
        self.gate.shutting_down = True
        self.gate.end_s = end_s
        self._node_registry.leave()
        gevent.sleep(BALANCER_REMOVAL_S)
        self.gate.close()
        self._gateway.shut_down(max(0.0, end_s - self._clock()))

    def close(self) -> None:
        """Stop all components immediately."""
        self._node_registry.close()
        self.feed.close()
        self._broadcaster.close()
        self._permit_exchange.close()
        self._evidence_exchange.close()
        self._gateway.close()
        self._serving.close()
        self._ready_server.stop(timeout=0)
        self._metrics_server.stop(timeout=0)
        self._stalls.close()
        self.store.close()

    def apply_settings(self, settings: PlatformSettings) -> None:
        """Apply changed time limits, budgets and store address."""
        address_changed = settings.store_address != self.settings.store_address
        self.settings = replace(
            self.settings, bounds=settings.bounds, store_address=settings.store_address
        )
        self.feed.set_bounds(settings.bounds)
        self._budget.set_limits(
            settings.bounds.retry_ratio, settings.bounds.retry_reserve
        )
        if address_changed:
            self.store.set_address(settings.store_address)

    def _register_metrics(self) -> None:
        """Register the metrics of the node."""
        self.metrics.register_node_gauges(
            lambda: self.gate.inflight,
            lambda: self.feed.config.version,
            self._stalls.take_longest_s,
        )
        observe = self.metrics.register_gauge
        observe(
            "config_age_seconds", "Age of the configuration", self.feed.config_age_s
        )
        observe(
            "backend_servers",
            "Backend servers in the configuration",
            lambda: len(self.feed.config.backends),
        )
        observe("store_era", "Restores of the store", lambda: self.store.era)
        observe(
            "restored_rows_held",
            "Rows that a restored store has in an older state than is in force",
            lambda: self.feed.held_rows_count,
        )
        observe("node_rank", "Place for the duties of the group", self._rank)
        self.metrics.register_counter(
            "store_calls", "Calls to the store", lambda: {"all": self.store.calls}
        )
        self.metrics.register_counter(
            "datagrams_left_aside",
            "Datagrams of other nodes that were not used",
            lambda: {"malformed": self._broadcaster.malformed},
        )
        self._serving.register_metrics(self.metrics)
        self._register_permit_metrics()

    def _register_permit_metrics(self) -> None:
        """Register the metrics of servers with a rate limit."""
        self.metrics.register_counter(
            "permits",
            "Permits issued, and requests held back or sent without one",
            lambda: self._permits.counts,
        )
        self.metrics.register_gauge(
            "permit_share_ratio",
            "Part of a server's rate limit that this node may issue",
            self._permit_share,
        )
        observe = self.metrics.register_labelled_gauge

        def limits(value: str) -> Iterator[tuple[float, dict[str, str]]]:
            for limit in self._permits.describe_limits(self._clock()):
                labels = {
                    "backend": limit.backend,
                    "source": limit.source,
                    "issuer": limit.issuer,
                }
                yield getattr(limit, value), labels

        observe(
            "server_limit_per_s",
            "Rate limit of a server for all nodes, in requests per second",
            lambda: limits("per_s"),
        )
        observe(
            "server_limit_age_seconds",
            "Time since this node learnt the limit of a server",
            lambda: limits("age_s"),
        )
        observe(
            "permits_issued_per_s",
            "Rate at which the permits of a server were issued when last asked for",
            lambda: limits("issued_per_s"),
        )

    def _apply(self, config: Config) -> None:
        self._serving.backends.apply(config)
        self._gateway.apply(config)
        self._serving.scheduler.wake()

    def _record_cold_start(self, backend_id: str, left_s: float) -> None:
        self._serving.backends.record_cold_start(backend_id, left_s, self._clock())

    def _announce_work(self, urgent: bool) -> None:
        self._broadcaster.notify_change(urgent)

    def _own_status(self) -> NodeStatus:
        now_s = self._clock()
        return NodeStatus(
            self._serving.backends.own_work(now_s),
            self._budget.own_usage(now_s),
            self.feed.table_reports(),
            self._serving.backends.leaving_to_announce(now_s),
            self._permits.to_announce(now_s),
        )

    def on_status(self, peer: str, status: NodeStatus, echoed_s: float | None) -> None:
        """Apply the status that a peer broadcasts."""
        now_s = self._clock()
        self._permits.record_heard(peer, now_s)
        self._permits.learn(status.limits, peer, now_s, announced=True)
        if status.work is not None:
            self._serving.backends.set_peer_work(peer, status.work, now_s)
            self._serving.scheduler.wake()
        self._serving.backends.record_peer_leaving(status.leaving)
        self._budget.set_peer_usage(peer, status.retries, now_s)
        if echoed_s is not None:
            self.feed.apply_table_reports(status.table_reports, echoed_s)

    def on_notification(self, notification: bytes) -> None:
        """Apply a change notification of a peer."""
        self.feed.apply_notification(notification)

    def on_peer_started(self, peer: str) -> None:
        """Tell a new process what it cannot read from the store."""
        self.feed.announce_kept_config()
        self._spread.greet(peer, self._clock())
        if self._permits.any_limited:
            self.on_limit_changed()

    def on_permits(self) -> None:
        """Retry the queued requests, since a limited server may take one."""
        self._permit_exchange.wake()
        self._serving.scheduler.wake()

    def on_limit_changed(self) -> None:
        """Notify the group of a changed limit."""
        self._permits.restrictions.start_announcing_limits(self._clock())
        self._broadcaster.notify_change(True)

    def on_unknown_node(self, name: str, data_centre: str) -> None:
        """Add a node that is not in the list yet, but sends messages."""
        host, port = self._permit_exchange.source
        address = (host, port - PERMIT_PORT_OFFSET)
        self._broadcaster.add_peer(name, address, data_centre)

    def on_peer_gone(self, peer: str) -> None:
        """Discard the state of a peer that has left or failed."""
        self._serving.backends.forget_peer(peer)
        self._budget.forget_peer(peer)

    def on_groups(self, groups: tuple[Group, ...]) -> None:
        """Recompute this node's shares after the groups have changed."""
        name = self.settings.name
        self._serving.backends.set_groups(name, groups)
        group = next(group for group in groups if name in group.nodes)
        self._nodes_total = sum(len(each.nodes) for each in groups)
        self._budget.set_nodes(len(group.nodes), self._nodes_total)
        self._permits.set_groups(group, groups)
        self._spread.set_groups(group, groups)

    def on_present_count(self, nodes: int) -> None:
        """Divide the group's retry budget among the nodes that are heard from.

        The others keep their own shares, since they may only be partitioned from
        this node.
        """
        self._budget.set_nodes(nodes, self._nodes_total)

    def _on_evidence(self) -> None:
        """Look at the queued requests again, with new evidence about them."""
        self._evidence_exchange.wake()
        self._serving.scheduler.wake()

    def _find_address(self, node: str, offset: int) -> tuple[str, int] | None:
        address = self._broadcaster.find_address(node)
        if address is None:
            return None
        return address[0], address[1] + offset

    def _permit_share(self) -> float:
        """Return the part of a server's limit that this node may issue.

        A node that hears less than half of its group may be partitioned from the
        node that issues the permits for the others.
        """
        ratio = self._broadcaster.presence_ratio
        return 1.0 if ratio >= MAJORITY_RATIO else ratio

    def _rank(self) -> int:
        return self._broadcaster.rank

    def _publish(self, notification: bytes) -> None:
        self._broadcaster.publish(notification)

    def _keys_valid(self) -> bool:
        bounds = self.settings.bounds
        if not bounds.revokes_when_cut_off:
            return True
        return self.feed.config_age_s() < bounds.revocation_s - KEY_MARGIN_S

    def _config_is_current(self) -> bool:
        bounds = self.settings.bounds
        return self.feed.is_loaded and self.feed.config_age_s() < bounds.revocation_s

    def _is_ready(self) -> bool:
        if self.gate.shutting_down:
            return False
        fresh_s = READY_AGE_FRACTION * self.settings.bounds.revocation_s
        ready = self.feed.is_loaded and self.feed.config_age_s() < fresh_s
        if ready and not self.gate.ready:
            log(LogEvent.NODE_READY, version=self.feed.config.version)
        self.gate.ready = ready
        return ready

    def _serve_ready(self, environ: dict, start_response: Callable) -> list[bytes]:
        ready = environ["PATH_INFO"] == READY_PATH and self._is_ready()
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return []

    def _serve_metrics(self, environ: dict, start_response: Callable) -> list[bytes]:
        start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
        return [self.metrics.render()]


def _min_service_s(cost: Cost) -> float:
    """Return 0: the engine, not the queue, rejects requests that would end too late."""
    return 0.0


def _max_wait_s(request: Request) -> float:
    """Return the maximum time that a request waits for a server to become available.

    After that, a rejection is of more use to the caller than further waiting.
    """
    return max(MIN_QUEUE_WAIT_S, MAX_QUEUE_WAIT_TARGETS * request.kind.target_s)


def run(settings: PlatformSettings, path: str) -> int:
    """Run a node until SIGTERM or SIGINT; return the process exit code.

    The settings file at ``path`` is reloaded on SIGHUP and when it changes.
    """
    node = PlatformNode(settings)
    reloader = SettingsReloader(path, settings, node.apply_settings)
    gevent.signal_handler(signal.SIGHUP, reloader.request_reload)
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    node.start()
    reloader.start()
    stopping.wait()
    log(LogEvent.SHUTDOWN_STARTED, requests_count=node.gate.inflight)
    reloader.close()
    node.stop()
    interrupted = node.gate.inflight
    node.close()
    event = LogEvent.SHUTDOWN_FORCED if interrupted else LogEvent.SHUTDOWN_FINISHED
    log(event, requests_count=interrupted)
    return 1 if interrupted else 0
