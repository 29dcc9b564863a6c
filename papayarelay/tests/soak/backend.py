"""Simulated engines and plain services that record which requests they execute."""

from __future__ import annotations

import contextlib
import json
import time
from collections import Counter
from dataclasses import dataclass, field

import gevent
import gevent.event
from gevent.server import StreamServer

from ..gateway_system import LAST_CHUNK, chunk, event, sealed_response, stream_head
from ..raw_server import RawServer, ReceivedRequest, reset
from ..test_bounds import ENDLESS, endless
from .restrictions import Restrictions

EVENT_INTERVAL_S = 0.02
# Tolerance for an exchange that ends after its deadline.
LATE_S = 1.5
PAUSES_S = (0.8, 3.0, 6.0)
BEAT_S = 0.4


@dataclass
class Ledger:
    """Executions of all backend servers, and the violations found so far."""

    runs: Counter = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Record a violated invariant."""
        self.faults.append(text)


@dataclass
class Ticket:
    """A KV cache reservation of an engine; ``uses`` counts the requests that use it."""

    tokens: int
    until_s: float
    used_s: float
    uses: int = 0


class BackendStandIn:
    """One backend server of a service, registered in the store.

    ``kind`` is ``engine`` or ``plain``.  ``mode`` selects a failure: ``hang``,
    ``refuse``, ``cut`` (reset after the request has run), ``torn`` (truncated
    response), ``extra`` (a second response), ``pause`` (503 with Retry-After),
    ``endless`` (a response without end), or none.  While it is ``leaving``, its
    responses carry ``Server-Leaving``.
    """

    def __init__(self, world, server_id: str, service: str, kind: str, zone: str):
        self.id = server_id
        self.service = service
        self.kind = kind
        self.zone = zone
        self.mode = ""
        self.leaving = False
        self.restrictions = Restrictions()
        self.draining_s: float | None = None
        self.tickets: dict[str, Ticket] = {}
        self.born = int(time.time() * 1000)
        self._world = world
        self._server = RawServer(self._serve)
        self._port = int(self._server.address.rpartition(":")[2])
        self._beat = gevent.spawn(self._run)

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"127.0.0.1:{self._port}"

    def crash(self) -> None:
        """Stop at once, without deregistering from the store."""
        self._beat.kill()
        self._server.close()
        for sock in list(self._server.sockets):
            reset(sock)

    def restart(self, server_id: str) -> None:
        """Restart at the same address."""
        self.id = server_id
        self.born = int(time.time() * 1000)
        self.tickets.clear()
        self.draining_s = None
        self.leaving = False
        self.restrictions = Restrictions()
        self.mode = ""
        self._server = RawServer(self._serve, self._port)
        self._beat = gevent.spawn(self._run)

    def drain(self) -> None:
        """Register this server as draining."""
        self.draining_s = time.monotonic()
        self._tell()

    def close(self) -> None:
        """Stop the server."""
        self._beat.kill()
        self._server.close()

    def _run(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            self._tell(sequence)
            gevent.sleep(BEAT_S)

    def _tell(self, sequence: int = 0) -> None:
        self._world.store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready" if self.draining_s is None else "draining",
                "cold_remaining_ms": 0,
                "sequence": sequence,
                "born": self.born,
            },
        )

    def _serve(self, request: ReceivedRequest) -> bool | None:
        path = request.target.decode()
        if path == "/papayarelay/report":
            names = [{"id": name} for name in self._live_tickets()]
            return self._reply(request, 200, {"tickets": names})
        if path == "/papayarelay/order":
            return self._order(request)
        self._check_restrictions(request)
        if request.get(b"X-Expect-Instance") != self.id.encode():
            return self._reply(request, 421, {})
        return self._begin(request)

    def _begin(self, request: ReceivedRequest) -> bool | None:
        """Execute a request, or fail it as ``mode`` says."""
        if self.mode == "refuse":
            return self._reply(request, 503, {}, b"X-Not-Executed: 1\r\n")
        if self.mode == "pause":
            return self._turn_away(request)
        self._check_arrival(request)
        if self.mode == "endless":
            return self._send_without_end(request)
        if self.mode == "hang":
            gevent.sleep(30)
            return False
        return self._answer(request)

    def _check_restrictions(self, request: ReceivedRequest) -> None:
        """Check a request against restrictions sent by this server and its helpers."""
        attempt = request.get(b"X-Attempt-Id").decode()
        node = self._world.sent_to.get(attempt)
        if node is None:
            return
        sent_s, now_s = self._world.sent_s[attempt], time.monotonic()
        servers = [self]
        for item in (request.get(b"X-Helpers") or b"").decode().split(","):
            servers.append(self._world.backend_at(item.partition("/")[0]))
        for server in filter(None, servers):
            broken = server.restrictions.check(node, sent_s, now_s)
            if broken:
                text = f"{broken} {attempt} reached {server.id} by {node.name}"
                self._world.ledger.note(text)

    def _turn_away(self, request: ReceivedRequest) -> None:
        pause_s = self._world.rng.choice(PAUSES_S)
        attempt = request.get(b"X-Attempt-Id").decode()
        node = self._world.sent_to[attempt]
        self.restrictions.tell_pause(node, pause_s, time.monotonic())
        extra = b"X-Not-Executed: 1\r\nRetry-After: %.1f\r\n" % pause_s
        self._reply(request, 503, {}, extra)

    def _send_without_end(self, request: ReceivedRequest) -> bool:
        """Send a response without end; the node has to close it by the deadline."""
        attempt = request.get(b"X-Attempt-Id")
        begin, more = self._world.rng.choice(list(ENDLESS.values()))
        begin = begin.replace(b"X-Id", b"X-Attempt-Id").replace(b"r1", attempt)
        begun_s = time.monotonic()
        endless(begin, more, EVENT_INTERVAL_S)(request)
        took_s = time.monotonic() - begun_s
        allowed_s = int(request.get(b"X-Deadline-Ms")) / 1000 + LATE_S
        node = self._world.sent_to[attempt.decode()]
        if took_s > allowed_s and node.running and node.disturbed_s < begun_s:
            text = f"ENDLESS {attempt.decode()} read for {took_s:.1f} s by {node.name}"
            self._world.ledger.note(text)
        return False

    def _check_arrival(self, request: ReceivedRequest) -> None:
        world = self._world
        now_s = time.monotonic()
        attempt = request.get(b"X-Attempt-Id").decode()
        ledger = world.ledger
        world.check_arrival(self, attempt, request, now_s)
        ledger.runs[attempt] += 1
        if ledger.runs[attempt] > 1 and attempt in world.once:
            ledger.note(f"TWICE {attempt} executed {ledger.runs[attempt]} times")
        if attempt in world.refused:
            ledger.note(f"REFUSED {attempt} executed after its rejection")

    def _answer(self, request: ReceivedRequest) -> bool | None:
        attempt = request.get(b"X-Attempt-Id").decode()
        if self.kind == "plain":
            gevent.sleep(self._world.rng.uniform(0.005, 0.05))
            if self.mode == "cut":
                reset(request.sock)
                return False
            body = f"answer to {attempt}".encode()
            data = sealed_response(request, body, extra=self._leaving_header(request))
            if self.mode == "torn":
                request.sock.sendall(data[:-3])
                return False
            request.sock.sendall(data + (data if self.mode == "extra" else b""))
            return None
        return self._stream(request, attempt)

    def _stream(self, request: ReceivedRequest, attempt: str) -> bool | None:
        events = self._world.events_of(attempt)
        tickets = self._use_tickets(request)
        try:
            first = int(request.get(b"Last-Event-Id") or 0) + 1
            head = stream_head(request, self.id.encode())
            extra = b"\r\n" + self._leaving_header(request)
            request.sock.sendall(head.replace(b"\r\n", extra, 1))
            for number in range(first, events + 1):
                gevent.sleep(EVENT_INTERVAL_S)
                if self.mode == "cut" and number > first + 1:
                    reset(request.sock)
                    return False
                request.sock.sendall(chunk(event(number)))
            request.sock.sendall(LAST_CHUNK)
        finally:
            now_s = time.monotonic()
            for ticket in tickets:
                ticket.uses -= 1
                ticket.used_s = now_s
        return None

    def _leaving_header(self, request: ReceivedRequest) -> bytes:
        """Return the ``Server-Leaving`` header field, or nothing."""
        if not self.leaving:
            return b""
        node = self._world.sent_to[request.get(b"X-Attempt-Id").decode()]
        self.restrictions.tell_leaving(node, time.monotonic())
        return b"Server-Leaving: 1\r\n"

    def _use_tickets(self, request: ReceivedRequest) -> list[Ticket]:
        used = []
        for item in (request.get(b"X-Helpers") or b"").decode().split(","):
            address, _, name = item.partition("/")
            helper = self._world.backend_at(address)
            if name and helper is not None and name in helper.tickets:
                ticket = helper.tickets[name]
                if ticket.uses:
                    self._world.ledger.note(
                        f"LIMIT reservation {name} used by two requests at once"
                    )
                ticket.uses += 1
                used.append(ticket)
        return used

    def _order(self, request: ReceivedRequest) -> None:
        fields = json.loads(request.body)
        name = fields["id"]
        fate = self._world.order_fate()
        if fate == "lost":
            gevent.sleep(30)
            return
        if fate == "late":
            gevent.spawn_later(self._world.rng.uniform(1, 4), self._carry_out, fields)
            gevent.sleep(30)
            return
        status = self._carry_out(fields)
        self._reply(request, status, {"free": 1, "id": name})

    def _carry_out(self, fields: dict) -> int:
        now_s = time.monotonic()
        if fields["operation"] == "release":
            self.tickets.pop(fields["id"], None)
            return 200
        ticket = self.tickets.get(fields["id"])
        until_s = now_s + fields["hold_ms"] / 1000
        if ticket is None:
            self.tickets[fields["id"]] = Ticket(fields["tokens"], until_s, now_s)
        else:
            ticket.until_s = until_s
        return 200

    def _live_tickets(self) -> list[str]:
        now_s = time.monotonic()
        for name, ticket in list(self.tickets.items()):
            if ticket.until_s < now_s:
                del self.tickets[name]
        return list(self.tickets)

    def leaked(self, limit_s: float) -> list[str]:
        """Return the reservations that have been unused for longer than ``limit_s``."""
        now_s = time.monotonic()
        self._live_tickets()
        return [
            name
            for name, ticket in self.tickets.items()
            if not ticket.uses and now_s - ticket.used_s > limit_s
        ]

    @staticmethod
    def _reply(
        request: ReceivedRequest, status: int, fields: dict, extra: bytes = b""
    ) -> None:
        body = json.dumps(fields).encode()
        attempt = request.get(b"X-Attempt-Id") or b"-"
        request.sock.sendall(
            b"HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, attempt, extra, len(body), body)
        )


class Proxy:
    """A TCP proxy on loopback that simulates network faults.

    ``mode`` is ``""``, ``silent`` (no data passes, connections stay open),
    ``one_way`` (responses do not pass) or ``refuse`` (new connections are reset).
    """

    def __init__(self, target: str):
        self.mode = ""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._pairs: set = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"127.0.0.1:{self._server.server_port}"

    def reset_all(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            for sock in pair:
                # The socket may have been closed meanwhile.
                with contextlib.suppress(OSError):
                    reset(sock)

    def close(self) -> None:
        """Stop listening and reset the connections."""
        self._server.stop(timeout=0)
        self.reset_all()

    def _serve(self, sock, address) -> None:
        if self.mode == "refuse":
            reset(sock)
            return
        try:
            other = gevent.socket.create_connection(self._target, 2.0)
        except OSError:
            reset(sock)
            return
        pair = (sock, other)
        self._pairs.add(pair)
        back = gevent.spawn(self._pump, other, sock, True)
        self._pump(sock, other, False)
        back.join()
        self._pairs.discard(pair)
        for each in pair:
            each.close()

    def _pump(self, source, target, back: bool) -> None:
        try:
            while data := source.recv(65536):
                while self.mode == "silent" or (self.mode == "one_way" and back):
                    gevent.sleep(0.05)
                target.sendall(data)
            target.shutdown(1)
        except OSError:
            return
