"""Simulated plain service that counts executions by idempotency key."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import gevent

from .server import (
    Faults,
    StandIn,
    cut_connection,
    json_response,
    wait_until_closed,
)

NO_KEY = ""


class ServiceFaults(Faults, forbid_unknown_fields=True):
    """Faults after the execution, in addition to those of every simulated server.

    Counted: ``die_after`` cuts the connection without a response, ``hang_after``
    never responds, ``crossed`` sends the response of another request.
    ``answer_delay_s`` is the delay between execution and response.
    """

    die_after: int = 0
    hang_after: int = 0
    crossed: int = 0
    answer_delay_s: float = 0.0


@dataclass(frozen=True)
class Execution:
    """One execution: the idempotency key, the request id and the path."""

    key: str
    request_id: str
    path: str


OTHER_EXECUTION = Execution("other-key", "other-request", "/other")


class ServiceStandIn(StandIn):
    """Executes every ``POST /<path>``.

    Responses carry the request id in the body and in ``X-Request-Id``.  Idempotency
    keys are not checked, so a request that is sent twice is executed twice.
    ``GET /executions`` returns the counts by key, ``GET /load`` the load report.
    """

    def __init__(self, listen: str = "127.0.0.1:0", capacity: int = 64):
        super().__init__(listen, ServiceFaults())
        self.executions: list[Execution] = []
        self.routes["GET", "/executions"] = self._serve_executions
        self.routes["GET", "/load"] = self._serve_load
        self._capacity = capacity
        self._running = 0

    def counts(self) -> dict[str, int]:
        """Return the number of executions by idempotency key."""
        return dict(Counter(execution.key for execution in self.executions))

    def serve_unrouted(self, environ, start_response):
        """Execute a request and respond, subject to the faults."""
        if environ["REQUEST_METHOD"] != "POST":
            return super().serve_unrouted(environ, start_response)
        body = environ["wsgi.input"].read()
        self._running += 1
        try:
            rejection = self.inject_faults(environ, start_response)
            return rejection or self._execute(environ, start_response, body)
        finally:
            self._running -= 1

    def _serve_executions(self, environ, start_response):
        return json_response(start_response, "200 OK", self.counts())

    def _serve_load(self, environ, start_response):
        report = {
            "boot_id": self.boot_id,
            "state": "ready",
            "running": self._running,
            "capacity": self._capacity,
        }
        return json_response(start_response, "200 OK", report)

    def _execute(self, environ, start_response, body: bytes):
        key = environ.get("HTTP_IDEMPOTENCY_KEY", NO_KEY)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        path = environ["PATH_INFO"]
        execution = Execution(key, request_id, path)
        self.executions.append(execution)
        if self.faults.consume("die_after"):
            cut_connection(environ)
        if self.faults.consume("hang_after"):
            wait_until_closed(environ)
        if self.faults.answer_delay_s:
            gevent.sleep(self.faults.answer_delay_s)
        self.block_if_frozen(environ)
        if self.faults.consume("crossed"):
            execution = self._find_other(execution)
        answer = {
            "id": execution.request_id,
            "key": execution.key,
            "path": execution.path,
            "execution": len(self.executions),
            "bytes": len(body),
        }
        fields = [("X-Request-Id", execution.request_id)]
        return json_response(start_response, "200 OK", answer, fields)

    def _find_other(self, execution: Execution) -> Execution:
        """Return the latest execution of another request, or a made-up one."""
        for other in reversed(self.executions):
            if other.request_id != execution.request_id:
                return other
        return OTHER_EXECUTION
