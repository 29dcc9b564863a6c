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
from .limits import LimitCheck
from .restrictions import Restrictions

EVENT_INTERVAL_S = 0.02
# Tolerance for an exchange that ends after its deadline.
DEADLINE_TOLERANCE_S = 1.5
PAUSES_S = (0.8, 3.0, 6.0)
HEARTBEAT_INTERVAL_S = 0.4
# Time from the begin of an answer to the crash that it causes, and to the restart.
CRASH_DELAY_S = 0.05
RESTART_S = 1.0


@dataclass
class Record:
    """Executions of all backend servers, and the violations found so far."""

    executions: Counter = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def add_violation(self, text: str) -> None:
        """Record a violated invariant."""
        self.violations.append(text)


@dataclass
class Reservation:
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
    responses carry ``Server-Leaving``; while it names a limit, ``Server-Limit``.
    """

    def __init__(self, environment, server_id: str, service: str, kind: str, zone: str):
        self.id = server_id
        self.service = service
        self.kind = kind
        self.zone = zone
        self.mode = ""
        self.leaving = False
        self._crashing = False
        self.restrictions = Restrictions()
        self.limit = LimitCheck()
        self.draining_s: float | None = None
        self.reservations: dict[str, Reservation] = {}
        self.born = int(time.time() * 1000)
        self._environment = environment
        self._server = RawServer(self._serve)
        self._port = int(self._server.address.rpartition(":")[2])
        self._heartbeat = gevent.spawn(self._send_heartbeats)

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f"127.0.0.1:{self._port}"

    def crash(self) -> None:
        """Stop at once, without deregistering from the store."""
        self._heartbeat.kill()
        self._server.close()
        for sock in list(self._server.sockets):
            reset(sock)

    def restart(self, server_id: str) -> None:
        """Restart at the same address."""
        self.id = server_id
        self.born = int(time.time() * 1000)
        self.reservations.clear()
        self.draining_s = None
        self.leaving = False
        self.restrictions = Restrictions()
        self.limit = LimitCheck()
        self.mode = ""
        self._server = RawServer(self._serve, self._port)
        self._heartbeat = gevent.spawn(self._send_heartbeats)

    def register_again(self) -> None:
        """Write the entry again after a restore of the store, if it is running."""
        if self._heartbeat:
            self._register()

    def drain(self) -> None:
        """Register this server as draining."""
        self.draining_s = time.monotonic()
        self._register()

    def close(self) -> None:
        """Stop the server."""
        self._heartbeat.kill()
        self._server.close()

    def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            self._register(sequence)
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _register(self, sequence: int = 0) -> None:
        self._environment.store.put(
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
        self._check_limits(request)
        if path == "/papayarelay/report":
            names = [{"id": name} for name in self._live_reservations()]
            return self._reply(request, 200, {"tickets": names})
        if path == "/papayarelay/order":
            return self._serve_command(request)
        self._check_restrictions(request)
        if request.get(b"X-Expect-Instance") != self.id.encode():
            return self._reply(request, 421, {})
        return self._execute(request)

    def _execute(self, request: ReceivedRequest) -> bool | None:
        """Execute a request, or fail it as ``mode`` says."""
        if self.mode == "refuse":
            return self._reply(request, 503, {}, b"X-Not-Executed: 1\r\n")
        if self.mode == "pause":
            return self._reject_with_pause(request)
        self._check_arrival(request)
        if self._environment.poison.crashes_engine(request):
            return self._crash_on(request)
        if self.mode == "endless":
            return self._send_endless(request)
        if self.mode == "hang":
            gevent.sleep(30)
            return False
        return self._answer(request)

    def _crash_on(self, request: ReceivedRequest) -> bool:
        """Crash as the answer to a request begins, and restart after a while."""
        environment = self._environment
        attempt = request.get(b"X-Attempt-Id").decode()
        now_s = time.monotonic()
        broken = environment.poison.check_arrival(
            environment.sent_to[attempt], environment.sent_s[attempt], now_s
        )
        if broken:
            environment.record.add_violation(f"BUDGET {broken}, reached {self.id}")
        if not self._crashing:
            self._crashing = True
            gevent.spawn_later(CRASH_DELAY_S, self._crash_and_restart)
        gevent.sleep(CRASH_DELAY_S + RESTART_S)
        return False

    def _crash_and_restart(self) -> None:
        self._environment.poison.record_crash(time.monotonic())
        self.crash()
        gevent.sleep(RESTART_S)
        self._crashing = False
        with contextlib.suppress(OSError):
            self.restart(self.id)

    def _check_restrictions(self, request: ReceivedRequest) -> None:
        """Check a request against restrictions sent by this server and its helpers."""
        attempt = request.get(b"X-Attempt-Id").decode()
        node = self._environment.sent_to.get(attempt)
        if node is None:
            return
        sent_s, now_s = self._environment.sent_s[attempt], time.monotonic()
        for server in (self, *self._helpers(request)):
            broken = server.restrictions.check(node, sent_s, now_s)
            if broken:
                text = f"{broken} {attempt} reached {server.id} by {node.name}"
                self._environment.record.add_violation(text)

    def _check_limits(self, request: ReceivedRequest) -> None:
        """Check a request against the limits of this server and its helpers."""
        node = self._environment.sender(request)
        if node is None:
            return
        for server in (self, *self._helpers(request)):
            broken = server.limit.check_arrival(node, time.monotonic())
            if broken:
                text = f"LIMIT {server.id} {broken}, the last one from {node.name}"
                self._environment.record.add_violation(text)

    def _helpers(self, request: ReceivedRequest) -> list[BackendStandIn]:
        """Return the engines that prefill parts of a request."""
        items = (request.get(b"X-Helpers") or b"").decode().split(",")
        found = [self._environment.backend_at(i.partition("/")[0]) for i in items]
        return [each for each in found if each is not None]

    def _reject_with_pause(self, request: ReceivedRequest) -> None:
        pause_s = self._environment.rng.choice(PAUSES_S)
        attempt = request.get(b"X-Attempt-Id").decode()
        node = self._environment.sent_to[attempt]
        self.restrictions.record_pause(node, pause_s, time.monotonic())
        extra = b"X-Not-Executed: 1\r\nRetry-After: %.1f\r\n" % pause_s
        self._reply(request, 503, {}, extra)

    def _send_endless(self, request: ReceivedRequest) -> bool:
        """Send a response without end; the node has to close it by the deadline."""
        attempt = request.get(b"X-Attempt-Id")
        begin, more = self._environment.rng.choice(list(ENDLESS.values()))
        begin = begin.replace(b"X-Id", b"X-Attempt-Id").replace(b"r1", attempt)
        begun_s = time.monotonic()
        endless(begin, more, EVENT_INTERVAL_S)(request)
        took_s = time.monotonic() - begun_s
        allowed_s = int(request.get(b"X-Deadline-Ms")) / 1000 + DEADLINE_TOLERANCE_S
        node = self._environment.sent_to[attempt.decode()]
        if took_s > allowed_s and node.running and node.disturbed_s < begun_s:
            text = f"ENDLESS {attempt.decode()} read for {took_s:.1f} s by {node.name}"
            self._environment.record.add_violation(text)
        return False

    def _check_arrival(self, request: ReceivedRequest) -> None:
        environment = self._environment
        now_s = time.monotonic()
        attempt = request.get(b"X-Attempt-Id").decode()
        record = environment.record
        environment.check_arrival(self, attempt, request, now_s)
        record.executions[attempt] += 1
        if record.executions[attempt] > 1 and attempt in environment.at_most_once:
            record.add_violation(
                f"TWICE {attempt} executed {record.executions[attempt]} times"
            )
        if attempt in environment.refused:
            record.add_violation(f"REFUSED {attempt} executed after its rejection")

    def _answer(self, request: ReceivedRequest) -> bool | None:
        attempt = request.get(b"X-Attempt-Id").decode()
        if self.kind == "plain":
            gevent.sleep(self._environment.rng.uniform(0.005, 0.05))
            if self.mode == "cut":
                reset(request.sock)
                return False
            body = f"answer to {attempt}".encode()
            data = sealed_response(request, body, extra=self._signals(request))
            if self.mode == "torn":
                request.sock.sendall(data[:-3])
                return False
            request.sock.sendall(data + (data if self.mode == "extra" else b""))
            return None
        return self._stream(request, attempt)

    def _stream(self, request: ReceivedRequest, attempt: str) -> bool | None:
        events = self._environment.event_count(attempt)
        reservations = self._use_reservations(request)
        try:
            first = int(request.get(b"Last-Event-Id") or 0) + 1
            head = stream_head(request, self.id.encode())
            extra = b"\r\n" + self._signals(request)
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
            for reservation in reservations:
                reservation.uses -= 1
                reservation.used_s = now_s
        return None

    def _signals(self, request: ReceivedRequest) -> bytes:
        """Return the header fields that tell how this server is doing."""
        node = self._environment.sender(request)
        now_s = time.monotonic()
        fields = self.limit.header(node, now_s)
        if self.leaving:
            self.restrictions.record_leaving(node, now_s)
            fields += b"Server-Leaving: 1\r\n"
        return fields

    def _use_reservations(self, request: ReceivedRequest) -> list[Reservation]:
        used = []
        for item in (request.get(b"X-Helpers") or b"").decode().split(","):
            address, _, name = item.partition("/")
            helper = self._environment.backend_at(address)
            if name and helper is not None and name in helper.reservations:
                reservation = helper.reservations[name]
                if reservation.uses:
                    self._environment.record.add_violation(
                        f"LIMIT reservation {name} used by two requests at once"
                    )
                reservation.uses += 1
                used.append(reservation)
        return used

    def _serve_command(self, request: ReceivedRequest) -> None:
        fields = json.loads(request.body)
        name = fields["id"]
        fault = self._environment.draw_command_fault()
        if fault == "lost":
            gevent.sleep(30)
            return
        if fault == "late":
            gevent.spawn_later(
                self._environment.rng.uniform(1, 4), self._apply_command, fields
            )
            gevent.sleep(30)
            return
        status = self._apply_command(fields)
        self._reply(request, status, {"free": 1, "id": name})

    def _apply_command(self, fields: dict) -> int:
        now_s = time.monotonic()
        if fields["operation"] == "release":
            self.reservations.pop(fields["id"], None)
            return 200
        reservation = self.reservations.get(fields["id"])
        until_s = now_s + fields["hold_ms"] / 1000
        if reservation is None:
            self.reservations[fields["id"]] = Reservation(
                fields["tokens"], until_s, now_s
            )
        else:
            reservation.until_s = until_s
        return 200

    def _live_reservations(self) -> list[str]:
        now_s = time.monotonic()
        for name, reservation in list(self.reservations.items()):
            if reservation.until_s < now_s:
                del self.reservations[name]
        return list(self.reservations)

    def leaked(self, limit_s: float) -> list[str]:
        """Return the reservations that have been unused for longer than ``limit_s``."""
        now_s = time.monotonic()
        self._live_reservations()
        return [
            name
            for name, reservation in self.reservations.items()
            if not reservation.uses and now_s - reservation.used_s > limit_s
        ]

    def _reply(
        self, request: ReceivedRequest, status: int, fields: dict, extra: bytes = b""
    ) -> None:
        node = self._environment.sender(request)
        extra += self.limit.header(node, time.monotonic())
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
        back = gevent.spawn(self._forward, other, sock, True)
        self._forward(sock, other, False)
        back.join()
        self._pairs.discard(pair)
        for each in pair:
            each.close()

    def _forward(self, source, target, back: bool) -> None:
        try:
            while data := source.recv(65536):
                while self.mode == "silent" or (self.mode == "one_way" and back):
                    gevent.sleep(0.05)
                target.sendall(data)
            target.shutdown(1)
        except OSError:
            return
