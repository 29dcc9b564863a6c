"""Reverse proxy: forwards requests to backend servers by route."""

from __future__ import annotations

import contextlib
import random
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass, replace

import gevent
import h11
from gevent.pool import Pool
from gevent.server import StreamServer

from ..backends.protocol import Chunk
from ..config import Config, Route
from ..dispatch import Dispatcher
from ..errors import (
    AuthenticationError,
    BackendError,
    CallerGoneError,
    DeadlineError,
    Outcome,
    OverloadError,
    RelayError,
)
from ..events import Event
from ..logs import log
from ..request import Headers, Request, RequestKind
from ..segments import RequestDigest, segment_name
from . import response
from .body import BodyMemory
from .connection import CallerConnection
from .parse import ApiKeyIndex, Caller
from .readiness import RETRY_OTHER_NODE_S, Gate
from .recorder import RequestRecorder
from .routes import RouteTable, pick_service

BACKLOG = 1024
CONNECTIONS_LIMIT = 3000
# How long the rest of a rejected request is read before the response is sent.
DISCARD_TIMEOUT_S = 1.0
# Polling interval of `shut_down` for open connections.
SHUTDOWN_POLL_S = 0.01
BODY_TIMEOUT_S = 10.0
UNAVAILABLE = 503
# Statuses that guarantee that the request was not run and will not be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclass(frozen=True)
class RequestFields:
    """Request fields that callers send in headers.

    ``allowed_s`` is the caller's timeout in seconds, None if it sets none.
    ``headers`` are those forwarded to the backend server, ``segments`` the digests of
    the prompt segments but the last.
    """

    request_id: str
    key: str = ""
    allowed_s: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    resume_from: int = 0
    headers: Headers = ()
    segments: tuple[int, ...] = ()


class CallerDialect(ABC):
    """Extracts the request fields from the headers of a deployment's callers."""

    @abstractmethod
    def read(self, headers: Headers) -> RequestFields:
        """Parse the headers of a request; raises ``RequestError``."""


class Gateway:
    """Accepts caller connections and proxies their requests via the dispatcher.

    ``keys_valid`` returns whether the API keys in the node's configuration may still
    be accepted, ``config_is_current`` whether that configuration is current, and
    ``config_age_s`` the time since it was last read, in seconds.
    """

    def __init__(
        self,
        address: str,
        dialect: CallerDialect,
        dispatcher: Dispatcher,
        gate: Gate,
        recorder: RequestRecorder,
        body_memory: BodyMemory,
        keys_valid: Callable[[], bool],
        config_is_current: Callable[[], bool],
        config_age_s: Callable[[], float],
        rng: random.Random,
        clock: Callable[[], float],
    ):
        host, _, port = address.rpartition(":")
        self._dialect = dialect
        self._dispatcher = dispatcher
        self._gate = gate
        self._recorder = recorder
        self._body_memory = body_memory
        self._keys_valid = keys_valid
        self._config_is_current = config_is_current
        self._config_age_s = config_age_s
        self._rng = rng
        self._clock = clock
        self._config = Config()
        self._routes = RouteTable(())
        self._keys = ApiKeyIndex(self._config)
        self._server = StreamServer(
            (host, int(port)),
            self._serve,
            backlog=BACKLOG,
            spawn=Pool(CONNECTIONS_LIMIT),
        )
        self._connections: set[CallerConnection] = set()

    @property
    def address(self) -> str:
        """Return the address in use as ``host:port``."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def apply(self, config: Config) -> None:
        """Apply a new configuration."""
        self._config = config
        self._routes = RouteTable(config.routes)
        self._keys = ApiKeyIndex(config)

    def start(self) -> None:
        """Begin to listen; raises ``OSError`` when the address is taken."""
        self._server.start()

    def shut_down(self, timeout_s: float) -> bool:
        """Close idle connections and wait for the busy ones to end.

        New connections are accepted until none is open, since the load balancer
        may still send some; then the listening socket is closed.  Returns whether
        all connections ended in time.
        """
        deadline_s = self._clock() + timeout_s
        for connection in self._connections:
            if not connection.busy:
                connection.stop_reading()
        self._wait_until_all_closed(deadline_s)
        for sock, address in self._accept_backlog():
            gevent.spawn(self._serve, sock, address)
        gevent.sleep(0)
        self._wait_until_all_closed(deadline_s)
        return not self._connections

    def _wait_until_all_closed(self, deadline_s: float) -> None:
        while self._connections and self._clock() < deadline_s:
            gevent.sleep(SHUTDOWN_POLL_S)

    def _accept_backlog(self) -> list[tuple[socket.socket, tuple]]:
        """Close the listening socket; return the connections left in its backlog."""
        self._server.stop_accepting()
        accepted = []
        with contextlib.suppress(OSError):
            while (opened := self._server.do_read()) is not None:
                accepted.append(opened)
        self._server.close()
        return accepted

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock, address) -> None:
        """Serve the requests of one connection until it ends."""
        connection = CallerConnection(sock, self._config.caller_limits)
        self._connections.add(connection)
        try:
            while self._serve_request(connection):
                pass
        except CallerGoneError:
            connection.abort()
        finally:
            connection.close()
            self._connections.discard(connection)

    def _serve_request(self, connection: CallerConnection) -> bool:
        """Serve the next request; return whether to keep the connection open."""
        try:
            head = connection.read_request()
        except RelayError as error:
            self._send_error(connection, error)
            return False
        if head is None:
            return False
        received_s = self._clock()
        with ExitStack() as stack:
            request = None
            try:
                stack.enter_context(self._gate.track_request())
                request, streamed = self._admit(stack, connection, head, received_s)
                with connection.watch_disconnect():
                    if streamed:
                        self._forward_stream(connection, request)
                    else:
                        self._forward_call(connection, request)
                self._recorder.record_finished(request)
            except RelayError as error:
                self._fail(connection, request, error)
            except Exception as error:
                log(Event.TASK_FAILED, task="gateway", error=error)
                self._fail(connection, request, _internal_error())
        kept = connection.response_complete and connection.is_reusable
        return kept and not self._gate.shutting_down

    def _admit(
        self,
        stack: ExitStack,
        connection: CallerConnection,
        head: h11.Request,
        received_s: float,
    ) -> tuple[Request, bool]:
        """Validate a request; return it and whether its response is streamed.

        Closing ``stack`` releases the memory of its body.  Raises ``RelayError``.
        """
        headers = tuple(head.headers.raw_items())
        fields = self._dialect.read(headers)
        connection.request_id = fields.request_id
        target = head.target.decode("ascii")
        route = self._find_route(_header(headers, b"host"), target)
        caller = self._authenticate(route, fields.key)
        method = head.method.decode("ascii")
        digest = RequestDigest(method, target, caller.organisation)
        body = self._read_body(stack, connection, digest)
        service = pick_service(route, self._rng)
        kind = self._kind(route, caller, service)
        allowed_s = min(kind.deadline_s, fields.allowed_s or kind.deadline_s)
        self._gate.check_time_left(received_s + allowed_s)
        request = Request(
            id=fields.request_id,
            member=caller.member,
            organisation=caller.organisation,
            kind=kind,
            model=fields.model,
            path=target,
            body=body,
            prompt_tokens=fields.prompt_tokens,
            max_tokens=fields.max_tokens,
            stream=route.stream,
            received_s=received_s,
            deadline_s=received_s + allowed_s,
            method=method,
            headers=fields.headers,
            service=service,
            resume_from=fields.resume_from,
            segments=fields.segments,
            digest=digest.value,
        )
        self._recorder.record_admitted(request)
        log(
            Event.REQUEST_ADMITTED,
            request=request.id,
            kind=kind.name,
            organisation=request.organisation,
            service=request.service,
            prompt_tokens=request.prompt_tokens,
            received=request.resume_from,
            segments=tuple(map(segment_name, request.segments)),
            digest=segment_name(request.digest),
            allowed_s=round(allowed_s, 3),
            config_version=self._config.version,
            config_age_s=round(self._config_age_s(), 3),
        )
        return request, route.stream

    def _find_route(self, host: str, target: str) -> Route:
        try:
            return self._routes.find(host, target)
        except RelayError as error:
            raise self._retryable_if_stale(error) from None

    def _authenticate(self, route: Route, key: str) -> Caller:
        """Return the caller, ``ANONYMOUS`` if it has no key and needs none."""
        if not self._config.members:
            return ANONYMOUS
        if route.public:
            return self._keys.get(key) or ANONYMOUS
        if not self._keys_valid():
            raise _stale_config_error("API keys may have been revoked")
        caller = self._keys.get(key)
        if caller is None:
            error = AuthenticationError(
                "API key is missing or unknown", step="authenticate", peer="caller"
            )
            raise self._retryable_if_stale(error)
        return caller

    def _retryable_if_stale(self, error: RelayError) -> RelayError:
        """Return the error, or a retryable one if the configuration may be stale."""
        if self._config_is_current():
            return error
        return _stale_config_error("configuration may be out of date")

    def _kind(self, route: Route, caller: Caller, service_name: str) -> RequestKind:
        """Return the route's request kind with its target and the caller's priority."""
        service = self._config.services.get(service_name)
        target = "engine" if service is not None and service.timing else "service"
        member = self._config.members.get(caller.member)
        organisation = member and member.organisations.get(caller.organisation)
        priority = route.kind.priority
        if organisation and organisation.priority is not None:
            priority = organisation.priority
        return replace(route.kind, target=target, priority=priority)

    def _read_body(
        self, stack: ExitStack, connection: CallerConnection, digest: RequestDigest
    ) -> bytes:
        try:
            with gevent.Timeout(BODY_TIMEOUT_S):
                body = connection.read_body(digest.update)
        except gevent.Timeout:
            raise DeadlineError(
                "timed out reading the request body", step="read_body", peer="caller"
            ) from None
        stack.enter_context(self._body_memory.reserve(len(body)))
        return body

    def _forward_call(self, connection: CallerConnection, request: Request) -> None:
        reply = self._dispatcher.call(request)
        headers = self._response_headers(reply.headers)
        connection.send_response(reply.status, headers, reply.body)

    def _forward_stream(self, connection: CallerConnection, request: Request) -> None:
        chunks = self._dispatcher.stream(request)
        try:
            self._forward_chunks(
                connection, self._recorder.record_stream(request, chunks)
            )
        finally:
            chunks.close()

    def _forward_chunks(
        self, connection: CallerConnection, chunks: Iterator[Chunk]
    ) -> None:
        started = False
        for chunk in chunks:
            if not chunk.event:
                continue
            if started:
                connection.send_chunk(chunk.event)
            else:
                headers = self._response_headers(chunk.head.headers)
                connection.begin_stream(chunk.head.status, headers, chunk.event)
                started = True
        if not started:
            raise BackendError(
                "stream has no further event",
                step="stream",
                peer="backends",
                outcome=Outcome.UNKNOWN,
            )
        connection.end_stream()

    def _response_headers(self, headers: Headers) -> Headers:
        """Return the response headers to forward to the caller."""
        kept = end_to_end(headers)
        if self._gate.shutting_down:
            kept += ((b"Connection", b"close"),)
        return kept

    def _fail(
        self, connection: CallerConnection, request: Request | None, error: RelayError
    ) -> None:
        """Send an error response, or abort a response that has started."""
        if request is None:
            self._recorder.record_rejected(error)
            log(
                Event.REQUEST_REFUSED,
                request=connection.request_id,
                error=error,
                status=public_status(error),
                config_version=self._config.version,
                config_age_s=round(self._config_age_s(), 3),
            )
        else:
            self._recorder.record_failed(request, error)
        if isinstance(error, CallerGoneError) or connection.response_started:
            connection.abort()
            return
        # If the connection closes with unread data, TCP resets it and the caller may
        # lose the response.
        with (
            contextlib.suppress(RelayError),
            gevent.Timeout(DISCARD_TIMEOUT_S, False),
        ):
            connection.discard_body()
        reply = getattr(error, "response", None)
        if reply is not None:
            headers = self._response_headers(reply.headers)
            connection.send_response(reply.status, headers, reply.body)
            return
        self._send_error(connection, error)

    def _send_error(self, connection: CallerConnection, error: RelayError) -> None:
        headers = ((b"Content-Type", b"application/json"),)
        status = public_status(error)
        if status in NOT_RUN_STATUSES and error.retry_after_s is not None:
            headers += ((b"Retry-After", b"%.3f" % error.retry_after_s),)
        available_elsewhere = getattr(error, "available_elsewhere", False)
        if (
            self._gate.shutting_down
            or available_elsewhere
            or not connection.request_complete
        ):
            headers += ((b"Connection", b"close"),)
        try:
            connection.send_response(status, headers, response.error_body(error))
        except (CallerGoneError, h11.LocalProtocolError):
            connection.abort()


ANONYMOUS = Caller("", "")


def public_status(error: RelayError) -> int:
    """Return the HTTP status; ``NOT_RUN_STATUSES`` are only for requests not run."""
    if error.outcome is Outcome.NOT_RUN:
        return UNAVAILABLE if error.status in (502, 504) else error.status
    return 502 if error.status in NOT_RUN_STATUSES else error.status


def end_to_end(headers: Headers) -> Headers:
    """Return the end-to-end headers, without the hop-by-hop ones."""
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named |= {item.strip().lower() for item in value.split(b",")}
    dropped = HOP_BY_HOP | named
    return tuple(item for item in headers if item[0].lower() not in dropped)


def _header(headers: Headers, name: bytes) -> str:
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return ""


def _internal_error() -> RelayError:
    return RelayError(
        "internal error", step="serve", peer="node", outcome=Outcome.UNKNOWN
    )


def _stale_config_error(message: str) -> OverloadError:
    """Return a retryable error for a stale configuration; other nodes may serve."""
    error = OverloadError(
        message, step="authenticate", peer="store", retry_after_s=RETRY_OTHER_NODE_S
    )
    error.available_elsewhere = True
    return error
