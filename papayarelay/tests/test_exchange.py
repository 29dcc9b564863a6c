"""Tests of the exchange between nodes, over sockets and over a simulated network."""

import json
import math
import random
import time
import unittest

import gevent
import gevent.server
import gevent.socket

from ..nodes.codec import Batch, Codec, Record
from ..nodes.dissemination import RecordKind
from ..nodes.exchange import (
    ConfigFetchError,
    DrainState,
    Exchange,
    ExchangeSettings,
    Handlers,
)
from ..nodes.links import LinkTiming
from ..nodes.load_record import LoadRecord

KEY = b"k" * 32
FAST = LinkTiming(heartbeat_s=0.1, batch_s=0.05, idle_limit_s=0.5, redial_limit_s=1.0)
TIMEOUT_S = 20.0


def wait_until(condition, timeout_s=TIMEOUT_S):
    """Wait for a condition; fail if it does not hold within ``timeout_s``."""
    with gevent.Timeout(
        timeout_s, AssertionError("timed out waiting for the condition")
    ):
        while not condition():
            gevent.sleep(0.01)


class Proxy:
    """TCP proxy that can silently drop data."""

    def __init__(self, target):
        self.target = target
        self.silenced = set()
        self.open = set()
        self.blocked = False
        self.accepted = 0
        self._server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def silence(self):
        """Drop all data of the open connections, but not of new ones."""
        self.silenced |= self.open

    def close(self):
        """Stop the proxy."""
        self._server.stop(timeout=0.1)

    def _serve(self, near, _):
        self.accepted += 1
        self.open.add(near)
        host, port = self.target.rsplit(":", 1)
        with gevent.socket.create_connection((host, int(port))) as far:
            back = gevent.spawn(self._copy, far, near, near)
            self._copy(near, far, near)
            back.kill()
        self.open.discard(near)

    def _copy(self, source, sink, connection):
        try:
            while data := source.recv(65_536):
                if not self.blocked and connection not in self.silenced:
                    sink.sendall(data)
        except OSError:
            return


class SocketTest(unittest.TestCase):
    def setUp(self):
        self.exchanges = []
        self.proxies = []
        self.seen = {}

    def tearDown(self):
        for exchange in self.exchanges:
            exchange.close()
        for proxy in self.proxies:
            proxy.close()

    def start(self, name, data_centre="dc1", offset_s=0.0, wall_s=None, **settings):
        """Start a node; ``offset_s`` shifts its clocks."""
        seen = self.seen.setdefault(name, [])
        handlers = Handlers(
            on_load=lambda record: seen.append(("load", record)),
            on_config=lambda version, sections: seen.append((version, sections)),
        )
        exchange = Exchange(
            ExchangeSettings(
                name,
                data_centre,
                "r1",
                KEY,
                timing=FAST,
                suspect_after_s=2.0,
                probe_interval_s=0.5,
                **settings,
            ),
            random.Random(name),
            handlers,
            clock=lambda: time.monotonic() + offset_s,
            wall_clock=lambda: wall_s or time.time() + offset_s,
        )
        exchange.start()
        self.exchanges.append(exchange)
        return exchange

    def set_vm_list(self, exchanges, addresses=None):
        """Give every node the VM list."""
        entries = [
            {
                "name": (status := exchange.status(0.0))["name"],
                "address": (addresses or {}).get(status["name"], exchange.address),
                "data_centre": exchange._settings.data_centre,
                "region": "r1",
                "state": "live",
            }
            for exchange in exchanges
        ]
        for exchange in exchanges:
            exchange.set_peers(entries)

    def pair(self, **settings):
        """Start nodes a and b, each behind its own proxy."""
        a, b = self.start("a", **settings), self.start("b", **settings)
        to_a, to_b = Proxy(a.address), Proxy(b.address)
        self.proxies += [to_a, to_b]
        for exchange, proxy in ((a, to_a), (b, to_b)):
            settings = exchange._settings
            exchange._settings = type(settings)(
                **{**vars(settings), "address": proxy.address}
            )
        self.set_vm_list([a, b])
        wait_until(lambda: a.status(0.0)["links"] and b.status(0.0)["links"])
        wait_until(lambda: self.is_live(a, "b") and self.is_live(b, "a"))
        return a, b, to_a, to_b

    def is_live(self, exchange, name):
        """Return whether a node has received a frame of a peer that is live now."""
        return any(
            peer.name == name and peer.incarnation and peer.state == "live"
            for peer in exchange.peers()
        )

    def load_arrives(self, source, target, engine, offset_s):
        """Publish a load record; return whether one has arrived at the target."""
        record = LoadRecord(engine, "warm", 1_000, 500)
        source.publish_load(record, time.monotonic() + offset_s)
        return target.load(engine) is not None

    def test_everything_arrives(self):
        """Guards against a kind of record that is not delivered."""
        nodes = [self.start(name) for name in "abcd"]
        self.set_vm_list(nodes)
        a, *others = nodes
        for exchange in nodes:
            exchange.register_ids(["e1"])
            exchange.publish_config(1, {"limits": {"x": 1}, "backends": {"e1": 1}})
        now_s = time.monotonic()
        a.publish_config(2, {"limits": {"x": 2}})
        a.publish_cold("e1", True, now_s)
        a.publish_drain("data_centre/dc1", DrainState.DRAINED, now_s)
        for other in others:
            wait_until(lambda o=other: o.config[0] == 2 and o.is_cold("e1"))
            wait_until(
                lambda o=other: o.drain_marks() and self.load_arrives(a, o, "e1", 0.0)
            )
            self.assertEqual(
                other.config[1], {"limits": {"x": 2}, "backends": {"e1": 1}}
            )

    def test_link_silent_in_one_direction(self):
        """Guards against an open connection that no longer carries data."""
        a, b, _, to_b = self.pair()
        connections = to_b.accepted
        to_b.silence()
        a.publish_drain("backend/e", DrainState.DRAINED, time.monotonic())
        wait_until(b.drain_marks)
        self.assertGreater(to_b.accepted, connections)

    def test_link_silent_in_both_directions(self):
        """Guards against two nodes that each wait for the other to redial."""
        a, b, to_a, to_b = self.pair()
        to_a.silence()
        to_b.silence()
        a.publish_drain("backend/a", DrainState.DRAINED, time.monotonic())
        b.publish_drain("backend/b", DrainState.DRAINED, time.monotonic())
        wait_until(lambda: len(a.drain_marks()) == 2 and len(b.drain_marks()) == 2)

    def test_partition_that_heals(self):
        """Guards against lost records and suspect peers after a partition heals."""
        a, b, to_a, to_b = self.pair()
        for exchange in (a, b):
            exchange.publish_config(1, {"limits": {"x": 1}})
        to_a.blocked = to_b.blocked = True
        wait_until(lambda: not self.is_live(a, "b") and not self.is_live(b, "a"))
        a.publish_config(2, {"limits": {"x": 2}})
        b.publish_drain("backend/e", DrainState.DRAINED, time.monotonic())
        to_a.blocked = to_b.blocked = False
        wait_until(lambda: b.config == (2, {"limits": {"x": 2}}) and a.drain_marks())
        wait_until(lambda: self.is_live(a, "b") and self.is_live(b, "a"))

    def test_restart_with_an_earlier_clock(self):
        """Guards against a restarted node whose frames are rejected as old.

        Its incarnation is lower than before if its wall clock was set back.
        """
        for name, data_centre in (("b", "dc1"), ("c", "dc2")):
            with self.subTest(data_centre=data_centre):
                a = self.start(f"a-{name}")
                old = self.start(name, data_centre, wall_s=2_000.0)
                self.set_vm_list([a, old])
                wait_until(lambda a=a, name=name: self.is_live(a, name))
                old.close()
                new = self.start(name, data_centre, wall_s=1_000.0)
                self.set_vm_list([a, new])
                now_s = time.monotonic()
                new.publish_drain("backend/e", DrainState.DRAINED, now_s)
                wait_until(a.drain_marks)
                self.assertGreater(new.status(0.0)["incarnation"], 2_000_000)
                self.assertGreater(a.status(0.0)["refused"]["old_incarnation"], 0)

    def test_late_frame_of_an_earlier_process(self):
        """Guards against a restarted node that is only answered at its old address.

        A frame of the earlier process arrives after the list has the new address.
        """
        a = self.start("a")
        old = self.start("b", wall_s=2_000.0)
        self.set_vm_list([a, old])
        wait_until(lambda: self.is_live(a, "b"))
        late = a._view.get("b")
        old.close()
        new = self.start("b", wall_s=1_000.0)
        self.set_vm_list([a, new])
        a._view.merge_hello(late, time.monotonic())
        new.publish_drain("backend/e", DrainState.DRAINED, time.monotonic())
        wait_until(a.drain_marks, 8.0)

    def test_clock_offset(self):
        """Guards against ages and ordering that depend on synchronised clocks."""
        a = self.start("a", offset_s=50_000.0)
        b = self.start("b", offset_s=-900.0)
        self.set_vm_list([a, b])
        a.register_ids(["e"])
        b.register_ids(["e"])
        b.publish_drain("backend/e", DrainState.DRAINED, time.monotonic() - 900.0)
        wait_until(lambda: self.load_arrives(b, a, "e", -900.0) and a.drain_marks())
        age_s = time.monotonic() + 50_000.0 - a.load("e").reported_s
        self.assertTrue(-0.5 <= age_s <= TIMEOUT_S, age_s)

    def test_configuration_from_peers(self):
        """Guards against a node that cannot start during a store outage."""
        a = self.start("a")
        section = {f"e{n}": {"url": f"http://{n * 7919}"} for n in range(600)}
        a.publish_config(7, {"backends": section})
        b = self.start("b")
        with self.assertRaises(ConfigFetchError):
            b.fetch_config(timeout_s=0.05)
        self.set_vm_list([a, b])
        version, sections = b.fetch_config(timeout_s=TIMEOUT_S)
        self.assertEqual((version, sections), (7, {"backends": section}))
        self.assertFalse(b.publish_config(6, {"backends": {}}))
        self.assertEqual(b.config[0], 7)

    def test_large_change_is_sent_as_its_version(self):
        """Guards against nodes that miss a change too large for one message."""
        a, b = self.start("a"), self.start("b")
        self.set_vm_list([a, b])
        for exchange in (a, b):
            exchange.publish_config(1, {"backends": {"e": 1}})
        a.publish_config(2, {"backends": {f"e{n}": n for n in range(900)}})
        wait_until(lambda: (2, None) in self.seen["b"])
        self.assertEqual(b.config[0], 1)

    def test_sender_without_the_key(self):
        """Guards against acceptance of frames from a sender without the key."""
        a = self.start("a")
        _, data = Codec(b"x" * 32, "b", 1).encode("a", a._hello())
        a.receive(data)
        a.receive(b"")
        a.receive(bytes(5_000))
        status = a.status(0.0)
        self.assertEqual(
            status["refused"], {"forged": 1, "malformed": 1, "oversized": 1}
        )
        self.assertEqual(status["peers"], [])


class FakeListener:
    """Stands in for a listening socket; ``SimulatedNetwork`` delivers the frames."""

    def __init__(self, address, on_frame):
        self.address = address
        self.on_frame = on_frame

    def start(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""


class FakeLink:
    """A link of a ``SimulatedNetwork``, driven by its virtual time."""

    def __init__(
        self, network, source, name, address, timing, *, next_frame, on_sent, clock,
        rng, on_redial,
    ):  # fmt: skip
        self.network, self.source, self.name = network, source, name
        self.address, self.timing, self.clock = address, timing, clock
        self.next_frame, self.on_sent, self.on_redial = next_frame, on_sent, on_redial
        self.started_s = self.dialled_s = self.next_s = clock()
        self.acknowledged_s = self.sent_s = -math.inf
        self.dials = 0
        self.silenced = False

    def start(self):
        """Add the link to the network."""
        self.network.links.append(self)

    def close(self):
        """Remove the link from the network."""
        self.network.links.remove(self)

    def wake(self, within_s=0.0):
        """Schedule a frame."""
        self.next_s = min(self.next_s, self.clock() + within_s)

    def acknowledged(self, now_s):
        """Record an acknowledgement."""
        self.acknowledged_s = now_s

    def silent_s(self, now_s):
        """Return the time since the last acknowledgement."""
        return now_s - max(self.dialled_s, self.acknowledged_s)

    def step(self, now_s):
        """Redial or send if it is due."""
        if not self.dials or self.silent_s(now_s) > self.timing.idle_limit_s:
            self.dials += 1
            self.dialled_s = self.next_s = now_s
            self.silenced = False
            self.on_redial(self)
        if now_s < self.next_s:
            return
        self.next_s = now_s + self.timing.heartbeat_s
        frame = self.next_frame(self, now_s)
        if frame is not None:
            self.sent_s = now_s
            self.network.send(self, frame)
            self.on_sent(self, True)


class SimulatedNetwork:
    """Simulated network of exchanges in virtual time, with seeded random faults."""

    def __init__(self, seed, count):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.links = []
        self.in_transit = []
        self.cut = set()
        self.nodes = {}
        self.versions = {}
        self.history = {1: {"limits": {"a": 1}, "kinds": {}}}
        self.store_is_up = True
        for number in range(count):
            self.add(f"n{number}", number % 4)
        self.set_vm_list()

    def add(self, name, place):
        """Add or restart a node; its wall clock may be behind."""
        offset_s = self.rng.uniform(-500, 500)
        clock = lambda: self.now_s + offset_s  # noqa: E731
        wall_s = self.now_s + self.rng.uniform(-5_000, 5_000) + 10_000
        handlers = Handlers(on_config=lambda version, _: self.read(name, version))
        exchange = Exchange(
            ExchangeSettings(
                name, f"dc{place}", f"r{place // 2}", KEY, listen=name, address=name
            ),
            random.Random(self.rng.random()),
            handlers,
            clock=clock,
            wall_clock=lambda: wall_s,
            make_link=lambda *a, **k: FakeLink(self, name, *a, **k),
            make_listener=FakeListener,
        )
        self.nodes[name] = (exchange, clock, place)
        self.versions[name] = 0
        exchange.publish_config(1, self.history[1])

    def set_vm_list(self):
        """Give every node the VM list."""
        entries = [
            {
                "name": name,
                "address": name,
                "data_centre": f"dc{place}",
                "region": f"r{place // 2}",
                "state": "live",
            }
            for name, (_, _, place) in self.nodes.items()
        ]
        for exchange, _, _ in self.nodes.values():
            exchange.set_peers(entries)

    def read(self, name, version):
        """Read the configuration from the store if only its version arrived."""
        exchange = self.nodes[name][0]
        if self.store_is_up and exchange.config[0] < version:
            exchange.publish_config(version, self.history[version])

    def edit(self, editor=None):
        """Commit a configuration change that ``editor`` or a random node publishes."""
        version = max(self.history) + 1
        section = dict(self.history[version - 1]["kinds"])
        section[f"k{self.rng.randrange(4)}"] = version
        self.history[version] = {**self.history[version - 1], "kinds": section}
        editor = editor or self.rng.choice(list(self.nodes))
        self.nodes[editor][0].publish_config(version, self.history[version])

    def restart(self):
        """Replace a node by a new process under the same name."""
        name = self.rng.choice(list(self.nodes))
        exchange, _, place = self.nodes[name]
        exchange.close()
        self.add(name, place)
        self.set_vm_list()

    def send(self, link, frame):
        """Put a frame in transit unless the connection drops it."""
        if not link.silenced and {link.source, link.name} not in self.cut:
            delay_s = self.rng.uniform(0.001, 0.3)
            self.in_transit.append((self.now_s + delay_s, link, frame))

    def run(self, seconds, check, paused=None):
        """Advance the virtual time while the node ``paused``, if any, is suspended."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.05
            arrived = [t for t in self.in_transit if t[0] <= self.now_s]
            self.in_transit = [t for t in self.in_transit if t[0] > self.now_s]
            for _, link, frame in arrived:
                if link.name == paused:
                    self.in_transit.append((self.now_s + 0.05, link, frame))
                else:
                    self.nodes[link.name][0].receive(frame)
            for link in list(self.links):
                if link in self.links and link.source != paused:
                    link.step(link.clock())
            if round(self.now_s / 0.05) % 10 == 0:
                for name, (exchange, clock, _) in self.nodes.items():
                    if name != paused:
                        exchange.maintain(clock())
            check()


def make_fake(name, now, **settings):
    """Return an exchange without a network, whose time is ``now[0]``."""
    return Exchange(
        ExchangeSettings(name, "dc0", "r0", KEY, address=name, **settings),
        random.Random(1),
        clock=lambda: now[0],
        make_link=lambda *a, **k: FakeLink(SimulatedNetwork(0, 0), name, *a, **k),
        make_listener=FakeListener,
    )


class LoadRateTest(unittest.TestCase):
    def test_rate_is_shared_by_the_data_centres_of_the_scope(self):
        """Guards against load records that exceed the byte budget of the links.

        With region scope, the records of several data centres share the budget.
        """
        peers = [
            {
                "name": f"n{number}",
                "address": "h:1",
                "data_centre": f"dc{number}",
                "region": "r0",
                "state": "live",
            }
            for number in range(3)
        ]
        engines = [f"e{number}" for number in range(30)]
        counts = {}
        for scope in ("data_centre", "region"):
            now = [0.0]
            exchange = make_fake("n0", now, load_scope=scope)
            exchange.set_peers(peers, 0.0)
            exchange.maintain(0.0)
            exchange.watched_engines(engines, 0.0)
            published = 0
            for second in range(60):
                now[0] = float(second)
                for engine in engines:
                    record = LoadRecord(engine, "warm", 1_000, second * 16)
                    published += exchange.publish_load(record, now[0])
            counts[scope] = published / 60
        self.assertLessEqual(counts["data_centre"], 20)
        self.assertLessEqual(counts["region"], 20 / 3)


class StatusTest(unittest.TestCase):
    """Guards against a status that cannot be serialised as JSON."""

    def test_link_before_its_first_dial(self):
        """The silence of such a link is infinite, which JSON cannot represent.

        A busy machine may serve a status request before the first dial; the status
        was then invalid JSON.
        """
        exchange = make_fake("n0", [0.0])
        peer = {"name": "n1", "address": "h:1", "data_centre": "dc0", "region": "r0"}
        exchange.set_peers([peer], 0.0)
        exchange.maintain(0.0)
        # ``FakeLink`` sets the current time; ``Link`` starts with this value.
        exchange._links["n1"].dialled_s = -math.inf
        status = exchange.status(0.0)
        self.assertEqual([link["name"] for link in status["links"]], ["n1"])
        json.dumps(status, allow_nan=False)


class ScheduleTest(unittest.TestCase):
    def check_versions(self):
        for name, (exchange, _, _) in self.network.nodes.items():
            version, sections = exchange.config
            self.assertGreaterEqual(version, self.network.versions[name])
            self.assertEqual(sections, self.network.history[version])
            self.network.versions[name] = version

    def apply_random_action(self):
        """Apply one random change or fault."""
        network, rng = self.network, self.network.rng
        exchange, clock, _ = network.nodes[rng.choice(list(network.nodes))]
        action = rng.randrange(6)
        if action == 0:
            network.edit()
        elif action == 1:
            state = rng.choice(list(DrainState))
            exchange.publish_drain(f"backend/e{rng.randrange(2)}", state, clock())
        elif action == 2:
            exchange.publish_cold(f"e{rng.randrange(2)}", rng.random() < 0.5, clock())
        elif action == 3:
            for link in rng.sample(network.links, len(network.links) // 4):
                link.silenced = True
        elif action == 4:
            network.cut = [set(rng.sample(list(network.nodes), 2)) for _ in range(8)]
        else:
            network.restart()

    def state(self, exchange):
        status = exchange.status(0.0)
        return (exchange.config, status["drains"], sorted(status["cold"]))

    def test_random_schedules(self):
        """Guards against divergence and version rollback under random faults."""
        for seed in range(12):
            with self.subTest(seed=seed):
                self.network = network = SimulatedNetwork(seed, 10)
                network.run(5, self.check_versions)
                for _ in range(25):
                    self.apply_random_action()
                    network.run(network.rng.uniform(0.1, 3), self.check_versions)
                network.cut = []
                network.run(60, self.check_versions)
                states = [self.state(e) for e, _, _ in network.nodes.values()]
                for state in states[1:]:
                    self.assertEqual(state, states[0])
                self.assertEqual(states[0][0][0], max(network.history))
                live = [len(e._view.live()) for e, _, _ in network.nodes.values()]
                self.assertEqual(live, [9] * 10)

    def test_urgent_within_limit(self):
        """Guards against urgent records that take more than 3 s to reach all nodes."""
        self.network = network = SimulatedNetwork(1, 40)
        network.run(10, self.check_versions)
        exchange, clock, _ = network.nodes["n0"]
        exchange.publish_drain("data_centre/dc1", DrainState.DRAINED, clock())
        network.edit()
        network.run(3, self.check_versions)
        for other, _, _ in network.nodes.values():
            self.assertTrue(other.drain_marks())
            self.assertEqual(other.config[0], max(network.history))

    def test_paused_node(self):
        """Guards against a node that suspects all others after it was paused."""
        self.network = network = SimulatedNetwork(3, 12)
        network.run(5, self.check_versions)
        network.run(30, self.check_versions, paused="n0")
        exchange = network.nodes["n0"][0]
        others = [e for name, (e, _, _) in network.nodes.items() if name != "n0"]
        seen = [e._view.get("n0").state == "suspect" for e in others]
        self.assertTrue(any(seen))
        # Maintenance may run before the queued frames of the peers are read.
        exchange.maintain(network.nodes["n0"][1]())
        network.run(30, self.check_versions)
        self.assertNotIn("suspected", exchange.status(0.0)["counters"])
        for other in others:
            self.assertEqual(other._view.get("n0").state, "live")

    def test_dropped_records_do_not_return(self):
        """Guards against expired records that circulate among the nodes for ever."""
        self.network = network = SimulatedNetwork(4, 2)
        exchange, clock, _ = network.nodes["n0"]
        network.edit()
        network.read("n0", 2)
        before = exchange.status(clock())["records"]
        sender = Codec(KEY, "n1", 1)
        records = [
            Record(RecordKind.CONFIG, "1-2", 2, 0, b""),
            Record(RecordKind.CONFIG, "0-1", 1, 0, b""),
            Record(RecordKind.COLD, "e", 9, 700_000, b"\x00"),
            Record(RecordKind.PEER, "n7", 9, 700_000, b"\x01"),
        ]
        batch = Batch(0, 0, [], True, 2, 0, records)
        exchange.receive(sender.encode("n0", batch)[1])
        self.assertEqual(exchange.counters["new_records"], 0)
        self.assertEqual(exchange.status(clock())["records"], before)

    def test_many_changes_on_a_silent_link(self):
        """Guards against lost changes if more frames are lost than are reported."""
        self.network = network = SimulatedNetwork(5, 2)
        network.run(5, self.check_versions)
        network.store_is_up = False
        for link in network.links:
            link.silenced = True
        for _ in range(40):
            network.edit("n0")
            network.run(0.1, self.check_versions)
        network.run(30, self.check_versions)
        for exchange, _, _ in network.nodes.values():
            self.assertEqual(exchange.config[0], 41)

    def test_debt_of_the_bucket_is_paid_back(self):
        """Guards against heartbeats that keep the byte bucket in debt for ever."""
        self.network = network = SimulatedNetwork(2, 8)
        network.run(5, self.check_versions)
        exchange, clock, _ = network.nodes["n0"]
        for number in range(1_500):
            exchange.publish_cold(f"engine-{number:04}", True, clock())
        network.run(5, self.check_versions)
        self.assertLess(exchange.status(clock())["bucket_bytes"], -5_000)
        network.run(170, self.check_versions)
        for other, other_clock, _ in network.nodes.values():
            self.assertEqual(len(other.status(0.0)["cold"]), 1_500)
            self.assertGreater(other.status(other_clock())["bucket_bytes"], 0)
