"""Tests of the broadcast of in-flight work between nodes."""

import random
import socket
import time
import unittest
from unittest import mock

import msgspec

from ..backends.restriction import Incarnation
from ..local import wait_for
from ..nodes import board as board_module
from ..nodes.board import BoardListener, NodeFigures, WorkBoard
from ..nodes.knowledge import Word
from ..retry import RetryUsage
from ..routing import EngineWork

LIMIT_S = 5.0
WORK = {"engine-1": EngineWork(2, 1, 0.25, 5000)}


def free_port() -> int:
    """Return a free UDP port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Member(BoardListener):
    """A node that records what it receives."""

    def __init__(self, name: str, seed: int, data_centre: str = "a"):
        self.address = ("127.0.0.1", free_port())
        self.own = NodeFigures()
        self.work: dict = {}
        self.told: dict = {}
        self.stamps: list = []
        self.notices: list[bytes] = []
        self.groups: tuple = ()
        self.present = 0
        self.age_s = 1000.0 * seed
        self.board = WorkBoard(
            name,
            data_centre,
            self.address,
            lambda: self.own,
            self,
            random.Random(seed),
            time.monotonic,
            lambda: self.age_s,
        )

    def take(self, peer, figures, stamp_s):
        """Record the state of a peer."""
        if figures.work is not None:
            self.work[peer] = figures.work
        self.told[peer] = figures
        self.stamps.append(stamp_s)

    def take_notice(self, notice):
        """Record a notice."""
        self.notices.append(notice)

    def drop(self, peer):
        """Discard the work of a peer."""
        self.work.pop(peer, None)

    def regroup(self, groups):
        """Record the groups."""
        self.groups = groups

    def set_present(self, nodes):
        """Record the number of present nodes."""
        self.present = nodes


FIGURES = [board_module._Figures("e", 1, 0, 0, 0)]


def message(start: int, number: int, work: list):
    """Return a message of a node that does not run."""
    return board_module._Message("n9", "a", start, number, False, 0, work, [], [], [])


class BoardTest(unittest.TestCase):
    """Guards against routing decisions that ignore the work of other nodes."""

    def setUp(self):
        self.first, self.second = Member("n1", 1), Member("n2", 2)
        for member in (self.first, self.second):
            member.board.start()
            self.addCleanup(member.board.close)
        self.first.board.add_peer("n2", self.second.address, "a")

    def test_told_soon(self):
        """Nodes would pick the same engine at once, as changed work arrives late."""
        self.first.own = NodeFigures(WORK)
        self.first.board.changed()
        wait_for(lambda: self.second.work.get("n1") == WORK, LIMIT_S, "work")

    def test_retries_told(self):
        """Nodes would together exceed the retry budget, unaware of others' retries."""
        self.first.own = NodeFigures(retries={"model": RetryUsage(10, 2)})
        self.first.board.changed()
        wait_for(
            lambda: (
                "n1" in self.second.told
                and self.second.told["n1"].retries == self.first.own.retries
            ),
            LIMIT_S,
            "retries",
        )

    def test_words_answer_to_a_stamp(self):
        """A peer's read would appear fresher than it is, if its delay did not count."""
        self.first.own = NodeFigures(words={"op": Word(9, 7, 0.5)})
        wait_for(lambda: 2000.0 in self.second.stamps, LIMIT_S, "echoed timestamp")
        self.assertEqual(self.second.told["n1"].words, self.first.own.words)

    def test_stamp_of_an_earlier_start(self):
        """A timestamp from before a restart would make old reads appear fresh."""
        wait_for(lambda: 2000.0 in self.second.stamps, LIMIT_S, "echoed timestamp")
        # The first node still echoes the old instance id.
        self.second.board._tasks[1].kill()
        self.second.board._start += 1
        self.second.stamps.clear()
        wait_for(lambda: self.second.stamps, LIMIT_S, "message")
        self.assertIsNone(self.second.stamps[0])

    def test_leaving_servers(self):
        """Peers would still use a server that only one node knows to be leaving."""
        leaving = (Incarnation("engine-1", 7),)
        self.first.own = NodeFigures(leaving=leaving)
        self.first.board.changed(urgent=True)
        wait_for(
            lambda: self.second.told.get("n1", NodeFigures()).leaving == leaving,
            LIMIT_S,
            "leaving server",
        )

    def test_notice(self):
        """A change that one node has read would reach its peers late."""
        wait_for(lambda: self.second.told, LIMIT_S, "first message")
        self.first.board.publish(b"rows")
        wait_for(lambda: self.second.notices == [b"rows"], LIMIT_S, "notice")

    def test_rank(self):
        """A group would have two leaders, or none after its leader has died."""
        wait_for(lambda: self.first.told and self.second.told, LIMIT_S, "messages")
        ranks = {self.first.board.rank, self.second.board.rank}
        self.assertEqual(ranks, {0, 1})
        leader, other = self.first, self.second
        if leader.board.rank:
            leader, other = other, leader
        for task in leader.board._tasks:
            task.kill()
        wait_for(lambda: other.board.rank == 0, LIMIT_S, "new rank")

    def test_unlisted_peer(self):
        """A node would get no messages until it is on the node list of its peers."""
        self.second.own = NodeFigures(WORK)
        wait_for(lambda: self.first.work.get("n2") == WORK, LIMIT_S, "answer")
        self.assertEqual(self.first.groups, self.second.groups)
        self.assertEqual(len(self.first.groups[0].nodes), 2)

    def test_leaving(self):
        """The work of a node that has shut down would count until the silence limit."""
        self.first.own = NodeFigures(WORK)
        self.first.board.changed()
        wait_for(lambda: "n1" in self.second.work, LIMIT_S, "work")
        self.first.board.close()
        wait_for(lambda: "n1" not in self.second.work, LIMIT_S, "leave")
        self.assertEqual(self.second.groups[0].nodes, ("n2",))

    def test_silent_peer(self):
        """The work of a node that has crashed would count for ever."""
        self.first.own = NodeFigures(WORK)
        self.first.board.changed()
        wait_for(lambda: "n1" in self.second.work, LIMIT_S, "work")
        for task in self.first.board._tasks:
            task.kill()
        limit_s = board_module.SILENCE_S + 2 * board_module.HEARTBEAT_S
        wait_for(lambda: "n1" not in self.second.work, limit_s, "silence")

    def _silence_first(self) -> None:
        """Crash the first node and shorten the time until the second has it absent."""
        wait_for(lambda: "n1" in self.second.told, LIMIT_S, "message")
        for task in self.first.board._tasks:
            task.kill()
        patch = mock.patch.object(board_module, "ABSENT_S", 0.3)
        patch.start()
        self.addCleanup(patch.stop)

    def test_dropped(self):
        """A crashed node would stay in its group after it has left the node list."""
        self._silence_first()
        wait_for(lambda: self.second.present == 1, LIMIT_S, "absence")
        self.assertEqual(len(self.second.groups[0].nodes), 2)
        self.second.board.set_listed({})
        self.assertEqual(self.second.groups[0].nodes, ("n2",))

    def test_listed_but_silent(self):
        """A node that is only unreachable from here would be removed from its group."""
        self._silence_first()
        wait_for(lambda: self.second.present == 1, LIMIT_S, "absence")
        node = board_module.NodeAddress(self.first.address, "a")
        self.second.board.set_listed({"n1": node})
        self.assertEqual(len(self.second.groups[0].nodes), 2)

    def test_heard_but_not_listed(self):
        """A working node whose row in the list is lost would be removed."""
        wait_for(lambda: "n1" in self.second.told, LIMIT_S, "message")
        self.second.board.set_listed({})
        self.assertEqual(len(self.second.groups[0].nodes), 2)

    def test_present_again(self):
        """A node that was absent and is heard again would not count as present."""
        self._silence_first()
        wait_for(lambda: self.second.present == 1, LIMIT_S, "absence")
        later = message(7, 5, [])
        self.second.board._accept(
            msgspec.structs.replace(later, sender="n1"), ("127.0.0.1", 9), None
        )
        wait_for(lambda: self.second.present == 2, LIMIT_S, "presence")

    def test_receive_error(self):
        """A socket error would end the receive loop."""
        sock = self.second.board._sock
        failing = mock.Mock(wraps=sock)
        errors = [OSError(111, "refused")]

        def receive(size):
            if errors:
                raise errors.pop()
            return sock.recvfrom(size)

        failing.recvfrom = receive
        self.second.board._sock = failing
        self.test_told_soon()

    def test_malformed(self):
        """A malformed datagram would end the receive loop."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (b"", b"\x00", b"\x95\x01", b"x" * 1000):
                sock.sendto(data, self.second.address)
        wait_for(lambda: self.second.board.malformed == 4, LIMIT_S, "count")
        self.test_told_soon()

    def test_old_message(self):
        """A reordered datagram would overwrite the state of a newer one."""
        for each in (message(7, 5, []), message(7, 4, FIGURES)):
            self.second.board._accept(each, ("127.0.0.1", 9), None)
        self.assertEqual(self.second.work["n9"], {})

    def test_restarted_peer(self):
        """A restarted node, whose sequence numbers start again, would be ignored."""
        for each in (message(7, 500, []), message(8, 1, FIGURES)):
            self.second.board._accept(each, ("127.0.0.1", 9), None)
        self.assertEqual(self.second.work["n9"], {"e": EngineWork(1)})
