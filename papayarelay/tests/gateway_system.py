"""An in-process gateway in front of scripted backend servers, for tests."""

from __future__ import annotations

import hashlib
import http.client
import random
import time
from dataclasses import dataclass, field, replace

from ..admission import AdmissionQueue
from ..callers.body import BodyMemory
from ..callers.gateway import Gateway
from ..callers.readiness import Gate
from ..callers.recorder import RequestRecorder
from ..config import (
    Backend,
    CallerLimits,
    Config,
    DataCentre,
    MemberConfig,
    Organisation,
    Route,
    Service,
    WeightedService,
)
from ..metrics import Metrics
from ..placement import PackAndSplit
from ..platform import orders  # noqa: F401  (registers the reservation calls)
from ..platform.config import MEMBER
from ..platform.wire import PlatformDialect, PlatformProtocol
from ..request import RequestKind
from ..retry import RetryBudget
from ..serving import Serving
from ..timing import EngineTiming
from .raw_server import RawServer, Script

LIMIT_S = 5.0
HOST = "h.example"
KEY = "key-1"

TIMING = EngineTiming(kv_tokens=100_000, prefill_tokens_per_s=1_000_000.0)
SEED = 3

CALL = RequestKind(
    "call", "service", idempotent=True, deadline_s=2.0, max_attempts=2, target_s=0.3
)
JOB = replace(CALL, name="job", idempotent=False)
STREAM = RequestKind(
    "stream",
    "engine",
    idempotent=True,
    deadline_s=3.0,
    max_attempts=2,
    target_s=0.3,
    gap_target_s=0.25,
)
ONCE = replace(STREAM, name="once", idempotent=False)


def make_routes() -> tuple[Route, ...]:
    """Return a route for each kind of request."""
    plain, model = (WeightedService("plain"),), (WeightedService("model"),)
    return (
        Route("call", HOST, "/call/", CALL, plain),
        Route("job", HOST, "/job/", JOB, plain),
        Route("open", HOST, "/open/", CALL, plain, public=True),
        Route("stream", HOST, "/stream/", STREAM, model, stream=True),
        Route("once", HOST, "/once/", ONCE, model, stream=True),
    )


def sealed_response(
    request, body: bytes, status: bytes = b"200 OK", extra: bytes = b""
):
    """Return a complete backend response with attempt id and seal headers."""
    return (
        b"HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s-%d\r\n%s"
        b"Content-Length: %d\r\n\r\n%s"
        % (
            status,
            request.get(b"X-Attempt-Id"),
            request.connection,
            extra,
            len(body),
            body,
        )
    )


def not_run_response(request) -> bytes:
    """Return a backend response saying that the request was not run."""
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\n"
        b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" % request.get(b"X-Attempt-Id")
    )


def stream_head(request, seal: bytes) -> bytes:
    """Return the head of a chunked event-stream response."""
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        % (request.get(b"X-Attempt-Id"), seal)
    )


def chunk(data: bytes) -> bytes:
    """Return data in the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return one server-sent event."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


LAST_CHUNK = b"0\r\n\r\n"


@dataclass
class Reply:
    """A response to a caller; ``whole`` is False if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True
    seconds: float = 0.0
    names: list[str] = field(default_factory=list)


class GatewaySystem:
    """A gateway with two backend services: ``plain`` and ``engines``."""

    def __init__(self, plain: int = 2, engines: int = 2, timing=TIMING):
        self.plain = [RawServer(self._default_script) for _ in range(plain)]
        self.engines = [RawServer(self._default_script) for _ in range(engines)]
        self.keys_valid = True
        self.config_is_current = True
        self.gate = Gate()
        rng = random.Random(SEED)
        self.serving = Serving(
            PackAndSplit(),
            AdmissionQueue(service_s=lambda cost: 0.0),
            RetryBudget(0.2, 10.0, 20.0),
            rng,
            time.monotonic,
            protocol=PlatformProtocol(),
        )
        self.gateway = Gateway(
            "127.0.0.1:0",
            PlatformDialect(),
            self.serving.dispatcher,
            self.gate,
            RequestRecorder(Metrics(), time.monotonic),
            BodyMemory(64 << 20),
            lambda: self.keys_valid,
            lambda: self.config_is_current,
            lambda: 0.1,
            rng,
            time.monotonic,
        )
        self.config = self._make_config(timing)

    def __enter__(self) -> GatewaySystem:
        self.serving.start()
        self.gateway.start()
        self.apply(self.config)
        return self

    def __exit__(self, *error: object) -> None:
        self.gateway.close()
        self.serving.close()
        for server in (*self.plain, *self.engines):
            server.close()

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port of the gateway."""
        host, _, port = self.gateway.address.rpartition(":")
        return host, int(port)

    def apply(self, config: Config) -> None:
        """Apply a configuration."""
        self.config = config
        self.serving.backends.apply(config)
        self.gateway.apply(config)

    def set_scripts(self, *scripts: Script) -> None:
        """Handle the n-th request that reaches any server with the n-th script.

        The last script handles all further requests.
        """
        remaining = list(scripts)

        def script(request):
            return (remaining.pop(0) if len(remaining) > 1 else remaining[0])(request)

        for server in (*self.plain, *self.engines):
            server.script = script

    @property
    def received_requests(self) -> list:
        """Return the requests received by all servers."""
        return [each for s in (*self.plain, *self.engines) for each in s.requests]

    def request(
        self, path: str, method: str = "GET", body: bytes | None = None, **headers: str
    ) -> Reply:
        """Send a request to the gateway and return its response.

        An empty header value removes that default header.
        """
        connection = http.client.HTTPConnection(*self.address, timeout=LIMIT_S)
        fields = {
            "Host": HOST,
            "X-Attempt-Id": "a1",
            "X-Deadline-Ms": "2000",
            "X-Key": KEY,
            **{name.replace("_", "-"): text for name, text in headers.items()},
        }
        fields = {name: text for name, text in fields.items() if text}
        started_s = time.monotonic()
        try:
            connection.request(method, path, body, fields)
            answer = connection.getresponse()
            whole = True
            try:
                data = answer.read()
            except http.client.IncompleteRead as error:
                data, whole = error.partial, False
            return Reply(
                answer.status,
                dict(answer.getheaders()),
                data,
                whole,
                time.monotonic() - started_s,
            )
        finally:
            connection.close()

    @staticmethod
    def _default_script(request):
        request.sock.sendall(sealed_response(request, b"ok"))

    def _make_config(self, timing: EngineTiming) -> Config:

        digest = hashlib.sha256(KEY.encode()).hexdigest()
        backends = {}
        for service, target, servers in (
            ("plain", "service", self.plain),
            ("model", "engine", self.engines),
        ):
            for number, server in enumerate(servers):
                backend_id = f"{service}-{number}"
                backends[backend_id] = Backend(
                    backend_id,
                    target,
                    "dc1",
                    f"http://{server.address}",
                    service=service,
                    slots=8,
                )
        return Config(
            version=1,
            members={
                MEMBER: MemberConfig(
                    MEMBER, 1.0, {"office": Organisation("office", 1.0, (digest,))}
                )
            },
            data_centres={"dc1": DataCentre("dc1", "r1")},
            backends=backends,
            services={
                "plain": Service("plain"),
                "model": Service("model", timing=timing),
            },
            routes=make_routes(),
            caller_limits=CallerLimits(2000, 100_000, 0.5, 1.0),
        )
