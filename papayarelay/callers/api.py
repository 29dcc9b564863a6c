"""The OpenAI-compatible HTTP API for callers, as a WSGI application."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from functools import partial

import bottle

from ..backends.protocol import Chunk
from ..backends.service import ServiceResponse
from ..config import Config
from ..dispatch import NO_GUARD, Dispatcher, DispatchGuard
from ..errors import BackendError, Outcome, OverloadError, RelayError
from ..job import JobRunner
from ..request import Request
from . import response
from .body import BodyLimits, BodyMemory, body_size, read_body
from .connection import caller_gone_error
from .parse import (
    ApiKeyIndex,
    Caller,
    Headers,
    parse_engine_request,
    parse_service_request,
)
from .readiness import Gate
from .recorder import RequestRecorder

JSON_TYPE = "application/json"
IDEMPOTENCY_HEADER = "HTTP_IDEMPOTENCY_KEY"
KEEP_ALIVE_EVENT = b": keep-alive\n\n"
STREAM_TYPE = "text/event-stream; charset=utf-8"


class CallerApi:
    """Validates and dispatches the requests of callers and builds the responses."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        jobs: JobRunner,
        gate: Gate,
        recorder: RequestRecorder,
        body_limits: BodyLimits,
        body_memory_bytes: int,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.body_memory = BodyMemory(body_memory_bytes)
        self._dispatcher = dispatcher
        self._jobs = jobs
        self._gate = gate
        self._recorder = recorder
        self._body_limits = body_limits
        self._clock = clock
        self._config = Config()
        self._keys = ApiKeyIndex(self._config)

    def apply(self, config: Config) -> None:
        """Apply a new configuration."""
        self._config = config
        self._keys = ApiKeyIndex(config)

    def create_app(self) -> bottle.Bottle:
        """Return the WSGI application."""
        app = bottle.Bottle()
        app.route("/v1/models", "GET", self._models)
        for path in ("/v1/chat/completions", "/v1/completions"):
            app.route(path, "POST", self._serve_engine)
        app.route("/v1/services/<kind>", "POST", self._serve_service)
        app.route("/healthz", "GET", lambda: "ok\n")
        app.route("/readyz", "GET", self._ready)
        app.default_error_handler = _convert_bottle_error
        return app

    def _ready(self) -> bottle.HTTPResponse:
        if self._gate.ready:
            return bottle.HTTPResponse("ready\n")
        return bottle.HTTPResponse("not ready\n", 503)

    def _authenticate(self) -> Caller:
        return self._keys.authenticate(_headers().get("Authorization", ""))

    def _models(self) -> bottle.HTTPResponse:
        try:
            self._authenticate()
        except RelayError as error:
            return _error_response(error)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "papayarelay"}
            for name in self._config.models
        ]
        return bottle.HTTPResponse({"object": "list", "data": models})

    def _serve_engine(self):
        """Handle one request to an engine."""
        path = bottle.request.environ["PATH_INFO"]
        return self._serve(parse_engine_request, path, self._respond_engine)

    def _serve_service(self, kind: str):
        """Handle one request to a plain service."""
        return self._serve(parse_service_request, kind, self._respond_service)

    def _serve(self, parse: Callable, name: str, respond: Callable):
        """Admit a request and build its response; errors become error responses."""
        environ = bottle.request.environ
        stack = ExitStack()
        request = None
        try:
            request = self._admit(stack, environ, parse, name)
            return respond(stack, request, environ)
        except RelayError as error:
            stack.close()
            if request is None:
                self._recorder.record_rejected(error)
            else:
                self._recorder.record_failed(request, error)
            return _error_response(error, IDEMPOTENCY_HEADER in environ)
        except BaseException:
            stack.close()
            raise

    def _respond_engine(self, stack: ExitStack, request: Request, environ: dict):
        if request.stream:
            return self._stream_response(stack, request, environ)
        collect = partial(self._collect, environ["papayarelay.socket"])
        return self._buffered_response(stack, request, collect)

    def _respond_service(self, stack: ExitStack, request: Request, environ: dict):
        return self._buffered_response(stack, request, self._dispatcher.call)

    def _buffered_response(
        self, stack: ExitStack, request: Request, execute: Callable
    ) -> bottle.HTTPResponse:
        reply = self._execute(request, execute)
        self._recorder.record_finished(request)
        stack.close()
        headers = {"Content-Type": reply.content_type, "X-Request-Id": request.id}
        return bottle.HTTPResponse(reply.body, reply.status, headers)

    def _execute(self, request: Request, execute: Callable) -> ServiceResponse:
        """Run a request; a non-idempotent one runs as a job under a claim."""
        if request.kind.idempotent:
            return execute(request, NO_GUARD)
        return self._jobs.run(request, execute)

    def _admit(
        self, stack: ExitStack, environ: dict, parse: Callable, name: str
    ) -> Request:
        """Authenticate, read and validate a request.

        Closing ``stack`` releases the resources that the request holds.
        """
        try:
            caller = self._authenticate()
            stack.enter_context(self._gate.track_request())
            size = body_size(environ, self._body_limits.size_bytes)
            stack.enter_context(self.body_memory.reserve(size))
            body = read_body(environ, self._body_limits)
            now_s = self._clock()
            request = parse(self._config, caller, name, _headers(), body, now_s)
        except RelayError as error:
            if IDEMPOTENCY_HEADER in environ:
                # An earlier request with the same key may have run.
                error.outcome = Outcome.UNKNOWN
            raise
        self._recorder.record_admitted(request)
        return request

    def _collect(self, sock, request: Request, guard: DispatchGuard) -> ServiceResponse:
        """Collect the stream of an engine into one response."""
        parts: list[str] = []
        reason = None
        received = 0
        chunks = self._recorder.record_stream(
            request, self._dispatcher.stream(request, guard)
        )
        for chunk in chunks:
            if chunk.event:
                parts.append(chunk.content)
                reason = chunk.finish_reason or reason
                received = chunk.offset
            elif request.kind.idempotent and response.is_disconnected(sock):
                raise caller_gone_error("wait")
        text = "".join(parts)
        body = response.completion_body(
            request, text, received, reason, int(time.time())
        )
        return ServiceResponse(200, JSON_TYPE, body)

    def _stream_response(
        self, stack: ExitStack, request: Request, environ: dict
    ) -> bottle.HTTPResponse:
        """Wait for the first chunk, so that an earlier failure gets an HTTP status."""
        sock = environ["papayarelay.socket"]
        source = self._dispatcher.stream(request)
        stack.callback(source.close)
        chunks = self._recorder.record_stream(request, source)
        first = _wait_for_first(chunks, sock)
        headers = {
            "Content-Type": STREAM_TYPE,
            "Cache-Control": "no-cache",
            "X-Request-Id": request.id,
        }
        events = _EventBody(self._events(request, first, chunks), stack)
        return bottle.HTTPResponse(events, 200, headers)

    def _events(
        self, request: Request, first: Chunk, chunks: Iterator[Chunk]
    ) -> Iterator[bytes]:
        """Yield the events for the caller; a failure becomes the last event."""
        try:
            yield first.event
            for chunk in chunks:
                # Keep-alive comments are forwarded too: the failing write reveals
                # a disconnected caller while no tokens arrive.
                yield chunk.event or KEEP_ALIVE_EVENT
        except RelayError as error:
            self._recorder.record_failed(request, error)
            yield response.error_event(error)
        except GeneratorExit:
            self._recorder.record_failed(request, caller_gone_error("wait"))
            raise
        else:
            self._recorder.record_finished(request)
            yield response.DONE_EVENT


class _EventBody:
    """Response body of events; releases the resources of its request on close."""

    def __init__(self, events: Iterator[bytes], stack: ExitStack):
        self._events = events
        self._stack = stack

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        """Release the resources of the request; called by the WSGI server."""
        self._events.close()
        self._stack.close()


def _wait_for_first(chunks: Iterator[Chunk], sock) -> Chunk:
    for chunk in chunks:
        if chunk.event:
            return chunk
        if response.is_disconnected(sock):
            raise caller_gone_error("wait")
    raise BackendError(
        "engine sent an empty response",
        step="stream",
        peer="backends",
        outcome=Outcome.UNKNOWN,
    )


def _headers() -> Headers:
    return Headers(bottle.request.environ)


def _error_response(
    error: RelayError, has_idempotency_key: bool = False
) -> bottle.HTTPResponse:
    headers = {"Content-Type": JSON_TYPE, **response.error_headers(error)}
    if isinstance(error, OverloadError) or error.step == "read_body":
        headers["Connection"] = "close"
    return bottle.HTTPResponse(
        response.error_body(error, has_idempotency_key), error.status, headers
    )


def _convert_bottle_error(error: bottle.HTTPError) -> bytes:
    """Convert errors raised by bottle, such as an unknown path, to error objects."""
    failure = RelayError(
        str(error.body or "request failed"), step="parse", peer="caller"
    )
    failure.code = "not_found" if error.status_code == 404 else "invalid_request"
    if error.status_code >= 500:
        failure.code = "internal_error"
        failure.outcome = Outcome.UNKNOWN
    error.content_type = JSON_TYPE
    return response.error_body(failure)
