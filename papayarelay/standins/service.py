"""Stand-in of a plain service that counts executions by idempotency key."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import gevent
import msgspec
from gevent.event import Event

from .server import StandIn, answer_json, cut_connection, read_json

NO_KEY = ""


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the service; each count is the number of requests it still hits.

    ``delay_s`` is waited before every execution.  ``die_after`` executes and cuts
    the connection without an answer, ``hang`` executes nothing and never answers,
    ``hang_after`` executes and never answers, ``refuse`` answers 503 without
    executing.  A count of -1 hits every request.  Setting ``refuse_s`` closes the
    listening socket for that many seconds.
    """

    delay_s: float = 0.0
    die_after: int = 0
    hang: int = 0
    hang_after: int = 0
    refuse: int = 0
    refuse_s: float = 0.0


@dataclass(frozen=True)
class Execution:
    """One execution: the idempotency key, the request id and the path."""

    key: str
    request_id: str
    path: str


class ServiceStandIn(StandIn):
    """Accepts ``POST /<path>`` and runs every request it gets.

    It does not check keys, so a request that is sent twice is executed twice.
    ``GET /executions`` returns the counts by key, ``GET /load`` the load report.
    """

    def __init__(self, listen: str = "127.0.0.1:0", capacity: int = 64):
        super().__init__(listen)
        self.faults = ServiceFaults()
        self.executions: list[Execution] = []
        self._capacity = capacity
        self._running = 0

    def counts(self) -> dict[str, int]:
        """Return the number of executions by idempotency key."""
        return dict(Counter(execution.key for execution in self.executions))

    def application(self, environ, start_response):
        """Answer one request (WSGI)."""
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        if route == ("GET", "/executions"):
            return answer_json(start_response, "200 OK", self.counts())
        if route == ("GET", "/load"):
            return answer_json(start_response, "200 OK", self._load())
        if route == ("POST", "/faults"):
            return self._set_faults(environ, start_response)
        if route[0] == "POST":
            return self._serve(environ, start_response)
        return answer_json(start_response, "404 Not Found", {"error": "no such path"})

    def _load(self) -> dict:
        return {
            "boot_id": self.boot_id,
            "state": "ready",
            "running": self._running,
            "capacity": self._capacity,
        }

    def _set_faults(self, environ, start_response):
        try:
            fields = read_json(environ)
            known = msgspec.to_builtins(self.faults)
            self.faults = msgspec.convert({**known, **fields}, ServiceFaults)
        except msgspec.MsgspecError as error:
            body = {"error": str(error)}
            return answer_json(start_response, "400 Bad Request", body)
        if self.faults.refuse_s:
            self.refuse_connections(self.faults.refuse_s)
            self.faults.refuse_s = 0.0
        return answer_json(start_response, "200 OK", self.faults)

    def _serve(self, environ, start_response):
        body = environ["wsgi.input"].read()
        if self._hits("refuse"):
            error = {"error": "refused"}
            return answer_json(start_response, "503 Service Unavailable", error)
        if self._hits("hang"):
            _hang()
        self._running += 1
        try:
            if self.faults.delay_s:
                gevent.sleep(self.faults.delay_s)
            return self._execute(environ, start_response, body)
        finally:
            self._running -= 1

    def _execute(self, environ, start_response, body: bytes):
        key = environ.get("HTTP_IDEMPOTENCY_KEY", NO_KEY)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        path = environ["PATH_INFO"]
        self.executions.append(Execution(key, request_id, path))
        if self._hits("die_after"):
            cut_connection(environ)
            return []
        if self._hits("hang_after"):
            _hang()
        answer = {
            "id": request_id,
            "key": key,
            "path": path,
            "execution": len(self.executions),
            "bytes": len(body),
        }
        return answer_json(start_response, "200 OK", answer)

    def _hits(self, fault: str) -> bool:
        """Return whether the fault hits this request, and count it down."""
        left = getattr(self.faults, fault)
        if left > 0:
            setattr(self.faults, fault, left - 1)
        return left != 0


def _hang() -> None:
    """Keep the connection open without an answer until the stand-in closes."""
    Event().wait()
