"""Tests of the broadcast of in-flight work between nodes."""

import random
import socket
import time
import unittest
from unittest import mock

import msgspec

from ..backends.restriction import Incarnation
from ..local import wait_for
from ..nodes import broadcast as broadcast_module
from ..nodes.broadcast import BroadcastListener, NodeStatus, WorkBroadcaster
from ..nodes.freshness import TableReport
from ..retry import RetryUsage
from ..routing import EngineWork
from ..store.revision import Revision

TIMEOUT_S = 5.0
WORK = {"engine-1": EngineWork(2, 1, 0.25, 5000)}


def free_port() -> int:
    """Return a free UDP port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class RecordingNode(BroadcastListener):
    """A node that records what it receives."""

    def __init__(self, name: str, seed: int, data_centre: str = "a"):
        self.address = ("127.0.0.1", free_port())
        self.own = NodeStatus()
        self.work: dict = {}
        self.statuses: dict = {}
        self.echoed_times: list = []
        self.notifications: list[bytes] = []
        self.groups: tuple = ()
        self.present = 0
        self.age_s = 1000.0 * seed
        self.broadcaster = WorkBroadcaster(
            name,
            data_centre,
            self.address,
            lambda: self.own,
            self,
            random.Random(seed),
            time.monotonic,
            lambda: self.age_s,
        )

    def on_status(self, peer, status, echoed_s):
        """Record the status of a peer."""
        if status.work is not None:
            self.work[peer] = status.work
        self.statuses[peer] = status
        self.echoed_times.append(echoed_s)

    def on_notification(self, notification):
        """Record a notification."""
        self.notifications.append(notification)

    def on_peer_gone(self, peer):
        """Discard the work of a peer."""
        self.work.pop(peer, None)

    def on_groups(self, groups):
        """Record the groups."""
        self.groups = groups

    def on_present_count(self, nodes):
        """Record the number of present nodes."""
        self.present = nodes


WORK_RECORDS = [broadcast_module._WorkRecord("e", 1, 0, 0, 0)]


def message(instance_id: int, sequence: int, work: list):
    """Return a message of a node that does not run."""
    return broadcast_module._StatusMessage(
        "n9", "a", instance_id, sequence, False, 0, work, [], [], []
    )


class BroadcastTest(unittest.TestCase):
    """Guards against routing decisions that ignore the work of other nodes."""

    def setUp(self):
        self.first, self.second = RecordingNode("n1", 1), RecordingNode("n2", 2)
        for node in (self.first, self.second):
            node.broadcaster.start()
            self.addCleanup(node.broadcaster.close)
        self.first.broadcaster.add_peer("n2", self.second.address, "a")

    def test_presence_ratio(self):
        """Guards against an isolated node that takes itself for the whole group."""
        broadcaster = self.first.broadcaster
        wait_for(lambda: broadcaster.presence_ratio == 1.0, TIMEOUT_S, "all present")
        for number in range(3, 6):
            broadcaster.add_peer(f"n{number}", ("127.0.0.1", 9), "a")
        self.assertEqual(broadcaster.presence_ratio, 0.4)
        self.second.broadcaster.close()
        wait_for(lambda: broadcaster.presence_ratio == 0.25, TIMEOUT_S, "leaving")

    def test_work_sent_soon(self):
        """Nodes would pick the same engine at once, as changed work arrives late."""
        self.first.own = NodeStatus(WORK)
        self.first.broadcaster.notify_change()
        wait_for(lambda: self.second.work.get("n1") == WORK, TIMEOUT_S, "work")

    def test_retries_sent(self):
        """Nodes would together exceed the retry budget, unaware of others' retries."""
        self.first.own = NodeStatus(retries={"model": RetryUsage(10, 2)})
        self.first.broadcaster.notify_change()
        wait_for(
            lambda: (
                "n1" in self.second.statuses
                and self.second.statuses["n1"].retries == self.first.own.retries
            ),
            TIMEOUT_S,
            "retries",
        )

    def test_table_reports_echo_a_timestamp(self):
        """A peer's read would appear fresher than it is, if its delay did not count."""
        report = TableReport(Revision(2, 9), 7, 0.5)
        self.first.own = NodeStatus(table_reports={"op": report})
        wait_for(
            lambda: 2000.0 in self.second.echoed_times, TIMEOUT_S, "echoed timestamp"
        )
        self.assertEqual(
            self.second.statuses["n1"].table_reports, self.first.own.table_reports
        )

    def test_deeply_nested_datagram(self):
        """One datagram would end the task that receives all others."""
        data = b"\x93\x00\x00" + b"\x91" * 50_000 + b"\xc0"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, self.second.address)
        receiver = self.second.broadcaster
        wait_for(lambda: receiver.malformed == 1, TIMEOUT_S, "count")
        self.first.own = NodeStatus(retries={"s": RetryUsage(7, 3)})
        wait_for(
            lambda: (
                "n1" in self.second.statuses
                and self.second.statuses["n1"].retries == self.first.own.retries
            ),
            TIMEOUT_S,
            "status",
        )

    def test_timestamp_of_an_earlier_instance(self):
        """A timestamp from before a restart would make old reads appear fresh."""
        wait_for(
            lambda: 2000.0 in self.second.echoed_times, TIMEOUT_S, "echoed timestamp"
        )
        # The first node still echoes the old instance id.
        self.second.broadcaster._tasks[1].kill()
        self.second.broadcaster._instance_id += 1
        self.second.echoed_times.clear()
        wait_for(lambda: self.second.echoed_times, TIMEOUT_S, "message")
        self.assertIsNone(self.second.echoed_times[0])

    def test_leaving_servers(self):
        """Peers would still use a server that only one node knows to be leaving."""
        leaving = (Incarnation("engine-1", 7),)
        self.first.own = NodeStatus(leaving=leaving)
        self.first.broadcaster.notify_change(urgent=True)
        wait_for(
            lambda: self.second.statuses.get("n1", NodeStatus()).leaving == leaving,
            TIMEOUT_S,
            "leaving server",
        )

    def test_notification(self):
        """A change that one node has read would reach its peers late."""
        wait_for(lambda: self.second.statuses, TIMEOUT_S, "first message")
        self.first.broadcaster.publish(b"rows")
        wait_for(
            lambda: self.second.notifications == [b"rows"], TIMEOUT_S, "notification"
        )

    def test_rank(self):
        """A group would have two leaders, or none after its leader has died."""
        wait_for(
            lambda: self.first.statuses and self.second.statuses, TIMEOUT_S, "messages"
        )
        ranks = {self.first.broadcaster.rank, self.second.broadcaster.rank}
        self.assertEqual(ranks, {0, 1})
        leader, other = self.first, self.second
        if leader.broadcaster.rank:
            leader, other = other, leader
        for task in leader.broadcaster._tasks:
            task.kill()
        wait_for(lambda: other.broadcaster.rank == 0, TIMEOUT_S, "new rank")

    def test_unlisted_peer(self):
        """A node would get no messages until it is on the node list of its peers."""
        self.second.own = NodeStatus(WORK)
        wait_for(lambda: self.first.work.get("n2") == WORK, TIMEOUT_S, "answer")
        self.assertEqual(self.first.groups, self.second.groups)
        self.assertEqual(len(self.first.groups[0].nodes), 2)

    def test_leaving(self):
        """The work of a node that has shut down would count until the work timeout."""
        self.first.own = NodeStatus(WORK)
        self.first.broadcaster.notify_change()
        wait_for(lambda: "n1" in self.second.work, TIMEOUT_S, "work")
        self.first.broadcaster.close()
        wait_for(lambda: "n1" not in self.second.work, TIMEOUT_S, "leave")
        self.assertEqual(self.second.groups[0].nodes, ("n2",))

    def test_silent_peer(self):
        """The work of a node that has crashed would count for ever."""
        self.first.own = NodeStatus(WORK)
        self.first.broadcaster.notify_change()
        wait_for(lambda: "n1" in self.second.work, TIMEOUT_S, "work")
        for task in self.first.broadcaster._tasks:
            task.kill()
        limit_s = (
            broadcast_module.WORK_TIMEOUT_S + 2 * broadcast_module.HEARTBEAT_INTERVAL_S
        )
        wait_for(lambda: "n1" not in self.second.work, limit_s, "silence")

    def _crash_first(self) -> None:
        """Crash the first node and shorten the absence timeout of the second."""
        wait_for(lambda: "n1" in self.second.statuses, TIMEOUT_S, "message")
        for task in self.first.broadcaster._tasks:
            task.kill()
        patch = mock.patch.object(broadcast_module, "ABSENT_TIMEOUT_S", 0.3)
        patch.start()
        self.addCleanup(patch.stop)

    def test_dropped(self):
        """A crashed node would stay in its group after it has left the node list."""
        self._crash_first()
        wait_for(lambda: self.second.present == 1, TIMEOUT_S, "absence")
        self.assertEqual(len(self.second.groups[0].nodes), 2)
        self.second.broadcaster.set_node_list({})
        self.assertEqual(self.second.groups[0].nodes, ("n2",))

    def test_listed_but_silent(self):
        """A node that is only unreachable from here would be removed from its group."""
        self._crash_first()
        wait_for(lambda: self.second.present == 1, TIMEOUT_S, "absence")
        node = broadcast_module.NodeAddress(self.first.address, "a")
        self.second.broadcaster.set_node_list({"n1": node})
        self.assertEqual(len(self.second.groups[0].nodes), 2)

    def test_heard_but_not_listed(self):
        """A working node whose row in the list is lost would be removed."""
        wait_for(lambda: "n1" in self.second.statuses, TIMEOUT_S, "message")
        self.second.broadcaster.set_node_list({})
        self.assertEqual(len(self.second.groups[0].nodes), 2)

    def test_present_again(self):
        """A node that was absent and is heard again would not count as present."""
        self._crash_first()
        wait_for(lambda: self.second.present == 1, TIMEOUT_S, "absence")
        later = message(7, 5, [])
        self.second.broadcaster._on_message(
            msgspec.structs.replace(later, sender="n1"), ("127.0.0.1", 9), None
        )
        wait_for(lambda: self.second.present == 2, TIMEOUT_S, "presence")

    def test_receive_error(self):
        """A socket error would end the receive loop."""
        sock = self.second.broadcaster._sock
        failing = mock.Mock(wraps=sock)
        errors = [OSError(111, "refused")]

        def receive(size):
            if errors:
                raise errors.pop()
            return sock.recvfrom(size)

        failing.recvfrom = receive
        self.second.broadcaster._sock = failing
        self.test_work_sent_soon()

    def test_malformed(self):
        """A malformed datagram would end the receive loop."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (b"", b"\x00", b"\x95\x01", b"x" * 1000):
                sock.sendto(data, self.second.address)
        wait_for(lambda: self.second.broadcaster.malformed == 4, TIMEOUT_S, "count")
        self.test_work_sent_soon()

    def test_old_message(self):
        """A reordered datagram would overwrite the state of a newer one."""
        for each in (message(7, 5, []), message(7, 4, WORK_RECORDS)):
            self.second.broadcaster._on_message(each, ("127.0.0.1", 9), None)
        self.assertEqual(self.second.work["n9"], {})

    def test_restarted_peer(self):
        """A restarted node, whose sequence numbers start again, would be ignored."""
        for each in (message(7, 500, []), message(8, 1, WORK_RECORDS)):
            self.second.broadcaster._on_message(each, ("127.0.0.1", 9), None)
        self.assertEqual(self.second.work["n9"], {"e": EngineWork(1)})
